package gateway

import (
	"context"
	"errors"
	"maps"
	"math/rand/v2"
	"slices"
	"time"

	"k8s.io/klog/v2"

	"github.com/egrethoist/egrethoist/internal/catalog"
	"github.com/egrethoist/egrethoist/internal/metastore"
	"github.com/egrethoist/egrethoist/internal/sleep"
	"github.com/egrethoist/egrethoist/internal/streampin"
)

// softwareOf returns what is known of a service's software versions, nil if nothing is.
func (s *State) softwareOf(service string) *streampin.Service {
	v := s.current.Load()
	if v == nil || v.services[service] == nil {
		return nil
	}
	return v.services[service].software
}

// softwareState is what State keeps of the software versions of services. It is guarded by State.mu.
type softwareState struct {
	tracker   *streampin.Tracker
	policies  map[string]metastore.Item    // records by service
	lifetimes map[string]time.Duration     // of streams, by service with streams that may be resumed
	catalog   *catalog.Catalog             // by which lifetimes was computed
	logged    map[string]streampin.Service // state that was logged last, by service
}

func newSoftwareState() softwareState {
	return softwareState{tracker: streampin.NewTracker(), policies: map[string]metastore.Item{}, lifetimes: map[string]time.Duration{}, logged: map[string]streampin.Service{}}
}

// restore applies the policies in the metadata store of an era, by service, and the versions whose announcements are held, by service.
func (s *softwareState) restore(items map[string]metastore.Item, held map[string][]string, era uint64, now time.Time) {
	s.tracker.SetEra(era, now)
	for service := range s.policies {
		if _, present := items[service]; !present {
			delete(s.policies, service)
			s.tracker.SetPolicy(service, streampin.Policy{}, nil, now)
		}
	}
	for service, item := range items {
		p, err := streampin.ParsePolicy(item.Value)
		if err != nil && s.policies[service].Revision != item.Revision {
			klog.ErrorS(err, "invalid record of software versions ignored", "key", item.Key)
		}
		s.policies[service] = item
		s.tracker.SetPolicy(service, p, held[service], now)
	}
}

// update applies the versions of the known targets, by service.
func (s *softwareState) update(c *catalog.Catalog, versions map[string][]string, now time.Time) {
	if s.catalog != c {
		s.catalog, s.lifetimes = c, streamLifetimes(c)
	}
	for service, lifetime := range s.lifetimes {
		s.tracker.Observe(service, versions[service], lifetime, now)
		known := s.tracker.Service(service, now)
		if !known.Equal(s.logged[service]) {
			s.logged[service] = known
			klog.InfoS("software versions of a service", "service", service, "baseline", known.Baseline, "announced", known.Announced, "open", known.Open, "present", known.Present)
		}
	}
}

// streamLifetimes returns the lifetime of streams by service, for the services with streams that may be resumed.
func streamLifetimes(c *catalog.Catalog) map[string]time.Duration {
	out := map[string]time.Duration{}
	for _, route := range c.Routes() {
		if route.Kind != catalog.KindStreaming || !route.Resumable {
			continue
		}
		for _, share := range route.Shares {
			out[share.Service] = max(out[share.Service], streampin.Lifetime(route.Timeout))
		}
	}
	return out
}

// software returns the state of a service whose streams may be resumed, nil for any other.
func (s *softwareState) software(service string, now time.Time) *streampin.Service {
	if _, ok := s.lifetimes[service]; !ok {
		return nil
	}
	known := s.tracker.Service(service, now)
	return &known
}

// beginAt returns the software versions at which new streams may begin, nil for all. canRecord is whether records can be written.
func (sv *service) beginAt(canRecord bool) []string {
	if canRecord {
		return sv.beginAny
	}
	return sv.beginUnwritten
}

// softwareVersions returns the software versions of all known targets, by service.
func (s *State) softwareVersions() map[string][]string {
	out := map[string][]string{}
	for _, t := range s.targets {
		if t.software != "" && !slices.Contains(out[t.record.Service], t.software) {
			out[t.record.Service] = append(out[t.record.Service], t.software)
		}
	}
	return out
}

// policyChange is a due change of the record of a service.
type policyChange struct {
	service  string
	revision uint64 // that the record must have, zero if it must not exist
	policy   streampin.Policy
	added    []string // versions that it announces
}

