package httpserver

import (
	"cmp"
	"testing"
)

// Guards against a planned stop that closes a connection after an answer although a further request has come on it, or that keeps one open
// for nothing.
func TestBytesBeyondRequest(t *testing.T) {
	const get, post = "GET / HTTP/1.1\r\nHost: h\r\n\r\n", "POST / HTTP/1.1\r\nContent-Length: 3\r\n\r\n"
	const chunked = "POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n"
	for _, c := range []struct {
		name       string
		reads      []string // before a handler has the request
		later      []string // while it has it
		bodyLength int64
		beyond     bool
		next       string // the next request as far as it comes later, get if empty
		nextBeyond bool
	}{
		{name: "one request", reads: []string{get}},
		{name: "head in pieces", reads: []string{get[:5], get[5 : len(get)-1], get[len(get)-1:]}},
		{name: "bare line feeds", reads: []string{"GET / HTTP/1.1\nHost: h\n\n"}},
		{name: "two requests", reads: []string{get + get}, beyond: true, nextBeyond: true},
		{name: "a byte of the next", reads: []string{get}, later: []string{"G"}, beyond: true, next: get[1:]},
		{name: "a byte of the next after a body", reads: []string{post + "abcG"}, bodyLength: 3, beyond: true, next: get[1:]},
		{name: "a byte of the next, which is followed by another", reads: []string{get}, later: []string{"G"}, beyond: true, next: get[1:] + get, nextBeyond: true},
		{name: "a byte of the next after chunks", reads: []string{chunked + "0\r\n\r\n"}, later: []string{"G"}, bodyLength: -1, beyond: true, next: get[1:], nextBeyond: true},
		{name: "body with the head", reads: []string{post + "abc"}, bodyLength: 3},
		{name: "body later", reads: []string{post}, later: []string{"a", "bc"}, bodyLength: 3},
		{name: "body with empty lines", reads: []string{post}, later: []string{"\n\n\n"}, bodyLength: 3},
		{name: "request after the body", reads: []string{post + "abc" + get}, bodyLength: 3, beyond: true, nextBeyond: true},
		{name: "chunks", reads: []string{chunked + "3\r\nabc\r\n"}, later: []string{"0\r\n", "\r\n"}, bodyLength: -1},
		{name: "request after chunks", reads: []string{chunked + "0\r\n\r\n" + get}, bodyLength: -1, beyond: true, nextBeyond: true},
	} {
		t.Run(c.name, func(t *testing.T) {
			r := requestBytes{bodyLength: c.bodyLength}
			for _, p := range c.reads {
				r.add([]byte(p), true)
			}
			for _, p := range c.later {
				r.add([]byte(p), false)
			}
			if got := r.beyond(); got != c.beyond {
				t.Fatalf("bytes beyond the request: %v, want %v", got, c.beyond)
			}
			r.next()
			r.add([]byte(cmp.Or(c.next, get)), true)
			if got := r.beyond(); got != c.nextBeyond {
				t.Errorf("next request: %v, want %v", got, c.nextBeyond)
			}
		})
	}
}
