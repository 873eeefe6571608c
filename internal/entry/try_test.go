package entry

import (
	"net/http/httptest"
	"testing"

	"github.com/uber-go/tally/v4"

	egretv1 "github.com/egrethoist/egrethoist/gen/egret/v1"
	"github.com/egrethoist/egrethoist/internal/attempt"
	"github.com/egrethoist/egrethoist/internal/routing"
	"github.com/egrethoist/egrethoist/internal/stream"
)

// A head with a status that is none must not reach the caller: 101 would, and net/http panics on those below 100.
func TestHeadWithInvalidStatusFails(t *testing.T) {
	for _, status := range []uint32{0, 1, 7, 99, 100, 101, 103, 199, 600, 999, 1000} {
		rec := httptest.NewRecorder()
		d, res := newAttempt(rec)
		d.handleHead(&routing.Candidate{Target: "planner-01"}, res, &egretv1.Head{Status: status})
		if !res.attempt.Ended() || res.attempt.Complete() || res.err == nil || d.out.started() {
			t.Errorf("status %d: ended %t, complete %t, error %v, started %t", status, res.attempt.Ended(), res.attempt.Complete(), res.err, d.out.started())
		}
	}
}

// newAttempt returns an attempt at a model's target that was sent, whose answer goes to rec.
func newAttempt(rec *httptest.ResponseRecorder) (*dispatch, *result) {
	d := &dispatch{
		entry:         &Entry{metrics: newMetrics(tally.NoopScope)},
		req:           &Request{ID: "r1"},
		out:           &modelSink{responder: responder{answer: &callerAnswer{w: rec}, requestID: "r1"}},
		assembler:     stream.NewAssembler("r1", stream.Tokens),
		attemptNumber: 1,
	}
	d.assembler.Begin(1)
	res := &result{}
	d.applyEvent(res, attempt.Sent)
	return d, res
}

// Guards against delivering what no status and headers of the same attempt have shown to be a continuation: a chunk or an end
// without a head, and a second head.
func TestAttemptNeedsOneHead(t *testing.T) {
	c := &routing.Candidate{Target: "planner-01"}
	head := &egretv1.Head{Status: 200, Headers: []*egretv1.Header{{Name: "Content-Type", Value: "text/event-stream"}}}
	for name, receive := range map[string]func(d *dispatch, res *result){
		"chunk without head": func(d *dispatch, res *result) {
			d.handleChunk(c, res, &egretv1.Chunk{Count: 1, Data: []byte("x")})
		},
		"end without head": func(d *dispatch, res *result) { d.handleEnd(c, res, &egretv1.End{}) },
		"second head": func(d *dispatch, res *result) {
			d.handleHead(c, res, head)
			d.handleHead(c, res, head)
		},
	} {
		t.Run(name, func(t *testing.T) {
			rec := httptest.NewRecorder()
			d, res := newAttempt(rec)
			receive(d, res)
			if !res.attempt.Ended() || res.attempt.Complete() || res.err == nil {
				t.Errorf("ended %t, complete %t, error %v", res.attempt.Ended(), res.attempt.Complete(), res.err)
			}
			if rec.Body.Len() > 0 {
				t.Errorf("caller has %q", rec.Body)
			}
		})
	}
}