// duePolicies returns the policies to write now.
func (s *State) duePolicies(now time.Time) []policyChange {
	age := s.metadataAge()
	s.mu.Lock()
	defer s.mu.Unlock()
	if age < 0 || age > MaxMetadataAge {
		s.software.tracker.Interrupt(now)
		return nil
	}
	var due []policyChange
	for service := range s.software.lifetimes {
		if next, ok := s.software.tracker.NextPolicy(service, s.opts.FirstStart, now); ok {
			added := next.Added(s.software.tracker.Service(service, now).Policy)
			due = append(due, policyChange{service: service, revision: s.software.policies[service].Revision, policy: next, added: added})
		}
	}
	return due
}

// SoftwareRecorder keeps the policies of services in the metadata store, and writes the records of streams.
type SoftwareRecorder struct {
	State *State
}

const (
	// policyCheckPeriod is how often an instance checks whether the policy of a service is to change.
	policyCheckPeriod = 100 * time.Millisecond
	// policyDelayPerInstance spreads the instances over time, so that one writes a change before most others try.
	policyDelayPerInstance = 20 * time.Millisecond
)

// Run writes until ctx ends, and returns the context's error.
func (r *SoftwareRecorder) Run(ctx context.Context) error {
	streams := r.State.streams
	if streams.store == nil {
		<-ctx.Done()
		return ctx.Err()
	}
	go streams.recorder.run(ctx)
	return r.runPolicies(ctx)
}

// runPolicies writes due policies after a random delay, unless another instance was first.
func (r *SoftwareRecorder) runPolicies(ctx context.Context) error {
	writeAt := map[string]time.Time{} // by service with a due change
	for sleep.For(ctx, policyCheckPeriod) == nil {
		now := time.Now()
		due := r.State.duePolicies(now)
		maps.DeleteFunc(writeAt, func(service string, _ time.Time) bool {
			return !slices.ContainsFunc(due, func(c policyChange) bool { return c.service == service })
		})
		for _, change := range due {
			if _, known := writeAt[change.service]; !known {
				writeAt[change.service] = now.Add(rand.N(time.Duration(r.State.instanceCount()) * policyDelayPerInstance))
			}
			if now.Before(writeAt[change.service]) {
				continue
			}
			delete(writeAt, change.service)
			if err := r.commit(ctx, change); err != nil && !errors.Is(err, metastore.ErrConflict) {
				klog.InfoS("software versions of a service not recorded", "service", change.service, "err", err.Error())
			}
		}
	}
	return ctx.Err()
}

// commit writes a policy, with keys that expire for the versions that it announces. It returns metastore.ErrConflict if another instance
// was first.
func (r *SoftwareRecorder) commit(ctx context.Context, c policyChange) error {
	raw, err := c.policy.Encode()
	if err != nil {
		return err
	}
	store, key := r.State.streams.store, SoftwarePrefix+c.service
	txn := metastore.Txn{If: []metastore.Condition{{Key: key, Revision: c.revision}}, Puts: []metastore.Put{{Key: key, Value: raw}}}
	var holds []string
	if len(c.added) > 0 {
		lease, _, err := store.Grant(ctx, streampin.HoldTTL)
		if err != nil {
			return err
		}
		for _, software := range c.added {
			hold := HoldPrefix + c.service + "/" + software
			holds = append(holds, hold)
			txn.Puts = append(txn.Puts, metastore.Put{Key: hold, Value: []byte("{}"), Lease: lease})
		}
	}
	revision, err := store.Commit(ctx, txn)
	if err == nil && len(holds) > 0 {
		go r.endHolds(ctx, key, revision, holds)
	}
	return err
}

// endHolds deletes the keys of an announcement before they expire, if all instances have seen it.
func (r *SoftwareRecorder) endHolds(ctx context.Context, policyKey string, revision uint64, holds []string) {
	if !r.State.streams.awaitAll(ctx, revision, streampin.HoldTTL) {
		return
	}
	txn := metastore.Txn{If: []metastore.Condition{{Key: policyKey, Revision: revision}}, Delete: holds}
	if _, err := r.State.streams.store.Commit(ctx, txn); err != nil && !errors.Is(err, metastore.ErrConflict) {
		klog.InfoS("announcement of software versions ends by its lease", "key", policyKey, "err", err.Error())
	}
}
