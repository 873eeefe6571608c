package process

import (
	"context"
	"encoding/hex"
	"encoding/json"
	"net/http"
	"time"

	"github.com/egrethoist/egrethoist/internal/entry"
	"github.com/egrethoist/egrethoist/internal/statusz"
)

func (p *Process) answerStatus(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set("Content-Type", "application/json")
	json.NewEncoder(w).Encode(p.status())
}

// gaugePeriod is the period at which the status is shown as metrics.
const gaugePeriod = 5 * time.Second

// showStatus keeps the gauges up to date until ctx ends.
func (p *Process) showStatus(ctx context.Context) error {
	gauges := statusz.NewGauges(p.Scope)
	tick := time.NewTicker(gaugePeriod)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-tick.C:
			gauges.Set(p.status())
		}
	}
}

func (p *Process) status() *statusz.Process {
	st := p.spread.Status()
	s := statusz.Process{
		Name:          p.Settings.Name,
		FailureDomain: p.Settings.FailureDomain,
		Revision:      st.Revision.Number,
		Digest:        hex.EncodeToString(st.Revision.Digest[:]),
		Confirmed:     st.Confirmed,
		ConfirmedAge:  st.ConfirmedAge.Seconds(),
		Watching:      st.Watching,
		HeadRefused:   st.HeadRefused,
	}
	if p.Describe != nil {
		p.Describe(&s)
	}
	return &s
}

func describeEntry(e *entry.Entry, s *statusz.Process) {
	s.Role = "entry"
	s.Targets = e.Targets()
}

func (h *sidecarHost) describe(s *statusz.Process) {
	s.Role = "sidecar"
	if h.ready() != nil {
		return
	}
	own := h.sidecar.Status()
	s.Sidecar = &own
}
