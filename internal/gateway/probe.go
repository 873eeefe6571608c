package gateway

import (
	"context"
	"net/http"
	"time"

	"github.com/egrethoist/egrethoist/internal/probing"
	"github.com/egrethoist/egrethoist/internal/routing"
	"github.com/egrethoist/egrethoist/internal/targetconn"
)

// maxProbeConnections bounds the connections of this instance to a target on which probes are sent. They carry nothing else, since the answer
// to a probe has no ID that tells it from a late answer to a request.
const maxProbeConnections = 2

// probeTargets probes the best of the ranked targets and reorders them by their answers, if the service's targets report how fast they are and the
// request has enough work for their speed to matter.
func (rq *request) probeTargets(ranked []routing.ScoredCandidate) {
	if len(ranked) < 2 || rq.probed || rq.service.Engine == nil || rq.service.HealthPath == "" || !rq.service.forecast.ReportsSpeed() {
		return
	}
	best := ranked[0].Cost
	if !probing.Worthwhile(best.Queue+best.Prefill+best.Fetch, rq.route.Objective) {
		return
	}
	rq.probed = true
	ranked = ranked[:min(len(ranked), probing.MaxProbes)]
	candidates := make([]probing.Candidate, len(ranked))
	ctx, cancel := context.WithTimeout(rq.ctx, probing.Timeout(rq.route.Objective))
	defer cancel()
	answers := make(chan probeAnswer, len(ranked))
	asked := 0
	for i, s := range ranked {
		t := rq.service.targets[s.Candidate.Target]
		candidates[i] = probing.Candidate{Work: s.Cost.Queue + s.Cost.Prefill, Other: s.Cost.Fetch + s.Cost.Distance + s.Cost.Penalty, MeanRun: t.stats.MeanRun()}
		if !rq.mayProbe(t, &s) {
			continue
		}
		asked++
		go func() { answers <- probeAnswer{index: i, load: rq.probeTarget(ctx, t)} }()
	}
	for range asked {
		select {
		case a := <-answers:
			candidates[a.index].Load = a.load
		case <-ctx.Done():
		}
	}
	rq.gateway.metrics.probes.Inc(int64(asked))
	sorted := make([]routing.ScoredCandidate, len(ranked))
	for i, from := range probing.Order(candidates) {
		sorted[i] = ranked[from]
		if i == 0 && from != 0 {
			rq.gateway.metrics.probesDecided.Inc(1)
		}
	}
	copy(ranked, sorted)
}

// probeAnswer is the load of the target with an index in the ranking, nil if its answer has none.
type probeAnswer struct {
	index int
	load  *probing.Load
}

// mayProbe reports whether a target may get a probe: it must want requests now, and have capacity that is not counted out.
func (rq *request) mayProbe(t *target, s *routing.ScoredCandidate) bool {
	now := time.Now()
	_, limited := t.limit.rate(now)
	return s.Candidate.Ramp == nil && !limited && !t.stats.Blocked(false, now)
}

// probeTarget asks a target for its load. It returns nil if the target does not answer before ctx ends or answers without its load.
func (rq *request) probeTarget(ctx context.Context, t *target) *probing.Load {
	conn, err := t.probes.Get(ctx)
	if err != nil {
		return nil // the target counts as slow; a request that is sent there finds out why
	}
	exchange, err := conn.Send(ctx, &targetconn.Request{Method: http.MethodGet, URI: rq.service.HealthPath, Host: t.address, Header: http.Header{}})
	if err != nil {
		return nil
	}
	now := time.Now()
	reply := rq.gateway.opts.Protocol.ReadReply(exchange.Response.StatusCode, exchange.Response.Header)
	exchange.Drain()
	if reply.fromOtherTarget(t.id) {
		return nil
	}
	rq.gateway.opts.State.observeNotice(t, reply.Notice, 0, now)
	if !reply.HasLoad || reply.Speed <= 0 || exchange.Response.StatusCode != http.StatusOK {
		return nil
	}
	t.reportLoad(reply, now)
	rq.service.forecast.Report(&t.speed, reply.Speed, now)
	return &probing.Load{Running: reply.Running, Waiting: reply.Waiting, Slowdown: reply.Speed}
}
