package egretctl

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"strings"
	"testing"
	"time"

	"github.com/egrethoist/egrethoist/internal/gateway"
	"github.com/egrethoist/egrethoist/internal/metastore"
	"github.com/egrethoist/egrethoist/internal/metastore/memory"
	"github.com/egrethoist/egrethoist/internal/quarantine"
	"github.com/egrethoist/egrethoist/internal/units"
)

// storeConsole runs commands against a metadata store.
type storeConsole struct {
	t     *testing.T
	store *memory.Store
}

func (c *storeConsole) run(want int, args ...string) string {
	c.t.Helper()
	var out, errs bytes.Buffer
	env := Env{Stdout: &out, Stderr: &errs, DialStore: func(units.Address) metastore.Store { return c.store }}
	if got := Run(env, append(args, "--store", "127.0.0.1:7000")); got != want {
		c.t.Errorf("%v: exit code %d, want %d\n%s%s", args, got, want, &out, &errs)
	}
	return out.String() + errs.String()
}

func (c *storeConsole) put(q quarantine.Quarantine, refused int) {
	record := quarantine.NewRecord(q, "front-1")
	record.Refused = refused
	raw, err := json.Marshal(record)
	if err != nil {
		c.t.Fatal(err)
	}
	if _, err := c.store.Commit(context.Background(), metastore.Txn{Puts: []metastore.Put{{Key: gateway.QuarantineKey(q.Key()), Value: raw}}}); err != nil {
		c.t.Fatal(err)
	}
}

// An operator must see which parts are refused, after how many crashes, how many requests were refused and until when, and must be able to lift
// a quarantine.
func TestQuarantinesAreListedAndLifted(t *testing.T) {
	c := &storeConsole{t, memory.New()}
	if out := c.run(ExitOK, "quarantines", "--output", "json"); strings.TrimSpace(out) != "[]" {
		t.Errorf("without quarantines: %s", out)
	}
	now := time.Now()
	for _, model := range []string{"m1", "m2"} {
		c.put(quarantine.Quarantine{Parts: []quarantine.Part{{Model: model, ID: "abc"}}, Crashes: 3, LastCrash: now, Until: now.Add(time.Minute)}, 17)
	}
	both := []quarantine.Part{{Model: "m1", ID: "d"}, {Model: "m1", ID: "e"}}
	c.put(quarantine.Quarantine{Parts: both, Crashes: 2, LastCrash: now.Add(-time.Hour), Until: now.Add(-time.Minute)}, 0)
	c.run(ExitUsage, "lift", "abc")
	if out := c.run(ExitFailed, "lift", "unknown"); !strings.Contains(out, `no quarantine of part "unknown"`) {
		t.Errorf("unknown part: %s", out)
	}
	c.run(ExitOK, "lift", "abc", "--model", "m1")
	c.run(ExitOK, "lift", "d+e")
	var rows []quarantineRow
	if err := json.Unmarshal([]byte(c.run(ExitOK, "quarantines", "--output", "json")), &rows); err != nil {
		t.Fatal(err)
	}
	states := map[string]string{}
	for _, r := range rows {
		states[r.Model+" "+r.Part] = r.State
		if r.Part == "abc" && (r.Crashes != 3 || r.Refused != 17 || r.Until.Unix() != now.Add(time.Minute).Unix()) {
			t.Errorf("listed as %+v", r)
		}
	}
	for name, want := range map[string]string{"m1 abc": "lifted", "m2 abc": "in force", "m1 d+e": "lifted"} {
		if states[name] != want {
			t.Errorf("%s is listed as %q, want %q", name, states[name], want)
		}
	}
	if text := c.run(ExitOK, "quarantines"); !strings.Contains(text, "abc") || !strings.Contains(text, "in force") {
		t.Errorf("text: %s", text)
	}
}

// A change that comes first must not be overwritten, and an unreachable store must be reported.
func TestLiftReportsConflictsAndOutages(t *testing.T) {
	c := &storeConsole{t, memory.New()}
	now := time.Now()
	c.put(quarantine.Quarantine{Parts: []quarantine.Part{{Model: "m", ID: "x"}}, Crashes: 2, LastCrash: now, Until: now.Add(time.Minute)}, 0)
	c.store.SetFault(func(call string) error {
		if call == "commit" {
			return metastore.ErrConflict
		}
		return nil
	})
	if out := c.run(ExitFailed, "lift", "x"); !strings.Contains(out, "try again") {
		t.Errorf("conflict: %s", out)
	}
	c.store.SetFault(func(string) error { return errors.New("store unreachable") })
	if out := c.run(ExitFailed, "quarantines"); !strings.Contains(out, "store unreachable") {
		t.Errorf("outage: %s", out)
	}
	var out, errs bytes.Buffer
	if got := Run(Env{Stdout: &out, Stderr: &errs}, []string{"quarantines", "--store", "nonsense"}); got != ExitUsage {
		t.Errorf("invalid address: exit code %d", got)
	}
}
