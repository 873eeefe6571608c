// Package manifest reads what operators declare, checks it whole and builds an immutable world from it.
// It also defines the canonical encoding and the digest that carries the lineage of configurations.
package manifest

import (
	"time"

	"github.com/egrethoist/egrethoist/internal/units"
)

// Document mirrors the JSON form of a manifest.
type Document struct {
	Name           string          `json:"name" check:"required"`
	FailureDomains []FailureDomain `json:"failure_domains" check:"required"`
	Links          []Link          `json:"links,omitempty"`
	Stores         []Store         `json:"stores,omitempty"`
	WeightVersions []WeightVersion `json:"weight_versions,omitempty"`
	Services       []Service       `json:"services" check:"required"`
	Workspaces     []Workspace     `json:"workspaces" check:"required"`
}

// FailureDomain declares a set of instances that fail together. A nil Drained keeps what is in force.
type FailureDomain struct {
	Name    string `json:"name" check:"required"`
	Region  string `json:"region" check:"required"`
	Drained *bool  `json:"drained,omitempty"`
}

// Link declares a path of limited rate.
type Link struct {
	Name  string         `json:"name" check:"required"`
	Rate  units.Rate     `json:"rate" check:"required"`
	Delay units.Duration `json:"delay,omitzero"`
}

// Store declares a kept-cache store instance.
type Store struct {
	Name          string        `json:"name" check:"required"`
	FailureDomain string        `json:"failure_domain" check:"required"`
	Address       units.Address `json:"address" check:"required"`
	Memory        units.Size    `json:"memory" check:"required"`
	Disk          units.Size    `json:"disk,omitzero"`
	Link          string        `json:"link" check:"required"`
}

// WeightVersion declares one set of weights of a model service.
type WeightVersion struct {
	Name    string     `json:"name" check:"required"`
	Service string     `json:"service" check:"required"`
	Digest  units.Hash `json:"digest" check:"required"`
	Size    units.Size `json:"size" check:"required"`
}

// Service declares a set of targets that give the same answers.
type Service struct {
	Name          string         `json:"name" check:"required"`
	Kind          string         `json:"kind" check:"required"`
	Calls         []Call         `json:"calls,omitempty"`
	Cold          Cold           `json:"cold" check:"required"`
	MaxInFlight   int            `json:"max_in_flight" check:"required"`
	FencesOrders  bool           `json:"fences_orders,omitempty"`
	WeightVersion string         `json:"weight_version,omitempty"`
	MaxVersions   int            `json:"max_versions,omitempty"`
	BlockTokens   int            `json:"block_tokens,omitempty"`
	BlockSize     units.Size     `json:"block_size,omitzero"`
	Stores        []string       `json:"stores,omitempty"`
	RetryWindow   units.Duration `json:"retry_window,omitzero"`
	Objectives    []Objective    `json:"objectives,omitempty"`
	Targets       []Target       `json:"targets" check:"required"`
	// HomeHistory is kept by whoever applies a manifest. What a source file says of it is ignored.
	HomeHistory *HomeHistory `json:"home_history,omitempty"`
}

// HomeHistory records the moves of the homes of a plain service's idempotency keys.
type HomeHistory struct {
	From  uint64     `json:"from"`
	At    time.Time  `json:"at,omitzero"`
	Moves []HomeMove `json:"moves,omitempty"`
}

// HomeMove is one change of the set of homes.
type HomeMove struct {
	Revision uint64    `json:"revision"`
	At       time.Time `json:"at"`
	Joined   []string  `json:"joined,omitempty"`
	Left     []string  `json:"left,omitempty"`
}

// Call marks calls of a plain service by method and path prefix; the first match decides.
type Call struct {
	Method     string `json:"method,omitempty"`
	PathPrefix string `json:"path_prefix" check:"required"`
	Repeatable bool   `json:"repeatable" check:"required"`
	Priority   string `json:"priority,omitempty"` // "quick" (default) or "draft"
}

// Cold bounds what a freshly started target is given.
type Cold struct {
	InFlight         int `json:"in_flight" check:"required"`
	Loaders          int `json:"loaders,omitempty"`
	RequestsPerPlace int `json:"requests_per_place,omitempty"`
}

// Objective declares a service-level objective.
type Objective struct {
	Name         string         `json:"name" check:"required"`
	Target       float64        `json:"target" check:"required"`
	Threshold    units.Duration `json:"threshold,omitzero"`
	BudgetWindow units.Duration `json:"budget_window" check:"required"`
}

// Target declares one server of a service and the sidecar beside it. A nil Drained keeps what is in force.
type Target struct {
	Name          string        `json:"name" check:"required"`
	FailureDomain string        `json:"failure_domain" check:"required"`
	Sidecar       units.Address `json:"sidecar" check:"required"`
	Drained       *bool         `json:"drained,omitempty"`
}

// Workspace declares a customer.
type Workspace struct {
	Name            string   `json:"name" check:"required"`
	Weight          int      `json:"weight" check:"required"`
	MaxInFlight     int      `json:"max_in_flight,omitempty"`
	RequestsPerSec  float64  `json:"requests_per_sec,omitempty"`
	CacheSalt       string   `json:"cache_salt" check:"required"`
	Keys            []APIKey `json:"keys" check:"required"`
	AllowedServices []string `json:"allowed_services,omitempty"`
}

// APIKey declares one live credential by its digest.
type APIKey struct {
	ID     string     `json:"id" check:"required"`
	SHA256 units.Hash `json:"sha256" check:"required"`
}
