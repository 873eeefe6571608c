package bench

import (
	"context"
	"encoding/binary"
	"fmt"
	"runtime"
	"time"

	"github.com/egrethoist/egrethoist/internal/engine"
	fair "github.com/egrethoist/egrethoist/internal/fairness"
	"github.com/egrethoist/egrethoist/internal/fleet"
	"github.com/egrethoist/egrethoist/internal/kvcache/block"
	"github.com/egrethoist/egrethoist/internal/kvcache/index"
	"github.com/egrethoist/egrethoist/internal/once"
	"github.com/egrethoist/egrethoist/internal/sleep"
	"github.com/egrethoist/egrethoist/internal/world"
)

// Sizes of a sidecar's state.
var (
	keySizes   = []int{25_000, 50_000, 100_000, 200_000}
	blockSizes = []int{8_192, 16_384, 32_768, 65_536}
	queueSizes = []int{32, 64, 128, 256}
)

const (
	answerBytes     = 256
	queueWorkspaces = 10
)

// sidecarState measures what a sidecar keeps.
func (m *measurer) sidecarState() {
	var cpu []Point
	m.over("sidecar: idempotency keys, answers of 256 bytes", "bytes", "key", keySizes, func(n int) (float64, error) {
		start := processorTime()
		held, err := heapOf(func() (any, error) { return ledgerOf(n) })
		cpu = append(cpu, Point{float64(n), float64((processorTime() - start).Microseconds())})
		return held, err
	})
	m.add(fit("sidecar: idempotency keys, presented and finished", "microseconds", "key", cpu))
	m.over("sidecar: cached blocks in the index", "bytes", "block", blockSizes, func(n int) (float64, error) {
		events := eventsOf(n)
		defer runtime.KeepAlive(events)
		return heapOf(func() (any, error) { return indexOf(events), nil })
	})
	m.over("sidecar: cache events taken", "microseconds", "block", blockSizes, func(n int) (float64, error) {
		events := eventsOf(n)
		return timeOf(quiet, func() { indexOf(events) }), nil
	})
	m.over("sidecar: snapshot of the index after a change", "microseconds", "block", blockSizes, func(n int) (float64, error) {
		x, next := indexOf(eventsOf(n)), uint64(n)
		x.Snapshot()
		return timeOf(quiet, func() {
			x.Apply(eventPage(next, 1))
			next++
			x.Snapshot()
		}), nil
	})
	m.over("sidecar: queued requests", "bytes", "request", queueSizes, func(n int) (float64, error) {
		const copies = 64 // one queue is too small to be weighed
		held, err := heapOf(func() (any, error) {
			list := make([]*fair.Queue[int], copies)
			for i := range list {
				list[i] = queueOf(n)
			}
			return list, nil
		})
		return held / copies, err
	})
	m.over("sidecar: requests queued and handed out", "microseconds", "request", queueSizes, func(n int) (float64, error) {
		return timeOf(10*quiet, func() {
			q, now := queueOf(n), time.Unix(0, 0)
			for it, ok := q.Next(now); ok; it, ok = q.Next(now) {
				q.Done(it, it.Cost)
			}
		}), nil
	})
}

func ledgerOf(n int) (*once.Ledger, error) {
	homes := once.NewHomes(once.Generation{Revision: 1, Targets: []string{"target-1"}})
	now := time.Unix(1_000_000, 0)
	l := once.NewLedger(once.Options{
		Target: "target-1", Incarnation: 1, Started: now, FirstIncarnation: true, RetryWindow: 24 * time.Hour,
		MaxKeys: n, MaxBytes: n * answerBytes,
	}, homes)
	for i := range n {
		k := once.Key{Workspace: "workspace-1", Service: "service-1", ID: fmt.Sprintf("booking-%d", i)}
		if v := l.Begin(once.BeginRequest{Key: k, ReadAt: now}, now).Verdict; v != once.Run {
			return nil, fmt.Errorf("key %d: %v", i, v)
		}
		l.Finish(k, &once.Answer{Status: 200, Body: make([]byte, answerBytes)})
	}
	return l, nil
}

// eventPage is a page of n blocks stored from a sequence number on.
func eventPage(first uint64, n int) engine.CacheEvents {
	page := engine.CacheEvents{Incarnation: "1", First: first, Next: first + uint64(n)}
	for i := range n {
		var id block.ID
		binary.LittleEndian.PutUint64(id[:], (first+uint64(i)+1)*0x9e3779b97f4a7c15)
		page.Events = append(page.Events, engine.CacheEvent{
			Sequence: first + uint64(i), Kind: engine.EventStored, Block: id.Hex(), Tokens: 1000,
		})
	}
	return page
}

func eventsOf(n int) engine.CacheEvents { return eventPage(0, n) }

func indexOf(events engine.CacheEvents) *index.Index {
	x := index.New(index.Options{MaxBlocks: 2 * len(events.Events)})
	x.Replace(engine.CacheEvents{Incarnation: events.Incarnation})
	x.Apply(events)
	if x.Len() != len(events.Events) {
		panic("index holds fewer blocks than were stored")
	}
	return x
}

func queueOf(n int) *fair.Queue[int] {
	q, now := fair.New[int](fair.Options{MaxItems: n}), time.Unix(0, 0)
	for i := range n {
		q.Enqueue(&fair.Item[int]{
			Workspace: fmt.Sprint("workspace-", i%queueWorkspaces), Class: world.Priority(i % 2), Cost: time.Millisecond,
			Deadline: now.Add(time.Hour),
		}, now)
	}
	return q
}

