package gateway

import (
	"context"
	"errors"
	"testing"
	"time"

	"github.com/egrethoist/egrethoist/internal/catalog"
	"github.com/egrethoist/egrethoist/internal/quarantine"
)

// A request whose caller has left while it waited for the claim on a suspected part claimed it again and again without a pause, each time
// with messages to the other instances.
func TestEndedRequestClaimsNoProbe(t *testing.T) {
	rq := requestWithParts("a", "own")
	rq.service, rq.route, rq.view = &service{Service: &catalog.Service{Engine: &catalog.Engine{}}}, &catalog.Route{Objective: time.Second}, &view{}
	tracker := rq.gateway.opts.State.quarantine.tracker
	now := time.Now()
	tracker.LearnCrash(quarantine.Crash{Incarnation: 1, At: now, Suspects: []quarantine.Suspect{{Part: quarantine.Part{Model: "m", ID: "a"}, Request: 1}}}, 0, now)
	ctx, cancel := context.WithCancel(t.Context())
	cancel()
	rq.ctx = ctx
	if err := rq.admitParts(); !errors.Is(err, context.Canceled) || rq.probe != nil {
		t.Errorf("error %v, probe %v; want the context's error and no claim", err, rq.probe)
	}
}
