// Package transfertime estimates how long cached parts are on their way from a kept-cache store to a target. A store's
// link is shared by all targets and carries half as much to another failure domain, so where a long prompt is fetched to
// decides how much of the link it takes. It has no I/O and no clock.
package transfertime

import "time"

const (
	// crossDomain and crossRegion are how many times longer a transfer takes between failure domains and regions, by the
	// platform's pages.
	crossDomain = 2
	crossRegion = 10
)

// Place is where a store or a target is.
type Place struct {
	Domain, Region string
}

// Link is the link of a store.
type Link struct {
	Place
	BytesPerSecond float64 // zero if unknown
}

// Of returns how long so many bytes are on their way over the link, zero if its bandwidth is unknown.
func (l Link) Of(bytes int, to Place) time.Duration {
	if l.BytesPerSecond <= 0 {
		return 0
	}
	factor := 1.0
	switch {
	case l.Region != to.Region:
		factor = crossRegion
	case l.Domain != to.Domain:
		factor = crossDomain
	}
	return time.Duration(factor * float64(bytes) / l.BytesPerSecond * float64(time.Second))
}
