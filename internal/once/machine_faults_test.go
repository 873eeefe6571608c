package once

import (
	"pgregory.net/rapid"
)

// dropMessage loses a message.
func (m *machine) dropMessage(t *rapid.T) { m.takeMessage(t, func(*message) bool { return true }) }

// restartProcess kills a process or stops it as planned, and starts its successor. The handover may fail to be written,
// and the successor may be killed before it claims it.
func (m *machine) restartProcess(t *rapid.T) {
	p := m.drawLiveProcess(t)
	m.killProcess(p)
	if rapid.IntRange(0, 2).Draw(t, "planned") > 0 {
		p.ledger.Close()
		if b, err := p.ledger.Export(m.now.Add(p.clockOffset), 1<<20); err == nil && rapid.Bool().Draw(t, "written") {
			m.handovers[p.target] = b
		}
	}
	m.startProcess(p, false, rapid.IntRange(p.revision, len(m.generations)-1).Draw(t, "revision"))
}

// killProcess ends the requests that run at a process. The model takes them for executed.
func (m *machine) killProcess(p *process) {
	for _, id := range p.running {
		k := m.findKey(id)
		k.running, k.executed = nil, true
	}
	p.running = nil
}

// claimHandover claims the handover of a target and adopts it if there is one.
func (m *machine) claimHandover(t *rapid.T) {
	p := m.drawLiveProcess(t)
	b, ok := m.handovers[p.target]
	delete(m.handovers, p.target)
	if !ok {
		p.ledger.NoHandover()
		return
	}
	if err := p.ledger.Adopt(b, m.now.Add(p.clockOffset)); err != nil {
		t.Fatal(err)
	}
}

// destroyTarget kills a process for good, at a time that other targets know up to a clock offset.
func (m *machine) destroyTarget(t *rapid.T) {
	if rapid.IntRange(0, 9).Draw(t, "rarely") > 0 {
		t.Skip("not this time")
	}
	p := m.drawLiveProcess(t)
	m.killProcess(p)
	p.goneAt = m.now.Add(drawClockOffset(t))
}

// togglePartition cuts a target and an entry gateway off from new revisions and from other targets, or reconnects them.
func (m *machine) togglePartition(t *rapid.T) {
	p := m.drawLiveProcess(t)
	p.partitioned = !p.partitioned
	m.entries[0].partitioned = p.partitioned
}

// oneInFive runs an action one time in five.
func oneInFive(step func(*rapid.T)) func(*rapid.T) {
	return func(t *rapid.T) {
		if rapid.IntRange(0, 4).Draw(t, "now") > 0 {
			t.Skip("not this time")
		}
		step(t)
	}
}
