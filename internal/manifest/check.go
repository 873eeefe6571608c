package manifest

import (
	"fmt"
	"regexp"
	"strings"

	"github.com/egrethoist/egrethoist/internal/jsonc"
	"github.com/egrethoist/egrethoist/internal/units"
	"github.com/egrethoist/egrethoist/internal/world"
)

// Limits of a manifest.
const (
	maxKeysPerWorkspace = 2 // the old and the new one of a rotation
	minCacheSaltBytes   = 8
)

var (
	namePattern   = regexp.MustCompile(`^[a-z0-9][a-z0-9._-]{0,62}$`)
	methodPattern = regexp.MustCompile(`^[A-Z]+$`)
)

// checker records the faults that concern more than one value.
type checker struct {
	src *jsonc.Source
	doc *Document

	domains  map[string]bool
	links    map[string]bool
	stores   map[string]bool
	services map[string]string // name to kind
	versions map[string]string // name to service

	targets   map[string]string // name to path, over all services
	addresses map[units.Address]string
	salts     map[string]string
	keys      map[units.Hash]string
}

func check(src *jsonc.Source, doc *Document) {
	c := &checker{
		src: src, doc: doc,
		domains: map[string]bool{}, links: map[string]bool{}, stores: map[string]bool{},
		services: map[string]string{}, versions: map[string]string{},
		targets: map[string]string{}, addresses: map[units.Address]string{},
		salts: map[string]string{}, keys: map[units.Hash]string{},
	}
	c.name("$.name", doc.Name)
	c.names()
	c.failureDomains()
	c.storesAndLinks()
	c.weightVersions()
	for i := range doc.Services {
		c.service(fmt.Sprintf("$.services[%d]", i), &doc.Services[i])
	}
	for i := range doc.Workspaces {
		c.workspace(fmt.Sprintf("$.workspaces[%d]", i), &doc.Workspaces[i])
	}
}

// names collects all names first, so that references may point forward.
func (c *checker) names() {
	for i, d := range c.doc.FailureDomains {
		c.declare(fmt.Sprintf("$.failure_domains[%d].name", i), d.Name, c.domains)
	}
	for i, l := range c.doc.Links {
		c.declare(fmt.Sprintf("$.links[%d].name", i), l.Name, c.links)
	}
	for i, s := range c.doc.Stores {
		c.declare(fmt.Sprintf("$.stores[%d].name", i), s.Name, c.stores)
	}
	seen := map[string]bool{}
	for i, s := range c.doc.Services {
		c.declare(fmt.Sprintf("$.services[%d].name", i), s.Name, seen)
		c.services[s.Name] = s.Kind
	}
	seen = map[string]bool{}
	for i, v := range c.doc.WeightVersions {
		c.declare(fmt.Sprintf("$.weight_versions[%d].name", i), v.Name, seen)
		c.versions[v.Name] = v.Service
	}
	seen = map[string]bool{}
	for i, w := range c.doc.Workspaces {
		c.declare(fmt.Sprintf("$.workspaces[%d].name", i), w.Name, seen)
	}
}

func (c *checker) declare(path, name string, seen map[string]bool) {
	c.name(path, name)
	if seen[name] && c.src.Has(path) {
		c.src.Errorf(path, "duplicate name %q", name)
	}
	seen[name] = true
}

// name skips absent names: decoding has reported them.
func (c *checker) name(path, name string) {
	if c.src.Has(path) && !namePattern.MatchString(name) {
		c.src.Errorf(path, "bad name %q: want up to 63 of a-z, 0-9, '.', '_' and '-'", name)
	}
}

func (c *checker) reference(path, kind, name string, known map[string]bool) {
	if c.src.Has(path) && !known[name] {
		c.src.Errorf(path, "no %s is named %q", kind, name)
	}
}

func (c *checker) atLeast(path string, n, least int) {
	if c.src.Has(path) && n < least {
		c.src.Errorf(path, "must be at least %d, got %d", least, n)
	}
}

func (c *checker) address(path string, a units.Address) {
	if !a.IsValid() {
		return
	}
	if other, taken := c.addresses[a]; taken {
		c.src.Errorf(path, "address %s is already that of %s", a, other)
		return
	}
	c.addresses[a] = path
}

