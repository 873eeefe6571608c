package egretctl

import (
	"context"
	"encoding/json"
	"fmt"
	"maps"
	"slices"
	"strings"
	"time"

	"github.com/gravitational/trace"

	"github.com/egrethoist/egrethoist/internal/metastore"
	"github.com/egrethoist/egrethoist/internal/units"
)

// Prefixes of the keys of rollouts in the metadata store; the rest of each key is the service.
const (
	rolloutOrderPrefix  = "op/rollout/"
	rolloutStatusPrefix = "status/rollout/"
	rolloutRecordPrefix = "egret/rollouts/"
)

// stateWaiting is shown for an order that the gateways have not taken up yet.
const stateWaiting = "waiting"

// rolloutRow is the rollout of a service's software as it is listed.
type rolloutRow struct {
	Service  string            `json:"service"`
	Order    uint64            `json:"order"`          // revision of the operator's order; zero if it was removed
	Taken    uint64            `json:"taken"`          // revision of the order that the record describes; zero without a record
	Target   string            `json:"target"`         // software version of the order, or of the record without an order
	Old      []string          `json:"old"`            // software versions that the target replaces
	State    string            `json:"state"`          // waiting, or as reported to the operator: running, done or rolled_back
	Phase    string            `json:"phase"`          // of the record: ramp, switch, done or rolled_back
	Share    float64           `json:"share"`          // of the service's requests that may go to the target, from 0 to 1
	Reason   string            `json:"reason"`         // of the latest change of phase or share
	Started  *time.Time        `json:"started"`        // when the order was acknowledged
	Deadline *time.Time        `json:"deadline"`       // by when the rollout ends
	Evidence []rolloutEvidence `json:"evidence"`       // responses counted so far
	Taking   string            `json:"taken_target"`   // software version of the record
	Reported string            `json:"reported_state"` // state as last reported, also of an earlier order
}

// rolloutEvidence counts the responses of a software version on a route.
type rolloutEvidence struct {
	Version string `json:"version"`
	Route   string `json:"route"`
	Answers int64  `json:"answers"`
	Failed  int64  `json:"failed"`
	Slow    int64  `json:"slow"`
}

// rolloutRecord is the record of a rollout that gateways keep in the metadata store.
type rolloutRecord struct {
	Order      uint64            `json:"order"`
	Target     string            `json:"target"`
	Old        []string          `json:"old"`
	Phase      string            `json:"phase"`
	Share      float64           `json:"share"`
	Reason     string            `json:"reason"`
	StartedMs  int64             `json:"started_ms"`
	DeadlineMs int64             `json:"deadline_ms"`
	Evidence   []rolloutEvidence `json:"evidence"`
}

// rollout lists the latest rollout of each service: the order, its state and share, and the responses on which it was decided.
func (c *command) rollout(ctx context.Context) error {
	var address units.Address
	if err := address.UnmarshalText([]byte(c.store)); err != nil {
		return usage("--store: %v", err)
	}
	store := c.env.DialStore(address)
	rows := map[string]*rolloutRow{}
	for _, kind := range []struct {
		prefix string
		decode func(*rolloutRow, metastore.Item) error
	}{{rolloutOrderPrefix, (*rolloutRow).decodeOrder}, {rolloutRecordPrefix, (*rolloutRow).decodeRecord}, {rolloutStatusPrefix, (*rolloutRow).decodeStatus}} {
		items, _, err := store.Range(ctx, kind.prefix)
		if err != nil {
			return trace.Wrap(err, "read %s", kind.prefix)
		}
		for _, item := range items {
			service := strings.TrimPrefix(item.Key, kind.prefix)
			row := rows[service]
			if row == nil {
				row = &rolloutRow{Service: service, Old: []string{}, Evidence: []rolloutEvidence{}}
			}
			if err := kind.decode(row, item); err != nil {
				fmt.Fprintf(c.env.Stderr, "invalid record %s left out: %v\n", item.Key, err)
				continue
			}
			rows[service] = row
		}
	}
	sorted := make([]*rolloutRow, 0, len(rows))
	for _, service := range slices.Sorted(maps.Keys(rows)) {
		rows[service].setState()
		sorted = append(sorted, rows[service])
	}
	if c.output == "json" {
		return trace.Wrap(json.NewEncoder(c.env.Stdout).Encode(sorted))
	}
	c.printRollouts(sorted)
	return nil
}

func (r *rolloutRow) decodeOrder(item metastore.Item) error {
	var order struct{ Target string }
	if err := json.Unmarshal(item.Value, &order); err != nil {
		return err
	}
	r.Order, r.Target = item.Revision, order.Target
	return nil
}

func (r *rolloutRow) decodeRecord(item metastore.Item) error {
	var record rolloutRecord
	if err := json.Unmarshal(item.Value, &record); err != nil {
		return err
	}
	started, deadline := time.UnixMilli(record.StartedMs).UTC(), time.UnixMilli(record.DeadlineMs).UTC()
	r.Taken, r.Taking, r.Phase, r.Share, r.Reason = record.Order, record.Target, record.Phase, record.Share, record.Reason
	r.Started, r.Deadline = &started, &deadline
	r.Old, r.Evidence = append(r.Old, record.Old...), append(r.Evidence, record.Evidence...)
	if r.Order == 0 {
		r.Target = record.Target
	}
	return nil
}

func (r *rolloutRow) decodeStatus(item metastore.Item) error {
	var status struct{ State, Target string }
	if err := json.Unmarshal(item.Value, &status); err != nil {
		return err
	}
	r.Reported = status.State
	if r.Target == "" {
		r.Target = status.Target
	}
	if status.Target == r.Target {
		r.State = status.State
	}
	return nil
}

// setState marks the order as waiting if the reported state is that of an earlier order. An order that repeats the target of one that is running or
// done changes nothing, so the record may then name the earlier revision.
func (r *rolloutRow) setState() {
	if r.State == "" || r.State == "rolled_back" && r.Order > r.Taken && r.Taken > 0 {
		r.State = stateWaiting
	}
}

// printRollouts writes a line for each rollout, followed by its reason and the responses of each version and route.
func (c *command) printRollouts(rows []*rolloutRow) {
	out := c.env.Stdout
	fmt.Fprintf(out, "%-24s %8s %-16s %-11s %-11s %6s  %s\n", "service", "order", "target", "state", "phase", "share", "deadline")
	for _, r := range rows {
		deadline := "-"
		if r.Deadline != nil {
			deadline = r.Deadline.Format(time.RFC3339)
		}
		phase := r.Phase
		if phase == "" {
			phase = "-"
		}
		fmt.Fprintf(out, "%-24s %8d %-16s %-11s %-11s %5.1f%%  %s\n", r.Service, r.Order, r.Target, r.State, phase, 100*r.Share, deadline)
		if r.Taken > 0 && (r.Taken != r.Order || r.Taking != r.Target) {
			fmt.Fprintf(out, "  phase, share and reason are of order %d, target %s\n", r.Taken, r.Taking)
		}
		if len(r.Old) > 0 {
			fmt.Fprintf(out, "  replaces: %s\n", strings.Join(r.Old, ", "))
		}
		if r.Reason != "" {
			fmt.Fprintf(out, "  reason: %s\n", r.Reason)
		}
		for _, e := range r.Evidence {
			fmt.Fprintf(out, "  %s on route %s: %d answers, %d failed, %d slow\n", e.Version, e.Route, e.Answers, e.Failed, e.Slow)
		}
	}
}
