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
	grantorBackoff = 500 * time.Millisecond
	// grantLife is how long after its grant a request may be sent: the set-up of a connection.
	grantTTL = 500 * time.Millisecond
	// noGrantor is when to ask again if no instance could be asked.
	noGrantorRetry = 200 * time.Millisecond
	// confirmedRole is how long the owner of a target with an old view of the metadata relies on its stand-in's word that it
	// still is the owner, and roleCheck the least time between two questions.
	roleTTL         = 500 * time.Millisecond
	roleCheckPeriod = 250 * time.Millisecond
)

// permits gets grants for requests to targets that have named a limit, from the instances that grant them, and grants those that
// this instance grants. It is safe for concurrent use.
type grantService struct {
	state    *State
	grants   *targetlimit.Grants
	waitTime tally.Histogram // for a grant of another instance
	denied   tally.Counter

	mu           sync.Mutex
	conn         net.PacketConn // nil until the instance can be reached
	pending      map[uint64]chan targetlimit.Reply
	unresponsive map[string]time.Time                // until when an instance is not asked, by name
	roles        map[departure.Incarnation]roleState // of targets that are limited while the view is old
}

// roleState is what the stand-in of a target said of this instance's ownership.
type roleState struct {
	lastAsked   time.Time
	confirmedAt time.Time // zero: not
	replacedAt  time.Time // when the stand-in said that it is the owner
}

func newGrantService(s *State, m tally.Scope) *grantService {
	if m == nil {
		m = tally.NoopScope
	}
	return &grantService{
		state: s, grants: targetlimit.NewGrants(), waitTime: m.Histogram("target_grant_seconds", latencyBuckets), denied: m.Counter("target_grants_denied"),
		pending: map[uint64]chan targetlimit.Reply{}, unresponsive: map[string]time.Time{}, roles: map[departure.Incarnation]roleState{},
	}
}

// listen makes the instance ask and answer on a connection.
func (p *grantService) setConn(conn net.PacketConn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.conn = conn
}

// want is what a grant is for.
type grantPurpose struct {
	rank    int
	control bool // a call of the control plane
}

