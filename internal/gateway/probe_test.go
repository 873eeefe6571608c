package gateway

import (
	"net/http"
	"testing"

	"github.com/egrethoist/egrethoist/internal/catalog"
	"github.com/egrethoist/egrethoist/internal/fake/rawhttp"
	"github.com/egrethoist/egrethoist/internal/forecast"
	"github.com/egrethoist/egrethoist/internal/roster"
)

// loadProtocol is a Protocol whose answers report a load.
type loadProtocol struct{ Protocol }

func (loadProtocol) TargetHeaders(h http.Header, _ ForwardParams) http.Header { return h }
func (loadProtocol) ReadReply(int, http.Header) Reply {
	return Reply{Notice: Notice{Speed: 2}, HasLoad: true, Running: 1, Slots: 8}
}

// The load of an answer to a probe that was cut, or that breaks HTTP, must not decide where a request goes.
func TestLoadProbeUsesWholeAnswersOnly(t *testing.T) {
	run := func(raw string) bool {
		state := NewState(StateOptions{})
		probed := newTarget(roster.Target{Record: roster.Record{ID: "t", Address: rawhttp.Serve(t, rawhttp.Always(raw))}}, 1, nil, state.limits)
		defer probed.probes.Close()
		p := loadProbe{
			gateway: &Gateway{opts: Options{State: state, Protocol: loadProtocol{}}},
			service: &service{Service: &catalog.Service{HealthPath: "/health"}, forecast: forecast.NewService(50_000)}, target: probed,
		}
		return p.run(t.Context()) != nil
	}
	for name, raw := range rawhttp.Broken("", "body") {
		if run(raw) {
			t.Errorf("%s: used", name)
		}
	}
	for name, raw := range map[string]string{
		"shorter than its length": "HTTP/1.1 200 OK\r\nContent-Length: 10\r\n\r\nbody",
		"cut between chunks":      "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nbody\r\n",
	} {
		if run(raw) {
			t.Errorf("%s: used", name)
		}
	}
	for name, raw := range rawhttp.Sound("", "body") {
		if !run(raw) {
			t.Errorf("%s: not used", name)
		}
	}
}
