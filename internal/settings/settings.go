// Package settings reads what a process knows of itself: a file in JSON with comments, overridden by flags.
// All faults are reported at once.
package settings

import (
	"time"

	"github.com/egrethoist/egrethoist/internal/jsonc"
	"github.com/egrethoist/egrethoist/internal/units"
)

// DefaultDrainTimeout bounds a graceful shutdown when the settings give no other time.
const DefaultDrainTimeout = 2 * time.Minute

// Process is common to all long-running binaries.
type Process struct {
	Name          string          `json:"name" check:"required"`
	FailureDomain string          `json:"failure_domain" check:"required"`
	Region        string          `json:"region" check:"required"`
	Listen        units.Address   `json:"listen" check:"required"` // entry: callers; sidecar: our own processes
	Admin         units.Address   `json:"admin"`                   // health, readiness, metrics; zero serves none
	KeyValue      units.Address   `json:"key_value" check:"required"`
	Instances     units.Address   `json:"instances"` // the platform's instance list; absent: at KeyValue
	Bootstrap     []units.Address `json:"bootstrap"` // peers asked at start, before the key-value service

	TLS *TLS `json:"tls"`
	// PlatformTLS is shown to the key-value service and the instance list; absent: plain HTTP.
	PlatformTLS *TLS `json:"platform_tls"`
	// AllowInsecureLoopback lets our own processes talk without TLS; all addresses must then be loopback.
	AllowInsecureLoopback bool           `json:"allow_insecure_loopback"`
	DrainTimeout          units.Duration `json:"drain_timeout"` // bound of a graceful shutdown
}

// TLS holds the paths of PEM files for mutual TLS.
type TLS struct {
	Cert string `json:"cert" check:"required"`
	Key  string `json:"key" check:"required"`
	CA   string `json:"ca" check:"required"`
}

// Entry is the settings of egret-entry.
type Entry struct {
	Process
	ListenPeers units.Address `json:"listen_peers" check:"required"` // towards our own processes
}

// Sidecar is the settings of egret-sidecar.
type Sidecar struct {
	Process
	Service string        `json:"service" check:"required"` // names of the target in the manifest
	Target  string        `json:"target" check:"required"`
	Engine  units.Address `json:"engine" check:"required"` // the target itself
}

// ParseEntry reads the settings of an entry instance.
func ParseEntry(file string, src []byte) (*Entry, *jsonc.Errors) {
	e := &Entry{}
	s := jsonc.Decode(file, src, e)
	checkProcess(s, &e.Process)
	checkLoopback(s, &e.Process, named{"$.listen_peers", e.ListenPeers})
	if e.Listen.IsValid() && e.Listen == e.ListenPeers {
		s.Errorf("$.listen_peers", "must differ from listen")
	}
	if errs := s.Err(); errs != nil {
		return nil, errs
	}
	return e, nil
}

// ParseSidecar reads the settings of a sidecar.
func ParseSidecar(file string, src []byte) (*Sidecar, *jsonc.Errors) {
	c := &Sidecar{}
	s := jsonc.Decode(file, src, c)
	checkProcess(s, &c.Process)
	checkNotEmpty(s, field{"$.service", c.Service}, field{"$.target", c.Target})
	checkLoopback(s, &c.Process, named{"$.listen", c.Listen})
	if c.Engine.IsValid() && c.Engine == c.Listen {
		s.Errorf("$.engine", "must differ from listen")
	}
	if errs := s.Err(); errs != nil {
		return nil, errs
	}
	return c, nil
}

// field is a text of the settings with its path.
type field struct{ path, text string }

func checkNotEmpty(s *jsonc.Source, fields ...field) {
	for _, f := range fields {
		if s.Has(f.path) && f.text == "" {
			s.Errorf(f.path, "must not be empty")
		}
	}
}

func checkProcess(s *jsonc.Source, p *Process) {
	checkNotEmpty(s, field{"$.name", p.Name}, field{"$.failure_domain", p.FailureDomain}, field{"$.region", p.Region})
	if !p.Instances.IsValid() {
		p.Instances = p.KeyValue
	}
	if s.Has("$.drain_timeout") && p.DrainTimeout == 0 {
		s.Errorf("$.drain_timeout", "must be above zero")
	}
	if p.DrainTimeout == 0 {
		p.DrainTimeout = units.Duration(DefaultDrainTimeout)
	}
	if s.Has("$") && p.TLS == nil && !p.AllowInsecureLoopback {
		s.Errorf("$.tls", "give key, certificate and CA, or set allow_insecure_loopback on a single machine")
	}
	if p.TLS != nil && p.AllowInsecureLoopback {
		s.Errorf("$.allow_insecure_loopback", "must not be set together with tls")
	}
}

type named struct {
	path    string
	address units.Address
}

// checkLoopback holds plain-text traffic between our own processes to this machine.
func checkLoopback(s *jsonc.Source, p *Process, listen ...named) {
	if !p.AllowInsecureLoopback {
		return
	}
	all := append(listen, named{"$.key_value", p.KeyValue})
	if p.Instances != p.KeyValue {
		all = append(all, named{"$.instances", p.Instances})
	}
	for _, a := range p.Bootstrap {
		all = append(all, named{"$.bootstrap", a})
	}
	for _, n := range all {
		if n.address.IsValid() && !n.address.Addr().IsLoopback() {
			s.Errorf(n.path, "address %s is not loopback, which allow_insecure_loopback needs", n.address)
		}
	}
}
