package gateway

import (
	"errors"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"time"

	"k8s.io/klog/v2"

	"github.com/egrethoist/egrethoist/internal/eventstream"
	"github.com/egrethoist/egrethoist/internal/targetconn"
)

const (
	// maxBufferedAnswer is the size in bytes up to which an answer is read completely before any of it is forwarded, so that the
	// request can be retried if the answer is cut.
	maxBufferedAnswer = 256 << 10
	// streamBufferSize is the size in bytes of a read from a stream.
	streamBufferSize = 4096
)

// writeHead sends the status and headers of a target's answer to the caller. A negative length leaves out Content-Length.
func (rq *request) writeHead(resp *http.Response, length int) {
	if rq.headSent {
		rq.gateway.metrics.answersMixed.Inc(1)
		klog.ErrorS(nil, "answer written into another one", "id", rq.call.ID, "status", rq.status, "events", rq.eventsSent, "second_status", resp.StatusCode,
			"second_target", rq.gateway.opts.Protocol.ReadReply(resp.StatusCode, resp.Header).Target)
		rq.writer.WriteHeader(resp.StatusCode)
		return
	}
	out := rq.writer.Header()
	for name, values := range rq.gateway.opts.Protocol.CallerHeaders(resp.Header) {
		out[name] = values
	}
	for _, name := range []string{"Date", "Content-Type"} {
		if _, ok := out[name]; !ok {
			out[name] = nil // keeps net/http from adding its own value
		}
	}
	if length >= 0 {
		out.Set("Content-Length", strconv.Itoa(length))
	}
	rq.headSent, rq.status, rq.firstByteAt = true, resp.StatusCode, time.Now()
	rq.writer.WriteHeader(resp.StatusCode)
}

// forwardBuffered forwards an answer that is not a stream. A server error of a repeatable request is not forwarded but kept in
// rq.failure, in case a retry does better.
func (rq *request) forwardBuffered(result *attempt, e *targetconn.Exchange) {
	body, complete, err := rq.memory.readAll(e, e.Response.ContentLength, maxBufferedAnswer, 1, rq.memory.growOptional)
	if err != nil {
		e.Abort()
		rq.memory.shrink(int64(cap(body)))
		rq.recordNoAnswer(result, fmt.Errorf("read body: %w", err))
		return
	}
	if !complete {
		rq.forwardLarge(result, e, body)
		return
	}
	e.Finish()
	if e.Response.StatusCode >= http.StatusInternalServerError && rq.route.Repeatable() && !rq.headSent {
		result.outcome, result.err = attemptFailed, fmt.Errorf("target %s: status %d", result.target.id, e.Response.StatusCode)
		if rq.failure != nil {
			rq.memory.shrink(int64(cap(rq.failure.body)))
		}
		rq.failure = &failedAnswer{response: e.Response, body: body}
		return
	}
	result.err = rq.writeAnswer(e.Response, body)
	result.outcome = attemptServed
}

// failedAnswer is a target's answer with a server error. It is forwarded if no other target serves the request.
type failedAnswer struct {
	response *http.Response
	body     []byte
}

// writeAnswer sends a complete answer to the caller. It returns errCallerWrite if the caller does not read it.
func (rq *request) writeAnswer(resp *http.Response, body []byte) error {
	rq.writeHead(resp, len(body))
	if _, err := rq.writer.Write(body); err != nil {
		return fmt.Errorf("%w: %w", errCallerWrite, err)
	}
	return nil
}

// forwardLarge forwards an answer that is too large to buffer, or for which memory is short. start is what has been read of the body.
func (rq *request) forwardLarge(result *attempt, e *targetconn.Exchange, start []byte) {
	length := -1
	if e.Response.ContentLength >= 0 {
		length = int(e.Response.ContentLength)
	}
	rq.writeHead(e.Response, length)
	rq.setTargetWaits(true)
	defer rq.setTargetWaits(false)
	_, err := rq.writer.Write(start)
	if err == nil {
		buffer := start[:cap(start)]
		if len(buffer) < streamBufferSize {
			buffer = make([]byte, streamBufferSize)
		}
		_, err = io.CopyBuffer(struct{ io.Writer }{rq.writer}, e, buffer) // hides ReadFrom, which would use another buffer
	}
	if err != nil {
		e.Abort()
		result.outcome, result.err = attemptBroken, fmt.Errorf("forward body: %w", err)
		return
	}
	e.Finish()
	result.outcome = attemptServed
}

// errCallerWrite marks an answer that was cut because its caller does not read it.
var errCallerWrite = errors.New("write to caller")

// forwardStream forwards complete events as they arrive. At the first one it calls endPrefill(true): the prefill is complete.
func (rq *request) forwardStream(result *attempt, e *targetconn.Exchange, endPrefill func(tokenSent bool)) {
	var events eventstream.Splitter
	buffer := make([]byte, streamBufferSize)
	rq.setTargetWaits(true)
	defer rq.setTargetWaits(false)
	for {
		n, err := e.Read(buffer)
		if n > 0 {
			now := time.Now()
			result.target.stats.BytesReceived(now)
			if failed := rq.forwardEvents(&events, buffer[:n], result, e.Response, endPrefill); failed != nil {
				e.Abort()
				rq.endStream(result, failed)
				return
			}
		}
		if err == io.EOF && events.Buffered() == 0 {
			e.Finish()
			if !rq.headSent {
				rq.writeHead(e.Response, -1)
			}
			result.outcome = attemptServed
			return
		}
		if err != nil {
			e.Abort()
			rq.endStream(result, fmt.Errorf("read stream: %w", err))
			return
		}
	}
}

// endStream records a stream that was cut. Once events have reached the caller, the outcome is attemptBroken.
func (rq *request) endStream(result *attempt, err error) {
	rq.recordNoAnswer(result, err)
	if result.outcome == attemptUnknown && rq.headSent {
		result.outcome = attemptBroken
	}
}

// forwardEvents adds p to the stream and forwards the events that are complete, except those that an earlier target has sent
// already. It returns an error if the stream is invalid or the caller does not read.
func (rq *request) forwardEvents(events *eventstream.Splitter, p []byte, result *attempt, resp *http.Response, endPrefill func(tokenSent bool)) error {
	if err := events.Append(p); err != nil {
		return err
	}
	if err := rq.memory.holdEvent(events.Buffered()); err != nil {
		return err
	}
	wrote := false
	for event := events.Next(); event != nil; event = events.Next() {
		id, hasID := eventstream.ID(event)
		if hasID && id <= rq.lastEventID {
			continue // already forwarded from an earlier target
		}
		rq.answerBegun.Store(true)
		rq.recordEvent(result)
		if !rq.eventsBegun {
			endPrefill(true)
			if err := rq.beginEvents(result.target); err != nil {
				return err
			}
		}
		if !rq.headSent {
			rq.writeHead(resp, -1)
		}
		if hasID {
			rq.lastEventID = id
		}
		if _, err := rq.writer.Write(event); err != nil {
			return fmt.Errorf("%w: %w", errCallerWrite, err)
		}
		rq.eventsSent++
		wrote = true
	}
	if !wrote {
		return nil
	}
	if flusher, ok := rq.writer.(http.Flusher); ok {
		flusher.Flush()
	}
	return nil
}
