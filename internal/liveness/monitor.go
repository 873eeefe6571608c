// Package liveness detects dead connections. A connection with pending responses that receives nothing for some time is pinged.
// If the ping is not answered, the connection is replaced by a newly dialled one and retired. A process that was itself paused
// restarts its checks first, so that every peer gets another chance to respond.
//
// Idle connections, those without pending responses, are pinged at a period that keeps the cost of all these pings within a
// budget. An idle connection that was quiet for long is pinged as soon as a request is sent on it.
package liveness

import (
	"cmp"
	"sync/atomic"
	"time"

	"github.com/egrethoist/egrethoist/internal/steadytime"
)

// Options configure a Monitor. Zero values select the defaults of the package. With these, a silent connection with pending
// responses is detected within PingAfter + ReplyTimeout + 2*TickPeriod, which is less than 3 s.
type Options struct {
	TickPeriod     time.Duration // period at which the caller calls Tick
	PingAfter      time.Duration // quiet time after which a connection with pending responses is pinged
	ReplyTimeout   time.Duration // time within which a ping must be answered
	DialTimeout    time.Duration // time within which the replacement must be dialled
	PauseThreshold time.Duration // a Tick that is late by more than this indicates a pause of this process
	IdlePeriodMin  time.Duration // minimum period of pings on an idle connection
	IdlePeriodMax  time.Duration // maximum period of pings on an idle connection
	IdlePingBudget float64       // bytes per second for the pings on all idle connections together
	PingBytes      float64       // bytes on the wire of one ping and its response
}

// Defaults of Options.
const (
	defaultTickPeriod     = 250 * time.Millisecond
	defaultPingAfter      = 1100 * time.Millisecond
	defaultReplyTimeout   = 1300 * time.Millisecond
	defaultDialTimeout    = 2 * time.Second
	defaultPauseThreshold = 500 * time.Millisecond
	defaultIdlePeriodMin  = 5 * time.Second
	defaultIdlePeriodMax  = time.Minute
	defaultIdlePingBudget = 1000.0
	defaultPingBytes      = 200.0
)

// ActionKind is what the caller of Tick must do with a connection.
type ActionKind int

// Kinds of action.
const (
	ActionPing              ActionKind = iota // send a ping on the connection
	ActionRedial                              // send no new requests on it; dial a replacement and report the result with DialDone
	ActionResume                              // data arrived again: abandon the dial and use the connection again
	ActionRetireReplaced                      // the replacement works: remove the connection from every pool
	ActionRetireUnreachable                   // the peer can't be dialled either: remove the connection and treat the peer as down
)

// Action is a task for one connection that Tick returns.
type Action struct {
	Conn *Conn
	Kind ActionKind
	Dial uint32 // for ActionRedial: number of the dial, to be passed to DialDone
}

// Conn is the state of one connection. Its methods are safe for concurrent use and lock-free.
type Conn struct {
	Peer string

	received   atomic.Int64  // steady time of the last receipt, in nanoseconds
	pending    atomic.Int64  // requests in flight, whose responses are incomplete
	dialResult atomic.Uint64 // number of the last finished dial, shifted left by one; the lowest bit is set if it succeeded

	index        int // position in Monitor.conns; negative if not monitored
	state        state
	stateSince   time.Time // when the ping was sent or the silence was detected
	dialNumber   uint32    // number of the last requested dial
	pauseExcuses int       // pauses of this process in a row that restarted its check
}

// state is the step of a connection's check.
type state int

const (
	stateAlive   state = iota
	stateProbing       // a ping is unanswered
	stateSilent        // the ping timed out; a replacement is being dialled
)

// Received records that data arrived on the connection.
func (c *Conn) Received(now time.Time) { c.received.Store(steadytime.UnixNano(now)) }

// Begin records that a request was sent, which makes its response pending.
func (c *Conn) Begin() { c.pending.Add(1) }

// End records that a pending response is complete or abandoned.
func (c *Conn) End() { c.pending.Add(-1) }

// DialDone records the result of dialling the replacement. The result of a dial that was abandoned meanwhile is ignored.
func (c *Conn) DialDone(dial uint32, succeeded bool) {
	v := uint64(dial) << 1
	if succeeded {
		v |= dialSucceeded
	}
	c.dialResult.Store(v)
}

const dialSucceeded = 1

// Monitor monitors the connections of one process. Its methods are not safe for concurrent use.
type Monitor struct {
	opts     Options
	conns    []*Conn
	lastTick time.Time
	pauses   int
	pings    int
}

// NewMonitor returns a monitor without connections.
func NewMonitor(opts Options) *Monitor {
	opts.TickPeriod = cmp.Or(opts.TickPeriod, defaultTickPeriod)
	opts.PingAfter = cmp.Or(opts.PingAfter, defaultPingAfter)
	opts.ReplyTimeout = cmp.Or(opts.ReplyTimeout, defaultReplyTimeout)
	opts.DialTimeout = cmp.Or(opts.DialTimeout, defaultDialTimeout)
	opts.PauseThreshold = cmp.Or(opts.PauseThreshold, defaultPauseThreshold)
	opts.IdlePeriodMin = cmp.Or(opts.IdlePeriodMin, defaultIdlePeriodMin)
	opts.IdlePeriodMax = cmp.Or(opts.IdlePeriodMax, defaultIdlePeriodMax)
	opts.IdlePingBudget = cmp.Or(opts.IdlePingBudget, defaultIdlePingBudget)
	opts.PingBytes = cmp.Or(opts.PingBytes, defaultPingBytes)
	return &Monitor{opts: opts}
}

