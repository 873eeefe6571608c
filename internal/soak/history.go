package soak

import (
	"sync"
	"time"

	"github.com/egrethoist/egrethoist/platform/standin"
)

// frontLinks is the name of the links between callers and instances.
const frontLinks = "links of callers"

// history is what operators and targets said, and when the metadata store acknowledged it.
type history struct {
	mu        sync.Mutex
	configs   []version
	leaving   map[string]time.Time // targets
	evacuated map[string]time.Time // failure domains
	stops     map[string][]time.Time
	weights   int
	named     time.Time
}

type version struct {
	config standin.Config
	acked  time.Time
}

func newHistory() *history {
	return &history{leaving: map[string]time.Time{}, evacuated: map[string]time.Time{}, stops: map[string][]time.Time{}, weights: 1}
}

func (h *history) configured(c standin.Config) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.configs = append(h.configs, version{c, time.Now()})
}

func (h *history) left(target string) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.leaving[target] = time.Now()
}

func (h *history) leftAt(target string) (time.Time, bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	at, ok := h.leaving[target]
	return at, ok
}

func (h *history) evacuate(domain string, out bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if out {
		h.evacuated[domain] = time.Now()
	} else {
		delete(h.evacuated, domain)
	}
}

func (h *history) evacuatedAt(domain string) (time.Time, bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	at, ok := h.evacuated[domain]
	return at, ok
}

func (h *history) stopping(instance string) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.stops[instance] = append(h.stops[instance], time.Now())
}

// stopOf returns the planned stop of an instance between two times.
func (h *history) stopOf(instance string, from, to time.Time) (time.Time, bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	for _, at := range h.stops[instance] {
		if !at.Before(from) && at.Before(to) {
			return at, true
		}
	}
	return time.Time{}, false
}

func (h *history) nameWeights(v int) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.weights, h.named = v, time.Now()
}

func (h *history) newestWeights() (int, time.Time) {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.weights, h.named
}

// find reports whether any configuration has a property, and whether one that may be in force since the time has it.
func (h *history) find(since time.Time, has func(standin.Config) bool) (ever, now bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	for i, v := range h.configs {
		if !has(v.config) {
			continue
		}
		ever = true
		last := i == len(h.configs)-1
		now = now || last || h.configs[i+1].acked.After(since)
	}
	return ever, now
}

// allowed reports whether a route may lead to a service.
func (h *history) allowed(prefix, service string, since time.Time) (ever, now bool) {
	return h.find(since, func(c standin.Config) bool {
		for _, r := range c.Routes {
			if r.Prefix == prefix && r.Service == service {
				return true
			}
		}
		return false
	})
}

func (h *history) keyKnown(key string, since time.Time) (ever, now bool) {
	return h.find(since, func(c standin.Config) bool { return workspaceIn(c, key) != "" })
}

func workspaceIn(c standin.Config, key string) string {
	for _, w := range c.Workspaces {
		for _, k := range w.Keys {
			if k == key {
				return w.Name
			}
		}
	}
	return ""
}

// workspaceOf returns the workspace that holds or held a key.
func (h *history) workspaceOf(key string) string {
	h.mu.Lock()
	defer h.mu.Unlock()
	for _, v := range h.configs {
		if w := workspaceIn(v.config, key); w != "" {
			return w
		}
	}
	return ""
}

// routeStands reports whether all configurations of the run have the route.
func (h *history) routeStands(prefix string) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	for _, v := range h.configs {
		found := false
		for _, r := range v.config.Routes {
			found = found || r.Prefix == prefix
		}
		if !found {
			return false
		}
	}
	return true
}

// keyStands reports whether all configurations of the run have the key.
func (h *history) keyStands(key string) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	for _, v := range h.configs {
		if workspaceIn(v.config, key) == "" {
			return false
		}
	}
	return true
}
