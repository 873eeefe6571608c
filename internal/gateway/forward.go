package gateway

import (
	"errors"
	"fmt"
	"io"
	"net/http"
	"time"

	"k8s.io/klog/v2"

	"github.com/egrethoist/egrethoist/internal/eventstream"
	"github.com/egrethoist/egrethoist/internal/targetconn"
	"github.com/egrethoist/egrethoist/internal/tcp"
)

const (
	// maxBufferedAnswer is the size in bytes up to which an answer is read completely before any of it is forwarded, so that the
	// request can be retried if the answer is cut.
	maxBufferedAnswer = 256 << 10
	// streamBufferSize is the size in bytes of a read from a stream.
	streamBufferSize = 4096
)

// targetHeader returns the headers of a target's answer for the caller.
func (rq *request) targetHeader(resp *http.Response) http.Header {
	header := rq.gateway.opts.Protocol.CallerHeaders(resp.Header)
	for _, name := range []string{"Date", "Content-Type"} {
		if _, ok := header[name]; !ok {
			header[name] = nil // keeps net/http from adding its own value
		}
	}
	return header
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
	if e.Response.StatusCode >= http.StatusInternalServerError && rq.route.Repeatable() {
		result.outcome, result.err = attemptFailed, fmt.Errorf("target %s: status %d", result.target.id, e.Response.StatusCode)
		if rq.failure != nil {
			rq.memory.shrink(int64(cap(rq.failure.body)))
		}
		rq.failure = &failedAnswer{response: e.Response, body: body}
		return
	}
	rq.recordForwarded(result, rq.writeAnswer(e.Response, body))
}

// failedAnswer is a target's answer with a server error. It is forwarded if no other target serves the request.
type failedAnswer struct {
	response *http.Response
	body     []byte
}

// writeAnswer sends a complete answer of a target to the caller.
func (rq *request) writeAnswer(resp *http.Response, body []byte) error {
	return rq.answer.sendWhole(resp.StatusCode, rq.targetHeader(resp), body)
}

// errEventPosition is returned for an event whose place in the caller's stream is not known.
var errEventPosition = errors.New("position of an event in the stream is unknown")

// checkPosition reports whether an event is to be skipped, since the caller has received it from an earlier target. It returns
// errEventPosition if the target's IDs do not increase, or if the event continues the stream of an earlier target and has no ID.
func (rq *request) checkPosition(result *attempt, event []byte) (skip bool, err error) {
	if rq.answer.received(event) {
		if result.progress.events > 0 {
			return false, errEventPosition
		}
		return true, nil
	}
	if _, numbered := eventstream.ID(event); numbered || !rq.answer.begun() || result.progress.events > 0 {
		return false, nil
	}
	if eventstream.HasData(event) {
		return false, errEventPosition
	}
	return true, nil
}

// recordForwarded records an attempt whose complete answer was passed on to the caller with the given result. The target has served the
// request also if the caller did not take the answer.
func (rq *request) recordForwarded(result *attempt, err error) {
	result.outcome, result.err = attemptServed, err
	if errors.Is(err, errAnswerBegun) {
		klog.ErrorS(err, "answer written into another one", "id", rq.call.ID, "target", result.target.id)
		result.outcome = attemptCanceled // not the target's fault
	}
}

// forwardLarge forwards an answer that is too large to buffer, or for which memory is short. start is what has been read of the body.
func (rq *request) forwardLarge(result *attempt, e *targetconn.Exchange, start []byte) {
	length := -1
	if e.Response.ContentLength >= 0 {
		length = int(e.Response.ContentLength)
	}
	err := rq.answer.beginBody(e.Response.StatusCode, rq.targetHeader(e.Response), length)
	rq.setTargetWaits(true)
	defer rq.setTargetWaits(false)
	if err == nil {
		_, err = rq.answer.Write(start)
	}
	if err == nil {
		buffer := start[:cap(start)]
		if len(buffer) < streamBufferSize {
			buffer = make([]byte, streamBufferSize)
		}
		_, err = io.CopyBuffer(&rq.answer, e, buffer)
	}
	if err != nil {
		e.Abort()
		result.outcome, result.err = attemptBroken, fmt.Errorf("forward body: %w", err)
		return
	}
	e.Finish()
	rq.recordForwarded(result, rq.answer.end())
}

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
				rq.recordCutStream(result, failed)
				return
			}
		}
		if err == io.EOF && events.Buffered() == 0 {
			rq.completeStream(result, e)
			return
		}
		if err != nil {
			e.Abort()
			rq.recordCutStream(result, fmt.Errorf("read stream: %w", err))
			return
		}
	}
}

// completeStream ends the caller's stream, since that of a target has ended. A stream without a new event proves nothing if it was to
// continue another one, or if its end can't be told from a cut.
func (rq *request) completeStream(result *attempt, e *targetconn.Exchange) {
	if result.progress.events == 0 {
		switch {
		case rq.answer.begun():
			rq.gateway.metrics.failedContinuations.Inc(1)
			rq.recordUnusable(result, e, "the continuation of the stream has no new event")
			return
		case !tcp.Framed(e.Response):
			e.Abort()
			rq.recordNoAnswer(result, fmt.Errorf("read stream: %w", io.ErrUnexpectedEOF))
			return
		}
	}
	e.Finish()
	var err error
	if !rq.answer.begun() {
		err = rq.answer.beginStream(e.Response.StatusCode, rq.targetHeader(e.Response))
	}
	if err == nil {
		err = rq.answer.end()
	}
	rq.recordForwarded(result, err)
}

// recordCutStream records a stream that was cut. Once events have reached the caller, the outcome is attemptBroken.
func (rq *request) recordCutStream(result *attempt, err error) {
	rq.recordNoAnswer(result, err)
	if result.outcome == attemptUnknown && rq.answer.begun() {
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
		skip, err := rq.checkPosition(result, event)
		if err != nil {
			return err
		}
		if skip {
			continue
		}
		rq.targetBegan.Store(true)
		rq.recordEvent(result)
		if !rq.answer.begun() {
			endPrefill(true)
			if err := rq.beginEvents(result.target, resp); err != nil {
				return err
			}
		}
		if err := rq.answer.sendEvent(event); err != nil {
			return err
		}
		wrote = true
	}
	if wrote {
		rq.answer.flush()
	}
	return nil
}