func (c *checker) failureDomains() {
	if c.src.Has("$.failure_domains") && len(c.doc.FailureDomains) == 0 {
		c.src.Errorf("$.failure_domains", "at least one failure domain is needed")
	}
	for i, d := range c.doc.FailureDomains {
		c.name(fmt.Sprintf("$.failure_domains[%d].region", i), d.Region)
	}
}

func (c *checker) storesAndLinks() {
	for i, s := range c.doc.Stores {
		path := fmt.Sprintf("$.stores[%d]", i)
		c.reference(path+".failure_domain", "failure domain", s.FailureDomain, c.domains)
		c.reference(path+".link", "link", s.Link, c.links)
		c.address(path+".address", s.Address)
		if c.src.Has(path+".memory") && s.Memory == 0 {
			c.src.Errorf(path+".memory", "must be above zero")
		}
	}
}

func (c *checker) weightVersions() {
	for i, v := range c.doc.WeightVersions {
		path := fmt.Sprintf("$.weight_versions[%d].service", i)
		kind, known := c.services[v.Service]
		switch {
		case !c.src.Has(path):
		case !known:
			c.src.Errorf(path, "no service is named %q", v.Service)
		case kind != string(world.KindModel):
			c.src.Errorf(path, "service %q is not a model service", v.Service)
		}
	}
}

func (c *checker) service(path string, s *Service) {
	c.atLeast(path+".cold.in_flight", s.Cold.InFlight, 1)
	c.atLeast(path+".cold.loaders", s.Cold.Loaders, 1)
	c.atLeast(path+".cold.requests_per_place", s.Cold.RequestsPerPlace, 1)
	c.atLeast(path+".max_in_flight", s.MaxInFlight, 1)
	if s.MaxInFlight > 0 && s.Cold.InFlight > s.MaxInFlight {
		c.src.Errorf(path+".cold.in_flight", "must not exceed max_in_flight, which is %d", s.MaxInFlight)
	}
	switch world.Kind(s.Kind) {
	case world.KindModel:
		c.modelService(path, s)
	case world.KindPlain:
		c.plainService(path, s)
	default:
		if c.src.Has(path + ".kind") {
			c.src.Errorf(path+".kind", "unknown kind %q: want \"model\" or \"plain\"", s.Kind)
		}
	}
	c.objectives(path, s)
	c.serviceTargets(path, s)
}

func (c *checker) modelService(path string, s *Service) {
	c.forbid(path, s.Kind, "calls", "retry_window")
	if s.WeightVersion == "" {
		c.src.Errorf(path+".weight_version", "a model service needs a weight version")
	} else if owner, known := c.versions[s.WeightVersion]; !known {
		c.src.Errorf(path+".weight_version", "no weight version is named %q", s.WeightVersion)
	} else if owner != s.Name {
		c.src.Errorf(path+".weight_version", "weight version %q is of service %q", s.WeightVersion, owner)
	}
	if c.src.Has(path + ".max_versions") {
		c.atLeast(path+".max_versions", s.MaxVersions, 1)
	}
	if s.BlockTokens < 1 {
		c.src.Errorf(path+".block_tokens", "a model service needs a block size in tokens of at least 1")
	}
	if len(s.Stores) > 0 && s.BlockSize == 0 {
		c.src.Errorf(path+".block_size", "a service with stores needs the size of a block")
	}
	seen := map[string]bool{}
	for i, name := range s.Stores {
		at := fmt.Sprintf("%s.stores[%d]", path, i)
		c.reference(at, "store", name, c.stores)
		if seen[name] {
			c.src.Errorf(at, "duplicate store %q", name)
		}
		seen[name] = true
	}
}

func (c *checker) plainService(path string, s *Service) {
	c.forbid(path, s.Kind, "weight_version", "max_versions", "block_tokens", "block_size", "stores")
	once := len(s.Calls) == 0
	for i, call := range s.Calls {
		at := fmt.Sprintf("%s.calls[%d]", path, i)
		once = once || !call.Repeatable
		if call.Method != "" && !methodPattern.MatchString(call.Method) {
			c.src.Errorf(at+".method", "bad method %q: want upper-case letters", call.Method)
		}
		if c.src.Has(at+".path_prefix") && !strings.HasPrefix(call.PathPrefix, "/") {
			c.src.Errorf(at+".path_prefix", "must begin with \"/\"")
		}
		if _, ok := priorities[call.Priority]; !ok {
			c.src.Errorf(at+".priority", "unknown priority %q: want \"quick\" or \"draft\"", call.Priority)
		}
	}
	if once && s.RetryWindow == 0 {
		c.src.Errorf(path+".retry_window", "a service with calls that are not repeatable needs a retry window")
	}
}

