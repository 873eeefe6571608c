package gateway

import (
	"errors"
	"net/http"
	"slices"
	"time"

	"github.com/egrethoist/egrethoist/internal/catalog"
	"github.com/egrethoist/egrethoist/internal/streampin"
)

// mayBeResumed reports whether the request's answer is a stream that a later request may resume.
func (rq *request) mayBeResumed() bool {
	return rq.route.Kind == catalog.KindStreaming && rq.route.Resumable && rq.service.software != nil
}

// streamID returns the ID of the request's stream: that of the caller's attempt that received its first event, empty if unknown.
func (rq *request) streamID() string {
	if rq.call.LastEventID > 0 {
		return rq.call.Resumes
	}
	return rq.call.ID
}

// pinStream finds out at which software version the request must run, if it resumes a stream. It returns errUnknownStream if that is
// unknown, and the context's error if the request has ended.
func (rq *request) pinStream() error {
	if rq.pinned != "" || rq.call.LastEventID == 0 || !rq.mayBeResumed() {
		return nil
	}
	streams := rq.gateway.opts.State.streams
	v, source, err := streampin.Version{}, sourceNone, errUnknownStream
	if id := rq.streamID(); id != "" {
		v, source, err = streams.resolve(rq.ctx, id, rq.service.software)
	} else if known, ok := streams.knownWithoutStore(rq.service.software); ok {
		v, source, err = known, sourceBaseline, nil
	}
	rq.pinSource = source
	if err == nil && v.Service != rq.service.Name {
		err = rq.switchService(v.Service)
	}
	if err != nil {
		if errors.Is(err, errUnknownStream) {
			streams.metrics.unknown.Inc(1)
		}
		return err
	}
	rq.pinned = v.Software
	if id := rq.streamID(); id != "" && source != sourceBaseline {
		streams.pins.Set(id, v, time.Now(), rq.service.streamLifetime) // the caller may come back
	}
	return nil
}

// switchService makes the request run at the service that began its stream. It returns errUnknownStream if the route no longer leads there.
func (rq *request) switchService(name string) error {
	sv := rq.view.services[name]
	if sv == nil || sv.software == nil || !slices.ContainsFunc(rq.route.Shares, func(share catalog.Share) bool { return share.Service == name }) {
		return errUnknownStream
	}
	rq.service, rq.pinnedService, rq.prefix = sv, name, nil
	return nil
}

// allowedSoftware returns the software versions at which the request may run, nil for all.
func (rq *request) allowedSoftware() []string {
	switch {
	case rq.pinned != "":
		return []string{rq.pinned}
	case !rq.mayBeResumed():
		return nil
	}
	return rq.service.beginAt(rq.gateway.opts.State.streams.canRecord())
}

// recordBegin starts to record the stream that the request is about to begin at a target, if it needs a record. From then on the request
// must run at that version, since the record may be written even if that is not confirmed.
func (rq *request) recordBegin(t *target) {
	if rq.pinned != "" || !rq.mayBeResumed() || !streampin.ValidID(rq.call.ID) {
		return
	}
	streams := rq.gateway.opts.State.streams
	rule := rq.service.software.RecordRuleFor(t.software, streams.canRecord())
	if rule == streampin.NoRecord || streams.recorder == nil {
		return
	}
	rq.pinned = t.software
	record := streams.recorder.add(rq.call.ID, streampin.Version{Service: rq.service.Name, Software: t.software}, rq.service.streamLifetime)
	if rule == streampin.RecordFirst {
		rq.record = record
	}
}

// beginEvents begins the caller's answer with the head of a target's stream. It waits for the record of the stream, if there is one, and
// binds the request to the target's software version. It returns an error if the stream cannot be recorded.
func (rq *request) beginEvents(t *target, resp *http.Response) error {
	if rq.record != nil {
		if err := rq.record.wait(rq.ctx); err != nil {
			return err
		}
	}
	if err := rq.answer.beginStream(resp.StatusCode, rq.targetHeader(resp)); err != nil {
		return err
	}
	if !rq.mayBeResumed() {
		return nil
	}
	rq.pinned = t.software
	streams := rq.gateway.opts.State.streams
	counters := streams.metrics.of(t.software)
	if rq.call.LastEventID > 0 {
		counters.resumed.Inc(1)
	} else {
		counters.begun.Inc(1)
	}
	if id := rq.streamID(); streampin.ValidID(id) {
		streams.pins.Set(id, streampin.Version{Service: rq.service.Name, Software: t.software}, time.Now(), rq.service.streamLifetime)
	}
	return nil
}
