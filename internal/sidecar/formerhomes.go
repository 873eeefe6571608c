package sidecar

import (
	"context"
	"slices"
	"sync"
	"time"

	"connectrpc.com/connect"
	"k8s.io/klog/v2"

	egretv1 "github.com/egrethoist/egrethoist/gen/egret/v1"
	"github.com/egrethoist/egrethoist/gen/egret/v1/egretv1connect"
	"github.com/egrethoist/egrethoist/internal/once"
	"github.com/egrethoist/egrethoist/internal/platform"
	"github.com/egrethoist/egrethoist/internal/world"
)

// Limits on polling former homes.
const (
	formerHomePollPeriod = 5 * time.Second // must be shorter than once.MaxReadingGap
	listTimeout          = 2 * time.Second
	maxConcurrentPings   = 16
)

// neverSettled makes Homes.Advance keep all generations.
func neverSettled(string, uint64) bool { return false }

// settledFunc returns a function that reports whether a target has acted on a revision for longer than callers may
// repeat keys that the target ran before. Targets that are no former homes count as settled, and so do targets that
// are no longer declared: by removing one, the operators confirm that it runs no more keys. The caller holds the
// lock.
func (l *ledger) settledFunc(now time.Time) func(target string, revision uint64) bool {
	formerHomes := l.homes.FormerHomes(l.target)
	return func(target string, revision uint64) bool {
		return formerHomes[target] == 0 || l.declaredTargets[target] == nil || l.acked.Settled(target, revision, now, l.retention)
	}
}

// unackedFormerHomes returns the former homes that have not yet acknowledged the revision under which they lost keys to
// this target.
func (l *ledger) unackedFormerHomes() []string {
	l.mu.Lock()
	defer l.mu.Unlock()
	var out []string
	for t, revision := range l.homes.FormerHomes(l.target) {
		if l.declaredTargets[t] != nil && !l.acked.Acked(t, revision) {
			out = append(out, t)
		}
	}
	return out
}

// ack records that a target acts on a revision since now; zero is unknown.
func (l *ledger) ack(target string, revision uint64, now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.acked.Ack(target, revision, now)
}

// prune drops the ended generations whose keys can no longer be repeated.
func (l *ledger) prune(now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if len(l.homes.Generations()) < 2 {
		return
	}
	l.homes = l.homes.Prune(now, l.retention, l.settledFunc(now))
	l.keys.SetHomes(l.homes)
}

// ackedSince returns the time from which a target is known to run nothing under the generations in which it was home of
// keys that are now this target's, or the zero time if that is not known.
func (l *ledger) ackedSince(target string) time.Time {
	l.mu.Lock()
	defer l.mu.Unlock()
	revision := l.homes.FormerHomes(l.target)[target]
	if revision == 0 {
		revision = l.homes.Current().Revision
	}
	return l.acked.Since(target, revision)
}

// watchFormerHomes polls former homes for the revision that they act on, until each has acknowledged the move or is
// gone. Keys that are used later then need no fence there. The platform's instance list is read only while a former
// home cannot be reached.
func (s *Sidecar) watchFormerHomes(ctx context.Context) {
	tick := time.NewTicker(formerHomePollPeriod)
	defer tick.Stop()
	departures := &once.DepartureDetector{}
	for {
		s.pollFormerHomes(ctx, departures)
		s.ledger.prune(time.Now())
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
		}
	}
}

// pollFormerHomes pings the former homes without an acknowledgement, at most maxConcurrentPings at a time.
func (s *Sidecar) pollFormerHomes(ctx context.Context, departures *once.DepartureDetector) {
	w := s.opts.Config.Current()
	targets := s.ledger.unackedFormerHomes()
	if w == nil || len(targets) == 0 {
		return
	}
	unreachable := make([]string, len(targets))
	var wg sync.WaitGroup
	sem := make(chan struct{}, maxConcurrentPings)
	for i, t := range targets {
		sem <- struct{}{}
		wg.Go(func() {
			defer func() { <-sem }()
			if !s.pingRevision(ctx, w.Targets[t]) {
				unreachable[i] = t
			}
		})
	}
	wg.Wait()
	unreachable = slices.DeleteFunc(unreachable, func(t string) bool { return t == "" })
	if len(unreachable) > 0 {
		s.detectDepartures(ctx, departures, w, unreachable)
	}
}

// pingRevision records the revision that a target acts on. It returns false if the target cannot be reached.
func (s *Sidecar) pingRevision(ctx context.Context, t *world.Target) bool {
	if t == nil {
		return true // no longer declared
	}
	ctx, cancel := context.WithTimeout(ctx, fenceTimeout)
	defer cancel()
	c := s.peers.Client(t.Sidecar)
	rpc := egretv1connect.NewSidecarServiceClient(c, c.URL(), connect.WithGRPC())
	resp, err := rpc.Ping(ctx, connect.NewRequest(&egretv1.PingRequest{}))
	if err != nil {
		return false
	}
	s.ledger.ack(t.Name, resp.Msg.Revision, time.Now())
	return true
}

// detectDepartures reads the platform's instance list for targets that cannot be reached. A target that is gone is
// recorded as acting on the generation in force, because a successor has to read the revision in force before it runs
// keys.
func (s *Sidecar) detectDepartures(ctx context.Context, departures *once.DepartureDetector, w *world.World, targets []string) {
	if s.opts.Instances == nil {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, listTimeout)
	defer cancel()
	list, _, err := s.opts.Instances.List(ctx)
	if err != nil {
		return
	}
	now := time.Now()
	departures.Observe(listReading(list, w, s.opts.Name), targets, now)
	current := s.ledger.currentGeneration()
	for _, t := range targets {
		if since := departures.GoneSince(t, current.Began, now); !since.IsZero() {
			klog.InfoS("former home is gone", "target", t, "since", since)
			s.ledger.ack(t, current.Revision, since)
		}
	}
}

// listReading reduces the platform's instance list to targets, which are listed by name or by the address of the
// sidecar.
func listReading(list []platform.Instance, w *world.World, self string) once.ListReading {
	listed := map[string]bool{}
	for _, in := range list {
		listed[in.Name] = true
		listed[in.Address] = true
	}
	out := once.ListReading{Present: map[string]bool{}}
	for name, t := range w.Targets {
		if listed[name] || listed[t.Sidecar] {
			out.Present[name] = true
		}
	}
	out.SelfListed = out.Present[self]
	return out
}
