package memory

import (
	"context"
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/egrethoist/egrethoist/internal/platform"
)

// Instances is the platform's instance list, which shows every change after a lag. It implements
// platform.InstanceList.
type Instances struct {
	mu      sync.Mutex
	lag     time.Duration
	down    bool
	current map[string]platform.Instance
	history []listing // oldest first; the last one that is older than the lag is shown
}

type listing struct {
	at       time.Time
	list     []platform.Instance
	sequence uint64
}

// NewInstances returns an empty list with a lag.
func NewInstances(lag time.Duration) *Instances {
	return &Instances{lag: lag, current: map[string]platform.Instance{}, history: []listing{{}}}
}

// Put adds an instance or replaces the one of the same name.
func (l *Instances) Put(in platform.Instance) {
	l.change(func() { l.current[in.Name] = in })
}

// Leave marks an instance as leaving.
func (l *Instances) Leave(name string) {
	l.change(func() {
		in, ok := l.current[name]
		if ok {
			in.Leaving = true
			l.current[name] = in
		}
	})
}

// Remove takes an instance off the list.
func (l *Instances) Remove(name string) {
	l.change(func() { delete(l.current, name) })
}

// SetDown makes the list unavailable, or available again.
func (l *Instances) SetDown(down bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.down = down
}

func (l *Instances) change(f func()) {
	l.mu.Lock()
	defer l.mu.Unlock()
	f()
	list := slices.SortedFunc(maps.Values(l.current), func(a, b platform.Instance) int {
		if a.Name < b.Name {
			return -1
		}
		return 1
	})
	last := l.history[len(l.history)-1]
	l.history = append(l.history, listing{at: time.Now(), list: list, sequence: last.sequence + 1})
}

// List implements platform.InstanceList.
func (l *Instances) List(ctx context.Context) ([]platform.Instance, uint64, error) {
	if err := ctx.Err(); err != nil {
		return nil, 0, err
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.down {
		return nil, 0, platform.ErrUnavailable
	}
	limit := time.Now().Add(-l.lag)
	for len(l.history) > 1 && !l.history[1].at.After(limit) {
		l.history = l.history[1:]
	}
	shown := l.history[0]
	return slices.Clone(shown.list), shown.sequence, nil
}

// WeightStore describes weights; it implements platform.WeightStore.
type WeightStore struct {
	mu       sync.Mutex
	versions map[string]platform.Weights
}

// NewWeightStore returns a store of the given weights.
func NewWeightStore(weights ...platform.Weights) *WeightStore {
	s := &WeightStore{versions: map[string]platform.Weights{}}
	for _, w := range weights {
		s.Put(w)
	}
	return s
}

// Put adds weights or replaces those of the same version.
func (s *WeightStore) Put(w platform.Weights) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.versions[w.Version] = w
}

// Describe implements platform.WeightStore.
func (s *WeightStore) Describe(ctx context.Context, version string) (platform.Weights, bool, error) {
	if err := ctx.Err(); err != nil {
		return platform.Weights{}, false, err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	w, ok := s.versions[version]
	return w, ok, nil
}

var (
	_ platform.InstanceList = (*Instances)(nil)
	_ platform.WeightStore  = (*WeightStore)(nil)
)
