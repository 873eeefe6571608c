package httpclient

import (
	"bytes"
	"errors"
	"fmt"
	"net/http"
	"strconv"

	"golang.org/x/net/http/httpguts"

	"github.com/egrethoist/egrethoist/internal/tcp"
)

// errMalformed is returned for an answer that breaks HTTP. Whether the server has executed the request is unknown.
var errMalformed = errors.New("answer breaks HTTP")

var errTooLarge = errors.New("head or line of an answer is too large")

// scanState is what the next byte from a server belongs to.
type scanState uint8

const (
	scanEnded     scanState = iota // no answer
	scanStatus                     // status line
	scanFields                     // the rest of a head
	scanBody                       // body of a known length, of which remaining bytes have not arrived
	scanToClose                    // body that ends with the connection
	scanChunkSize                  // line with the size of a chunk
	scanChunk                      // chunk with its line end, of which remaining bytes have not arrived
	scanTrailer                    // trailer
)

// scanner follows the bytes of the answer to one request, interim answers included, and finds its end. It refuses heads and trailers that net/http accepts,
// corrects or drops although they break HTTP/1; what net/http refuses is left to it.
type scanner struct {
	state     scanState
	method    string // of the request
	line      []byte // the beginning of one that has not arrived wholly
	size      int    // bytes of lines so far
	remaining int64

	// Of the present head:
	status    string
	chunkless bool   // the version has no Transfer-Encoding
	chunked   bool   // the body is in chunks
	length    int64  // of the body; negative: not stated
	framing   []byte // last field if it frames the body, with its continuation lines; otherwise empty
}

// expect begins an answer to a request with the given method.
func (s *scanner) expect(method string) {
	*s = scanner{state: scanStatus, method: method, line: s.line[:0], framing: s.framing[:0]}
}

// scan follows the next bytes from the server. It returns how many of them may be passed on to a parser: those up to the end of the answer, or, with an
// error, those before the line that breaks HTTP. At least one byte of an answer is passed on: net/http repeats calls whose answer has none.
func (s *scanner) scan(p []byte) (int, error) {
	offset := 0
	for offset < len(p) && s.state != scanEnded {
		switch s.state {
		case scanToClose:
			return len(p), nil
		case scanBody, scanChunk:
			n := min(s.remaining, int64(len(p)-offset))
			offset += int(n)
			if s.remaining -= n; s.remaining == 0 {
				s.endBlock()
			}
		default:
			n, err := s.scanLine(p[offset:])
			if err != nil {
				if s.size == 0 {
					return n, err
				}
				return offset, err
			}
			offset += n
			s.size += n
		}
	}
	return offset, nil
}

// endBlock ends a body or a chunk that has arrived wholly.
func (s *scanner) endBlock() {
	if s.state == scanChunk {
		s.state = scanChunkSize
	} else {
		s.state = scanEnded
	}
}

// scanLine follows the bytes of a line, or of its beginning, and returns how many there are. With an error these don't include the line's end.
func (s *scanner) scanLine(p []byte) (int, error) {
	end := bytes.IndexByte(p, '\n')
	whole := end >= 0
	if !whole {
		end = len(p)
	}
	if len(s.line)+end > tcp.MaxResponseHeaderBytes || s.inHead() && s.size+end > tcp.MaxResponseHeaderBytes {
		return end, errTooLarge
	}
	if !whole {
		s.line = append(s.line, p...)
		return len(p), nil
	}
	line := p[:end]
	if len(s.line) > 0 {
		s.line = append(s.line, line...)
		line = s.line
	}
	if err := s.endLine(bytes.TrimSuffix(line, []byte("\r"))); err != nil {
		return end, fmt.Errorf("%w: %w", errMalformed, err)
	}
	s.line = s.line[:0]
	return end + 1, nil
}

func (s *scanner) inHead() bool { return s.state == scanStatus || s.state == scanFields }

