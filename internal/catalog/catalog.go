// Package catalog holds one accepted configuration, immutable and indexed for lookups: the routes of requests, the services and
// KV-cache stores, and the workspaces of API keys. It does no I/O.
package catalog

import (
	"cmp"
	"slices"
	"strings"
	"time"

	"github.com/egrethoist/egrethoist/internal/mix64"
)

// Kind determines whether requests of a route may run more than once.
type Kind uint8

// Kinds of routes.
const (
	KindNonIdempotent Kind = iota // runs at most once for each attempt of the caller
	KindIdempotent                // may run more than once
	KindStreaming                 // a stream of events; runs at most once unless the route is Resumable
)

// Share assigns a part of a route's traffic to a service. Weight is relative to the sum of the route's weights.
type Share struct {
	Service string
	Weight  float64
}

// Route maps requests with a host and path prefix to services, and holds their limits.
type Route struct {
	Name      string
	Host      string
	Prefix    string // begins and ends with a slash
	Kind      Kind
	Timeout   time.Duration // maximum time that a caller waits
	Objective time.Duration // latency objective
	EventGap  time.Duration // maximum gap between events for a stream to count as timely; zero: no such objective
	// SilenceTimeout is how long callers of a stream wait for its first or next event before they leave; zero: until their deadline.
	SilenceTimeout time.Duration
	Priority       int      // 0 is the most urgent
	Shares         []Share  // traffic split between services; at least one
	MaxAttempts    int      // maximum number of targets that a request is sent to
	Public         bool     // needs no API key
	Resumable      bool     // a broken stream may continue at another target
	Model          bool     // requests carry prompts for model engines
	Regions        []string // regions in which requests may run; empty allows all
}

// Repeatable reports whether a request may be retried at another target after a target may have run it.
func (r *Route) Repeatable() bool {
	return r.Kind == KindIdempotent || r.Kind == KindStreaming && r.Resumable
}

// PickService returns the service for a request, chosen by the weights of the route's shares. The choice is a function of key,
// which identifies the request, so all entries and all retries choose the same service.
func (r *Route) PickService(key uint64) string {
	if len(r.Shares) == 1 {
		return r.Shares[0].Service
	}
	total := 0.0
	for _, s := range r.Shares {
		total += s.Weight
	}
	remaining := float64(mix64.Sum(key)>>11) / (1 << 53) * total
	for _, s := range r.Shares {
		if remaining -= s.Weight; remaining < 0 {
			return s.Service
		}
	}
	return r.Shares[len(r.Shares)-1].Service
}

// Engine holds the parameters of the model engines of a service.
type Engine struct {
	Slots         int
	CacheTokens   int // capacity of a target's KV cache, in tokens
	BytesPerToken int // size of the KV cache of one token; zero if unknown
	MaxReaders    int // long-polls for cache events that a target serves at the same time
	Models        []string
}

// Service is a set of interchangeable targets.
type Service struct {
	Name            string
	MaxConnections  int           // to one target, from all instances together
	ColdDuration    time.Duration // time after its start for which a target is cold
	ColdRequestRate float64       // requests per second that a cold target can serve; zero means no limit
	HealthPath      string        // path at which targets say whether they are healthy, and their load; empty: none
	Engine          *Engine       // nil for services that are not model engines
}

// Store is a KV-cache store.
type Store struct {
	Name          string
	Address       string
	FailureDomain string
	Tokens        int     // capacity in tokens
	LinkMbps      float64 // bandwidth of its network link in Mbit/s
	MaxReaders    int     // long-polls for cache events that it serves at the same time
	Managed       bool    // evicts nothing by itself; the instances free its content
}

// Workspace is a customer with API keys.
type Workspace struct {
	Name        string
	Keys        []string
	Priority    int // overrides the route's priority if HasPriority is set
	HasPriority bool
	Isolated    bool     // its cached prompts are not shared with other workspaces
	Regions     []string // regions in which its requests may run; empty allows all
}

// Limits bound requests and connections of callers. Sizes are in bytes.
type Limits struct {
	HeaderBytes   int
	BodyBytes     int64
	HeaderTimeout time.Duration
	IdleTimeout   time.Duration
}

// Catalog is one indexed configuration. It is immutable and safe for concurrent use.
type Catalog struct {
	Version    uint64
	Limits     Limits
	Services   map[string]*Service
	Stores     []Store
	Workspaces int
	// Isolated and Open are the names of the workspaces that are isolated, and of the others. Both are sorted.
	Isolated, Open []string

	byHost map[string][]*Route // by lower-case host, longest prefix first
	byKey  map[string]*Workspace
}

// New indexes a configuration. It takes ownership of the slices.
func New(version uint64, limits Limits, routes []Route, services []Service, stores []Store, workspaces []Workspace) *Catalog {
	c := &Catalog{
		Version: version, Limits: limits, Services: make(map[string]*Service, len(services)), Stores: stores,
		Workspaces: len(workspaces),
		byHost:     map[string][]*Route{}, byKey: map[string]*Workspace{},
	}
	for i := range services {
		c.Services[services[i].Name] = &services[i]
	}
	for i := range routes {
		r := &routes[i]
		host := strings.ToLower(r.Host)
		c.byHost[host] = append(c.byHost[host], r)
	}
	for _, list := range c.byHost {
		slices.SortStableFunc(list, func(a, b *Route) int { return cmp.Compare(len(b.Prefix), len(a.Prefix)) })
	}
	for i := range workspaces {
		for _, key := range workspaces[i].Keys {
			c.byKey[key] = &workspaces[i]
		}
		if workspaces[i].Isolated {
			c.Isolated = append(c.Isolated, workspaces[i].Name)
		} else {
			c.Open = append(c.Open, workspaces[i].Name)
		}
	}
	slices.Sort(c.Isolated)
	slices.Sort(c.Open)
	return c
}

// Routes returns all routes, in no particular order.
func (c *Catalog) Routes() []*Route {
	var out []*Route
	for _, list := range c.byHost {
		out = append(out, list...)
	}
	return out
}

// Route returns the route of the host with the longest prefix that matches the path, nil if there is none.
func (c *Catalog) Route(host, path string) *Route {
	for _, r := range c.byHost[strings.ToLower(host)] {
		if strings.HasPrefix(path, r.Prefix) {
			return r
		}
	}
	return nil
}

// Workspace returns the workspace of an API key, nil if the key is unknown.
func (c *Catalog) Workspace(key string) *Workspace { return c.byKey[key] }

// RequiresKeys reports whether any workspace is declared, so that non-public routes require an API key.
func (c *Catalog) RequiresKeys() bool { return c.Workspaces > 0 }
