package gateway

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"maps"
	"net"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/egrethoist/egrethoist/internal/catalog"
	"github.com/egrethoist/egrethoist/internal/delegate"
	"github.com/egrethoist/egrethoist/internal/loadshare"
	"github.com/egrethoist/egrethoist/internal/metastore"
	"github.com/egrethoist/egrethoist/internal/metastore/memory"
	"github.com/egrethoist/egrethoist/internal/roster"
)

// instanceFleet is a number of States that read the same metadata. They have the bounds of a deployment with a cold target "t" of the service
// "s", which takes 35 requests a second at most, and 56 retries in ten seconds.
type instanceFleet struct {
	records     *fixedRecords
	states      []*State
	live, known map[string]metastore.Item
	recoveredAt time.Time
}

func newInstanceFleet(n int) *instanceFleet {
	f := &instanceFleet{live: map[string]metastore.Item{}, known: map[string]metastore.Item{}, records: &fixedRecords{snapshot: roster.Snapshot{
		Targets: map[string]roster.Record{"t": {ID: "t", Service: "s", Address: "10.0.0.1:80", Slots: 1, ColdFor: time.Hour}},
		Catalog: catalog.New(1, catalog.Limits{}, nil, []catalog.Service{{Name: "s", MaxConnections: 50, ColdRequestRate: 20, ColdDuration: time.Hour}}, nil, nil),
	}}}
	for i := range n {
		f.start(i)
	}
	return f
}

// start adds instance i with a live and a member record.
func (f *instanceFleet) start(i int) {
	name := fmt.Sprintf("front-%d", i)
	value := []byte(fmt.Sprintf(`{"address":"10.1.0.%d:7000","domain":"d"}`, i+1))
	f.live[InstancePrefix+name] = metastore.Item{Key: InstancePrefix + name, Value: value, Revision: uint64(i + 1)}
	f.known[MemberPrefix+name] = metastore.Item{Key: MemberPrefix + name, Value: value, Revision: uint64(i + 1)}
	f.states = append(f.states, NewState(StateOptions{
		Self: name, Domain: "d", Records: f.records, RecoveredAt: func() time.Time { return f.recoveredAt }, InitialPrefillRate: 1000,
		ColdRateFactor: 1.5, ColdRateSlack: 5, RetryRatio: 0.2, RetryFloor: 56, RetryWindow: 10 * time.Second,
	}))
}

// publish shows the given items to all instances.
func (f *instanceFleet) publish(parts ...map[string]metastore.Item) {
	items := map[string]metastore.Item{}
	for _, part := range parts {
		maps.Copy(items, part)
	}
	for _, s := range f.states {
		s.OnChange(items, 1)
	}
}

// hearAll lets each instance receive a load message of each other one.
func (f *instanceFleet) hearAll() {
	for _, s := range f.states {
		for _, other := range f.states {
			if other != s {
				s.hearing.record(loadshare.SenderID(other.opts.Self), time.Now())
			}
		}
	}
}

// spend sends as many requests to the cold target, and as many retries, as the instances allow now.
func (f *instanceFleet) spend(now time.Time) (requests, retries int) {
	for _, s := range f.states {
		sv := s.current.Load().services["s"]
		for sv.snapshot.Candidate("t").Ramp.TryAcquire() {
			requests++
		}
		for sv.budget.Take(now) {
			retries++
		}
	}
	return requests, retries
}

