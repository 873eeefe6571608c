package gateway

import (
	"errors"
	"fmt"
	"io"
	"maps"
	"mime"
	"net/http"
	"strconv"
	"time"

	"k8s.io/klog/v2"

	"github.com/egrethoist/egrethoist/internal/eventstream"
	"github.com/egrethoist/egrethoist/internal/httpserver"
)

// answerState is how far the answer to a caller has come.
type answerState uint8

const (
	answerUnsent answerState = iota // the caller has received nothing
	answerBegun                     // the head and perhaps a part of the body were sent
	answerEnded                     // the caller has received a complete answer
	answerBroken                    // the answer can't be completed, or was broken off
)

func (s answerState) String() string {
	return [...]string{"unsent", "begun", "complete", "broken"}[s]
}

// errAnswerBegun is returned for a head or a whole answer after another answer has begun.
var errAnswerBegun = errors.New("another answer was already sent to the caller")

// errCallerWrite marks an answer that was cut because its caller does not read it.
var errCallerWrite = errors.New("write to caller")

// callerAnswer is the answer to one caller, and the only writer to it. It accepts one head, then a body that belongs to that head, and one
// end. An answer that has not been ended is broken off by close, so that the caller cannot take it for complete.
type callerAnswer struct {
	writer      http.ResponseWriter
	request     *http.Request // nil if a planned stop does not end its connection
	endsByClose bool          // an answer without a length ends with the connection, as with HTTP/1.0
	state       answerState
	status      int       // that the caller has received; zero if none
	headAt      time.Time // when the head was sent; zero if it was not
	sentAt      time.Time // when the last events were sent; zero if none were
	stream      bool      // the body consists of events
	mediaType   string
	lastEventID uint64 // ID of the last event that the caller has received, of this answer or an earlier one
	events      int    // events sent
	unnumbered  bool   // the last event with data has no ID, so that the position in the stream is unknown
}

// begun reports whether the caller has received any part of the answer.
func (a *callerAnswer) begun() bool { return a.state != answerUnsent }

// continuable reports whether another target can still supply the answer or the rest of it.
func (a *callerAnswer) continuable() bool {
	return a.state == answerUnsent || a.state == answerBegun && a.stream && !a.unnumbered
}

// continuedBy reports whether a target's answer can follow what the caller has received: anything if that is nothing, otherwise only
// events of a stream of the same status and type.
func (a *callerAnswer) continuedBy(resp *http.Response) bool {
	return a.state == answerUnsent || a.continuable() && resp.StatusCode == a.status && mediaType(resp.Header) == a.mediaType
}

// mediaType returns the media type of an answer without its parameters.
func mediaType(h http.Header) string {
	contentType := h.Get("Content-Type")
	if parsed, _, err := mime.ParseMediaType(contentType); err == nil {
		return parsed
	}
	return contentType
}

// sendWhole sends a complete answer. Nothing is sent if another answer has begun.
func (a *callerAnswer) sendWhole(status int, header http.Header, body []byte) error {
	if err := a.sendHead(status, header, len(body)); err != nil {
		return err
	}
	if err := a.send(body); err != nil {
		return err
	}
	return a.end()
}

// beginBody sends the head of an answer whose body follows. A negative length leaves out Content-Length.
func (a *callerAnswer) beginBody(status int, header http.Header, length int) error {
	return a.sendHead(status, header, length)
}

// beginStream sends the head of an answer whose events follow.
func (a *callerAnswer) beginStream(status int, header http.Header) error {
	if err := a.sendHead(status, header, -1); err != nil {
		return err
	}
	a.stream, a.mediaType = true, mediaType(header)
	return nil
}

// sendHead sends the status and headers. It returns errAnswerBegun if a head was sent before.
func (a *callerAnswer) sendHead(status int, header http.Header, length int) error {
	if a.begun() {
		return fmt.Errorf("status %d after %d: %w", status, a.status, errAnswerBegun)
	}
	out := a.writer.Header()
	maps.Copy(out, header)
	if length >= 0 {
		out.Set("Content-Length", strconv.Itoa(length))
	}
	if a.request != nil && httpserver.ClosesAfter(a.request) {
		out.Set("Connection", "close")
	}
	a.state, a.status, a.headAt = answerBegun, status, time.Now()
	a.writer.WriteHeader(status)
	return nil
}

// Write implements io.Writer for the body of an answer that is not a stream.
func (a *callerAnswer) Write(p []byte) (int, error) {
	if a.state != answerBegun || a.stream {
		return 0, fmt.Errorf("write to an answer that is %s: %w", a.state, errAnswerBegun)
	}
	return len(p), a.send(p)
}

// send writes a part of the body. After an error the answer can't be completed.
func (a *callerAnswer) send(p []byte) error {
	if _, err := a.writer.Write(p); err != nil {
		a.state = answerBroken
		return fmt.Errorf("%w: %w", errCallerWrite, err)
	}
	return nil
}

// received reports whether the caller has already received an event, from an earlier target or with an earlier request.
func (a *callerAnswer) received(event []byte) bool {
	id, numbered := eventstream.ID(event)
	return numbered && id <= a.lastEventID && (a.lastEventID > 0 || a.events > 0)
}

// sendEvent sends a complete event of a stream that has begun. flush must be called after the last one that is at hand.
func (a *callerAnswer) sendEvent(event []byte) error {
	if a.state != answerBegun || !a.stream {
		return fmt.Errorf("event to an answer that is %s: %w", a.state, errAnswerBegun)
	}
	if id, numbered := eventstream.ID(event); numbered {
		a.lastEventID, a.unnumbered = id, false
	} else if eventstream.HasData(event) {
		a.unnumbered = true
	}
	if err := a.send(event); err != nil {
		return err
	}
	a.events++
	return nil
}

// flush sends the events that are buffered.
func (a *callerAnswer) flush() {
	a.sentAt = time.Now()
	if flusher, ok := a.writer.(http.Flusher); ok {
		flusher.Flush()
	}
}

// end marks the answer as complete; its last chunk is sent when the handler returns. It returns an error if the answer has not begun or can't be completed.
func (a *callerAnswer) end() error {
	if a.state != answerBegun {
		return fmt.Errorf("end of an answer that is %s", a.state)
	}
	a.state = answerEnded
	return nil
}

// close must be called when the request has ended. It breaks off an answer that is not complete, by a panic that makes net/http close the
// caller's connection.
func (a *callerAnswer) close() {
	if a.state == answerEnded {
		return
	}
	if a.begun() {
		a.state = answerBroken
		if a.endsByClose {
			a.reset()
		}
	}
	panic(http.ErrAbortHandler)
}

// reset closes the caller's connection with a TCP reset: an orderly close would look like the end of the answer.
func (a *callerAnswer) reset() {
	conn, _, err := http.NewResponseController(a.writer).Hijack()
	if err != nil {
		klog.ErrorS(err, "caller's connection not reset")
		return
	}
	if lingering, ok := conn.(interface{ SetLinger(seconds int) error }); ok {
		_ = lingering.SetLinger(0) // an error means that the connection has ended
	}
	_ = conn.Close()
}

// limitBody returns a reader of a request body that fails beyond limit bytes.
func (a *callerAnswer) limitBody(body io.ReadCloser, limit int64) io.ReadCloser {
	return http.MaxBytesReader(a.writer, body, limit)
}
