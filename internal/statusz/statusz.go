// Package statusz holds what processes tell of themselves at /statusz, and puts the answers of many together.
package statusz

// Process is the answer of one process.
type Process struct {
	Name          string   `json:"name"`
	Role          string   `json:"role"` // "entry" or "sidecar"
	FailureDomain string   `json:"failure_domain"`
	Revision      uint64   `json:"revision"`
	Digest        string   `json:"digest"`
	Confirmed     bool     `json:"confirmed"`          // the key-value service named the revision current not long ago
	ConfirmedAge  float64  `json:"confirmed_age_secs"` // since then
	Watching      bool     `json:"watching"`           // waits at the key-value service
	HeadRefused   bool     `json:"head_refused"`       // the service names a revision that does not descend from ours
	Targets       []Target `json:"targets,omitempty"`  // entries: as seen from there
	Sidecar       *Sidecar `json:"sidecar,omitempty"`  // sidecars: the target beside it
}

// Target is a target as an entry sees it.
type Target struct {
	Service  string `json:"service"`
	Target   string `json:"target"`
	Phase    string `json:"phase"`
	Alive    bool   `json:"alive"`     // a live connection to the sidecar exists
	Out      bool   `json:"out"`       // taken out by configuration
	Eligible bool   `json:"eligible"`  // new work may go there
	InFlight int    `json:"in_flight"` // attempts of this entry
	Outside  bool   `json:"outside"`   // the entry keeps no connection, since others look after the target
}

// Sidecar is a target as the process beside it sees it.
type Sidecar struct {
	Service  string   `json:"service"`
	Target   string   `json:"target"`
	Phase    string   `json:"phase"`
	Limit    uint32   `json:"limit"` // requests that the target bears now
	InFlight uint32   `json:"in_flight"`
	Queued   uint32   `json:"queued"`
	Versions []string `json:"weight_versions,omitempty"` // ready to serve, preferred first
}
