package entry

import (
	"errors"
	"net/http"
)

// Errors of a callerAnswer.
var (
	errAnswerBegun    = errors.New("the caller has already received a status")
	errAnswerNotBegun = errors.New("the answer has no status yet")
	errAnswerOver     = errors.New("the answer has ended or was broken off")
)

// answerState is what the caller has been sent.
type answerState uint8

const (
	answerUnsent  answerState = iota // nothing
	answerBegun                      // status and headers, perhaps a part of the body
	answerEnded                      // a whole answer, or one whose end tells of its failure
	answerFailing                    // a write failed: the rest must not reach the caller
)

// callerAnswer owns what the caller of one request is sent: nothing else writes to the response. It refuses a second status, writes after the end and writes after a failed one. Only end makes an answer whole; settle breaks off any
// other, so that an incomplete answer never ends as a complete one. It is not safe for concurrent use.
type callerAnswer struct {
	w     http.ResponseWriter
	state answerState
}

// header returns the headers to be sent by begin.
func (a *callerAnswer) header() http.Header { return a.w.Header() }

// begin sends the status and the headers.
func (a *callerAnswer) begin(status int) error {
	if a.state != answerUnsent {
		return errAnswerBegun
	}
	a.state = answerBegun
	a.w.WriteHeader(status)
	return nil
}

// begun reports whether the caller has been sent any part of an answer.
func (a *callerAnswer) begun() bool { return a.state != answerUnsent }

// write sends a part of the body. No data is always accepted: a status without a body may be followed by an empty piece,
// which an HTTP/2 writer refuses.
func (a *callerAnswer) write(data []byte) error {
	if err := a.checkBegun(); err != nil || len(data) == 0 {
		return err
	}
	_, err := a.w.Write(data)
	return a.note(err)
}

// flush sends what has been written so far.
func (a *callerAnswer) flush() error {
	if err := a.checkBegun(); err != nil {
		return err
	}
	return a.note(http.NewResponseController(a.w).Flush())
}

// end marks the answer as whole. Nothing may follow it.
func (a *callerAnswer) end() error {
	if err := a.checkBegun(); err != nil {
		return err
	}
	a.state = answerEnded
	return nil
}

// settle is called when the handler is about to return. It breaks the connection off unless the answer has ended, because
// net/http ends the answer of a handler that returns as complete.
func (a *callerAnswer) settle() {
	if a.state != answerEnded {
		panic(http.ErrAbortHandler)
	}
}

func (a *callerAnswer) checkBegun() error {
	switch a.state {
	case answerUnsent:
		return errAnswerNotBegun
	case answerBegun:
		return nil
	}
	return errAnswerOver
}

// note records and returns the error of a write.
func (a *callerAnswer) note(err error) error {
	if err != nil {
		a.state = answerFailing
	}
	return err
}