// Layout of the measured connections.
const (
	connTargets = 8
	connSpans   = 3
	connSpan    = 1600 * time.Millisecond // the period of the states of connTargets streams
	entryPrefix = "entry-"
)

// connections measures connections between entries and sidecars that carry no request.
func (m *measurer) connections() {
	var busy, memory, routines []Point
	m.over("entry to sidecar, connections at rest", "bytes/s", "connection", []int{2, 4, 8}, func(entries int) (float64, error) {
		return m.atRest(entries, &busy, &memory, &routines)
	})
	if m.err != nil {
		return
	}
	// The sizes were counted in entries; the lines are in connections.
	last := &m.r.Slopes[len(m.r.Slopes)-1]
	for i := range last.Points {
		last.Points[i].X *= connTargets
	}
	*last = fit(last.Name, last.Unit, last.Per, last.Points)
	m.add(fit("entry to sidecar, connections at rest, both ends", "microseconds/s", "connection", busy))
	m.add(fit("entry to sidecar, memory of both ends", "bytes", "connection", memory))
	m.add(fit("entry to sidecar, goroutines of both ends", "goroutines", "connection", routines))
}

func (m *measurer) atRest(entries int, busy, memory, routines *[]Point) (float64, error) {
	w := wire{prefix: entryPrefix}
	s, err := m.o.start(m.ctx, false, func(f *fleet.Options) {
		f.World = trim(f.World, connTargets)
		for name, svc := range f.World.Services {
			if svc.Kind != world.KindModel {
				dropService(f.World, name)
			}
		}
		f.Network = &w
		f.Entries = f.Entries[:0]
		for i := range entries {
			f.Entries = append(f.Entries, fleet.EntryOptions{Name: fmt.Sprint(entryPrefix, i)})
		}
	})
	if err != nil {
		return 0, err
	}
	defer s.close()
	sleep.For(m.ctx, settleSpan)
	x := float64(entries * connTargets)
	runtime.GC()
	*memory = append(*memory, Point{x, float64(heapInUse() + stacksInUse())})
	*routines = append(*routines, Point{x, float64(runtime.NumGoroutine())})
	sent, start := w.bytes.Load(), time.Now()
	*busy = append(*busy, Point{x, m.busy(connSpans, connSpan)})
	return float64(w.bytes.Load()-sent) / time.Since(start).Seconds(), nil
}

// Sizes of one entry's connections, up to those that it is expected to have.
var entryConnSizes = []int{28, 56, 111}

const (
	connSettle    = 8 * time.Second        // until the targets are warm, which is told at once
	statePeriodOf = 200 * time.Millisecond // for each connection: the period of the states of all
)

// oneEntry measures the control traffic of the connections of one entry that carry no request.
func (m *measurer) oneEntry() {
	m.over("one entry's connections at rest, states and pings", "bytes/s", "connection", entryConnSizes, func(n int) (float64, error) {
		doc, err := m.o.sized(n, 1)
		if err != nil {
			return 0, err
		}
		w := wire{prefix: entryPrefix}
		s, err := m.o.start(m.ctx, false, func(f *fleet.Options) {
			f.World = doc.World()
			f.World.Revision.Number = 1
			f.Network = &w
			f.Entries = []fleet.EntryOptions{{Name: entryPrefix + "1"}}
		})
		if err != nil {
			return 0, err
		}
		defer s.close()
		sleep.For(m.ctx, connSettle)
		sent, start := w.bytes.Load(), time.Now()
		sleep.For(m.ctx, 2*time.Duration(n)*statePeriodOf)
		return float64(w.bytes.Load()-sent) / time.Since(start).Seconds(), nil
	})
}

func dropService(w *world.World, name string) {
	for _, t := range w.Services[name].Targets {
		delete(w.Targets, t.Name)
	}
	delete(w.Services, name)
}

func stacksInUse() uint64 {
	var s runtime.MemStats
	runtime.ReadMemStats(&s)
	return s.StackInuse
}

// Load of the measured requests.
const (
	requestCalls  = 800
	requestWarmUp = 200
)

var tokenSizes = []int{8, 32, 128}

// requests measures what an entry and a sidecar add to a call, by the tokens of its answer.
func (m *measurer) requests() {
	through, err := m.callCosts(false)
	if err == nil {
		var direct []Point
		if direct, err = m.callCosts(true); err == nil {
			added := make([]Point, len(through))
			for i, p := range through {
				added[i] = Point{p.X, p.Y - direct[i].Y}
			}
			m.add(fit("entry and sidecar, added to a call", "microseconds", "token", added))
		}
	}
	if m.err == nil {
		m.err = err
	}
}

// callCosts returns the processor time of a call by the tokens of its answer.
func (m *measurer) callCosts(direct bool) ([]Point, error) {
	if m.err != nil {
		return nil, m.err
	}
	s, err := m.o.startHot(m.ctx, direct)
	if err != nil {
		return nil, err
	}
	defer s.close()
	var points []Point
	for _, tokens := range tokenSizes {
		call := m.callOf(s, tokens)
		closedLoop(m.ctx, hotClients, requestWarmUp, call, newHistogram())
		start := processorTime()
		good := closedLoop(m.ctx, hotClients, requestCalls, call, newHistogram())
		if good != requestCalls {
			return nil, fmt.Errorf("%d of %d calls were answered whole", good, requestCalls)
		}
		points = append(points, Point{float64(tokens), float64((processorTime() - start).Microseconds()) / requestCalls})
	}
	return points, nil
}

func (m *measurer) callOf(s *system, tokens int) func(context.Context) reply {
	p := m.o.hotPrompt(s)
	p.tokens = tokens
	return func(ctx context.Context) reply { return s.caller.complete(ctx, 0, p) }
}
