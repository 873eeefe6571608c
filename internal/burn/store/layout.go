// Package store keeps counts of requests beyond the life of the instance that made them, in the platform's
// key-value service. Every instance writes one value for each hour; a reader merges them and folds the hours that
// have ended into one value each.
package store

import (
	"bytes"
	"compress/flate"
	"encoding/json"
	"fmt"
	"io"

	"github.com/gravitational/trace"

	"github.com/egrethoist/egrethoist/internal/burn"
	"github.com/egrethoist/egrethoist/internal/platform"
)

// row is the stored form of one counter.
type row struct {
	Key    [6]string   `json:"k"`
	Counts burn.Counts `json:"n"`
}

// index is the value under an hour's own key.
type index struct {
	Pending []string `json:"pending,omitempty"` // writers whose counts are under keys of their own
	Folded  []string `json:"folded,omitempty"`  // writers whose counts are in Rows
	Swept   bool     `json:"swept,omitempty"`   // the keys of the folded writers are gone
	Rows    []row    `json:"rows,omitempty"`
}

func indexKey(period int64) string { return fmt.Sprintf("burn/%d", period) }

func partKey(period int64, writer string) string { return fmt.Sprintf("burn/%d/%s", period, writer) }

func toRows(t burn.Table) []row {
	rows := make([]row, 0, len(t))
	for _, k := range t.Keys() {
		rows = append(rows, row{
			Key:    [6]string{k.Workspace, k.Service, k.Objective, k.Cause, k.FailureDomain, k.Instance},
			Counts: t[k],
		})
	}
	return rows
}

func toTable(rows []row) burn.Table {
	t := burn.Table{}
	for _, r := range rows {
		k := burn.Key{
			Workspace: r.Key[0], Service: r.Key[1], Objective: r.Key[2],
			Cause: r.Key[3], FailureDomain: r.Key[4], Instance: r.Key[5],
		}
		t.Add(burn.Table{k: r.Counts})
	}
	return t
}

func encode(v any) ([]byte, error) {
	var buf bytes.Buffer
	z, err := flate.NewWriter(&buf, flate.BestSpeed)
	if err != nil {
		return nil, trace.Wrap(err)
	}
	if err := json.NewEncoder(z).Encode(v); err != nil {
		return nil, trace.Wrap(err)
	}
	if err := z.Close(); err != nil {
		return nil, trace.Wrap(err)
	}
	return buf.Bytes(), nil
}

// maxDecoded bounds what one value may unpack to.
const maxDecoded = 64 << 20

func decode(data []byte, v any) error {
	if len(data) == 0 {
		return nil
	}
	z := io.LimitReader(flate.NewReader(bytes.NewReader(data)), maxDecoded)
	return trace.Wrap(json.NewDecoder(z).Decode(v))
}

// encodeTable drops the detail by instance if the value would be too large with it.
func encodeTable(t burn.Table, wrap func([]row) any) ([]byte, error) {
	data, err := encode(wrap(toRows(t)))
	if err != nil || len(data) <= platform.MaxValueBytes {
		return data, err
	}
	data, err = encode(wrap(toRows(t.WithoutInstances())))
	if err == nil && len(data) > platform.MaxValueBytes {
		err = platform.ErrTooLarge
	}
	return data, err
}
