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

// fenceEarlierHomes sends a FenceRequest for the key to each target concurrently and returns the results in their
// order. readMicros is the time at which the entry gateway read the request, in Unix microseconds.
func (s *Sidecar) fenceEarlierHomes(ctx context.Context, key once.Key, readMicros int64, targets []string) []once.FenceResult {
	ctx, cancel := context.WithTimeout(ctx, fenceTimeout)
	defer cancel()
	out := make([]once.FenceResult, len(targets))
	var wg sync.WaitGroup
	for i, target := range targets {
		wg.Go(func() { out[i] = s.fenceHome(ctx, key, readMicros, target) })
	}
	wg.Wait()
	return out
}

// fenceHome sends a FenceRequest to one target. If the target cannot be reached or is no longer declared, the result is
// StateUnknown.
func (s *Sidecar) fenceHome(ctx context.Context, key once.Key, readMicros int64, target string) once.FenceResult {
	unknown := once.FenceResult{Target: target, State: once.StateUnknown, Unreachable: true}
	w := s.opts.Config.Current()
	if w == nil || w.Targets[target] == nil {
		return unknown
	}
	current := s.ledger.currentGeneration()
	c := s.peers.Client(w.Targets[target].Sidecar)
	rpc := egretv1connect.NewSidecarServiceClient(c, c.URL(), connect.WithGRPC())
	resp, err := rpc.Fence(ctx, connect.NewRequest(&egretv1.FenceRequest{
		Service:        key.Service,
		Workspace:      key.Workspace,
		IdempotencyKey: key.ID,
		Taker:          s.opts.Name,
		Revision:       current.Revision,
		ReadUnixMicros: readMicros,
	}))
	if err != nil {
		unknown.GoneSince = s.ledger.ackedSince(target)
		return unknown
	}
	s.ledger.ack(target, resp.Msg.Revision, time.Now())
	return fenceResultFromWire(target, resp.Msg)
}

// currentGeneration returns the generation in force.
func (l *ledger) currentGeneration() once.Generation {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.homes.Current()
}

func fenceResultFromWire(target string, m *egretv1.FenceResponse) once.FenceResult {
	result := once.FenceResult{Target: target, State: once.StateUnknown}
	copy(result.Fingerprint[:], m.Fingerprint)
	switch m.State {
	case egretv1.OutcomeState_OUTCOME_STATE_NOT_RUN:
		result.State = once.StateNone
	case egretv1.OutcomeState_OUTCOME_STATE_RUNNING:
		result.State = once.StateRunning
	case egretv1.OutcomeState_OUTCOME_STATE_RUN:
		result.State = once.StateDone
		if m.Head != nil {
			result.Answer = &once.Answer{Status: int(m.Head.Status), Header: storedHeaders(m.Head.Headers), Body: m.Body}
		}
	}
	return result
}

// Fence handles the request of the new home of a key to fence it here.
func (s *Sidecar) Fence(_ context.Context, req *connect.Request[egretv1.FenceRequest]) (*connect.Response[egretv1.FenceResponse], error) {
	m := req.Msg
	result, revision := s.ledger.fence(once.FenceRequest{
		Key:      once.Key{Workspace: m.Workspace, Service: m.Service, ID: m.IdempotencyKey},
		NewHome:  m.Taker,
		Revision: m.Revision,
		ReadAt:   time.UnixMicro(m.ReadUnixMicros),
	})
	out := fenceResultToWire(result)
	out.Revision = revision
	return connect.NewResponse(out), nil
}

// fence fences a key and also returns the revision that the ledger acts on.
func (l *ledger) fence(r once.FenceRequest) (once.FenceResult, uint64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.keys.Fence(r, time.Now()), l.revision
}

func fenceResultToWire(result once.FenceResult) *egretv1.FenceResponse {
	out := &egretv1.FenceResponse{State: egretv1.OutcomeState_OUTCOME_STATE_UNKNOWN, Fingerprint: result.Fingerprint[:]}
	switch result.State {
	case once.StateNone:
		out.State = egretv1.OutcomeState_OUTCOME_STATE_NOT_RUN
	case once.StateRunning:
		out.State = egretv1.OutcomeState_OUTCOME_STATE_RUNNING
	case once.StateDone:
		out.State = egretv1.OutcomeState_OUTCOME_STATE_RUN
		if result.Answer != nil {
			out.Head = answerHead(result.Answer)
			out.Body = result.Answer.Body
		}
	}
	return out
}
