package soak

import (
	"context"
	"fmt"
	"slices"
	"strings"

	"github.com/egrethoist/egrethoist/internal/sleep"
	"github.com/egrethoist/egrethoist/platform/standin"
)

const (
	// narrowMbps is the width of most instances' links to the metadata store, wideMbps that of the first one of each failure domain.
	narrowMbps, wideMbps = 10, 200
	// bulkRoutes make a configuration of nearly the largest size that the store takes, which a narrow link carries in a second.
	bulkRoutes = 3800
	bulkPrefix = "bulk-"
)

// linkMbps returns the width of the i-th instance's link.
func linkMbps(i int) float64 {
	if i < len(domains) {
		return wideMbps
	}
	return narrowMbps
}

// enlargeConfig adds routes that nobody uses and removes them some time later.
func (f *fleet) enlargeConfig(ctx context.Context, fl fault) {
	f.configure(func(c *standin.Config) {
		if slices.ContainsFunc(c.Routes, isBulk) {
			return // by another fault
		}
		for range bulkRoutes {
			name := fmt.Sprintf("%s%08x", bulkPrefix, f.rng.Uint32())
			c.Routes = append(c.Routes, standin.Route{
				Name: name, Host: name + ".example", Prefix: "/" + name + "/", Kind: "idempotent", TimeoutMs: 1200, TargetLatencyMs: 150, Service: plain, MaxAttempts: 2,
			})
		}
	})
	_ = sleep.For(ctx, bounds.ConfigApply+addedCheckTime+fl.length) // the routes are removed even if ctx has ended
	f.configure(func(c *standin.Config) { c.Routes = slices.DeleteFunc(c.Routes, isBulk) })
}

func isBulk(r standin.Route) bool { return strings.HasPrefix(r.Name, bulkPrefix) }
