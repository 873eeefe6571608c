package soak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/egrethoist/egrethoist/internal/sleep"
	"github.com/egrethoist/egrethoist/platform/standin"
)

const (
	// addedOdds: one in so many requests goes to a route that was added during the run, if there is one.
	addedOdds = 4
	// addedCheckTime is how long requests go to an added route after the bound for applying a configuration.
	addedCheckTime = 6 * time.Second
)

// addRoute adds a route with a workspace and key of its own, and makes callers use them for a while.
func (f *fleet) addRoute(ctx context.Context, fl fault) {
	f.mu.Lock()
	f.addedRoutes++
	name := fmt.Sprintf("added-%d", f.addedRoutes)
	f.mu.Unlock()
	cl := &class{name: name, prefix: "/" + name + "/", path: "/" + name + "/1", service: plain, repeatable: true, patience: 3 * time.Second, key: "key-" + name}
	f.configure(func(c *standin.Config) {
		c.Routes = append(c.Routes, standin.Route{
			Name: name, Host: host, Prefix: cl.prefix, Kind: "idempotent", TimeoutMs: int(cl.patience.Milliseconds()), TargetLatencyMs: 500, Service: plain, MaxAttempts: 2,
		})
		c.Workspaces = append(c.Workspaces, standin.Workspace{Name: name, Keys: []string{cl.key}})
	})
	f.mu.Lock()
	f.addedClasses = append(f.addedClasses, cl)
	f.mu.Unlock()
	_ = sleep.For(ctx, bounds.ConfigApply+addedCheckTime+fl.length) // the callers stop even if ctx has ended
	f.mu.Lock()
	defer f.mu.Unlock()
	f.addedClasses = f.addedClasses[1:] // or an earlier one: it has been used for longer
}

// pickClass returns a random class of request.
func (f *fleet) pickClass(rng *rand.Rand) *class {
	f.mu.Lock()
	defer f.mu.Unlock()
	if len(f.addedClasses) > 0 && rng.IntN(addedOdds) == 0 {
		return f.addedClasses[rng.IntN(len(f.addedClasses))]
	}
	return &classes[rng.IntN(len(classes))]
}

// allowedThroughout reports whether all configurations that were in force at the given time or later have the route and the key.
func (h *history) allowedThroughout(prefix, key string, since time.Time) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	for i, v := range h.configs {
		if i < len(h.configs)-1 && !h.configs[i+1].written.After(since) {
			continue // replaced by then
		}
		if workspaceInConfig(v.config, key) == "" || !v.config.HasRoute(prefix) {
			return false
		}
	}
	return true
}

// checkDenied checks that a connected instance did not turn a request away that the configurations in force allow. The caller must hold c.mu.
func (c *checker) checkDenied(a *attempt, reply standin.Reply) {
	since := a.sent.Add(-c.bounds.ConfigApply)
	if c.history.allowedThroughout(a.class.prefix, a.call.Key, since) && c.connected(since.Add(-c.bounds.RecoveryTime), a.done, a.instance) {
		c.addViolation("CONFIG", "request %s to %s received %d from %s, as only configurations that were replaced more than %v before allow", a.call.ID, a.class.prefix, reply.Status,
			a.instance, c.bounds.ConfigApply)
	}
}
