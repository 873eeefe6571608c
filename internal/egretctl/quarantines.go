package egretctl

import (
	"cmp"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"strings"
	"time"

	"github.com/gravitational/trace"

	"github.com/egrethoist/egrethoist/internal/gateway"
	"github.com/egrethoist/egrethoist/internal/metastore"
	"github.com/egrethoist/egrethoist/internal/quarantine"
	"github.com/egrethoist/egrethoist/internal/units"
)

// quarantineRow is a quarantine as it is listed.
type quarantineRow struct {
	Model   string    `json:"model"`
	Part    string    `json:"part"` // or "request:" and the hash of a whole request; several are joined by +
	State   string    `json:"state"`
	Crashes int       `json:"crashes"`
	Refused int       `json:"refused"`
	Until   time.Time `json:"until"`
}

// quarantines lists the quarantines in the metadata store.
func (c *command) quarantines(ctx context.Context) error {
	items, err := c.quarantineItems(ctx)
	if err != nil {
		return err
	}
	rows := []quarantineRow{}
	for _, item := range items {
		record, err := quarantine.ParseRecord(item.Value)
		if err != nil {
			fmt.Fprintf(c.env.Stderr, "invalid record %s left out: %v\n", item.Key, err)
			continue
		}
		row := quarantineRow{Crashes: record.Crashes, Refused: record.Refused, Until: time.UnixMilli(record.UntilMs).UTC(), State: "in force"}
		row.Model, row.Part = describeRecord(&record)
		switch {
		case record.Lifted():
			row.State = "lifted"
		case time.Now().After(row.Until):
			row.State = "run out"
		}
		rows = append(rows, row)
	}
	if c.output == "json" {
		return trace.Wrap(json.NewEncoder(c.env.Stdout).Encode(rows))
	}
	fmt.Fprintf(c.env.Stdout, "%-16s %-40s %-9s %7s %8s  %s\n", "model", "part", "state", "crashes", "refused", "until")
	for _, r := range rows {
		fmt.Fprintf(c.env.Stdout, "%-16s %-40s %-9s %7d %8d  %s\n", r.Model, r.Part, r.State, r.Crashes, r.Refused, r.Until.Format(time.RFC3339))
	}
	return nil
}

// lift marks the record of a quarantine as lifted. The gateways then drop the evidence against its parts.
func (c *command) lift(ctx context.Context) error {
	items, err := c.quarantineItems(ctx)
	if err != nil {
		return err
	}
	var found *metastore.Item
	var record quarantine.Record
	for _, item := range items {
		candidate, err := quarantine.ParseRecord(item.Value)
		if err != nil {
			continue // listed as invalid by quarantines
		}
		model, part := describeRecord(&candidate)
		if part != c.parts || c.model != "" && model != c.model {
			continue
		}
		if found != nil {
			return usage("several models have part %s: give --model", c.parts)
		}
		found, record = &item, candidate
	}
	if found == nil {
		return trace.NotFound("no quarantine of part %q", c.parts)
	}
	record.LiftedMs = max(time.Now().UnixMilli(), record.LastCrashMs)
	raw, err := json.Marshal(record)
	if err != nil {
		return trace.Wrap(err)
	}
	_, err = c.metadataStore.Commit(ctx, metastore.Txn{
		If: []metastore.Condition{{Key: found.Key, Revision: found.Revision}}, Puts: []metastore.Put{{Key: found.Key, Value: raw}},
	})
	if errors.Is(err, metastore.ErrConflict) {
		return trace.CompareFailed("the record of part %s has just changed: try again", c.parts)
	}
	if err != nil {
		return trace.Wrap(err, "write the record of part %s", c.parts)
	}
	fmt.Fprintf(c.env.Stdout, "lifted; the next crash under part %s quarantines it again\n", c.parts)
	return nil
}

// quarantineItems reads the records of all quarantines.
func (c *command) quarantineItems(ctx context.Context) ([]metastore.Item, error) {
	var address units.Address
	if err := address.UnmarshalText([]byte(c.store)); err != nil {
		return nil, usage("--store: %v", err)
	}
	c.metadataStore = c.env.DialStore(address)
	items, _, err := c.metadataStore.Range(ctx, gateway.QuarantinePrefix)
	return items, trace.Wrap(err, "read quarantines")
}

// describeRecord returns the model and the IDs of the parts of a record.
func describeRecord(r *quarantine.Record) (model, parts string) {
	ids := make([]string, len(r.Parts))
	for i, p := range r.Parts {
		ids[i] = p.ID
		model = cmp.Or(model, p.Model) // a whole request has none
	}
	return model, strings.Join(ids, "+")
}