// Guards against limits of the whole fleet that each instance takes for its own: the records of instances expire in an outage of the metadata
// store, are lost in a restore, or are not there yet when all start at once; or some are cut off from the store until their leases end.
func TestLimitsHoldWhileRecordsOfInstancesAreMissing(t *testing.T) {
	const instances = 5
	for name, run := range map[string]func(f *instanceFleet){
		"expired in an outage": func(f *instanceFleet) {
			f.publish(f.live)
			f.recoveredAt = time.Now()
			f.publish()
		},
		"one is left": func(f *instanceFleet) {
			f.publish(f.live, f.known)
			f.recoveredAt = time.Now()
			f.publish(map[string]metastore.Item{InstancePrefix + "front-0": f.live[InstancePrefix+"front-0"]}, f.known)
		},
		"started after an outage": func(f *instanceFleet) { f.publish(f.known) },
		"turned away by the store until their leases end": func(f *instanceFleet) {
			f.publish(f.live, f.known)
			time.Sleep(time.Minute)
			for range 2 {
				f.hearAll()
				f.publish(map[string]metastore.Item{InstancePrefix + "front-0": f.live[InstancePrefix+"front-0"]}, f.known)
				time.Sleep(time.Minute)
			}
			f.hearAll()
			f.publish(map[string]metastore.Item{InstancePrefix + "front-0": f.live[InstancePrefix+"front-0"]}, f.known)
		},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := newInstanceFleet(instances)
				run(f)
				for _, s := range f.states {
					if limit := s.connectionLimit("s"); limit != 10 {
						t.Errorf("%d connections, want 10 of 50", limit)
					}
					if n := len(s.grantors()); n != instances {
						t.Errorf("%d instances issue grants, want %d", n, instances)
					}
				}
				requests, retries := 0, 0
				for range 20 {
					sent, retried := f.spend(time.Now())
					requests, retries = requests+sent, retries+retried
					time.Sleep(50 * time.Millisecond)
				}
				if requests > 35 {
					t.Errorf("%d requests to a cold target in one second, want 35 at most", requests)
				}
				if retries > 56 {
					t.Errorf("%d retries, want 56 at most", retries)
				}
			})
		})
	}
}

// Guards against a member record that is missing, so that instances that start after an outage take themselves for the only ones, and against
// records that count for good though their instances have gone.
func TestMembersAreRecordedAndForgotten(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := memory.New()
		start := func(name string) (stop func()) {
			state := NewState(StateOptions{Self: name, Records: oneTargetRecords{}, RecoveredAt: func() time.Time { return time.Time{} }, RetryWindow: time.Second, RolloutTimeout: time.Minute, InitialPrefillRate: 1000})
			value, err := json.Marshal(Instance{Address: name + ":1"})
			if err != nil {
				t.Fatal(err)
			}
			mirror := metastore.NewMirror(metastore.MirrorOptions{Store: store, OnChange: state.OnChange})
			presence := &metastore.Presence{Store: store, Key: InstancePrefix + name, Value: value, IsListed: state.Registered}
			recorder := &MemberRecorder{State: state, Store: store, Value: value}
			ctx, cancel := context.WithCancel(t.Context())
			done := make(chan struct{})
			for _, part := range []func(context.Context) error{mirror.Run, presence.Run, recorder.Run} {
				go func() { _ = part(ctx); done <- struct{}{} }()
			}
			return func() {
				cancel()
				for range 3 {
					<-done
				}
			}
		}
		isRecorded := func(name string) bool { _, found := store.Lookup(MemberPrefix + name); return found }
		stopA, stopB := start("a"), start("b")
		defer stopA()
		time.Sleep(10 * time.Second)
		stopB()
		time.Sleep(5 * time.Second)
		if !isRecorded("a") || !isRecorded("b") {
			t.Errorf("recorded: a %v, b %v, want both", isRecorded("a"), isRecorded("b"))
		}
		time.Sleep(time.Minute)
		if !isRecorded("a") || isRecorded("b") {
			t.Errorf("recorded: a %v, b %v, want only a, which runs", isRecorded("a"), isRecorded("b"))
		}
		store.Remove(MemberPrefix + "a")
		time.Sleep(3 * time.Second)
		if !isRecorded("a") {
			t.Error("record of a not written again")
		}
	})
}

// Guards against instances without a live record that count for good once they were heard, and against member records that are deleted while their
// instances run.
func TestHeardInstancesCountUntilTheyAreSilent(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newInstanceFleet(3)
		live := map[string]metastore.Item{InstancePrefix + "front-0": f.live[InstancePrefix+"front-0"]}
		f.publish(f.live, f.known)
		for range 60 {
			time.Sleep(time.Second)
			f.hearAll()
			f.publish(live, f.known)
			if n := f.states[0].instanceCount(); n != 3 {
				t.Fatalf("%d instances count, want all that are heard", n)
			}
			if due := f.states[0].dueMembers(f.known[MemberPrefix+"front-0"].Value, time.Now()); len(due) > 0 {
				t.Fatalf("records of instances that are heard are changed: %v", due)
			}
		}
		time.Sleep(hearingTTL)
		f.publish(live, f.known)
		if n := f.states[0].instanceCount(); n != 1 {
			t.Errorf("%d instances count after the others fell silent, want 1", n)
		}
	})
}

