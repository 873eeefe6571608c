// Package catalog is the immutable view of one accepted configuration: which route a request takes, which services
// and kept-cache stores exist, and which workspace an API key belongs to. It does no I/O.
package catalog

import (
	"cmp"
	"slices"
	"strings"
	"time"

	"github.com/egrethoist/egrethoist/internal/mix64"
)

// Kind says what may be repeated of a request.
type Kind uint8

// Kinds of routes.
const (
	KindNonIdempotent Kind = iota // runs at most once for each attempt of the caller
	KindIdempotent                // may run more than once
	KindStreaming                 // a stream of events; at most once unless Resumable
)

// Share is a part of a route's traffic.
type Share struct {
	Service string
	Weight  float64
}

// Route is where requests of a host and path prefix go.
type Route struct {
	Name        string
	Host        string
	Prefix      string // begins and ends with a slash
	Kind        Kind
	Timeout     time.Duration // longest time that a caller waits
	Objective   time.Duration // latency that callers should see
	EventGap    time.Duration // longest pause between events of a timely stream; zero if none
	Priority    int           // 0 is the most urgent
	Shares      []Share       // one or more; fixed share of traffic for each service
	MaxAttempts int           // targets that one request may be sent to
	Public      bool          // needs no API key
	Resumable   bool          // a stream may go on at another target
	Model       bool          // carries prompts for model engines
	Regions     []string      // regions it may run in; empty allows all
}

// Repeatable reports whether a request may run again at another target after it may have run at one.
func (r *Route) Repeatable() bool {
	return r.Kind == KindIdempotent || r.Kind == KindStreaming && r.Resumable
}

// Service draws a service by the shares of the route. key identifies the request, so that all entries and retries of
// an entry draw the same.
func (r *Route) Service(key uint64) string {
	if len(r.Shares) == 1 {
		return r.Shares[0].Service
	}
	total := 0.0
	for _, s := range r.Shares {
		total += s.Weight
	}
	draw := float64(mix64.Sum(key)>>11) / (1 << 53) * total
	for _, s := range r.Shares {
		if draw -= s.Weight; draw < 0 {
			return s.Service
		}
	}
	return r.Shares[len(r.Shares)-1].Service
}

// Engine is what a service of model engines declares.
type Engine struct {
	Slots       int
	CacheTokens int // KV cache memory of a target
	TokenBytes  int // of KV cache for each token; zero if unknown
	MaxReaders  int // readings of its changes that a target holds at once
	Models      []string
}

// Service is a set of targets that give the same answers.
type Service struct {
	Name           string
	MaxConnections int           // of one target, from all instances together
	ColdTime       time.Duration // a started target is cold for so long
	ColdPerSecond  float64       // requests that a cold target bears; zero sets no bound
	Engine         *Engine       // nil for plain services
}

// Store is a kept-cache store.
type Store struct {
	Name          string
	Address       string
	FailureDomain string
	Tokens        int     // capacity
	LinkMbps      float64 // bandwidth of its link
	MaxReaders    int     // event reads that it holds at once
	Managed       bool    // evicts nothing by itself
}

// Workspace is a customer with API keys.
type Workspace struct {
	Name        string
	Keys        []string
	Priority    int // replaces the route's if HasPriority
	HasPriority bool
	Isolated    bool // shares no cached part with another workspace
	Regions     []string
}

// Limits bound what a caller may send.
type Limits struct {
	HeaderBytes   int
	BodyBytes     int64
	HeaderTimeout time.Duration
	IdleTimeout   time.Duration
}

// Catalog is one configuration. It is immutable.
type Catalog struct {
	Version    uint64
	Limits     Limits
	Services   map[string]*Service
	Stores     []Store
	Workspaces int

	byHost map[string][]*Route // longest prefix first
	byKey  map[string]*Workspace
}

// New indexes a configuration.
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
	}
	return c
}

// Route returns the route of the host with the longest prefix that begins the path, nil if there is none.
func (c *Catalog) Route(host, path string) *Route {
	for _, r := range c.byHost[strings.ToLower(host)] {
		if strings.HasPrefix(path, r.Prefix) {
			return r
		}
	}
	return nil
}

// Workspace returns the workspace that holds an API key, nil if none does.
func (c *Catalog) Workspace(key string) *Workspace { return c.byKey[key] }

// RequiresKeys reports whether any workspace is declared.
func (c *Catalog) RequiresKeys() bool { return c.Workspaces > 0 }
