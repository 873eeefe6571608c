package trial

import (
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/egrethoist/egrethoist/internal/liveness"
)

// Constants of the silent-connection trial: one entry with connections to many sidecars.
const (
	silentConns      = 20
	silentSpan       = 10 * time.Minute
	silentRequests   = 0.3 // per second and connection
	silentFirst      = 600 * time.Millisecond
	silentAnswer     = 2 * time.Second
	silentPiece      = 200 * time.Millisecond
	silentRound      = time.Millisecond // round trip of a ping
	silentEvery      = 7 * time.Second  // a connection goes silent
	pauseEvery       = 61 * time.Second // the process is paused
	pauseFor         = 4 * time.Second
	pingBytes        = 200
	heartbeatPeriod  = time.Second
	heartbeatTimeout = 3 * time.Second
	tickPeriod       = 250 * time.Millisecond
)

// SilentResult is what one policy did.
type SilentResult struct {
	Policy      string
	Silenced    int           // connections that went silent with an answer owed
	FoundP50    time.Duration // from the later of silence and request to the redial
	FoundMax    time.Duration
	Condemned   int     // connections given up although they worked
	BytesPerSec float64 // pings and their answers
}

// String formats the result as one line.
func (r SilentResult) String() string {
	return fmt.Sprintf("%-10s silenced %3d  found p50 %v max %v  condemned %3d  %4.0f bytes/s", r.Policy, r.Silenced,
		r.FoundP50.Round(10*time.Millisecond), r.FoundMax.Round(10*time.Millisecond), r.Condemned, r.BytesPerSec)
}

// watcher is a policy of the trial.
type watcher interface {
	open(now time.Time) watched
	tick(now time.Time) (ping, redial []watched)
	retire(c watched)
}

type watched interface {
	Received(now time.Time)
	Begin()
	End()
}

// Silent runs the monitor and a plain heartbeat against the same traffic, silences and own pauses.
func Silent(seed uint64) []SilentResult {
	monitor := runSilent("liveness", &monitored{m: liveness.NewMonitor(liveness.Options{})}, seed)
	plain := runSilent("heartbeat", &heartbeat{conns: map[*beat]bool{}}, seed)
	return []SilentResult{monitor, plain}
}

type silentRun struct {
	*timeline
	rng        *rand.Rand
	watch      watcher
	conns      []*silentConn
	pausedTill time.Time
	result     SilentResult
	found      []time.Duration
	pings      int
}

type silentConn struct {
	w      watched
	silent bool
	dead   time.Time // when an owed answer first met the silence; zero if none
	owed   int
}

func runSilent(name string, w watcher, seed uint64) SilentResult {
	r := &silentRun{timeline: newTimeline(), rng: rand.New(rand.NewPCG(seed, 4)), watch: w, result: SilentResult{Policy: name}}
	for i := range silentConns {
		r.conns = append(r.conns, &silentConn{w: w.open(r.now)})
		r.poisson(r.rng, silentRequests, func() { r.request(r.conns[i]) })
	}
	r.every(silentEvery, func() { r.silence(r.conns[r.rng.IntN(silentConns)]) })
	r.every(pauseEvery, func() { r.pausedTill = r.now.Add(pauseFor) })
	r.every(tickPeriod, r.tick)
	r.runFor(silentSpan)
	r.result.FoundP50 = quantile(r.found, 0.5)
	r.result.FoundMax = quantile(r.found, 1)
	r.result.BytesPerSec = float64(r.pings*pingBytes) / silentSpan.Seconds()
	return r.result
}

func (r *silentRun) silence(c *silentConn) {
	if c.silent {
		return
	}
	c.silent = true
	if c.owed > 0 {
		r.meet(c)
	}
}

// meet notes that an owed answer can't arrive.
func (r *silentRun) meet(c *silentConn) {
	if c.dead.IsZero() {
		c.dead = r.now
		r.result.Silenced++
	}
}

func (r *silentRun) request(c *silentConn) {
	if r.now.Before(r.pausedTill) {
		return
	}
	c.owed++
	c.w.Begin()
	if c.silent {
		r.meet(c)
	}
	for d := silentFirst; d < silentAnswer; d += silentPiece {
		r.after(d, func() { r.deliver(c) })
	}
	r.after(silentAnswer, func() {
		if !c.silent {
			c.owed--
			c.w.End()
		}
	})
}

// deliver hands a piece to the process, after its pause if it is paused.
func (r *silentRun) deliver(c *silentConn) {
	if c.silent {
		return
	}
	if r.now.Before(r.pausedTill) {
		r.after(r.pausedTill.Sub(r.now)+10*time.Millisecond, func() { c.w.Received(r.now) })
		return
	}
	c.w.Received(r.now)
}

func (r *silentRun) tick() {
	if r.now.Before(r.pausedTill) {
		return
	}
	ping, redial := r.watch.tick(r.now)
	for _, w := range ping {
		r.pings++
		c := r.find(w)
		r.after(silentRound, func() { r.deliver(c) })
	}
	for _, w := range redial {
		r.redial(r.find(w))
	}
}

func (r *silentRun) find(w watched) *silentConn {
	for _, c := range r.conns {
		if c.w == w {
			return c
		}
	}
	return nil
}

// redial replaces the connection at once.
func (r *silentRun) redial(c *silentConn) {
	switch {
	case !c.silent:
		r.result.Condemned++
	case !c.dead.IsZero():
		r.found = append(r.found, r.now.Sub(c.dead))
	}
	r.watch.retire(c.w)
	for i, old := range r.conns {
		if old == c {
			r.conns[i] = &silentConn{w: r.watch.open(r.now)}
		}
	}
	c.silent = true // what is still under way on it is lost
}

type monitored struct{ m *liveness.Monitor }

func (m *monitored) open(now time.Time) watched { return m.m.Open("peer", now) }

func (m *monitored) retire(c watched) { m.m.Close(c.(*liveness.Conn)) }

func (m *monitored) tick(now time.Time) (ping, redial []watched) {
	for _, a := range m.m.Tick(now) {
		switch a.Kind {
		case liveness.ActionPing:
			ping = append(ping, a.Conn)
		case liveness.ActionRedial:
			redial = append(redial, a.Conn)
		}
	}
	return ping, redial
}

// heartbeat pings every connection each second and gives up those quiet for longer than the timeout.
type heartbeat struct {
	conns map[*beat]bool
	order []*beat
	last  time.Time
}

type beat struct{ received time.Time }

func (b *beat) Received(now time.Time) { b.received = now }
func (b *beat) Begin()                 {}
func (b *beat) End()                   {}

func (h *heartbeat) open(now time.Time) watched {
	b := &beat{received: now}
	h.conns[b] = true
	h.order = append(h.order, b)
	return b
}

func (h *heartbeat) retire(c watched) { delete(h.conns, c.(*beat)) }

func (h *heartbeat) tick(now time.Time) (ping, redial []watched) {
	due := now.Sub(h.last) >= heartbeatPeriod
	if due {
		h.last = now
	}
	for _, b := range h.order {
		switch {
		case !h.conns[b]:
		case now.Sub(b.received) >= heartbeatTimeout:
			redial = append(redial, b)
		case due:
			ping = append(ping, b)
		}
	}
	return ping, redial
}