func (c *checker) forbid(path, kind string, keys ...string) {
	for _, key := range keys {
		if c.src.Has(path + "." + key) {
			c.src.Errorf(path+"."+key, "a %s service has no %s", kind, key)
		}
	}
}

func (c *checker) objectives(path string, s *Service) {
	seen := map[string]bool{}
	for i, o := range s.Objectives {
		at := fmt.Sprintf("%s.objectives[%d]", path, i)
		switch o.Name {
		case "availability":
			if c.src.Has(at + ".threshold") {
				c.src.Errorf(at+".threshold", "availability has no threshold")
			}
		case "ttft", "latency":
			if o.Threshold == 0 {
				c.src.Errorf(at+".threshold", "%s needs a threshold above zero", o.Name)
			}
		default:
			c.src.Errorf(at+".name", "unknown objective %q: want \"availability\", \"ttft\" or \"latency\"", o.Name)
		}
		if o.Name == "ttft" && s.Kind != string(world.KindModel) {
			c.src.Errorf(at+".name", "only a model service has a time to first token")
		}
		if seen[o.Name] {
			c.src.Errorf(at+".name", "duplicate objective %q", o.Name)
		}
		seen[o.Name] = true
		if c.src.Has(at+".target") && (o.Target <= 0 || o.Target >= 1) {
			c.src.Errorf(at+".target", "must be above 0 and below 1, got %v", o.Target)
		}
		if c.src.Has(at+".budget_window") && o.BudgetWindow == 0 {
			c.src.Errorf(at+".budget_window", "must be above zero")
		}
	}
}

func (c *checker) serviceTargets(path string, s *Service) {
	for i, t := range s.Targets {
		at := fmt.Sprintf("%s.targets[%d]", path, i)
		c.name(at+".name", t.Name)
		c.reference(at+".failure_domain", "failure domain", t.FailureDomain, c.domains)
		c.address(at+".sidecar", t.Sidecar)
		if other, taken := c.targets[t.Name]; taken && t.Name != "" {
			c.src.Errorf(at+".name", "duplicate name %q, already that of %s", t.Name, other)
			continue
		}
		c.targets[t.Name] = at
	}
}

func (c *checker) workspace(path string, w *Workspace) {
	c.atLeast(path+".weight", w.Weight, 1)
	c.atLeast(path+".max_in_flight", w.MaxInFlight, 1)
	if c.src.Has(path+".requests_per_sec") && w.RequestsPerSec <= 0 {
		c.src.Errorf(path+".requests_per_sec", "must be above zero")
	}
	if c.src.Has(path+".cache_salt") && len(w.CacheSalt) < minCacheSaltBytes {
		c.src.Errorf(path+".cache_salt", "must have at least %d characters", minCacheSaltBytes)
	}
	// Two workspaces of one salt would read each other's cache.
	if other, taken := c.salts[w.CacheSalt]; taken && w.CacheSalt != "" {
		c.src.Errorf(path+".cache_salt", "already that of %s", other)
	}
	c.salts[w.CacheSalt] = path
	for i, name := range w.AllowedServices {
		at := fmt.Sprintf("%s.allowed_services[%d]", path, i)
		if _, known := c.services[name]; !known {
			c.src.Errorf(at, "no service is named %q", name)
		}
	}
	c.workspaceKeys(path, w)
}

func (c *checker) workspaceKeys(path string, w *Workspace) {
	if n := len(w.Keys); c.src.Has(path+".keys") && (n < 1 || n > maxKeysPerWorkspace) {
		c.src.Errorf(path+".keys", "want 1 to %d live keys, got %d", maxKeysPerWorkspace, n)
	}
	seen := map[string]bool{}
	for i, k := range w.Keys {
		at := fmt.Sprintf("%s.keys[%d]", path, i)
		c.declare(at+".id", k.ID, seen)
		if k.SHA256 == (units.Hash{}) {
			continue // absent or refused by decoding
		}
		if other, taken := c.keys[k.SHA256]; taken {
			c.src.Errorf(at+".sha256", "already that of %s", other)
		}
		c.keys[k.SHA256] = at
	}
}
