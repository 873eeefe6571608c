package egretctl

import (
	"context"
	"encoding/json"
	"fmt"
	"slices"
	"strings"

	"github.com/gravitational/trace"

	"github.com/egrethoist/egrethoist/internal/gateway"
	"github.com/egrethoist/egrethoist/internal/metastore"
	"github.com/egrethoist/egrethoist/internal/streampin"
	"github.com/egrethoist/egrethoist/internal/units"
)

// softwareRow is a software version of a service as it is listed.
type softwareRow struct {
	Service  string `json:"service"`
	Software string `json:"software"`
	State    string `json:"state"`   // baseline, open, announced, or unknown for a version with records alone
	Streams  int    `json:"streams"` // records of streams that began at it; none are written for the baseline
}

// software lists the software versions at which streams of each service begin, by the metadata store.
func (c *command) software(ctx context.Context) error {
	var address units.Address
	if err := address.UnmarshalText([]byte(c.store)); err != nil {
		return usage("--store: %v", err)
	}
	store := c.env.DialStore(address)
	read := func(prefix string) ([]metastore.Item, error) {
		items, _, err := store.Range(ctx, prefix)
		return items, trace.Wrap(err, "read %s", prefix)
	}
	policies, err := read(gateway.SoftwarePrefix)
	if err != nil {
		return err
	}
	holds, err := read(gateway.HoldPrefix)
	if err != nil {
		return err
	}
	streams, err := read(gateway.StreamPrefix)
	if err != nil {
		return err
	}
	rows := c.softwareRows(policies, holds, streams)
	if c.output == "json" {
		return trace.Wrap(json.NewEncoder(c.env.Stdout).Encode(rows))
	}
	fmt.Fprintf(c.env.Stdout, "%-24s %-16s %-9s %8s\n", "service", "software", "state", "streams")
	for _, r := range rows {
		fmt.Fprintf(c.env.Stdout, "%-24s %-16s %-9s %8d\n", r.Service, r.Software, r.State, r.Streams)
	}
	return nil
}

// softwareRows returns the versions of all services, sorted. Invalid records are left out with a message.
func (c *command) softwareRows(policies, holds, streams []metastore.Item) []softwareRow {
	states := map[streampin.Version]string{}
	for _, item := range policies {
		service := strings.TrimPrefix(item.Key, gateway.SoftwarePrefix)
		policy, err := streampin.ParsePolicy(item.Value)
		if err != nil {
			fmt.Fprintf(c.env.Stderr, "invalid record %s left out: %v\n", item.Key, err)
			continue
		}
		for _, software := range policy.Announced {
			states[streampin.Version{Service: service, Software: software}] = "open"
		}
		if policy.Baseline != "" {
			states[streampin.Version{Service: service, Software: policy.Baseline}] = "baseline"
		}
	}
	for _, item := range holds {
		service, software, _ := strings.Cut(strings.TrimPrefix(item.Key, gateway.HoldPrefix), "/")
		states[streampin.Version{Service: service, Software: software}] = "announced"
	}
	counts := map[streampin.Version]int{}
	for _, item := range streams {
		v, err := streampin.ParseVersion(item.Value)
		if err != nil {
			fmt.Fprintf(c.env.Stderr, "invalid record %s left out: %v\n", item.Key, err)
			continue
		}
		counts[v]++
		if states[v] == "" {
			states[v] = "unknown"
		}
	}
	rows := []softwareRow{}
	for v, state := range states {
		rows = append(rows, softwareRow{Service: v.Service, Software: v.Software, State: state, Streams: counts[v]})
	}
	slices.SortFunc(rows, func(a, b softwareRow) int { return strings.Compare(a.Service+"/"+a.Software, b.Service+"/"+b.Software) })
	return rows
}
