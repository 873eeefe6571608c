package rereads

import (
	"bytes"
	"encoding/json"
	"strings"
	"time"
)

// requestLine contains the fields of a gateway's request log line that are used here.
type requestLine struct {
	Message  string    `json:"msg"`
	Time     time.Time `json:"time"`
	Took     int64     `json:"took"`  // duration of the request in ns; Time is its end
	First    int64     `json:"first"` // time to the first byte of the response in ns; zero if there was none
	Cache    string    `json:"cache"` // PART KIND[, fetch ADDRESS][, save ADDRESS]
	Forecast *struct {
		Read int `json:"read"`
	} `json:"forecast"`
	Tries []struct {
		Target  string  `json:"target"`
		Weights int     `json:"weights"`
		SentMs  float64 `json:"sent_ms"`
	} `json:"tries"`
}

// Parse parses a line of a gateway's log, which may have a prefix before its JSON. It returns false unless the line describes
// a request with a shared prompt part that was sent to a target.
func Parse(text []byte) (Prefill, bool) {
	i := bytes.IndexByte(text, '{')
	if i < 0 || !bytes.Contains(text, []byte(`"msg":"request"`)) {
		return Prefill{}, false
	}
	var l requestLine
	if json.Unmarshal(text[i:], &l) != nil || l.Message != "request" || l.Cache == "" || len(l.Tries) == 0 {
		return Prefill{}, false // also for truncated lines
	}
	last := l.Tries[len(l.Tries)-1]
	head, transfers, _ := strings.Cut(l.Cache, ", ")
	part, kind, ok := strings.Cut(head, " ")
	if !ok || last.SentMs == 0 {
		return Prefill{}, false
	}
	arrived := l.Time.Add(-time.Duration(l.Took))
	r := Prefill{
		Sent: arrived.Add(time.Duration(last.SentMs * float64(time.Millisecond))), Part: part, WeightVersion: last.Weights, Target: last.Target,
		Resident: kind == "there",
	}
	if l.First > 0 {
		r.FirstByte = arrived.Add(time.Duration(l.First))
	}
	if l.Forecast != nil {
		r.Tokens = l.Forecast.Read
	}
	for _, transfer := range strings.Split(transfers, ", ") {
		r.Fetched = r.Fetched || strings.HasPrefix(transfer, "fetch ")
		r.Saved = r.Saved || strings.HasPrefix(transfer, "save ")
	}
	return r, true
}
