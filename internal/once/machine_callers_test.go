package once

import (
	"fmt"
	"time"

	"github.com/google/uuid"
	"pgregory.net/rapid"
)

// newKey sends a request under a new key: one without a creation time, one with, or a ticket.
func (m *machine) newKey(t *rapid.T) {
	k := &keyModel{}
	n := len(m.keys)
	switch rapid.IntRange(0, 2).Draw(t, "kind") {
	case 0:
		k.id = fmt.Sprintf("plain-%d", n)
	case 1:
		k.id = timedID(m.now.Add(drawClockOffset(t)), n)
	case 2:
		p := m.drawLiveProcess(t)
		k.ticket = Ticket{Target: p.target, Incarnation: p.incarnation, Workspace: "w", Minted: m.now.Add(drawClockOffset(t)), Nonce: [8]byte{byte(n)}}
		k.id = k.ticket.String()
	}
	m.keys = append(m.keys, k)
	m.sendRequest(t, k)
}

// newPlainKey sends a request under a new key that is not a ticket, in three of four cases with a creation time.
func (m *machine) newPlainKey(t *rapid.T) {
	k := &keyModel{id: fmt.Sprintf("plain-%d", len(m.keys))}
	if rapid.IntRange(0, 3).Draw(t, "kind") > 0 {
		k.id = timedID(m.now.Add(drawClockOffset(t)), len(m.keys))
	}
	m.keys = append(m.keys, k)
	m.sendRequest(t, k)
}

// newKeyUpToTwo sends a request under a new key unless there are two already.
func (m *machine) newKeyUpToTwo(t *rapid.T) {
	if len(m.keys) >= 2 {
		t.Skip("two keys exist")
	}
	m.newKey(t)
}

// timedID returns a UUID version 7 with the creation time and number.
func timedID(at time.Time, n int) string {
	ms := at.UnixMilli()
	id := uuid.UUID{6: 0x70, 8: 0x80, 14: byte(n >> 8), 15: byte(n)}
	for i := range 6 {
		id[i] = byte(ms >> (40 - 8*i))
	}
	return id.String()
}

// repeatKey sends another request under one of the keys.
func (m *machine) repeatKey(t *rapid.T) {
	if len(m.keys) == 0 {
		t.Skip("no keys")
	}
	k := rapid.SampledFrom(m.keys).Draw(t, "key")
	_, timed := CreationTime(k.id)
	// Callers whose keys have no creation time must respect the window themselves; for other keys the ledger enforces
	// it.
	if !timed && m.now.Sub(k.firstUse) > testWindow {
		t.Skip("outside the retry window")
	}
	m.sendRequest(t, k)
}

// repeatRecentKey sends another request under one of the last three keys.
func (m *machine) repeatRecentKey(t *rapid.T) {
	all := m.keys
	m.keys = all[max(0, len(all)-3):]
	defer func() { m.keys = all }()
	m.repeatKey(t)
}

// sendRequest sends a request from an entry gateway to the home of the key that this gateway knows.
func (m *machine) sendRequest(t *rapid.T, k *keyModel) {
	e := rapid.SampledFrom(m.entries).Draw(t, "entry")
	if k.firstUse.IsZero() {
		k.firstUse = m.now
	}
	key := Key{Workspace: "w", Service: testService, ID: k.id}
	to := e.homes.HomeOf(key)
	if k.ticket.Target != "" {
		to = k.ticket.Target
	}
	m.messages = append(m.messages, &message{target: to, request: BeginRequest{
		Key: key, ReadAt: m.now.Add(e.clockOffset), Fingerprint: [32]byte{1},
	}})
}

// deliverMessage delivers a request to its target and compares the verdict with the model.
func (m *machine) deliverMessage(t *rapid.T) {
	msg := m.takeMessage(t, func(msg *message) bool { return len(msg.pendingHomes) == 0 })
	p := m.targets[msg.target]
	if !p.goneAt.IsZero() {
		return
	}
	r := p.ledger.Begin(msg.request, m.now.Add(p.clockOffset))
	m.verdicts[r.Verdict]++
	k := m.findKey(msg.request.Key.ID)
	switch r.Verdict {
	case Run:
		if k.executed || k.running != nil {
			t.Fatalf("key %s runs twice: again at %s incarnation %d", k.id, p.target, p.incarnation)
		}
		k.running, k.dispatched = p, true
		p.running = append(p.running, k.id)
	case FenceEarlier:
		msg.pendingHomes, msg.request.Token, msg.request.FenceResults = r.FenceTargets, r.Token, nil
		m.messages = append(m.messages, msg)
	case Replay, Ran:
		if !k.executed {
			t.Fatalf("key %s answered %s but never ran", k.id, r.Verdict)
		}
		if r.Verdict == Replay && string(r.Answer.Body) != k.id {
			t.Fatalf("key %s got the answer of %s", k.id, r.Answer.Body)
		}
	case InProgress:
		if !k.dispatched {
			t.Fatalf("key %s is in progress but was never dispatched", k.id)
		}
	case OutcomeUnknown:
		if !k.dispatched {
			m.needlessUnknown++
		}
	}
}

// answerFence fetches the answer of one earlier home to a waiting request, or fails to reach it.
func (m *machine) answerFence(t *rapid.T) {
	msg := m.takeMessage(t, func(msg *message) bool { return len(msg.pendingHomes) > 0 })
	earlier, newHome := m.targets[msg.pendingHomes[0]], m.targets[msg.target]
	answer := FenceResult{Target: earlier.target, State: StateUnknown, Unreachable: true, GoneSince: earlier.goneAt}
	if earlier.goneAt.IsZero() && !earlier.partitioned && !newHome.partitioned && rapid.IntRange(0, 4).Draw(t, "reached") > 0 {
		answer = earlier.ledger.Fence(FenceRequest{
			Key: msg.request.Key, NewHome: msg.target, ReadAt: msg.request.ReadAt, Revision: newHome.ledger.homes.Current().Revision,
		}, m.now.Add(earlier.clockOffset))
	}
	msg.pendingHomes = msg.pendingHomes[1:]
	msg.request.FenceResults = append(msg.request.FenceResults, answer)
	m.messages = append(m.messages, msg)
}

// endRequest finishes a running request: it did not run, or ran with an unknown outcome or with an answer.
func (m *machine) endRequest(t *rapid.T) {
	p := m.drawLiveProcess(t)
	if len(p.running) == 0 {
		t.Skip("no request is running")
	}
	id := p.running[0]
	p.running = p.running[1:]
	key, k := Key{Workspace: "w", Service: testService, ID: id}, m.findKey(id)
	k.running = nil
	switch rapid.IntRange(0, 3).Draw(t, "how") {
	case 0:
		p.ledger.Abort(key)
		return
	case 1:
		p.ledger.MarkUnknown(key)
	default:
		p.ledger.Finish(key, &Answer{Status: 200, Body: []byte(id)})
	}
	k.executed = true
}
