package peer

import (
	"errors"
	"net/url"
)

// goAwayError is how net/http reports a call that a stopping server has not processed, by the last stream of its GOAWAY, if the body can't
// be sent again. It exports no such error.
const goAwayError = "http2: Transport: cannot retry err [http2: Transport received Server's graceful shutdown GOAWAY] " +
	"after Request.Body was written; define Request.GetBody to avoid this error"

// StoppingError is returned when the peer has not processed any part of a call, since it is stopping.
type StoppingError struct {
	Addr string
	Err  error
}

func (e *StoppingError) Error() string {
	return "call to " + e.Addr + " not processed: " + e.Err.Error()
}

// Unwrap returns the underlying error.
func (e *StoppingError) Unwrap() error { return e.Err }

// NotConnected reports whether the error of a call says that no connection could be established.
func NotConnected(err error) bool {
	var dial *DialError
	return errors.As(err, &dial)
}

// NotProcessed reports whether the error of a call proves that the peer has not processed any part of it.
func NotProcessed(err error) bool {
	var stopping *StoppingError
	return NotConnected(err) || errors.As(err, &stopping)
}

// stoppingError returns err as a StoppingError if it is the transport's own report that the peer has not processed the call.
func stoppingError(addr string, err error) error {
	var outer *url.Error
	if errors.As(err, &outer) && outer.Err.Error() == goAwayError {
		return &StoppingError{Addr: addr, Err: outer.Err} // connect looks for url.Error and drops what wraps it
	}
	return err
}
