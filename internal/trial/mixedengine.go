package trial

import (
	"slices"
	"time"

	"github.com/egrethoist/egrethoist/internal/routing"
)

// step runs one step of an engine: a chunk of the most urgent prompt and a token of each running request.
func (m *mixedSim) step(e *mixedEngine) {
	if e.busy || len(e.waiting)+len(e.running) == 0 {
		return
	}
	e.busy = true
	took := mixedStepTime + time.Duration(len(e.running))*mixedStepEach
	var prompt *mixedRequest
	if len(e.waiting) > 0 && len(e.running) < mixedSlots {
		prompt = slices.MinFunc(e.waiting, func(a, b *mixedRequest) int { return a.kind.urgency - b.kind.urgency })
		took += mixedChunkTime * time.Duration(min(prompt.left, mixedChunk)) / mixedChunk
	}
	m.after(time.Duration(float64(took)*e.slowdown), func() {
		e.busy = false
		for _, rq := range slices.Clone(e.running) {
			m.token(e, rq)
		}
		if prompt != nil && !prompt.ended {
			m.prefilled(e, prompt)
		}
		m.step(e)
	})
}

// prefilled ends a chunk of a prompt. After the last one the request sends its first event.
func (m *mixedSim) prefilled(e *mixedEngine, rq *mixedRequest) {
	if rq.left -= mixedChunk; rq.left > 0 {
		return
	}
	e.waiting = slices.DeleteFunc(e.waiting, func(other *mixedRequest) bool { return other == rq })
	e.running = append(e.running, rq)
	rq.sent = mixedEvent - 1
	m.token(e, rq)
}

// token sends a token of a running request; events carry several of them.
func (m *mixedSim) token(e *mixedEngine, rq *mixedRequest) {
	rq.sent++
	done := rq.sent >= rq.tokens
	if rq.sent%mixedEvent != 0 && !done {
		return
	}
	slowdown := e.slowdown
	m.after(mixedDelay, func() { m.event(rq, slowdown, done) })
	if done {
		e.running = slices.DeleteFunc(e.running, func(other *mixedRequest) bool { return other == rq })
	}
}

// event receives an event at the gateway. The head of the answer, with the load and the speed, comes with the first one.
func (m *mixedSim) event(rq *mixedRequest, slowdown float64, done bool) {
	if rq.ended {
		return
	}
	g, speed := rq.gateway, &rq.gateway.speeds[rq.engine]
	if rq.first.IsZero() {
		rq.first = m.now
		m.endPrefill(rq)
		g.service.Report(speed, slowdown, m.now)
		m.report(rq)
		g.service.AddRatio(speed, g.service.AddFirst(rq.work, m.now.Sub(rq.arrived)), false, m.now)
		if m.counts(rq) && m.now.Sub(rq.arrived) <= rq.kind.objective {
			m.result.InObjective[rq.index()]++
		}
	} else {
		rq.longestPause = max(rq.longestPause, m.now.Sub(rq.lastEvent))
	}
	rq.lastEvent = m.now
	if done {
		rq.ended = true
		g.service.AddStream(rq.work, speed.PrefillShare(m.now), (rq.tokens+mixedEvent-1)/mixedEvent, m.now.Sub(rq.first))
		rq.stats().Finish(m.now.Sub(rq.arrived))
		m.recordPause(rq)
	}
}

func (m *mixedSim) report(rq *mixedRequest) {
	m.sequence++
	e := m.engines[rq.engine]
	rq.stats().Report(routing.Load{Incarnation: 1, Sequence: m.sequence, Limit: mixedSlots, InFlight: len(e.running), Queued: len(e.waiting), ReceivedAt: m.now})
}

func (m *mixedSim) endPrefill(rq *mixedRequest) {
	stats := rq.stats()
	stats.AddPendingTokens(rq.kind.urgency, -rq.read)
	rq.gateway.speeds[rq.engine].ObservePrefill(stats.PendingTokens(1) > 0, m.now)
}

// counts reports whether the request arrived after the warm-up.
func (m *mixedSim) counts(rq *mixedRequest) bool { return rq.arrived.Sub(epoch) > mixedWarmup }

func (m *mixedSim) recordPause(rq *mixedRequest) {
	if !m.counts(rq) || rq.kind.pauseAtMost == 0 {
		return
	}
	m.pauses = append(m.pauses, rq.longestPause)
	if rq.longestPause > rq.kind.pauseAtMost {
		m.result.LongPauses++
	}
}

// expire cuts a request off at its deadline.
func (m *mixedSim) expire(rq *mixedRequest) {
	if rq.ended {
		return
	}
	rq.ended = true
	e := m.engines[rq.engine]
	same := func(other *mixedRequest) bool { return other == rq }
	e.waiting, e.running = slices.DeleteFunc(e.waiting, same), slices.DeleteFunc(e.running, same)
	if rq.first.IsZero() {
		m.endPrefill(rq)
	} else if rq.kind.urgency == 1 && m.counts(rq) {
		m.result.CutBegun++
	}
	rq.stats().Finish(0)
	if m.counts(rq) {
		m.result.Late[rq.index()]++
	}
	m.recordPause(rq)
}
