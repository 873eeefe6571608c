package egretctl

import (
	"encoding/json"
	"slices"
	"strings"
	"testing"

	"github.com/egrethoist/egrethoist/internal/gateway"
	"github.com/egrethoist/egrethoist/internal/metastore/memory"
)

// An operator must see which software versions serve streams, which one needs no records, and how many streams the others have.
func TestSoftwareVersionsAreListed(t *testing.T) {
	c := &storeConsole{t, memory.New()}
	if out := c.run(ExitOK, "software", "--output", "json"); strings.TrimSpace(out) != "[]" {
		t.Errorf("without records: %s", out)
	}
	for key, value := range map[string]string{
		gateway.SoftwarePrefix + "llm": `{"baseline":"v1","announced":["v2","v3"]}`, gateway.SoftwarePrefix + "broken": `{`,
		gateway.HoldPrefix + "llm/v3": `{}`, gateway.StreamPrefix + "1": `{"service":"llm","software":"v2"}`, gateway.StreamPrefix + "2": `{"service":"llm","software":"v2"}`,
		gateway.StreamPrefix + "3": `{"service":"old","software":"v7"}`, gateway.StreamPrefix + "4": `{}`,
	} {
		c.store.Put(key, []byte(value))
	}
	out := c.run(ExitOK, "software", "--output", "json")
	var rows []softwareRow
	if err := json.Unmarshal([]byte(out[:strings.Index(out, "\n")]), &rows); err != nil {
		t.Fatal(err)
	}
	want := []softwareRow{{"llm", "v1", "baseline", 0}, {"llm", "v2", "open", 2}, {"llm", "v3", "announced", 0}, {"old", "v7", "unknown", 1}}
	if !slices.Equal(rows, want) {
		t.Errorf("listed %+v, want %+v", rows, want)
	}
	if got := strings.Count(out, "invalid record"); got != 2 {
		t.Errorf("%d records called invalid, want 2: %s", got, out)
	}
	if text := c.run(ExitOK, "software"); !strings.Contains(text, "announced") {
		t.Errorf("table %q", text)
	}
}
