package once

import (
	"time"

	"pgregory.net/rapid"
)

// changeTargets accepts a new generation with a random set of targets.
func (m *machine) changeTargets(t *rapid.T) {
	var set []string
	for _, n := range m.targetNames {
		if rapid.Bool().Draw(t, n) {
			set = append(set, n)
		}
	}
	if len(set) == 0 {
		t.Skip("no target")
	}
	began := m.now.Add(drawClockOffset(t))
	m.generations = append(m.generations, Generation{
		Revision: uint64(len(m.generations) + 1), Began: began, NotBefore: began, Targets: set,
	})
	m.acceptedAt = append(m.acceptedAt, m.now)
}

// learnRevision lets an entry gateway or a process learn a later revision.
func (m *machine) learnRevision(t *rapid.T) {
	if rapid.Bool().Draw(t, "entry") {
		e := rapid.SampledFrom(m.entries).Draw(t, "which")
		if e.partitioned {
			t.Skip("cut off")
		}
		e.revision = rapid.IntRange(e.revision, len(m.generations)-1).Draw(t, "revision")
		e.homes = m.homesAt(e.revision)
		return
	}
	p := m.drawLiveProcess(t)
	if p.partitioned {
		t.Skip("cut off")
	}
	last := rapid.IntRange(p.revision, len(m.generations)-1).Draw(t, "revision")
	m.learnUpTo(p, last)
}

// learnUpTo puts the generations up to index last in force at a process.
func (m *machine) learnUpTo(p *process, last int) {
	if m.recordsHomes {
		p.homes = m.homesFromRecord(p, p.homes, last)
	} else if m.withoutHistory {
		p.homes = p.homes.Advance(m.learnedGeneration(p, last), m.now.Add(p.clockOffset), testRetention, m.settled)
	} else {
		for _, g := range m.generations[p.revision+1 : last+1] {
			p.homes = p.homes.Advance(g, m.now.Add(p.clockOffset), testRetention, m.settled)
		}
	}
	p.ledger.SetHomes(p.homes)
	m.markActing(p, last)
}

// markActing records that a process acts on a revision, and all before it, from now on.
func (m *machine) markActing(p *process, revision int) {
	p.revision = revision
	if p.actedSince == nil {
		p.actedSince = map[uint64]time.Time{}
	}
	for r := uint64(1); r <= uint64(revision+1); r++ {
		if _, ok := p.actedSince[r]; !ok {
			p.actedSince[r] = m.now
		}
	}
}

// learnedGeneration returns a generation as known to a process that learns of it now.
func (m *machine) learnedGeneration(p *process, revision int) Generation {
	g := m.generations[revision]
	g.Began, g.NotBefore = m.now.Add(p.clockOffset), time.Time{}
	if m.knowsDeclared {
		g.Declared = m.targetNames
	}
	return g
}

// homesFromRecord returns the homes of a process that learns a revision whose configuration records the generations
// before it. The record goes back only as far as it matters, and its times come from the clock of an operator's
// machine.
func (m *machine) homesFromRecord(p *process, h *Homes, revision int) *Homes {
	var record []Generation
	for i := revision; i >= 0; i-- {
		g := m.generations[i]
		if i > 0 {
			g.Began = m.acceptedAt[i-1].Add(testTimeError)
			if now := m.now.Add(p.clockOffset); now.Before(g.Began) {
				g.Began = now
			}
		}
		g.NotBefore, g.Declared = time.Time{}, m.targetNames
		record = append(record, g)
		if i > 0 && m.now.Sub(m.acceptedAt[i-1]) > testRetention+testStaleness+2*testTimeError {
			break
		}
	}
	now := m.now.Add(p.clockOffset)
	h = h.WithRecorded(record, uint64(revision+1), now, testRetention+testStaleness)
	return h.Prune(now, testRetention, m.settledLong)
}

// settledLong reports whether a target has acted on a revision for as long as keys may be repeated.
func (m *machine) settledLong(target string, revision uint64) bool {
	p := m.targets[target]
	if !p.goneAt.IsZero() {
		return m.now.Sub(p.goneAt) > testRetention+testSkew
	}
	at, ok := p.actedSince[revision]
	return ok && m.now.Sub(at) > testRetention
}

// settled reports whether a target acts on a revision or a later one.
func (m *machine) settled(target string, revision uint64) bool {
	p := m.targets[target]
	return !p.goneAt.IsZero() || uint64(p.revision+1) >= revision
}

// propagateRevisions brings every process up to date that has been behind for longer than the bound on propagation.
func (m *machine) propagateRevisions() {
	limit := testPropagation
	if m.recordsHomes {
		limit = testStaleness
	}
	if !m.withoutHistory && !m.recordsHomes {
		return
	}
	due := 0
	for i, at := range m.acceptedAt {
		if m.now.Sub(at) >= limit-testSkew {
			due = i + 1
		}
	}
	for _, e := range m.entries {
		e.revision = max(e.revision, due)
		e.homes = m.homesAt(e.revision)
	}
	for _, n := range m.targetNames {
		if p := m.targets[n]; p.revision < due {
			m.learnUpTo(p, due)
		}
	}
}
