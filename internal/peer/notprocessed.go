package peer

import (
	"errors"
	"net/url"
)

// How net/http reports that no part of a call was processed, if its body can't be sent again. It exports no such errors.
const (
	// goAwayError is for a call that a stopping server has not processed, by the last stream of its GOAWAY.
	goAwayError = "http2: Transport: cannot retry err [http2: Transport received Server's graceful shutdown GOAWAY] " +
		"after Request.Body was written; define Request.GetBody to avoid this error"
	// unusableError is for a call whose connection ended before the call was written. HTTP/2 has no other way to this error.
	unusableError = "net/http: cannot rewind body after connection loss"
)

// UnprocessedError is returned when there was a connection, but the peer has not processed any part of a call: it is stopping, or the
// connection ended before.
type UnprocessedError struct {
	Addr string
	Err  error
}

func (e *UnprocessedError) Error() string {
	return "call to " + e.Addr + " not processed: " + e.Err.Error()
}

// Unwrap returns the underlying error.
func (e *UnprocessedError) Unwrap() error { return e.Err }

// NotConnected reports whether the error of a call says that no connection could be established.
func NotConnected(err error) bool {
	var dial *DialError
	return errors.As(err, &dial)
}

// NotProcessed reports whether the error of a call proves that the peer has not processed any part of it.
func NotProcessed(err error) bool {
	var unprocessed *UnprocessedError
	return NotConnected(err) || errors.As(err, &unprocessed)
}

// unprocessedError returns err as an UnprocessedError if it is the transport's own report that the peer has not processed the call.
func unprocessedError(addr string, err error) error {
	var outer *url.Error
	if errors.As(err, &outer) {
		switch outer.Err.Error() {
		case goAwayError, unusableError:
			return &UnprocessedError{Addr: addr, Err: outer.Err} // connect looks for url.Error and drops what wraps it
		}
	}
	return err
}
