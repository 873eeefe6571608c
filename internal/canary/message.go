package canary

import (
	"encoding/json"
	"errors"
	"fmt"
)

// messageByte is the first byte of an encoded message. It differs from that of all other datagrams between instances.
const messageByte = 'V'

// Report tells the owner what an instance has seen of one rollout. Its counts are cumulative, so that a lost one is made good by the next.
type Report struct {
	Instance    string
	Incarnation uint64 // random, differs after a restart
	Sequence    uint64
	Service     string
	Epoch       int64 // Record.StartedMs
	Requests    int   // of the service
	Exposed     int   // of them to the new version
	InFlightOld int   // attempts at old targets
	Sealed      bool  // nothing more goes to old targets
	HeardStop   string
	Cells       []Cell
}

// Permit tells an instance what the owner has decided for one rollout.
type Permit struct {
	Token   uint64             `json:"t"` // fencing token of the owner
	Service string             `json:"s"`
	Epoch   int64              `json:"e"`
	Phase   Phase              `json:"p"` // as in the metadata store
	Share   float64            `json:"h,omitempty"`
	Routes  map[string]float64 `json:"r,omitempty"`
	Bound   float64            `json:"b,omitempty"`
	Exclude []string           `json:"x,omitempty"`
	Targets int                `json:"n,omitempty"`
	Cut     bool               `json:"c,omitempty"`
	Stop    string             `json:"o,omitempty"`
	LeftMs  int64              `json:"l"` // until the deadline
	TTLMs   int64              `json:"v"` // for which the permit is valid
}

// Message is a datagram. One of the fields is set.
type Message struct {
	Report *Report
	Permit *Permit
}

// wireReport is the compact form of a Report.
type wireReport struct {
	Instance    string     `json:"i"`
	Incarnation uint64     `json:"b"`
	Sequence    uint64     `json:"q"`
	Service     string     `json:"s"`
	Epoch       int64      `json:"e"`
	Requests    int        `json:"n"`
	Exposed     int        `json:"x"`
	InFlight    int        `json:"f"`
	Sealed      bool       `json:"z,omitempty"`
	HeardStop   string     `json:"o,omitempty"`
	Cells       []wireCell `json:"c,omitempty"`
}

type wireCell struct {
	Version   string   `json:"v"`
	Route     string   `json:"r"`
	Target    string   `json:"t,omitempty"`
	Answers   int      `json:"a,omitempty"`
	Failed    int      `json:"f,omitempty"`
	Latency   []uint32 `json:"l,omitempty"` // first bucket, and counts from there on
	Durations []uint32 `json:"d,omitempty"`
	Gaps      []uint32 `json:"g,omitempty"`
	Waiting   []uint32 `json:"w,omitempty"`
}

var errMalformed = errors.New("malformed message about a rollout")

func packHistogram(h *Histogram) []uint32 {
	first, last := -1, -1
	for i, c := range h {
		if c > 0 {
			if first < 0 {
				first = i
			}
			last = i
		}
	}
	if first < 0 {
		return nil
	}
	return append([]uint32{uint32(first)}, h[first:last+1]...)
}

func unpackHistogram(w []uint32) (h Histogram, err error) {
	if len(w) == 0 {
		return h, nil
	}
	if int(w[0])+len(w)-1 > numBuckets {
		return h, errMalformed
	}
	copy(h[w[0]:], w[1:])
	return h, nil
}

// IsMessage reports whether a datagram is a message of this package.
func IsMessage(b []byte) bool { return len(b) > 0 && b[0] == messageByte }

// EncodeReport returns datagrams of at most about maxBytes with the report. Each can be taken in without the others.
func EncodeReport(r *Report, maxBytes int) ([][]byte, error) {
	w := wireReport{
		Instance: r.Instance, Incarnation: r.Incarnation, Sequence: r.Sequence, Service: r.Service, Epoch: r.Epoch, Requests: r.Requests, Exposed: r.Exposed,
		InFlight: r.InFlightOld, Sealed: r.Sealed, HeardStop: r.HeardStop,
	}
	head, err := json.Marshal(w)
	if err != nil {
		return nil, err
	}
	var out [][]byte
	flush := func() error {
		raw, err := json.Marshal(w)
		out = append(out, append([]byte{messageByte, 'r'}, raw...))
		w.Cells = nil
		return err
	}
	size := len(head)
	for i := range r.Cells {
		c := &r.Cells[i]
		cell := wireCell{
			Version: c.Version, Route: c.Route, Target: c.Target, Answers: c.Answers, Failed: c.Failed, Latency: packHistogram(&c.Latency),
			Durations: packHistogram(&c.Durations), Gaps: packHistogram(&c.Gaps), Waiting: packHistogram(&c.Waiting),
		}
		raw, err := json.Marshal(cell)
		if err != nil {
			return nil, err
		}
		if size+len(raw) > maxBytes && len(w.Cells) > 0 {
			if err := flush(); err != nil {
				return nil, err
			}
			size = len(head)
		}
		w.Cells = append(w.Cells, cell)
		size += len(raw) + 1
	}
	if len(w.Cells) > 0 || len(out) == 0 {
		if err := flush(); err != nil {
			return nil, err
		}
	}
	return out, nil
}

// Encode returns the encoded permit.
func (p *Permit) Encode() ([]byte, error) {
	raw, err := json.Marshal(p)
	return append([]byte{messageByte, 'p'}, raw...), err
}

// Parse decodes a message. It returns an error if it is malformed.
func Parse(b []byte) (*Message, error) {
	if !IsMessage(b) || len(b) < 2 {
		return nil, errMalformed
	}
	switch b[1] {
	case 'p':
		p := new(Permit)
		if err := json.Unmarshal(b[2:], p); err != nil {
			return nil, fmt.Errorf("%w: %w", errMalformed, err)
		}
		if p.Service == "" || p.Phase.rank() <= 0 || p.Share < 0 || p.Share > 1 {
			return nil, errMalformed
		}
		return &Message{Permit: p}, nil
	case 'r':
		var w wireReport
		if err := json.Unmarshal(b[2:], &w); err != nil {
			return nil, fmt.Errorf("%w: %w", errMalformed, err)
		}
		r, err := w.report()
		if err != nil {
			return nil, err
		}
		return &Message{Report: r}, nil
	}
	return nil, errMalformed
}

func (w *wireReport) report() (*Report, error) {
	r := &Report{
		Instance: w.Instance, Incarnation: w.Incarnation, Sequence: w.Sequence, Service: w.Service, Epoch: w.Epoch, Requests: w.Requests, Exposed: w.Exposed,
		InFlightOld: w.InFlight, Sealed: w.Sealed, HeardStop: w.HeardStop,
	}
	if r.Instance == "" || r.Service == "" {
		return nil, errMalformed
	}
	for _, c := range w.Cells {
		cell := Cell{Key: Key{Version: c.Version, Route: c.Route, Target: c.Target}}
		cell.Answers, cell.Failed = c.Answers, c.Failed
		if c.Answers < 0 || c.Failed < 0 || c.Failed > c.Answers {
			return nil, errMalformed
		}
		for _, h := range []struct {
			to   *Histogram
			from []uint32
		}{{&cell.Latency, c.Latency}, {&cell.Durations, c.Durations}, {&cell.Gaps, c.Gaps}, {&cell.Waiting, c.Waiting}} {
			var err error
			if *h.to, err = unpackHistogram(h.from); err != nil {
				return nil, err
			}
		}
		r.Cells = append(r.Cells, cell)
	}
	return r, nil
}