// endLine ends a line, which is given without its end.
func (s *scanner) endLine(line []byte) error {
	switch s.state {
	case scanStatus:
		s.state = scanFields
		if len(line) == 0 {
			return nil // net/http refuses it
		}
		return s.readStatusLine(line)
	case scanChunkSize:
		return s.readChunkSize(line)
	}
	switch {
	case len(line) == 0 && s.state == scanTrailer:
		s.state = scanEnded
	case len(line) == 0:
		s.endHead()
	case line[0] == ' ' || line[0] == '\t': // continues the line before
		if len(s.framing) > 0 {
			s.framing = append(append(s.framing, ' '), bytes.TrimSpace(line)...)
			return s.readFraming(s.framing)
		}
	default:
		return s.readField(line)
	}
	return nil
}

// readStatusLine reads the first line of a head.
func (s *scanner) readStatusLine(line []byte) error {
	version, rest, _ := bytes.Cut(line, []byte(" "))
	minor, ok := bytes.CutPrefix(version, []byte("HTTP/1."))
	if !ok || len(minor) != 1 || !isDigit(minor[0]) {
		return fmt.Errorf("version %.20q", version)
	}
	status, reason, _ := bytes.Cut(bytes.TrimLeft(rest, " "), []byte(" "))
	if !validStatus(status) || string(status) == "101" { // no request asks for another protocol
		return fmt.Errorf("status %.20q", status)
	}
	if !httpguts.ValidHeaderFieldValue(string(reason)) {
		return fmt.Errorf("reason %.100q", reason)
	}
	s.status, s.chunkless, s.chunked, s.length = string(status), minor[0] == '0', false, -1
	return nil
}

// validStatus reports whether a status code consists of three digits and has one of the classes that RFC 9110 defines.
func validStatus(code []byte) bool {
	return len(code) == 3 && '1' <= code[0] && code[0] <= '5' && isDigit(code[1]) && isDigit(code[2])
}

func isDigit(b byte) bool { return '0' <= b && b <= '9' }

// readField reads a line of a head or a trailer.
func (s *scanner) readField(line []byte) error {
	name, _, _ := bytes.Cut(line, []byte(":"))
	if !httpguts.ValidHeaderFieldName(string(name)) {
		return fmt.Errorf("field name %.100q", name)
	}
	s.framing = s.framing[:0]
	if s.state == scanFields && (bytes.EqualFold(name, transferEncoding) || bytes.EqualFold(name, contentLength)) {
		s.framing = append(s.framing, line...)
		return s.readFraming(line)
	}
	return nil
}

var transferEncoding, contentLength = []byte("Transfer-Encoding"), []byte("Content-Length")

// readFraming reads a field that frames the body, with the continuation lines that have arrived.
func (s *scanner) readFraming(field []byte) error {
	name, value, _ := bytes.Cut(field, []byte(":"))
	value = bytes.TrimSpace(value)
	if bytes.EqualFold(name, transferEncoding) {
		if s.chunkless { // net/http takes the chunks for the body
			return errors.New("encoding of HTTP/1.0")
		}
		s.chunked = bytes.EqualFold(value, []byte("chunked")) // net/http refuses others
		return nil
	}
	if length, err := strconv.ParseUint(string(value), 10, 63); err == nil { // net/http refuses others
		s.length = int64(length)
	}
	return nil
}

// endHead ends a head, by which the length of the body is known.
func (s *scanner) endHead() {
	switch {
	case s.status == "":
		s.state = scanToClose // net/http refuses the status line
	case s.status[0] == '1':
		s.state = scanStatus // interim
	case s.method == http.MethodHead || s.status == "204" || s.status == "304":
		s.state = scanEnded
	case s.chunked:
		s.state = scanChunkSize
	case s.length > 0:
		s.state, s.remaining = scanBody, s.length
	case s.length == 0:
		s.state = scanEnded
	default:
		s.state = scanToClose
	}
}

// readChunkSize reads the line before a chunk.
func (s *scanner) readChunkSize(line []byte) error {
	const lineEnd = 2 // bytes behind a chunk
	size, _, _ := bytes.Cut(line, []byte(";"))
	n, err := strconv.ParseUint(string(bytes.TrimRight(size, " \t")), 16, 62)
	switch {
	case err != nil:
		return fmt.Errorf("size of a chunk %.20q", size)
	case n == 0:
		s.state = scanTrailer
	default:
		s.state, s.remaining = scanChunk, int64(n)+lineEnd
	}
	return nil
}
