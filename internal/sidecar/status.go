package sidecar

import (
	"strings"

	"github.com/egrethoist/egrethoist/internal/statusz"
)

// Status returns the state of the target for the status page.
func (s *Sidecar) Status() statusz.Sidecar {
	g := s.gate.stats()
	return statusz.Sidecar{
		Service:  s.opts.Service,
		Target:   s.opts.Name,
		Phase:    strings.ToLower(strings.TrimPrefix(s.phase().String(), "TARGET_PHASE_")),
		Limit:    uint32(g.limit),
		InFlight: uint32(g.inFlight),
		Queued:   uint32(g.queued),
		Versions: s.versions.offeredVersions(),
	}
}
