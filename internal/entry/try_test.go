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
