package rereads

import (
	"testing"
	"time"
)

var epoch = time.Unix(1_800_000_000, 0)

func at(ms int) time.Time { return epoch.Add(time.Duration(ms) * time.Millisecond) }

// savingPrefill saves part p at target a, from 0 to 200 ms.
var savingPrefill = Prefill{Sent: at(0), FirstByte: at(200), Part: "p", WeightVersion: 1, Target: "a", Saved: true}

// Guards against attributing a prefill to the wrong cause, also at the limits of residencyTime and saveVisibleAfter.
func TestClassify(t *testing.T) {
	for name, c := range map[string]struct {
		before []Prefill
		read   Prefill
		want   Cause
	}{
		"fetched":             {[]Prefill{savingPrefill}, Prefill{Sent: at(5000), Target: "b", Fetched: true}, Fetched},
		"there":               {[]Prefill{savingPrefill}, Prefill{Sent: at(5000), Target: "b", Resident: true}, Resident},
		"first":               {nil, Prefill{Sent: at(0), Target: "b"}, FirstPrefill},
		"other weights":       {[]Prefill{savingPrefill}, Prefill{Sent: at(5000), Target: "b", WeightVersion: 2}, FirstPrefill},
		"same target":         {[]Prefill{savingPrefill}, Prefill{Sent: at(1900), Target: "a"}, LikelyResident},
		"same target, later":  {[]Prefill{savingPrefill}, Prefill{Sent: at(5000), Target: "a"}, SavedNotFetched},
		"being read":          {[]Prefill{savingPrefill}, Prefill{Sent: at(100), Target: "b"}, PrefillInProgress},
		"never answered":      {[]Prefill{{Sent: at(0), Part: "p", WeightVersion: 1, Target: "a", Saved: true}}, Prefill{Sent: at(5000), Target: "b"}, PrefillInProgress},
		"just saved":          {[]Prefill{savingPrefill}, Prefill{Sent: at(2100), Target: "b", Saved: true}, JustSaved},
		"saved and known":     {[]Prefill{savingPrefill}, Prefill{Sent: at(2200), Target: "b"}, SavedNotFetched},
		"saved and not known": {[]Prefill{savingPrefill}, Prefill{Sent: at(2200), Target: "b", Saved: true}, SavedAgain},
		"never saved":         {[]Prefill{{Sent: at(0), FirstByte: at(200), Part: "p", WeightVersion: 1, Target: "a"}}, Prefill{Sent: at(5000), Target: "b"}, NeverSaved},
	} {
		c.read.Part = "p"
		if c.read.WeightVersion == 0 {
			c.read.WeightVersion = 1
		}
		if got := classify(c.read, withWeights(c.before, c.read.WeightVersion)); got != c.want {
			t.Errorf("%s: %v, want %v", name, got, c.want)
		}
	}
}

// withWeights returns the prefills with a weight version.
func withWeights(list []Prefill, weights int) []Prefill {
	var out []Prefill
	for _, r := range list {
		if r.WeightVersion == weights {
			out = append(out, r)
		}
	}
	return out
}

// Guards against sums that depend on the input order.
func TestSummarize(t *testing.T) {
	second := Prefill{Sent: at(5000), FirstByte: at(5300), Part: "p", WeightVersion: 1, Target: "b", Tokens: 900}
	third := Prefill{Sent: at(6000), FirstByte: at(6100), Part: "p", WeightVersion: 1, Target: "c", Tokens: 900}
	rows := Summarize([]Prefill{third, second, savingPrefill}) // not in chronological order
	if len(rows) != 2 || rows[0].Cause != FirstPrefill || rows[1].Cause != SavedNotFetched {
		t.Fatalf("rows %+v", rows)
	}
	if r := rows[1]; r.Requests != 2 || r.Tokens != 1800 || r.P50 != 300*time.Millisecond {
		t.Errorf("row %+v", r)
	}
}

// Guards against misreading a request line, and against accepting other or truncated lines.
func TestParse(t *testing.T) {
	const text = `  3.2 front-1 {"time":"2026-08-07T05:45:17.5Z","level":"INFO","msg":"request","id":"a","took":500000000,"first":200000000,` +
		`"cache":"5c1e unknown, fetch 172.20.0.2:80, save 172.20.0.3:80","forecast":{"read":700},"tries":[{"target":"x"},{"target":"t","weights":3,"sent_ms":100}]}`
	r, ok := Parse([]byte(text))
	want := Prefill{
		Sent: time.Date(2026, 8, 7, 5, 45, 17, 100_000_000, time.UTC), FirstByte: time.Date(2026, 8, 7, 5, 45, 17, 200_000_000, time.UTC),
		Part: "5c1e", WeightVersion: 3, Target: "t", Tokens: 700, Fetched: true, Saved: true,
	}
	if !ok || r != want {
		t.Errorf("%+v, %v; want %+v", r, ok, want)
	}
	for _, other := range []string{
		"", "no line", `{"msg":"starting"}`, `{"msg":"request","cache":"p unknown","tries":[]}`, text[:len(text)-20],
		`{"msg":"request","cache":"p unknown","tries":[{"target":"t"}]}`,
	} {
		if _, ok := Parse([]byte(other)); ok {
			t.Errorf("%q is accepted as a request", other)
		}
	}
}
