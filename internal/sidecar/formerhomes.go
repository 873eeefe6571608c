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

// Bounds of watching former homes.
const (
	formerHomePollPeriod = 5 * time.Second // below once.MaxReadingGap
	listTimeout          = 2 * time.Second
	maxConcurrentPings   = 16 // former homes asked at a time
)

func neverSettled(string, uint64) bool { return false }

// settled returns whether a target has acted on a revision for as long as keys that it ran before may be repeated. Of
// a target that is no longer declared the operators have said that it is settled. The caller holds the lock.
func (l *ledger) settledFunc(now time.Time) func(target string, revision uint64) bool {
	formerHomes := l.homes.FormerHomes(l.target)
	return func(target string, revision uint64) bool {
		return formerHomes[target] == 0 || l.declaredTargets[target] == nil || l.acked.Settled(target, revision, now, l.retention)
	}
}

// unacked returns the former homes that have not said to act on the configuration that made them former ones.
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

// ack takes the revision that a target acts on; zero is unknown.
func (l *ledger) ack(target string, revision uint64, now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.acked.Ack(target, revision, now)
}

// prune drops the generations that don't matter any more.
func (l *ledger) prune(now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if len(l.homes.Generations()) < 2 {
		return
	}
	l.homes = l.homes.Prune(now, l.retention, l.settledFunc(now))
	l.keys.SetHomes(l.homes)
}

// movedOn returns since when a target is known to run nothing under the generations in which it was home of keys of
// this one; zero if it isn't.
func (l *ledger) ackedSince(target string) time.Time {
	l.mu.Lock()
	defer l.mu.Unlock()
	revision := l.homes.FormerHomes(l.target)[target]
	if revision == 0 {
		revision = l.homes.Current().Revision
	}
	return l.acked.Since(target, revision)
}

// watchFormer asks former homes which revision they act on, until they have said so or are gone, so that keys aren't
// asked for longer than need be. The platform's list is read only while one of them can't be reached.
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

// lookForDepartures reads the platform's list for targets that can't be reached. A target that is gone acts on the
// generation in force: whoever starts in its place has to read the revision in force first.
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

// listed tells which targets the platform lists, by name or address.
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
