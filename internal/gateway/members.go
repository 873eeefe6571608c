package gateway

import (
	"bytes"
	"context"
	"errors"
	"maps"
	"math/rand/v2"
	"sync"
	"time"

	"k8s.io/klog/v2"

	"github.com/egrethoist/egrethoist/internal/loadshare"
	"github.com/egrethoist/egrethoist/internal/metastore"
	"github.com/egrethoist/egrethoist/internal/sleep"
)

const (
	// instanceSettleTime is how long after a start, an outage or a restore of the metadata store instances without a live record count. It covers
	// the time in which an instance notices that its record is missing, and registers again.
	instanceSettleTime = 5 * time.Second
	// memberRetention is how long the member record of an instance that has gone is kept: a restart with a slow start.
	memberRetention = 20 * time.Second
	// hearingTTL is how long after its last load message an instance counts as running without a live record: one that is cut off from the metadata
	// store goes on serving after its lease has ended.
	hearingTTL = 2 * time.Second
)

// hearing records when load messages of other instances came. It is safe for concurrent use.
type hearing struct {
	mu     sync.Mutex
	lastAt map[uint64]time.Time // by loadshare.SenderID
}

// record records a message of an instance.
func (h *hearing) record(sender uint64, now time.Time) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.lastAt == nil {
		h.lastAt = map[uint64]time.Time{}
	}
	h.lastAt[sender] = now
}

// forget forgets an instance.
func (h *hearing) forget(sender uint64) {
	h.mu.Lock()
	defer h.mu.Unlock()
	delete(h.lastAt, sender)
}

// recent forgets the instances that have been silent for hearingTTL and returns the others.
func (h *hearing) recent(now time.Time) map[uint64]bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	maps.DeleteFunc(h.lastAt, func(_ uint64, at time.Time) bool { return now.Sub(at) >= hearingTTL })
	out := make(map[uint64]bool, len(h.lastAt))
	for sender := range h.lastAt {
		out[sender] = true
	}
	return out
}

// memberState is what State keeps of the records under MemberPrefix. It is guarded by State.mu.
type memberState struct {
	records     map[string]metastore.Item // by instance
	known       map[string]Instance       // decoded records
	absentSince map[string]time.Time      // by instance without a live record
}

func newMemberState() memberState { return memberState{absentSince: map[string]time.Time{}} }

// update applies the records and returns the instances that they name. It adds those that were heard to the live ones. settled is whether the
// list of live records is complete.
func (m *memberState) update(records map[string]metastore.Item, live map[string]Instance, heard map[uint64]bool, settled bool, now time.Time) map[string]Instance {
	known := make(map[string]Instance, len(records))
	absentSince := map[string]time.Time{}
	for name, item := range records {
		if in, decoded := m.known[name]; decoded && m.records[name].Revision == item.Revision {
			known[name] = in
		} else if in, err := decodeInstance(item.Value); err == nil {
			known[name] = in
		} else if m.records[name].Revision != item.Revision {
			klog.ErrorS(err, "invalid record of a member ignored", "key", item.Key)
		}
		if _, present := live[name]; !present {
			if in, decoded := known[name]; decoded && heard[loadshare.SenderID(name)] {
				live[name] = in
				continue
			}
			absentSince[name] = now
			if since, absent := m.absentSince[name]; absent && settled {
				absentSince[name] = since
			}
		}
	}
	m.records, m.known, m.absentSince = records, known, absentSince
	return known
}

// dueMembers returns the transactions that write the record of this instance if it is missing, and delete those of instances that have gone.
func (s *State) dueMembers(own []byte, now time.Time) []metastore.Txn {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.snapshot == nil {
		return nil
	}
	var due []metastore.Txn
	if item, found := s.members.records[s.opts.Self]; !found || !bytes.Equal(item.Value, own) {
		key := MemberPrefix + s.opts.Self
		due = append(due, metastore.Txn{If: []metastore.Condition{{Key: key, Revision: item.Revision}}, Puts: []metastore.Put{{Key: key, Value: own}}})
	}
	for name, since := range s.members.absentSince {
		// Usually one instance deletes it.
		if name != s.opts.Self && now.Sub(since) >= memberRetention && rand.IntN(len(s.instances)) == 0 {
			key := MemberPrefix + name
			due = append(due, metastore.Txn{If: []metastore.Condition{{Key: key, Revision: s.members.records[name].Revision}}, Delete: []string{key}})
		}
	}
	return due
}

// MemberRecorder keeps the records under MemberPrefix in the metadata store.
type MemberRecorder struct {
	State *State
	Store metastore.Store
	Value []byte // record of this instance
}

// Run writes records until ctx ends, and returns the context's error.
func (r *MemberRecorder) Run(ctx context.Context) error {
	for sleep.For(ctx, rand.N(2*recordPeriod)) == nil {
		for _, txn := range r.State.dueMembers(r.Value, time.Now()) {
			if _, err := r.Store.Commit(ctx, txn); err != nil && !errors.Is(err, metastore.ErrConflict) {
				klog.InfoS("member not recorded", "key", txn.If[0].Key, "err", err.Error())
			}
		}
	}
	return ctx.Err()
}
