package httpserver

import "bytes"

const (
	// http2Preface begins a connection of HTTP/2, which has its own way to end.
	http2Preface = "PRI * HTTP/2.0"
	// lastChunk ends a body in chunks without trailers, with the end of the line before it.
	lastChunk = "\r\n0\r\n\r\n"
)

// requestBytes follows the received bytes of a connection as far as is needed to tell whether something follows the present request.
type requestBytes struct {
	http2      bool  // of HTTP/2 or TLS: the bytes are not followed
	some       bool  // bytes were received, or can't be of HTTP/2
	unknown    bool  // bytes of the present request came with an earlier one, and its head was not followed
	headDone   bool  // the head is complete
	newlines   int   // line feeds in a row at the end of the head so far
	bodyLength int64 // of the present request in bytes, negative if it comes in chunks
	after      int64 // bytes received after the head
	tail       [len(lastChunk)]byte
}

// add counts received bytes. inHead is false if a handler has the present request.
func (r *requestBytes) add(p []byte, inHead bool) {
	if !r.some {
		r.some = true
		r.http2 = bytes.HasPrefix(p, []byte(http2Preface))
	}
	if n := len(p); n >= len(r.tail) {
		copy(r.tail[:], p[n-len(r.tail):])
	} else {
		copy(r.tail[:], r.tail[n:])
		copy(r.tail[len(r.tail)-n:], p)
	}
	if inHead && !r.headDone {
		p = p[r.scanHead(p):]
	}
	r.after += int64(len(p))
}

// scanHead returns the number of leading bytes of p that belong to the head.
func (r *requestBytes) scanHead(p []byte) int {
	for i, b := range p {
		switch b {
		case '\n':
			if r.newlines++; r.newlines == 2 {
				r.headDone = true
				return i + 1
			}
		case '\r':
		default:
			r.newlines = 0
		}
	}
	return len(p)
}

// beyond reports whether bytes that follow the present request were received, or may have been.
func (r *requestBytes) beyond() bool {
	if r.bodyLength < 0 {
		return r.unknown || string(r.tail[:]) != lastChunk
	}
	return r.unknown || r.after > r.bodyLength
}

// next begins to count for the next request. A few bytes of it that came before, as one does that net/http reads to watch for the end of the
// connection, are counted for it.
func (r *requestBytes) next() {
	early := r.after - r.bodyLength
	known := !r.unknown && r.bodyLength >= 0 && early <= int64(len(r.tail))
	next := requestBytes{some: true, unknown: !known && r.beyond()}
	if known && early > 0 {
		next.add(r.tail[int64(len(r.tail))-early:], true)
	}
	next.tail = r.tail
	*r = next
}
