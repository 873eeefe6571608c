package once

import (
	"slices"
	"time"

	"pgregory.net/rapid"
)

// Options of the ledgers and bounds of the simulation.
const (
	testWindow       = 60 * time.Second
	testSkew         = 500 * time.Millisecond
	testTransit      = 5 * time.Second
	testPropagation  = 3 * time.Second
	testHandoverWait = 4 * time.Second
	testRetention    = testWindow + testTransit + testPropagation + 4*testSkew
	testStaleness    = 5 * time.Minute  // how long a process may act on an old configuration if configurations record homes
	testTimeError    = 20 * time.Second // largest difference between a recorded time and the time of acceptance
	testService      = "allot-app"
)

var epoch = time.Unix(1_800_000_000, 0)

// keyModel is the reference model of a key: a record in one global map of what really happened.
type keyModel struct {
	id         string
	ticket     Ticket // zero if the key is not a ticket
	firstUse   time.Time
	running    *process // process where the key is running
	executed   bool
	dispatched bool
}

// process is the sidecar incarnation that currently runs at a target.
type process struct {
	target      string
	incarnation uint64
	ledger      *Ledger
	homes       *Homes // without the inherited history
	revision    int    // index of the newest generation it knows
	clockOffset time.Duration
	running     []string
	actedSince  map[uint64]time.Time // time since when it acts on each revision
	partitioned bool                 // cut off from new revisions and other targets
	goneAt      time.Time            // nonzero once the target has been destroyed
}

// entryProcess is an entry gateway, which sends requests to the homes that it knows.
type entryProcess struct {
	partitioned bool
	homes       *Homes
	revision    int
	clockOffset time.Duration
}

// message is a request on its way to its target, or waiting there for answers of earlier homes.
type message struct {
	request      BeginRequest
	target       string
	pendingHomes []string
}

// machine simulates ledgers through restarts, pauses, lost messages and moves of homes.
type machine struct {
	now             time.Time
	generations     []Generation // oldest first
	acceptedAt      []time.Time  // acceptance times of all generations but the first
	targets         map[string]*process
	targetNames     []string
	entries         []*entryProcess
	keys            []*keyModel
	messages        []*message
	handovers       map[string][]byte
	verdicts        map[Verdict]int
	needlessUnknown int  // number of OutcomeUnknown verdicts for keys that were never dispatched
	knowsDeclared   bool // a process without history knows the declared targets and queries all of them
	recordsHomes    bool // configurations record homes; processes miss revisions, but none for longer than testStaleness
	withoutHistory  bool // processes start without the history of homes and miss revisions, but none for longer than testPropagation
}

func newMachine(t *rapid.T, names ...string) *machine {
	m := &machine{
		now: epoch, targetNames: names, targets: map[string]*process{},
		handovers: map[string][]byte{}, verdicts: map[Verdict]int{},
	}
	m.generations = []Generation{{Revision: 1, Targets: m.targetNames}}
	for i, n := range m.targetNames {
		m.targets[n] = &process{target: n, clockOffset: drawClockOffset(t)}
		m.startProcess(m.targets[n], i == 0, 0)
	}
	for range 2 {
		m.entries = append(m.entries, &entryProcess{homes: m.homesAt(0), clockOffset: drawClockOffset(t)})
	}
	return m
}

// drawClockOffset draws the offset of a clock; two clocks differ by testSkew at most.
func drawClockOffset(t *rapid.T) time.Duration {
	return time.Duration(rapid.IntRange(-250, 250).Draw(t, "offset")) * time.Millisecond
}

// homesAt returns the homes with the full history up to a generation.
func (m *machine) homesAt(revision int) *Homes {
	gens := slices.Clone(m.generations[:revision+1])
	slices.Reverse(gens)
	return NewHomes(gens...)
}

// startProcess starts the next incarnation of a target under a revision.
func (m *machine) startProcess(p *process, firstIncarnation bool, revision int) {
	p.incarnation++
	m.markActing(p, revision)
	p.running = nil
	p.ledger = NewLedger(Options{
		Target: p.target, Incarnation: p.incarnation, Started: m.now.Add(p.clockOffset), FirstIncarnation: firstIncarnation,
		RetryWindow: testWindow, Skew: testSkew, MaxTransit: testTransit, MaxPropagation: testPropagation, HandoverWait: testHandoverWait, MaxKeys: 12, MaxBytes: 64,
	}, NewHomes())
	p.homes = m.homesAt(revision)
	if m.recordsHomes {
		p.homes = m.homesFromRecord(p, NewHomes(), revision)
	} else if m.withoutHistory && revision > 0 {
		p.homes = NewHomes().Advance(m.learnedGeneration(p, revision), m.now, testRetention, m.settled)
	}
	p.ledger.SetHomes(p.homes)
}

// drawLiveProcess draws a target that has not been destroyed.
func (m *machine) drawLiveProcess(t *rapid.T) *process {
	p := m.targets[rapid.SampledFrom(m.targetNames).Draw(t, "target")]
	if !p.goneAt.IsZero() {
		t.Skip("target is gone")
	}
	return p
}

func (m *machine) findKey(id string) *keyModel {
	i := slices.IndexFunc(m.keys, func(k *keyModel) bool { return k.id == id })
	return m.keys[i]
}

// takeMessage removes a random message for which ready returns true.
func (m *machine) takeMessage(t *rapid.T, ready func(*message) bool) *message {
	var indices []int
	for i, msg := range m.messages {
		if ready(msg) {
			indices = append(indices, i)
		}
	}
	if len(indices) == 0 {
		t.Skip("no message")
	}
	i := rapid.SampledFrom(indices).Draw(t, "message")
	msg := m.messages[i]
	m.messages = slices.Delete(m.messages, i, i+1)
	return msg
}

func (m *machine) advanceTime(t *rapid.T) {
	m.now = m.now.Add(time.Duration(rapid.IntRange(0, 4000).Draw(t, "ms")) * time.Millisecond)
	m.propagateRevisions()
}

func (m *machine) advanceTimeBriefly(t *rapid.T) {
	m.now = m.now.Add(time.Duration(rapid.IntRange(0, 300).Draw(t, "ms")) * time.Millisecond)
	m.propagateRevisions()
}

func (m *machine) advanceTimeFar(t *rapid.T) {
	if rapid.IntRange(0, 3).Draw(t, "rarely") > 0 {
		t.Skip("not this time")
	}
	m.now = m.now.Add(time.Duration(rapid.IntRange(0, 70).Draw(t, "s")) * time.Second)
	m.propagateRevisions()
}
