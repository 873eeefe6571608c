package rereads

import (
	"testing"
	"time"
)

var epoch = time.Unix(1_800_000_000, 0)

func at(ms int) time.Time { return epoch.Add(time.Duration(ms) * time.Millisecond) }

// saver is a read that saves part p at target a, from 0 to 200 ms.
var saver = Read{Sent: at(0), First: at(200), Part: "p", Weights: 1, Target: "a", Saved: true}

func TestCauses(t *testing.T) {
	for name, c := range map[string]struct {
		before []Read
		read   Read
		want   Cause
	}{
		"fetched":             {[]Read{saver}, Read{Sent: at(5000), Target: "b", Fetched: true}, Fetched},
		"there":               {[]Read{saver}, Read{Sent: at(5000), Target: "b", There: true}, There},
		"first":               {nil, Read{Sent: at(0), Target: "b"}, FirstRead},
		"other weights":       {[]Read{saver}, Read{Sent: at(5000), Target: "b", Weights: 2}, FirstRead},
		"same target":         {[]Read{saver}, Read{Sent: at(1900), Target: "a"}, LikelyThere},
		"same target, later":  {[]Read{saver}, Read{Sent: at(5000), Target: "a"}, SavedNotUsed},
		"being read":          {[]Read{saver}, Read{Sent: at(100), Target: "b"}, BeingRead},
		"never answered":      {[]Read{{Sent: at(0), Part: "p", Weights: 1, Target: "a", Saved: true}}, Read{Sent: at(5000), Target: "b"}, BeingRead},
		"just saved":          {[]Read{saver}, Read{Sent: at(2100), Target: "b", Saved: true}, JustSaved},
		"saved and known":     {[]Read{saver}, Read{Sent: at(2200), Target: "b"}, SavedNotUsed},
		"saved and not known": {[]Read{saver}, Read{Sent: at(2200), Target: "b", Saved: true}, SavedNotKnown},
		"never saved":         {[]Read{{Sent: at(0), First: at(200), Part: "p", Weights: 1, Target: "a"}}, Read{Sent: at(5000), Target: "b"}, ReadNeverSaved},
	} {
		c.read.Part = "p"
		if c.read.Weights == 0 {
			c.read.Weights = 1
		}
		if got := causeOf(c.read, keep(c.before, c.read.Weights)); got != c.want {
			t.Errorf("%s: %v, want %v", name, got, c.want)
		}
	}
}

func keep(list []Read, weights int) []Read {
	var out []Read
	for _, r := range list {
		if r.Weights == weights {
			out = append(out, r)
		}
	}
	return out
}

func TestLedgerAddsUp(t *testing.T) {
	second := Read{Sent: at(5000), First: at(5300), Part: "p", Weights: 1, Target: "b", Tokens: 900}
	third := Read{Sent: at(6000), First: at(6100), Part: "p", Weights: 1, Target: "c", Tokens: 900}
	rows := Ledger([]Read{third, second, saver}) // in any order
	if len(rows) != 2 || rows[0].Cause != FirstRead || rows[1].Cause != SavedNotUsed {
		t.Fatalf("rows %+v", rows)
	}
	if r := rows[1]; r.Requests != 2 || r.Tokens != 1800 || r.P50 != 300*time.Millisecond {
		t.Errorf("row %+v", r)
	}
}

func TestParse(t *testing.T) {
	const text = `  3.2 front-1 {"time":"2026-08-07T05:45:17.5Z","level":"INFO","msg":"request","id":"a","took":500000000,"first":200000000,` +
		`"cache":"5c1e unknown, fetch 172.20.0.2:80, save 172.20.0.3:80","forecast":{"read":700},"tries":[{"target":"x"},{"target":"t","weights":3,"sent_ms":100}]}`
	r, ok := Parse([]byte(text))
	want := Read{
		Sent: time.Date(2026, 8, 7, 5, 45, 17, 100_000_000, time.UTC), First: time.Date(2026, 8, 7, 5, 45, 17, 200_000_000, time.UTC),
		Part: "5c1e", Weights: 3, Target: "t", Tokens: 700, Fetched: true, Saved: true,
	}
	if !ok || r != want {
		t.Errorf("%+v, %v; want %+v", r, ok, want)
	}
	for _, other := range []string{
		"", "no line", `{"msg":"starting"}`, `{"msg":"request","cache":"p unknown","tries":[]}`, text[:len(text)-20],
		`{"msg":"request","cache":"p unknown","tries":[{"target":"t"}]}`,
	} {
		if _, ok := Parse([]byte(other)); ok {
			t.Errorf("%q is taken for a request", other)
		}
	}
}
