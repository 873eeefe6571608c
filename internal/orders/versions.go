package orders

import (
	"slices"

	"github.com/egrethoist/egrethoist/internal/world"
)

// OfferedVersions returns the weight versions that a target offers to new requests, preferred one first. Once the
// target holds the desired version it offers only that. Until then it offers the versions that it holds and that the
// configuration still declares for the service, so that a change of version costs no capacity. A request is bound to
// one of them before it runs, and keeps it.
func OfferedVersions(w *world.World, service string, held []string) []string {
	s := w.Services[service]
	if s == nil {
		return nil
	}
	if slices.Contains(held, s.WeightVersion) {
		return []string{s.WeightVersion}
	}
	var ready []string
	for _, name := range held {
		if v := w.WeightVersions[name]; v != nil && v.Service == service {
			ready = append(ready, name)
		}
	}
	return ready
}
