package rereads

import (
	"bytes"
	"encoding/json"
	"strings"
	"time"
)

// line is what a gateway writes of a request, as far as it is needed here.
type line struct {
	Message  string    `json:"msg"`
	Time     time.Time `json:"time"`
	Took     int64     `json:"took"`  // nanoseconds
	First    int64     `json:"first"` // nanoseconds; zero if nothing was answered
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

// Parse reads a request from a line of a gateway's log, which may have a prefix before its JSON. It returns false if the line tells
// of no request that was sent with a shared part.
func Parse(text []byte) (Read, bool) {
	i := bytes.IndexByte(text, '{')
	if i < 0 || !bytes.Contains(text, []byte(`"msg":"request"`)) {
		return Read{}, false
	}
	var l line
	if json.Unmarshal(text[i:], &l) != nil || l.Message != "request" || l.Cache == "" || len(l.Tries) == 0 {
		return Read{}, false // lines that were cut short tell nothing
	}
	last := l.Tries[len(l.Tries)-1]
	head, moves, _ := strings.Cut(l.Cache, ", ")
	part, kind, ok := strings.Cut(head, " ")
	if !ok || last.SentMs == 0 {
		return Read{}, false
	}
	arrived := l.Time.Add(-time.Duration(l.Took))
	r := Read{
		Sent: arrived.Add(time.Duration(last.SentMs * float64(time.Millisecond))), Part: part, Weights: last.Weights, Target: last.Target,
		There: kind == "there",
	}
	if l.First > 0 {
		r.First = arrived.Add(time.Duration(l.First))
	}
	if l.Forecast != nil {
		r.Tokens = l.Forecast.Read
	}
	for _, move := range strings.Split(moves, ", ") {
		r.Fetched = r.Fetched || strings.HasPrefix(move, "fetch ")
		r.Saved = r.Saved || strings.HasPrefix(move, "save ")
	}
	return r, true
}
