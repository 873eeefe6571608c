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
	if len(ranked) < 2 || rq.probed || rq.probe != nil || rq.service.Engine == nil || rq.service.HealthPath == "" || !rq.service.forecast.ReportsSpeed() {
		return
	}
	best := ranked[0].Cost
	timeout := min(probing.Timeout(best.Prefill+best.Fetch), rq.silenceLeft(time.Now())-best.Total())
	if timeout <= 0 {
		return
	}
	rq.probed = true
	ranked = ranked[:min(len(ranked), probing.MaxProbes)]
	candidates := make([]probing.Candidate, len(ranked))
	ctx, cancel := context.WithTimeout(rq.ctx, timeout)
	defer cancel()
	answers := make(chan probeAnswer, len(ranked))
	asked := 0
	for i, s := range ranked {
		t := rq.service.targets[s.Candidate.Target]
		candidates[i] = probing.Candidate{Work: s.Cost.Queue + s.Cost.Prefill, Other: s.Cost.Total() - s.Cost.Queue - s.Cost.Prefill, MeanRun: t.stats.MeanRun()}
		if s.Candidate.Ramp != nil || !mayProbe(t) {
			continue
		}
		asked++
		p := loadProbe{gateway: rq.gateway, service: rq.service, target: t}
		go func() { answers <- probeAnswer{index: i, load: p.run(ctx)} }()
	}
	rq.gateway.metrics.probes.Inc(int64(asked))
	if !collect(ctx, answers, asked, candidates) {
		return // nothing was learned
	}
	sorted := make([]routing.ScoredCandidate, len(ranked))
	for i, from := range probing.Order(candidates) {
		sorted[i] = ranked[from]
		if i == 0 && from != 0 {
			rq.gateway.metrics.probesDecided.Inc(1)
		}
	}
	copy(ranked, sorted)
}

// collect fills in the answers that arrive before ctx ends. It returns false if none has a load.
func collect(ctx context.Context, answers <-chan probeAnswer, asked int, candidates []probing.Candidate) bool {
	known := false
	for range asked {
		select {
		case a := <-answers:
			candidates[a.index].Load = a.load
			known = known || a.load != nil
		case <-ctx.Done():
			return known
		}
	}
	return known
}

// probeAnswer is the load of the target with an index in the ranking, nil if its answer has none.
type probeAnswer struct {
	index int
	load  *probing.Load
}

// mayProbe reports whether a target may get a probe: it must want requests now, and have no rate limit that a probe would use up.
func mayProbe(t *target) bool {
	now := time.Now()
	_, limited := t.limit.rate(now)
	return !limited && !t.stats.Blocked(false, now)
}

// loadProbe is a probe of a target. It may outlast its request's wait, so it holds nothing of the request.
type loadProbe struct {
	gateway *Gateway
	service *service
	target  *target
}

// run asks the target for its load. It returns nil if the target does not answer before ctx ends, its answer is cut or has no load, or it wants nothing
// any more once there is a connection.
func (p loadProbe) run(ctx context.Context) *probing.Load {
	t := p.target
	conn, err := t.probes.Get(ctx)
	if err != nil {
		return nil // a request that is sent there finds out why
	}
	if !mayProbe(t) {
		conn.PutBack()
		return nil
	}
	header := p.gateway.opts.Protocol.TargetHeaders(http.Header{}, ForwardParams{Target: t.id, Timeout: probing.MaxTimeout})
	exchange, err := conn.Send(ctx, &targetconn.Request{Method: http.MethodGet, URI: p.service.HealthPath, Host: t.address, Header: header})
	if err != nil {
		return nil
	}
	now := time.Now()
	reply := p.gateway.opts.Protocol.ReadReply(exchange.Response.StatusCode, exchange.Response.Header)
	drainErr := exchange.Drain()
	if reply.fromOtherTarget(t.id) || reply.Misdirected {
		return nil
	}
	p.gateway.opts.State.observeNotice(t, reply.Notice, 0, now)
	if drainErr != nil || !reply.HasLoad || reply.Speed <= 0 || exchange.Response.StatusCode != http.StatusOK {
		return nil
	}
	t.reportLoad(reply, now)
	p.service.forecast.Report(&t.speed, reply.Speed, now)
	return &probing.Load{Running: reply.Running, Waiting: reply.Waiting, Slowdown: reply.Speed}
}
