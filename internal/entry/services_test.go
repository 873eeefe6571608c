package entry

import (
	"context"
	"math/rand/v2"
	"net/http"
	"net/http/httptest"
	"sync"
	"testing"
	"time"

	egretv1 "github.com/egrethoist/egrethoist/gen/egret/v1"
	"github.com/egrethoist/egrethoist/internal/apikey"
	"github.com/egrethoist/egrethoist/internal/routing"
	"github.com/egrethoist/egrethoist/internal/world"
)

// fixedConfig is a Config that never changes.
type fixedConfig struct{ world *world.World }

func (c fixedConfig) Current() *world.World                  { return c.world }
func (c fixedConfig) Stamp() *egretv1.RevisionStamp          { return nil }
func (c fixedConfig) Observe(*egretv1.RevisionStamp, string) {}
func (c fixedConfig) Changed() <-chan struct{}               { return nil }

// plainWorld returns a configuration of one plain service with one target.
func plainWorld() *world.World {
	target := &world.Target{Name: "target-1", Service: "app", FailureDomain: "lufkin", Sidecar: "10.0.0.1:1"}
	return &world.World{
		FailureDomains: map[string]*world.FailureDomain{"lufkin": {Name: "lufkin", Region: "etx"}},
		Targets:        map[string]*world.Target{target.Name: target},
		Services:       map[string]*world.Service{"app": {Name: "app", Kind: world.KindPlain, Targets: []*world.Target{target}}},
	}
}

// Guards against resetting the utilization average of a service when the view is rebuilt.
func TestUtilizationSurvivesRebuild(t *testing.T) {
	w := plainWorld()
	opts := &Options{Name: "entry-1", Config: fixedConfig{w}}
	p := newPool(opts)
	p.reconcile(t.Context(), w.Services["app"].Targets, func(ctx context.Context, _ *sidecarConn) { <-ctx.Done() })
	defer p.close()
	conn := p.get("target-1")
	conn.condition.Store(&condition{phase: routing.PhaseWarm, alive: true})
	conn.observeLoad(&egretv1.Load{Incarnation: 1, Sequence: 1, Limit: 4, InFlight: 2}, time.Now())
	b := newViewBuilder(opts, p)
	b.rebuild()
	if _, err := routing.New(routing.Options{}).Pick(&routing.Request{}, b.current().services["app"].targets, rand.New(rand.NewPCG(1, 1)), time.Now()); err != nil {
		t.Fatal(err)
	}
	before := b.current().services["app"].targets.Utilization()
	b.rebuild()
	after := b.current().services["app"].targets.Utilization()
	if before == 0 || after != before {
		t.Errorf("utilization %v before the rebuild, %v after it", before, after)
	}
}

// Guards against a crash or a wrong error when a service is removed from the configuration while ticket requests are
// processed.
func TestTicketDuringServiceRemoval(t *testing.T) {
	w := plainWorld()
	ws := &world.Workspace{Name: "mill", Keys: []world.APIKey{{ID: "k", SHA256: apikey.Hash("secret")}}}
	w.Workspaces = map[string]*world.Workspace{ws.Name: ws}
	e, err := New(Options{Name: "entry-1", Config: fixedConfig{w}})
	if err != nil {
		t.Fatal(err)
	}
	e.views.rebuild()
	withService := e.views.current()
	withoutService := &view{world: &world.World{Workspaces: w.Workspaces}, keys: withService.keys, limits: withService.limits}
	var swaps sync.WaitGroup
	stop := make(chan struct{})
	swaps.Go(func() {
		for {
			select {
			case <-stop:
				return
			default:
				e.views.latest.Store(withoutService)
				e.views.latest.Store(withService)
			}
		}
	})
	defer swaps.Wait()
	defer close(stop)
	const requests = 20_000
	for range requests {
		r := httptest.NewRequest(http.MethodPost, "/v1/tickets/app", nil)
		r.Header.Set("Authorization", "Bearer secret")
		rec := httptest.NewRecorder()
		e.Handler().ServeHTTP(rec, r)
		// The target has no connection, so that the pick fails if the service is found.
		if rec.Code != http.StatusNotFound && rec.Code != http.StatusServiceUnavailable {
			t.Fatalf("status %d: %s", rec.Code, rec.Body)
		}
		if rec.Header().Get(HeaderOutcome) != string(OutcomeNotRun) || rec.Header().Get(HeaderRequestID) == "" {
			t.Fatalf("status %d: header %v", rec.Code, rec.Header())
		}
	}
}