// Guards against instances that are still counted, and asked for grants, for seconds after they have stopped as planned.
func TestStoppedInstanceIsNotHeard(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newInstanceFleet(2)
		f.publish(f.live, f.known)
		inbox := make(chan []byte, 64)
		sender := NewGossip(GossipOptions{State: f.states[1], Cache: &CacheTracker{}, Self: delegate.Member{Name: "front-1", Domain: "d", Address: "10.1.0.2:7000"}, Listen: func(string) (net.PacketConn, error) {
			return &recordingConn{sent: inbox, closed: make(chan struct{})}, nil
		}})
		receiver := NewGossip(GossipOptions{State: f.states[0], Cache: &CacheTracker{}, Self: delegate.Member{Name: "front-0", Domain: "d", Address: "10.1.0.1:7000"}})
		receiver.updatePlan()
		ctx, cancel := context.WithCancel(t.Context())
		done := make(chan struct{})
		go func() { defer close(done); _ = sender.Run(ctx) }()
		deliver := func() {
			for len(inbox) > 0 {
				if m, err := loadshare.Parse(<-inbox); err == nil {
					receiver.handleMessage(m, time.Now())
				}
			}
		}
		live := map[string]metastore.Item{InstancePrefix + "front-0": f.live[InstancePrefix+"front-0"]}
		time.Sleep(10 * time.Second) // beyond the settling time of the list
		deliver()
		f.publish(live, f.known)
		if n := f.states[0].instanceCount(); n != 2 {
			t.Errorf("%d instances count while messages of both arrive, want 2", n)
		}
		sender.Leave()
		time.Sleep(time.Second)
		deliver()
		f.publish(live, f.known)
		if n := f.states[0].instanceCount(); n != 1 {
			t.Errorf("%d instances count after one has left, want 1", n)
		}
		cancel()
		<-done
	})
}

// Guards against notices and rate limits of targets that nobody learns of, because the only instance that got them stopped before its next
// load message.
func TestStoppingInstanceAnnouncesLastNotices(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newInstanceFleet(2)
		f.publish(f.live, f.known)
		inbox := make(chan []byte, 64)
		sender := NewGossip(GossipOptions{State: f.states[1], Cache: &CacheTracker{}, Self: delegate.Member{Name: "front-1", Domain: "d", Address: "10.1.0.2:7000"}, Listen: func(string) (net.PacketConn, error) {
			return &recordingConn{sent: inbox, closed: make(chan struct{})}, nil
		}})
		receiver := NewGossip(GossipOptions{State: f.states[0], Cache: &CacheTracker{}, Self: delegate.Member{Name: "front-0", Domain: "d", Address: "10.1.0.1:7000"}})
		receiver.updatePlan()
		ctx, cancel := context.WithCancel(t.Context())
		done := make(chan struct{})
		go func() { defer close(done); _ = sender.Run(ctx) }()
		time.Sleep(time.Second)
		time.Sleep(time.Millisecond) // after the message that is due now
		sentBefore := len(inbox)
		f.states[1].observeNotice(f.states[1].targets["t"], Notice{Leaving: true, Limit: RateLimit{Kind: RateLimited, PerSecond: 3}}, 0, time.Now())
		sender.Leave()
		if sentBefore == 0 || len(inbox) == sentBefore {
			t.Fatalf("%d messages before Leave, %d with it", sentBefore, len(inbox))
		}
		for len(inbox) > 0 {
			if m, err := loadshare.Parse(<-inbox); err == nil {
				receiver.handleMessage(m, time.Now())
			}
		}
		learned := f.states[0].targets["t"]
		if !learned.stats.Leaving() {
			t.Error("the other instance does not know that the target leaves")
		}
		if rate, limited := learned.limit.rate(time.Now()); !limited || rate != 3 {
			t.Errorf("the other instance knows the rate %v (%t), want the reported 3", rate, limited)
		}
		cancel()
		<-done
	})
}

// recordingConn is a datagram connection that passes on what is sent and receives nothing.
type recordingConn struct {
	net.PacketConn // nil; provides the methods that are not called
	sent           chan []byte
	closed         chan struct{}
	once           sync.Once
}

func (c *recordingConn) WriteTo(b []byte, _ net.Addr) (int, error) {
	select {
	case c.sent <- bytes.Clone(b):
	default: // a lost datagram
	}
	return len(b), nil
}

func (c *recordingConn) ReadFrom([]byte) (int, net.Addr, error) {
	<-c.closed
	return 0, nil, net.ErrClosed
}

func (c *recordingConn) Close() error {
	c.once.Do(func() { close(c.closed) })
	return nil
}
