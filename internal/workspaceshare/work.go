// Package workspaceshare decides how workspaces share the capacity of a service by weighted max-min fairness over all
// instances. Each instance counts the work that workspaces ask for and get, learns the counts of the other instances from
// their messages, and compares each workspace with its share while capacity is scarce. There is no coordinator: instances
// with different knowledge decide differently, within the bound that docs/design/workspace-shares.md gives. The package has
// no I/O, clock or globals.
package workspaceshare

import (
	"math"
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	// outputTokenWork is the work of one output token. A decode step of about 5 ms yields one token for each of about 30
	// running requests, so a token takes 0.16 ms of an engine, in which it prefills about 15 prompt tokens.
	outputTokenWork = 15
	// cachedTokenWork is the work of a cached prompt token: it takes memory but no prefill.
	cachedTokenWork = 0.05
)

// Work returns the cost of a request in units of one prompt token to prefill. output is the number of output tokens.
func Work(prefill, cached, output int) float64 {
	return float64(max(prefill, 0)) + cachedTokenWork*float64(max(cached, 0)) + outputTokenWork*float64(max(output, 0))
}

// Key identifies a workspace at a service, or something else that is counted there, see Reserved.
type Key struct{ Service, Workspace uint32 }

const (
	// restWorkspace stands for all workspaces that a message leaves out.
	restWorkspace = 0
	// urgencyWorkspace + u stands for all requests of urgency u. Its usage is in thousandths of a request per second.
	urgencyWorkspace = 1
	// firstWorkspace is the first number of a workspace; below are the reserved ones.
	firstWorkspace = 16
)

// Reserved reports whether the key does not stand for a single workspace. Messages never leave out reserved keys.
func (k Key) Reserved() bool { return k.Workspace < firstWorkspace }

// Rest returns the key of the workspaces of the same service that a message leaves out.
func (k Key) Rest() Key { return Key{Service: k.Service, Workspace: restWorkspace} }

// NewKey returns the key of a workspace at a service. Requests without a workspace share one key.
func NewKey(service, workspace string) Key {
	return Key{Service: uint32(xxhash.Sum64String(service)), Workspace: max(uint32(xxhash.Sum64String(workspace)), firstWorkspace)}
}

// Usage is the work that a workspace asks for and gets, in units per second.
type Usage struct {
	Key
	Asked float64 // of all requests
	Used  float64 // of those that were admitted
}

// CountWorkspaces returns the number of entries that stand for single workspaces at a service.
func CountWorkspaces(usage []Usage) int {
	n := 0
	for _, u := range usage {
		if !u.Reserved() {
			n++
		}
	}
	return n
}

const (
	// timeConstant is the time constant of the exponential decay of counts. A workspace that triples its requests exceeds
	// its share by the tolerance within half a second; with ten requests a second its measured rate varies by about 10 %.
	timeConstant = 5 * time.Second
	// freshAge is the age up to which usage of other instances is not decayed: three periods, so that two messages in a row
	// may be lost, or the way over two hubs takes two periods.
	freshAge = 3 * time.Second
	// MaxAge is the age at which usage of other instances is forgotten: its decayed rest is below 1 % of what it was.
	MaxAge = 30 * time.Second
)

// Aged returns usage that was reported the given time ago. Beyond freshAge it decays like an instance's own counts.
func (u Usage) Aged(age time.Duration) Usage {
	if age <= freshAge {
		return u
	}
	f := decay(age - freshAge)
	u.Asked, u.Used = u.Asked*f, u.Used*f
	return u
}

func decay(elapsed time.Duration) float64 {
	return math.Exp(-max(elapsed.Seconds(), 0) / timeConstant.Seconds())
}

// counter is a pair of exponentially decayed sums of work.
type counter struct {
	asked, used float64
	at          time.Time
}

func (c *counter) decayTo(now time.Time) {
	f := decay(now.Sub(c.at))
	c.asked, c.used, c.at = c.asked*f, c.used*f, now
}
