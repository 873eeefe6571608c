package soak

import (
	"sync"
	"time"

	"github.com/egrethoist/egrethoist/platform/standin"
)

// callerLinksPart is the part name of the links between callers and instances.
const callerLinksPart = "links of callers"

// history records the changes made by operators and targets and when they were made. It is safe for concurrent use.
type history struct {
	mu             sync.Mutex
	configs        []configVersion
	leaving        map[string]time.Time // by target
	evacuated      map[string]time.Time // by failure domain; only those that are evacuated now
	plannedStops   map[string][]time.Time
	weightVersions []requestedWeights // in the order of the requests, without the initial version
}

// configVersion is a configuration and the time just before it was written to the metadata store.
type configVersion struct {
	config  standin.Config
	written time.Time
}

// newHistory returns a history without changes, with weight version 1.
func newHistory() *history {
	return &history{leaving: map[string]time.Time{}, evacuated: map[string]time.Time{}, plannedStops: map[string][]time.Time{}}
}

// recordConfig records a configuration that is about to be written.
func (h *history) recordConfig(c standin.Config) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.configs = append(h.configs, configVersion{c, time.Now()})
}

// recordLeaving records that the metadata store acknowledged that a target leaves.
func (h *history) recordLeaving(target string) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.leaving[target] = time.Now()
}

// leavingSince returns when it was recorded that a target leaves, and whether it was.
func (h *history) leavingSince(target string) (time.Time, bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	at, ok := h.leaving[target]
	return at, ok
}

// setEvacuated records the start of the evacuation of a failure domain, or its end.
func (h *history) setEvacuated(domain string, evacuated bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if evacuated {
		h.evacuated[domain] = time.Now()
	} else {
		delete(h.evacuated, domain)
	}
}

// evacuatedSince returns the start of the evacuation of a failure domain, and whether it is evacuated.
func (h *history) evacuatedSince(domain string) (time.Time, bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	at, ok := h.evacuated[domain]
	return at, ok
}

// recordStop records the start of a planned stop of an instance.
func (h *history) recordStop(instance string) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.plannedStops[instance] = append(h.plannedStops[instance], time.Now())
}

// plannedStop returns the start of the first planned stop of an instance that began in [from, to), and whether there is one.
func (h *history) plannedStop(instance string, from, to time.Time) (time.Time, bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	for _, at := range h.plannedStops[instance] {
		if !at.Before(from) && at.Before(to) {
			return at, true
		}
	}
	return time.Time{}, false
}

// requestedWeights is a weight version and when its roll-out was requested.
type requestedWeights struct {
	version int
	at      time.Time
}

// recordWeightVersion records the request to roll out a weight version.
func (h *history) recordWeightVersion(v int) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.weightVersions = append(h.weightVersions, requestedWeights{v, time.Now()})
}

// latestWeightVersion returns the latest requested weight version and when it was requested; zero for the initial one.
func (h *history) latestWeightVersion() (int, time.Time) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if len(h.weightVersions) == 0 {
		return 0, time.Time{}
	}
	latest := h.weightVersions[len(h.weightVersions)-1]
	return latest.version, latest.at
}

// newerWeightVersion returns the first weight version that was requested after v and when that was, false if there is none.
func (h *history) newerWeightVersion(v int) (requestedWeights, bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	for _, w := range h.weightVersions {
		if w.version > v {
			return w, true
		}
	}
	return requestedWeights{}, false
}

// matchConfigs reports whether any configuration has a property, and whether one does that was in force at the given time or
// later: it is the latest or was superseded after that time.
func (h *history) matchConfigs(since time.Time, matches func(standin.Config) bool) (ever, current bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	for i, v := range h.configs {
		if !matches(v.config) {
			continue
		}
		ever = true
		last := i == len(h.configs)-1
		current = current || last || h.configs[i+1].written.After(since)
	}
	return ever, current
}

// routeAllowed reports whether a configuration routes the prefix to the service, with the results of matchConfigs.
func (h *history) routeAllowed(prefix, service string, since time.Time) (ever, current bool) {
	return h.matchConfigs(since, func(c standin.Config) bool {
		for _, r := range c.Routes {
			if r.Prefix == prefix && r.Service == service {
				return true
			}
		}
		return false
	})
}

// keyAllowed reports whether a configuration contains the API key, with the results of matchConfigs.
func (h *history) keyAllowed(key string, since time.Time) (ever, current bool) {
	return h.matchConfigs(since, func(c standin.Config) bool { return workspaceInConfig(c, key) != "" })
}

// workspaceInConfig returns the workspace to which a configuration assigns the API key, or an empty string.
func workspaceInConfig(c standin.Config, key string) string {
	for _, w := range c.Workspaces {
		for _, k := range w.Keys {
			if k == key {
				return w.Name
			}
		}
	}
	return ""
}

// workspaceOf returns the workspace to which the first configuration with the API key assigns it, or an empty string.
func (h *history) workspaceOf(key string) string {
	h.mu.Lock()
	defer h.mu.Unlock()
	for _, v := range h.configs {
		if w := workspaceInConfig(v.config, key); w != "" {
			return w
		}
	}
	return ""
}

// routeAlwaysConfigured reports whether all configurations so far have a route with the prefix.
func (h *history) routeAlwaysConfigured(prefix string) bool {
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

// keyAlwaysConfigured reports whether all configurations so far contain the API key.
func (h *history) keyAlwaysConfigured(key string) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	for _, v := range h.configs {
		if workspaceInConfig(v.config, key) == "" {
			return false
		}
	}
	return true
}
