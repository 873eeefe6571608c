package sidecar

import (
	"slices"
	"sync"

	"github.com/egrethoist/egrethoist/internal/orders"
)

// versions tracks which weight versions attempts may be bound to, and counts the attempts bound to each, so that no
// version is unloaded while an attempt uses it. It is safe for concurrent use.
type versions struct {
	mu      sync.Mutex
	held    []string // by the target, according to the last load report
	offered []string // to new requests, preferred first
	closing string   // version that is being unloaded, to which no attempt is bound; empty if none
	bound   map[string]int
}

func newVersions() *versions { return &versions{bound: map[string]int{}} }

// bind binds an attempt to a version; false if the version cannot be used here. A resumed attempt may also use a
// version that is held but no longer offered.
func (v *versions) bind(version string, resumed bool) bool {
	v.mu.Lock()
	defer v.mu.Unlock()
	if version == v.closing {
		return false
	}
	allowed := v.offered
	if resumed {
		allowed = v.held
	}
	if !slices.Contains(allowed, version) {
		return false
	}
	v.bound[version]++
	return true
}

// release ends an attempt that was bound to a version.
func (v *versions) release(version string) {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.bound[version]--
	if v.bound[version] == 0 {
		delete(v.bound, version)
	}
}

// update records the versions that the target holds and offers. It returns whether the offered ones have changed.
func (v *versions) update(held, offered []string) bool {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.held = slices.Clone(held)
	if !slices.Contains(held, v.closing) {
		v.closing = "" // unloaded
	}
	if slices.Equal(offered, v.offered) {
		return false
	}
	v.offered = slices.Clone(offered)
	return true
}

// close prevents attempts from being bound to a version that is to be unloaded; false if some are bound to it now.
func (v *versions) close(version string) bool {
	v.mu.Lock()
	defer v.mu.Unlock()
	if v.bound[version] > 0 {
		return false
	}
	v.closing = version
	return true
}

// reopen undoes close if the version was not unloaded.
func (v *versions) reopen() {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.closing = ""
}

// offeredVersions returns the versions offered to new requests, preferred first.
func (v *versions) offeredVersions() []string {
	v.mu.Lock()
	defer v.mu.Unlock()
	return slices.Clone(v.offered)
}

// inFlight returns the number of attempts bound to each version.
func (v *versions) inFlight() []orders.VersionInFlight {
	v.mu.Lock()
	defer v.mu.Unlock()
	var out []orders.VersionInFlight
	for name, n := range v.bound {
		out = append(out, orders.VersionInFlight{Version: name, Requests: n})
	}
	return out
}