// take gets a grant for one request to the target of a meter. If there is none, wait is when to ask again. A target without a limit
// needs no grant.
func (p *grantService) acquire(ctx context.Context, m *limitState, purpose grantPurpose) (granted bool, wait time.Duration) {
	if m == nil {
		return true, 0
	}
	known := m.observation.Load()
	if known == nil {
		return true, 0
	}
	now := time.Now()
	rate, limited := known.Rate(now)
	if !limited {
		return true, 0
	}
	ask := targetlimit.Ask{Incarnation: m.incarnation, PerSecond: rate, Rank: purpose.rank, Control: purpose.control}
	owner, standIn := targetlimit.Choose(m.incarnation, p.state.grantors())
	reply := targetlimit.Reply{Wait: noGrantorRetry}
	for _, g := range []*targetlimit.Grantor{owner, standIn} {
		if g == nil {
			continue
		}
		if g.Name == p.state.opts.Self {
			ask.Role = p.currentRole(m.incarnation, *known, now)
			if ask.Role == targetlimit.NoRole {
				continue // the stand-in is the owner by now
			}
			reply.Granted, reply.Wait = p.grants.Take(ask, now)
			break
		}
		if answer, ok := p.requestGrant(ctx, g, m.incarnation, *known, purpose, now); ok {
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
func (p *grantService) currentRole(i departure.Incarnation, known targetlimit.Observation, now time.Time) targetlimit.Role {
	list := p.state.grantors()
	role := targetlimit.RoleOf(p.state.opts.Self, i, list)
	if age := p.state.metadataAge(); role != targetlimit.Owner || age >= 0 && age < MaxMetadataAge {
		return role
	}
	_, standIn := targetlimit.Choose(i, list)
	if standIn == nil {
		return role // it is the only instance
	}
	p.mu.Lock()
	state := p.roles[i]
	checkDue := now.Sub(state.lastAsked) >= roleCheckPeriod
	if checkDue {
		state.lastAsked = now
		p.roles[i] = state
	}
	p.mu.Unlock()
	if checkDue {
		go p.confirmOwnership(standIn, i, known) // ends with the question's time limit
	}
	switch {
	case !state.replacedAt.IsZero() && now.Sub(state.replacedAt) < roleTTL:
		return targetlimit.NoRole
	case !state.confirmedAt.IsZero() && now.Sub(state.confirmedAt) < roleTTL:
		return targetlimit.Owner
	}
	return targetlimit.StandIn
}

// confirm asks the stand-in of a target whether this instance is still the owner. The question is one for a grant at the lowest
// rank, which is not used.
func (p *grantService) confirmOwnership(standIn *targetlimit.Grantor, i departure.Incarnation, known targetlimit.Observation) {
	reply, ok := p.requestGrant(context.Background(), standIn, i, known, grantPurpose{rank: targetlimit.Ranks - 1}, time.Now())
	if !ok {
		return
	}
	now := time.Now()
	p.mu.Lock()
	defer p.mu.Unlock()
	state := p.roles[i]
	replacedBefore := state.replacedAt
	switch reply.Role {
	case targetlimit.Owner:
		state.replacedAt = now
		if now.Sub(replacedBefore) >= roleTTL {
			klog.InfoS("another instance grants the requests of a limited target", "incarnation", uint64(i), "instance", standIn.Name)
		}
	case targetlimit.StandIn:
		state.confirmedAt = now
	case targetlimit.NoRole: // neither knows; a part of the rate is safe
	}
	p.roles[i] = state
}

// ask asks another instance for a grant. It returns false if that does not answer.
func (p *grantService) requestGrant(ctx context.Context, g *targetlimit.Grantor, i departure.Incarnation, known targetlimit.Observation, purpose grantPurpose, now time.Time) (targetlimit.Reply, bool) {
	address, err := net.ResolveUDPAddr("udp4", g.Address)
	if err != nil {
		return targetlimit.Reply{}, false // the instance's record names no address that can be reached
	}
	answer := make(chan targetlimit.Reply, 1)
	nonce := rand.Uint64()
	p.mu.Lock()
	conn := p.conn
	if conn == nil || now.Before(p.unresponsive[g.Name]) {
		p.mu.Unlock()
		return targetlimit.Reply{}, false
	}
	p.pending[nonce] = answer
	p.mu.Unlock()
	defer func() {
		p.mu.Lock()
		delete(p.pending, nonce)
		p.mu.Unlock()
	}()
	question := targetlimit.Question{Nonce: nonce, Rank: uint8(purpose.rank), Control: purpose.control, Announcement: known.Announce(i, now)}
	_, _ = conn.WriteTo(question.Append(nil), address) // a lost question shows as a missing answer
	timer := time.NewTimer(grantTimeout)
	defer timer.Stop()
	select {
	case reply := <-answer:
		p.waitTime.RecordDuration(time.Since(now))
		p.mu.Lock()
		delete(p.unresponsive, g.Name)
		p.mu.Unlock()
		return reply, true
	case <-ctx.Done():
	case <-timer.C:
		p.mu.Lock()
		if _, known := p.unresponsive[g.Name]; !known {
			klog.InfoS("instance that grants requests does not answer", "instance", g.Name)
		}
		p.unresponsive[g.Name] = time.Now().Add(grantorBackoff)
		p.mu.Unlock()
	}
	return targetlimit.Reply{}, false
}

// receive takes in a datagram about grants and reports whether it was one.
func (p *grantService) handleDatagram(b []byte, from net.Addr) bool {
	switch {
	case targetlimit.IsQuestion(b):
		question, err := targetlimit.ParseQuestion(b)
		if err != nil {
			klog.V(1).InfoS("question dropped", "from", from.String(), "err", err.Error())
			return true
		}
		p.answerQuestion(question, from, time.Now())
		return true
	case targetlimit.IsReply(b):
		reply, err := targetlimit.ParseReply(b)
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
func (p *grantService) answerQuestion(q targetlimit.Question, from net.Addr, now time.Time) {
	p.state.learnLimits([]targetlimit.Announcement{q.Announcement}, now)
	known := p.state.limits.observations.Known(q.Incarnation)
	reply := targetlimit.Reply{Nonce: q.Nonce, Granted: true, Role: p.currentRole(q.Incarnation, known, now)}
	if rate, limited := known.Rate(now); limited {
		reply.Granted, reply.Wait = p.grants.Take(targetlimit.Ask{
			Incarnation: q.Incarnation, PerSecond: rate, Role: reply.Role, Rank: int(q.Rank), Control: q.Control,
		}, now)
	}
	p.mu.Lock()
	conn := p.conn
	for name, until := range p.unresponsive {
		if now.After(until.Add(grantorBackoff)) {
			delete(p.unresponsive, name)
		}
	}
	p.mu.Unlock()
	if conn != nil {
		_, _ = conn.WriteTo(reply.Append(nil), from) // a lost reply shows as a missing answer
	}
}
