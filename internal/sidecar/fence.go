package sidecar

import (
	"context"
	"sync"
	"time"

	"connectrpc.com/connect"

	egretv1 "github.com/egrethoist/egrethoist/gen/egret/v1"
	"github.com/egrethoist/egrethoist/gen/egret/v1/egretv1connect"
	"github.com/egrethoist/egrethoist/internal/once"
)

// askEarlier asks every earlier home of a key to fence it. One that can't be reached answers as unknown.
func (s *Sidecar) askEarlier(ctx context.Context, key once.Key, read int64, targets []string) []once.FenceResult {
	ctx, cancel := context.WithTimeout(ctx, fenceLimit)
	defer cancel()
	out := make([]once.FenceResult, len(targets))
	var wg sync.WaitGroup
	for i, target := range targets {
		wg.Go(func() { out[i] = s.askHome(ctx, key, read, target) })
	}
	wg.Wait()
	return out
}

func (s *Sidecar) askHome(ctx context.Context, key once.Key, read int64, target string) once.FenceResult {
	unknown := once.FenceResult{Target: target, State: once.StateUnknown, Unreachable: true}
	w := s.opts.Config.Current()
	if w == nil || w.Targets[target] == nil {
		return unknown
	}
	current := s.ledger.current()
	c := s.neighbours.Client(w.Targets[target].Sidecar)
	rpc := egretv1connect.NewSidecarServiceClient(c, c.URL(), connect.WithGRPC())
	resp, err := rpc.Fence(ctx, connect.NewRequest(&egretv1.FenceRequest{
		Service:        key.Service,
		Workspace:      key.Workspace,
		IdempotencyKey: key.ID,
		Taker:          s.opts.Name,
		Revision:       current.Revision,
		ReadUnixMicros: read,
	}))
	if err != nil {
		unknown.GoneSince = s.ledger.movedOn(target)
		return unknown
	}
	s.ledger.ack(target, resp.Msg.Revision, time.Now())
	return fromFence(target, resp.Msg)
}

// current returns the generation in force.
func (l *ledger) current() once.Generation {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.homes.Current()
}

func fromFence(target string, m *egretv1.FenceResponse) once.FenceResult {
	h := once.FenceResult{Target: target, State: once.StateUnknown}
	copy(h.Fingerprint[:], m.Fingerprint)
	switch m.State {
	case egretv1.OutcomeState_OUTCOME_STATE_NOT_RUN:
		h.State = once.StateNone
	case egretv1.OutcomeState_OUTCOME_STATE_RUNNING:
		h.State = once.StateRunning
	case egretv1.OutcomeState_OUTCOME_STATE_RUN:
		h.State = once.StateDone
		if m.Head != nil {
			h.Answer = &once.Answer{Status: int(m.Head.Status), Header: storedHeaders(m.Head.Headers), Body: m.Body}
		}
	}
	return h
}

// Fence gives a key away to its new home.
func (s *Sidecar) Fence(_ context.Context, req *connect.Request[egretv1.FenceRequest]) (*connect.Response[egretv1.FenceResponse], error) {
	m := req.Msg
	h, revision := s.ledger.fence(once.FenceRequest{
		Key:      once.Key{Workspace: m.Workspace, Service: m.Service, ID: m.IdempotencyKey},
		NewHome:  m.Taker,
		Revision: m.Revision,
		ReadAt:   time.UnixMicro(m.ReadUnixMicros),
	})
	out := toFence(h)
	out.Revision = revision
	return connect.NewResponse(out), nil
}

// fence also returns the revision that the ledger acts on.
func (l *ledger) fence(r once.FenceRequest) (once.FenceResult, uint64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.book.Fence(r, time.Now()), l.revision
}

func toFence(h once.FenceResult) *egretv1.FenceResponse {
	out := &egretv1.FenceResponse{State: egretv1.OutcomeState_OUTCOME_STATE_UNKNOWN, Fingerprint: h.Fingerprint[:]}
	switch h.State {
	case once.StateNone:
		out.State = egretv1.OutcomeState_OUTCOME_STATE_NOT_RUN
	case once.StateRunning:
		out.State = egretv1.OutcomeState_OUTCOME_STATE_RUNNING
	case once.StateDone:
		out.State = egretv1.OutcomeState_OUTCOME_STATE_RUN
		if h.Answer != nil {
			out.Head = answerHead(h.Answer)
			out.Body = h.Answer.Body
		}
	}
	return out
}
