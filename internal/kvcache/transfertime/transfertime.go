// Package transfertime estimates how long the transfer of cached parts from a KV-cache store to a target takes. All targets
// share a store's link, and its throughput to another failure domain is half of that within its own, so the choice of the
// target that fetches a long prompt determines how much link time it uses. The package does no I/O and reads no clock.
package transfertime

import "time"

const (
	// crossDomainFactor and crossRegionFactor are the factors by which transfers between failure domains and between regions
	// take longer, according to the platform's documentation.
	crossDomainFactor = 2
	crossRegionFactor = 10
)

// Location is the failure domain and region of a store or a target.
type Location struct {
	Domain, Region string
}

// Link is the network link of a store.
type Link struct {
	Location
	BytesPerSecond float64 // zero if unknown
}

// TransferTime returns the time to transfer the bytes over the otherwise idle link, or zero if its bandwidth is unknown.
func (l Link) TransferTime(bytes int, to Location) time.Duration {
	if l.BytesPerSecond <= 0 {
		return 0
	}
	factor := 1.0
	switch {
	case l.Region != to.Region:
		factor = crossRegionFactor
	case l.Domain != to.Domain:
		factor = crossDomainFactor
	}
	return time.Duration(factor * float64(bytes) / l.BytesPerSecond * float64(time.Second))
}
