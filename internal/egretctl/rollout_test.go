package egretctl

import (
	"encoding/json"
	"errors"
	"reflect"
	"strings"
	"testing"

	"github.com/egrethoist/egrethoist/internal/metastore/memory"
)

// putRollout writes the keys of a service's rollout; empty values are left out.
func (c *storeConsole) putRollout(service, order, record, status string) {
	for prefix, value := range map[string]string{rolloutOrderPrefix: order, rolloutRecordPrefix: record, rolloutStatusPrefix: status} {
		if value != "" {
			c.store.Put(prefix+service, []byte(value))
		}
	}
}

// rollouts returns the listed rows by service.
func (c *storeConsole) rollouts() map[string]rolloutRow {
	c.t.Helper()
	out := c.run(ExitOK, "rollout", "--output", "json")
	var list []rolloutRow
	if err := json.Unmarshal([]byte(out[:strings.Index(out, "\n")]), &list); err != nil {
		c.t.Fatal(err)
	}
	rows := map[string]rolloutRow{}
	for _, r := range list {
		rows[r.Service] = r
	}
	return rows
}

const runningRecord = `{"order":1,"target":"v2","old":["v1"],"phase":"ramp","share":0.02,"reason":"few answers so far","started_ms":1000,"deadline_ms":13000,
"evidence":[{"version":"v2","route":"plan","answers":10,"failed":1,"slow":2},{"version":"v1","route":"plan","answers":500,"failed":3,"slow":0}]}`

// An operator must see of each order how far it is, on which evidence, and why it was taken back.
func TestRolloutsAreShown(t *testing.T) {
	c := &storeConsole{t, memory.New()}
	if out := c.run(ExitOK, "rollout", "--output", "json"); strings.TrimSpace(out) != "[]" {
		t.Errorf("without rollouts: %s", out)
	}
	c.putRollout("llm", `{"service":"llm","target":"v2","rampS":12}`, runningRecord, `{"state":"running","target":"v2"}`)
	c.putRollout("new", `{"service":"new","target":"v9","rampS":12}`, "", "")
	c.putRollout("broken", `{`, `[]`, `7`)
	row := c.rollouts()["llm"]
	if row.State != "running" || row.Phase != "ramp" || row.Share != 0.02 || row.Taken != 1 || row.Started.UnixMilli() != 1000 || row.Deadline.UnixMilli() != 13000 {
		t.Errorf("listed as %+v", row)
	}
	want := []rolloutEvidence{{"v2", "plan", 10, 1, 2}, {"v1", "plan", 500, 3, 0}}
	if !reflect.DeepEqual(row.Evidence, want) || !reflect.DeepEqual(row.Old, []string{"v1"}) {
		t.Errorf("evidence %+v, old %v", row.Evidence, row.Old)
	}
	if row := c.rollouts()["new"]; row.State != stateWaiting || row.Target != "v9" || row.Order == 0 || row.Deadline != nil {
		t.Errorf("an order that was not taken up is listed as %+v", row)
	}
	text := c.run(ExitOK, "rollout")
	for _, part := range []string{"llm", "running", "2.0%", "reason: few answers so far", "v2 on route plan: 10 answers, 1 failed, 2 slow", "1970-01-01T00:00:13Z"} {
		if !strings.Contains(text, part) {
			t.Errorf("%q is missing in %s", part, text)
		}
	}
	if got := strings.Count(text, "invalid record"); got != 3 {
		t.Errorf("%d records called invalid, want 3: %s", got, text)
	}
}

// The state of an earlier order must not be shown as that of a newer one, and the record must stay readable once the order is gone.
func TestRolloutStateBelongsToTheLatestOrder(t *testing.T) {
	rolledBack := `{"order":1,"target":"v2","old":["v1"],"phase":"rolled_back","share":0,"reason":"v2 fails on plan","started_ms":1000,"deadline_ms":13000}`
	for _, test := range []struct {
		name, order, record, status, state, reported, target string
	}{
		{"other target", `{"target":"v3","rampS":12}`, runningRecord, `{"state":"running","target":"v2"}`, stateWaiting, "running", "v3"},
		{"again after rollback", `{"target":"v2","rampS":12}`, rolledBack, `{"state":"rolled_back","target":"v2"}`, stateWaiting, "rolled_back", "v2"},
		{"again while running", `{"target":"v2","rampS":12}`, runningRecord, `{"state":"running","target":"v2"}`, "running", "running", "v2"},
		{"order removed", "", rolledBack, `{"state":"rolled_back","target":"v2"}`, "rolled_back", "rolled_back", "v2"},
		{"record removed", "", "", `{"state":"done","target":"v2"}`, "done", "done", "v2"},
	} {
		t.Run(test.name, func(t *testing.T) {
			c := &storeConsole{t, memory.New()}
			c.store.Put("op/other", []byte("{}")) // revision 1, so that the order is newer than the record's
			c.putRollout("llm", test.order, test.record, test.status)
			row := c.rollouts()["llm"]
			if row.State != test.state || row.Reported != test.reported || row.Target != test.target {
				t.Errorf("listed as %+v", row)
			}
			c.run(ExitOK, "rollout")
		})
	}
}

// An unreachable store must be reported instead of an empty list.
func TestRolloutReportsOutages(t *testing.T) {
	c := &storeConsole{t, memory.New()}
	c.store.SetFault(func(string) error { return errors.New("store unreachable") })
	if out := c.run(ExitFailed, "rollout"); !strings.Contains(out, "store unreachable") {
		t.Errorf("outage: %s", out)
	}
}
