package sidecar

import (
	"slices"
	"sync"

	"github.com/egrethoist/egrethoist/internal/orders"
)

// versions says which weight versions attempts may be bound to, and counts the attempts bound to each, so that
// no version is unloaded under an attempt.
type versions struct {
	mu      sync.Mutex
	held    []string // by the last load report
	offered []string // to new requests, preferred first
	closing string   // being unloaded; takes no attempt
	bound   map[string]int
}

func newVersions() *versions { return &versions{bound: map[string]int{}} }

// bind counts an attempt in; false if it can't run here. A resumed run keeps a version that is held but not
// offered any more.
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

// release ends an attempt that bind counted in.
func (v *versions) release(version string) {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.bound[version]--
	if v.bound[version] == 0 {
		delete(v.bound, version)
	}
}

// report takes what the target holds and what of it is offered; it returns whether the offer has changed.
func (v *versions) update(held, offered []string) bool {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.held = slices.Clone(held)
	if !slices.Contains(held, v.closing) {
		v.closing = "" // it is gone
	}
	if slices.Equal(offered, v.offered) {
		return false
	}
	v.offered = slices.Clone(offered)
	return true
}

// close keeps attempts off a version that is to be unloaded; false if attempts are bound to it.
func (v *versions) close(version string) bool {
	v.mu.Lock()
	defer v.mu.Unlock()
	if v.bound[version] > 0 {
		return false
	}
	v.closing = version
	return true
}

// reopen undoes close after an unload that was not carried out.
func (v *versions) reopen() {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.closing = ""
}

// offer returns the offered versions, preferred first.
func (v *versions) offeredVersions() []string {
	v.mu.Lock()
	defer v.mu.Unlock()
	return slices.Clone(v.offered)
}

func (v *versions) inFlight() []orders.VersionInFlight {
	v.mu.Lock()
	defer v.mu.Unlock()
	var out []orders.VersionInFlight
	for name, n := range v.bound {
		out = append(out, orders.VersionInFlight{Version: name, Requests: n})
	}
	return out
}
