package gateway

import (
	"context"
	"math/rand/v2"
	"net"
	"sync"
	"time"

	"github.com/uber-go/tally/v4"
	"k8s.io/klog/v2"

	"github.com/egrethoist/egrethoist/internal/departure"
	"github.com/egrethoist/egrethoist/internal/targetlimit"
)

const (
	// grantTimeout is how long another instance is waited for: many round trips within a region, and short beside the latency
	// objectives of requests.
	grantTimeout = 60 * time.Millisecond
	// silentGrantor is how long an instance is not asked that did not answer.
	silentGrantor = 500 * time.Millisecond
	// grantLife is how long after its grant a request may be sent: the set-up of a connection.
	grantLife = 500 * time.Millisecond
	// noGrantor is when to ask again if no instance could be asked.
	noGrantor = 200 * time.Millisecond
	// confirmedRole is how long the owner of a target with an old view of the metadata relies on its stand-in's word that it
	// still is the owner, and roleCheck the least time between two questions.
	confirmedRole = 500 * time.Millisecond
	roleCheck     = 250 * time.Millisecond
)

// permits gets grants for requests to targets that have named a limit, from the instances that grant them, and grants those that
// this instance grants. It is safe for concurrent use.
type permits struct {
	state  *State
	grants *targetlimit.Limiter
	waits  tally.Histogram // for a grant of another instance
	denied tally.Counter

	mu      sync.Mutex
	conn    net.PacketConn // nil until the instance can be reached
	pending map[uint64]chan targetlimit.GrantReply
	silent  map[string]time.Time                // until when an instance is not asked, by name
	roles   map[departure.Incarnation]roleState // of targets that are limited while the view is old
}

// roleState is what the stand-in of a target said of this instance's ownership.
type roleState struct {
	asked     time.Time
	confirmed time.Time // zero: not
	replaced  time.Time // when the stand-in said that it is the owner
}

func newPermits(s *State, m tally.Scope) *permits {
	if m == nil {
		m = tally.NoopScope
	}
	return &permits{
		state: s, grants: targetlimit.NewLimiter(), waits: m.Histogram("target_grant_seconds", latencyBuckets), denied: m.Counter("target_grants_denied"),
		pending: map[uint64]chan targetlimit.GrantReply{}, silent: map[string]time.Time{}, roles: map[departure.Incarnation]roleState{},
	}
}

// listen makes the instance ask and answer on a connection.
func (p *permits) listen(conn net.PacketConn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.conn = conn
}

// want is what a grant is for.
type want struct {
	rank    int
	control bool // a call of the control plane
}

// take gets a grant for one request to the target of a meter. If there is none, wait is when to ask again. A target without a limit
// needs no grant.
func (p *permits) take(ctx context.Context, m *meter, w want) (granted bool, wait time.Duration) {
	if m == nil {
		return true, 0
	}
	known := m.limit.Load()
	if known == nil {
		return true, 0
	}
	now := time.Now()
	rate, limited := known.Rate(now)
	if !limited {
		return true, 0
	}
	ask := targetlimit.GrantRequest{Incarnation: m.incarnation, PerSecond: rate, Rank: w.rank, Control: w.control}
	owner, standIn := targetlimit.SelectGrantors(m.incarnation, p.state.grantors())
	reply := targetlimit.GrantReply{Wait: noGrantor}
	for _, g := range []*targetlimit.Grantor{owner, standIn} {
		if g == nil {
			continue
		}
		if g.Name == p.state.opts.Self {
			ask.Role = p.role(m.incarnation, *known, now)
			if ask.Role == targetlimit.NoRole {
				continue // the stand-in is the owner by now
			}
			reply.Granted, reply.Wait = p.grants.Take(ask, now)
			break
		}
		if answer, ok := p.ask(ctx, g, m.incarnation, *known, w, now); ok {
			reply = answer
			break
		}
		if ctx.Err() != nil {
			break
		}
	}
	if !reply.Granted {
		p.denied.Inc(1)
	}
	return reply.Granted, reply.Wait
}

// role returns what this instance may grant of a target. An owner whose view of the metadata is old may have been replaced without
// knowing: it grants the whole rate only while its stand-in agrees.
func (p *permits) role(i departure.Incarnation, known targetlimit.Observation, now time.Time) targetlimit.Role {
	list := p.state.grantors()
	role := targetlimit.RoleOf(p.state.opts.Self, i, list)
	if age := p.state.age(); role != targetlimit.Owner || age >= 0 && age < FreshMetadata {
		return role
	}
	_, standIn := targetlimit.SelectGrantors(i, list)
	if standIn == nil {
		return role // it is the only instance
	}
	p.mu.Lock()
	state := p.roles[i]
	check := now.Sub(state.asked) >= roleCheck
	if check {
		state.asked = now
		p.roles[i] = state
	}
	p.mu.Unlock()
	if check {
		go p.confirm(standIn, i, known) // ends with the question's time limit
	}
	switch {
	case !state.replaced.IsZero() && now.Sub(state.replaced) < confirmedRole:
		return targetlimit.NoRole
	case !state.confirmed.IsZero() && now.Sub(state.confirmed) < confirmedRole:
		return targetlimit.Owner
	}
	return targetlimit.Standby
}

