package entry

import (
	"context"
	"errors"
	"net/http"
	"strconv"
	"time"

	"github.com/egrethoist/egrethoist/internal/burn"
	"github.com/egrethoist/egrethoist/internal/httpserver"
)

// BurnRecorder records request outcomes against the service level objectives of their service. Record must not block.
type BurnRecorder interface {
	Record(o *burn.Observation)
}

// Causes of bad outcomes in addition to the error codes.
const (
	causeServerError = "target_5xx" // the target returned a complete response with a 5xx status
	causeNoTarget    = "no_target"  // no attempt was made because no target was eligible
)

// answerRecord records the course of a response, for metrics and the outcome.
type answerRecord struct {
	target         string // of the last attempt; empty if there was none
	failureDomain  string // of that target
	status         uint32 // HTTP status of the response
	firstPiece     time.Time
	lastPiece      time.Time
	contentLength  int64 // value of the Content-Length header; zero if unknown
	deliveredBytes int64 // body bytes written to the caller
}

// recordHead records the status and the content length.
func (a *answerRecord) recordHead(status uint32, header http.Header) {
	a.status = status
	if n, err := strconv.ParseInt(header.Get("Content-Length"), 10, 64); err == nil {
		a.contentLength = n
	}
}

// complete reports whether the caller has received as many bytes as the Content-Length header declared. Such a caller
// may close its connection before the sidecar has sent the end message.
func (a *answerRecord) complete() bool {
	return a.contentLength > 0 && a.deliveredBytes == a.contentLength
}

// callerGone reports whether a request failed because the caller disconnected.
func callerGone(callerCtx context.Context, fail *Error) bool {
	stopping := errors.Is(context.Cause(callerCtx), httpserver.ErrStopping) // the server has ended the request
	return errors.Is(callerCtx.Err(), context.Canceled) && !stopping || fail.Step == stepAnswerCaller
}

// recordPiece records the arrival time of a piece of the response.
func (d *dispatch) recordPiece(now time.Time) {
	answer := &d.req.answer
	if answer.firstPiece.IsZero() {
		answer.firstPiece = now
		d.entry.metrics.firstPiece.RecordDuration(now.Sub(d.req.ReadAt))
	} else {
		d.entry.metrics.pieceGap.RecordDuration(now.Sub(answer.lastPiece))
	}
	answer.lastPiece = now
}

// recordOutcome passes the outcome of a request to the burn recorder, unless the service is not accountable for it.
func (e *Entry) recordOutcome(callerCtx context.Context, req *Request, fail *Error, start time.Time, elapsed time.Duration) {
	if e.opts.Burn == nil || len(req.Service.Objectives) == 0 {
		return
	}
	cause, attributable := outcomeCause(callerCtx, &req.answer, fail)
	if !attributable {
		return
	}
	o := &burn.Observation{
		Workspace:     req.Workspace.Name,
		Service:       req.Service.Name,
		Objectives:    req.Service.Objectives,
		Cause:         cause,
		FailureDomain: req.answer.failureDomain,
		Instance:      req.answer.target,
		FirstPiece:    elapsed, // a response without pieces counts as arriving at its end
		Took:          elapsed,
		At:            start.Add(elapsed),
	}
	if o.Instance == "" {
		o.FailureDomain, o.Instance = e.opts.FailureDomain, e.opts.Name
	}
	if !req.answer.firstPiece.IsZero() {
		o.FirstPiece = req.answer.firstPiece.Sub(start)
	}
	e.opts.Burn.Record(o)
}

// outcomeCause returns the cause of a bad outcome, empty for a good one. attributable is whether the outcome counts for
// the service: invalid, unauthorized and over-limit requests and those whose caller disconnected do not count.
func outcomeCause(callerCtx context.Context, answer *answerRecord, fail *Error) (cause string, attributable bool) {
	if fail == nil {
		if answer.status >= http.StatusInternalServerError {
			return causeServerError, true
		}
		return "", true
	}
	if callerGone(callerCtx, fail) {
		return "", false
	}
	switch fail.Code {
	case CodeUnauthorized, CodeForbidden, CodeInvalid, CodeNoService, CodeWorkspaceLimit, CodeInProgress,
		CodeKeyExpired, CodeAlreadyRan:
		return "", false
	}
	if fail.Code == CodeUnavailable && answer.target == "" {
		return causeNoTarget, true
	}
	return string(fail.Code), true
}