// Open starts monitoring a new connection.
func (m *Monitor) Open(peer string, now time.Time) *Conn {
	c := &Conn{Peer: peer, index: len(m.conns)}
	c.Received(now)
	m.conns = append(m.conns, c)
	return c
}

// Close stops monitoring a connection that was closed normally. It has no effect on retired connections.
func (m *Monitor) Close(c *Conn) {
	if c.index < 0 {
		return
	}
	last := len(m.conns) - 1
	m.conns[c.index] = m.conns[last]
	m.conns[c.index].index = c.index
	m.conns[last] = nil
	m.conns = m.conns[:last]
	c.index = -1
}

// Conns returns the number of monitored connections.
func (m *Monitor) Conns() int { return len(m.conns) }

// Pauses returns how many pauses of this process were detected.
func (m *Monitor) Pauses() int { return m.pauses }

// Pings returns how many pings were requested by actions.
func (m *Monitor) Pings() int { return m.pings }

// IdlePeriod returns the period of pings on an idle connection. It grows with the number of connections.
func (m *Monitor) IdlePeriod() time.Duration {
	seconds := float64(len(m.conns)) * m.opts.PingBytes / m.opts.IdlePingBudget
	period := time.Duration(seconds * float64(time.Second))
	return min(max(period, m.opts.IdlePeriodMin), m.opts.IdlePeriodMax)
}

// Tick returns the actions that are due. Connections that it retires are no longer monitored.
func (m *Monitor) Tick(now time.Time) []Action {
	m.detectOwnPause(now)
	var actions []Action
	for i := len(m.conns) - 1; i >= 0; i-- { // backwards, as Close moves the last connection to index i
		c := m.conns[i]
		kind, ok := m.step(c, now)
		if !ok {
			continue
		}
		actions = append(actions, Action{c, kind, c.dialNumber})
		if kind == ActionRetireReplaced || kind == ActionRetireUnreachable {
			m.Close(c)
		}
	}
	return actions
}

// detectOwnPause detects a pause of this process by a late Tick. Responses may then be unread in the sockets, so the check of every
// connection restarts before it may be retired.
func (m *Monitor) detectOwnPause(now time.Time) {
	late := !m.lastTick.IsZero() && now.Sub(m.lastTick) > m.opts.TickPeriod+m.opts.PauseThreshold
	m.lastTick = now
	if !late {
		return
	}
	m.pauses++
	for _, c := range m.conns {
		if c.pauseExcuses < maxPauseExcuses {
			c.pauseExcuses++
			c.restartCheck(now)
		}
	}
}

// maxPauseExcuses bounds how often in a row a pause of this process restarts the check of a connection, so that a process with
// frequent pauses still detects silent ones.
const maxPauseExcuses = 2

// restartCheck restarts the current step of the check: it makes a new ping due, or allows the full time for the dial again.
func (c *Conn) restartCheck(now time.Time) {
	switch c.state {
	case stateProbing:
		c.state = stateAlive
	case stateSilent:
		c.stateSince = now // the dial was paused as well
	}
}

// step advances the state of a connection. It returns false if there is no action.
func (m *Monitor) step(c *Conn, now time.Time) (ActionKind, bool) {
	received := steadytime.Time(c.received.Load())
	switch c.state {
	case stateProbing:
		return m.stepProbing(c, received, now)
	case stateSilent:
		return m.stepSilent(c, received, now)
	}
	if now.Sub(received) < m.pingDelay(c) {
		return 0, false
	}
	c.state = stateProbing
	c.stateSince = now
	m.pings++
	return ActionPing, true
}

// pingDelay returns the quiet time after which a connection is pinged.
func (m *Monitor) pingDelay(c *Conn) time.Duration {
	if c.pending.Load() > 0 {
		return m.opts.PingAfter
	}
	return m.IdlePeriod()
}

// stepProbing ends the check if data arrived since the ping, or requests a redial if the ping timed out.
func (m *Monitor) stepProbing(c *Conn, received, now time.Time) (ActionKind, bool) {
	switch {
	case !received.Before(c.stateSince):
		c.state, c.pauseExcuses = stateAlive, 0
		return 0, false
	case now.Sub(c.stateSince) < m.opts.ReplyTimeout:
		return 0, false
	}
	c.state = stateSilent
	c.stateSince = now
	c.dialNumber++
	return ActionRedial, true
}

// stepSilent retires the connection when the dial has finished or timed out, or resumes it if data arrived before.
func (m *Monitor) stepSilent(c *Conn, received, now time.Time) (ActionKind, bool) {
	dial := c.dialResult.Load()
	ended := uint32(dial>>1) == c.dialNumber
	switch {
	case ended && dial&dialSucceeded != 0:
		return ActionRetireReplaced, true
	case ended, now.Sub(c.stateSince) >= m.opts.DialTimeout:
		return ActionRetireUnreachable, true
	case !received.Before(c.stateSince):
		c.state, c.pauseExcuses = stateAlive, 0
		return ActionResume, true
	}
	return 0, false
}