// confirm asks the stand-in of a target whether this instance is still the owner. The question is one for a grant at the lowest
// rank, which is not used.
func (p *permits) confirm(standIn *targetlimit.Grantor, i departure.Incarnation, known targetlimit.Observation) {
	reply, ok := p.ask(context.Background(), standIn, i, known, want{rank: targetlimit.NumRanks - 1}, time.Now())
	if !ok {
		return
	}
	now := time.Now()
	p.mu.Lock()
	defer p.mu.Unlock()
	state := p.roles[i]
	before := state.replaced
	switch reply.Role {
	case targetlimit.Owner:
		state.replaced = now
		if now.Sub(before) >= confirmedRole {
			klog.InfoS("another instance grants the requests of a limited target", "incarnation", uint64(i), "instance", standIn.Name)
		}
	case targetlimit.Standby:
		state.confirmed = now
	case targetlimit.NoRole: // neither knows; a part of the rate is safe
	}
	p.roles[i] = state
}

// ask asks another instance for a grant. It returns false if that does not answer.
func (p *permits) ask(ctx context.Context, g *targetlimit.Grantor, i departure.Incarnation, known targetlimit.Observation, w want, now time.Time) (targetlimit.GrantReply, bool) {
	address, err := net.ResolveUDPAddr("udp4", g.Address)
	if err != nil {
		return targetlimit.GrantReply{}, false // the instance's record names no address that can be reached
	}
	answer := make(chan targetlimit.GrantReply, 1)
	nonce := rand.Uint64()
	p.mu.Lock()
	conn := p.conn
	if conn == nil || now.Before(p.silent[g.Name]) {
		p.mu.Unlock()
		return targetlimit.GrantReply{}, false
	}
	p.pending[nonce] = answer
	p.mu.Unlock()
	defer func() {
		p.mu.Lock()
		delete(p.pending, nonce)
		p.mu.Unlock()
	}()
	question := targetlimit.GrantQuery{Nonce: nonce, Rank: uint8(w.rank), Control: w.control, Announcement: known.ToAnnouncement(i, now)}
	_, _ = conn.WriteTo(question.Append(nil), address) // a lost question shows as a missing answer
	timer := time.NewTimer(grantTimeout)
	defer timer.Stop()
	select {
	case reply := <-answer:
		p.waits.RecordDuration(time.Since(now))
		p.mu.Lock()
		delete(p.silent, g.Name)
		p.mu.Unlock()
		return reply, true
	case <-ctx.Done():
	case <-timer.C:
		p.mu.Lock()
		if _, known := p.silent[g.Name]; !known {
			klog.InfoS("instance that grants requests does not answer", "instance", g.Name)
		}
		p.silent[g.Name] = time.Now().Add(silentGrantor)
		p.mu.Unlock()
	}
	return targetlimit.GrantReply{}, false
}

// receive takes in a datagram about grants and reports whether it was one.
func (p *permits) receive(b []byte, from net.Addr) bool {
	switch {
	case targetlimit.IsGrantQuery(b):
		question, err := targetlimit.ParseGrantQuery(b)
		if err != nil {
			klog.V(1).InfoS("question dropped", "from", from.String(), "err", err.Error())
			return true
		}
		p.answer(question, from, time.Now())
		return true
	case targetlimit.IsGrantReply(b):
		reply, err := targetlimit.ParseGrantReply(b)
		if err != nil {
			klog.V(1).InfoS("reply dropped", "from", from.String(), "err", err.Error())
			return true
		}
		p.mu.Lock()
		defer p.mu.Unlock()
		if answer := p.pending[reply.Nonce]; answer != nil {
			delete(p.pending, reply.Nonce)
			answer <- reply // it has room for one
		}
		return true
	}
	return false
}

// answer decides on the question of another instance.
func (p *permits) answer(q targetlimit.GrantQuery, from net.Addr, now time.Time) {
	p.state.learnLimits([]targetlimit.Announcement{q.Announcement}, now)
	known := p.state.limits.book.Latest(q.Incarnation)
	reply := targetlimit.GrantReply{Nonce: q.Nonce, Granted: true, Role: p.role(q.Incarnation, known, now)}
	if rate, limited := known.Rate(now); limited {
		reply.Granted, reply.Wait = p.grants.Take(targetlimit.GrantRequest{
			Incarnation: q.Incarnation, PerSecond: rate, Role: reply.Role, Rank: int(q.Rank), Control: q.Control,
		}, now)
	}
	p.mu.Lock()
	conn := p.conn
	for name, until := range p.silent {
		if now.After(until.Add(silentGrantor)) {
			delete(p.silent, name)
		}
	}
	p.mu.Unlock()
	if conn != nil {
		_, _ = conn.WriteTo(reply.Append(nil), from) // a lost reply shows as a missing answer
	}
}
