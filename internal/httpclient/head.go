package httpclient

import (
	"bytes"
	"errors"
	"fmt"

	"golang.org/x/net/http/httpguts"

	"github.com/egrethoist/egrethoist/internal/tcp"
)

// errMalformed is returned for an answer that breaks HTTP. Whether the server has executed the request is unknown.
var errMalformed = errors.New("answer breaks HTTP")

var errHeadTooLarge = errors.New("head of an answer is too large")

// headCheck checks the heads of the answer to one request, those of interim answers included, while their bytes arrive. It refuses what net/http
// accepts, corrects or drops when it parses a head; what net/http refuses, and framing, are left to it. The zero value expects no head.
type headCheck struct {
	active    bool   // the end of the final answer's head has not arrived
	size      int    // bytes of all heads so far
	interim   bool   // the present head is that of an interim answer
	begun     bool   // the status line has arrived
	chunkless bool   // the version of the present head has no Transfer-Encoding
	line      []byte // that has not arrived wholly
}

// expect begins the check of the next bytes.
func (h *headCheck) expect() { *h = headCheck{active: true, line: h.line[:0]} }

// check checks the next bytes from the server. If they break HTTP/1, it returns an error and the number of bytes that may be passed on to a
// parser, which cannot complete a head with them. At least one byte of an answer is passed on: net/http repeats calls whose answer has none.
func (h *headCheck) check(p []byte) (int, error) {
	for offset := 0; h.active && offset < len(p); {
		if h.size > tcp.MaxResponseHeaderBytes {
			return offset, errHeadTooLarge
		}
		end := bytes.IndexByte(p[offset:], '\n')
		if end < 0 {
			h.line = append(h.line, p[offset:]...)
			h.size += len(p) - offset
			break
		}
		line := p[offset : offset+end]
		if len(h.line) > 0 {
			h.line = append(h.line, line...)
			line = h.line
		}
		if err := h.checkLine(bytes.TrimSuffix(line, []byte("\r"))); err != nil {
			if h.size == 0 {
				return end, fmt.Errorf("%w: %w", errMalformed, err)
			}
			return offset, fmt.Errorf("%w: %w", errMalformed, err)
		}
		h.line = h.line[:0]
		h.size += end + 1
		offset += end + 1
	}
	return len(p), nil
}

// checkLine checks a line of a head, without its end.
func (h *headCheck) checkLine(line []byte) error {
	switch {
	case !h.begun:
		h.begun = true
		if len(line) == 0 {
			return nil // net/http refuses it
		}
		return h.checkStatusLine(line)
	case len(line) == 0:
		h.active, h.begun = h.interim, false
	case line[0] == ' ' || line[0] == '\t': // continues the line before
	default:
		name, _, _ := bytes.Cut(line, []byte(":"))
		if !httpguts.ValidHeaderFieldName(string(name)) {
			return fmt.Errorf("field name %.100q", name)
		}
		if h.chunkless && bytes.EqualFold(name, []byte("Transfer-Encoding")) { // net/http takes the chunks for the body
			return errors.New("encoding of HTTP/1.0")
		}
	}
	return nil
}

// checkStatusLine checks the first line of a head.
func (h *headCheck) checkStatusLine(line []byte) error {
	version, rest, _ := bytes.Cut(line, []byte(" "))
	minor, ok := bytes.CutPrefix(version, []byte("HTTP/1."))
	if !ok || len(minor) != 1 || !isDigit(minor[0]) {
		return fmt.Errorf("version %.20q", version)
	}
	h.chunkless = minor[0] == '0'
	status, reason, _ := bytes.Cut(bytes.TrimLeft(rest, " "), []byte(" "))
	if !validStatus(status) || string(status) == "101" { // no request asks for another protocol
		return fmt.Errorf("status %.20q", status)
	}
	h.interim = status[0] == '1'
	if !httpguts.ValidHeaderFieldValue(string(reason)) {
		return fmt.Errorf("reason %.100q", reason)
	}
	return nil
}

// validStatus reports whether a status code consists of three digits and has one of the classes that RFC 9110 defines.
func validStatus(code []byte) bool {
	return len(code) == 3 && '1' <= code[0] && code[0] <= '5' && isDigit(code[1]) && isDigit(code[2])
}

func isDigit(b byte) bool { return '0' <= b && b <= '9' }
