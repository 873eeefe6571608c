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
	// grantTimeout is how long to wait for the reply of another instance: many round trips within a region, and short compared
	// with the time that callers have.
	grantTimeout = 60 * time.Millisecond
	// grantorBackoff is how long an instance that did not reply gets no further query.
	grantorBackoff = 500 * time.Millisecond
	// grantTTL is how long a grant is valid: long enough to set up a connection to the target.
	grantTTL = 500 * time.Millisecond
	// noGrantorRetry is the wait before the next try if no granting instance could be reached.
	noGrantorRetry = 200 * time.Millisecond
	// roleTTL is how long an owner with stale metadata relies on its standby's last confirmation of the ownership, and
	// roleCheckPeriod is the shortest time between two such checks.
	roleTTL         = 500 * time.Millisecond
	roleCheckPeriod = 250 * time.Millisecond
)

// grantService enforces the rate limits of targets over all instances: each request to a limited target needs a grant, and the
// grants of a target are issued by its owner instance or, if that can't be reached, by its standby. grantService acquires grants
// for this instance's requests and issues those of the targets that this instance owns. It is safe for concurrent use.
type grantService struct {
	state         *State
	limiter       *targetlimit.Limiter
	roundTripTime tally.Histogram // round trip to another instance
	denied        tally.Counter

	mu           sync.Mutex
	conn         net.PacketConn                         // nil until the Gossip listens
	pending      map[uint64]chan targetlimit.GrantReply // receivers of outstanding replies, by nonce of the query
	unresponsive map[string]time.Time                   // end of the backoff by instance name
	roles        map[departure.Incarnation]roleState    // ownership checks made while the metadata was stale
}

// roleState records what the standby of a target last replied about this instance's ownership.
type roleState struct {
	lastQueryAt time.Time
	confirmedAt time.Time // when the standby last confirmed it; zero if never
	replacedAt  time.Time // when the standby last replied that it is the owner itself; zero if never
}

func newGrantService(s *State, m tally.Scope) *grantService {
	if m == nil {
		m = tally.NoopScope
	}
	return &grantService{
		state: s, limiter: targetlimit.NewLimiter(), roundTripTime: m.Histogram("target_grant_seconds", latencyBuckets), denied: m.Counter("target_grants_denied"),
		pending: map[uint64]chan targetlimit.GrantReply{}, unresponsive: map[string]time.Time{}, roles: map[departure.Incarnation]roleState{},
	}
}

// setConn sets the connection on which queries and replies are sent.
func (s *grantService) setConn(conn net.PacketConn) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.conn = conn
}

// grantPurpose describes the request that needs a grant.
type grantPurpose struct {
	rank    int  // 0 is the most urgent
	control bool // a control-plane call rather than a caller's request
}

// acquire acquires a grant for one request to the target that limit belongs to. If the grant is denied, wait is the time until the
// next try. Requests to targets without a limit are always granted.
func (s *grantService) acquire(ctx context.Context, limit *limitState, purpose grantPurpose) (granted bool, wait time.Duration) {
	if limit == nil {
		return true, 0
	}
	observation := limit.observation.Load()
	if observation == nil {
		return true, 0
	}
	now := time.Now()
	rate, limited := observation.Rate(now)
	if !limited {
		return true, 0
	}
	grantRequest := targetlimit.GrantRequest{Incarnation: limit.incarnation, PerSecond: rate, Rank: purpose.rank, Control: purpose.control}
	owner, standby := targetlimit.SelectGrantors(limit.incarnation, s.state.grantors())
	reply := targetlimit.GrantReply{Wait: noGrantorRetry}
	for _, g := range []*targetlimit.Grantor{owner, standby} {
		if g == nil {
			continue
		}
		if g.Name == s.state.opts.Self {
			grantRequest.Role = s.currentRole(limit.incarnation, *observation, now)
			if grantRequest.Role == targetlimit.NoRole {
				continue // the standby has taken over as the owner
			}
			reply.Granted, reply.Wait = s.limiter.Take(grantRequest, now)
			break
		}
		if peerReply, ok := s.requestGrant(ctx, g, limit.incarnation, *observation, purpose, now); ok {
			reply = peerReply
			break
		}
		if ctx.Err() != nil {
			break
		}
	}
	if !reply.Granted {
		s.denied.Inc(1)
	}
	return reply.Granted, reply.Wait
}

// currentRole returns this instance's role in granting requests to a target. An owner with stale metadata may have been replaced
// unnoticed, so it issues the whole rate only while its standby confirms the ownership.
func (s *grantService) currentRole(i departure.Incarnation, observation targetlimit.Observation, now time.Time) targetlimit.Role {
	list := s.state.grantors()
	role := targetlimit.RoleOf(s.state.opts.Self, i, list)
	if age := s.state.metadataAge(); role != targetlimit.Owner || age >= 0 && age < MaxMetadataAge {
		return role
	}
	_, standby := targetlimit.SelectGrantors(i, list)
	if standby == nil {
		return role // this is the only instance
	}
	s.mu.Lock()
	state := s.roles[i]
	checkDue := now.Sub(state.lastQueryAt) >= roleCheckPeriod
	if checkDue {
		state.lastQueryAt = now
		s.roles[i] = state
	}
	s.mu.Unlock()
	if checkDue {
		go s.confirmOwnership(standby, i, observation) // ends within grantTimeout
	}
	switch {
	case !state.replacedAt.IsZero() && now.Sub(state.replacedAt) < roleTTL:
		return targetlimit.NoRole
	case !state.confirmedAt.IsZero() && now.Sub(state.confirmedAt) < roleTTL:
		return targetlimit.Owner
	}
	return targetlimit.Standby
}

// confirmOwnership asks the standby of a target whether this instance is still the owner. It sends an ordinary query at the
// lowest rank and does not use the grant.
func (s *grantService) confirmOwnership(standby *targetlimit.Grantor, i departure.Incarnation, observation targetlimit.Observation) {
	reply, ok := s.requestGrant(context.Background(), standby, i, observation, grantPurpose{rank: targetlimit.NumRanks - 1}, time.Now())
	if !ok {
		return
	}
	now := time.Now()
	s.mu.Lock()
	defer s.mu.Unlock()
	state := s.roles[i]
	replacedBefore := state.replacedAt
	switch reply.Role {
	case targetlimit.Owner:
		state.replacedAt = now
		if now.Sub(replacedBefore) >= roleTTL {
			klog.InfoS("ownership of a limited target has moved to another instance", "incarnation", uint64(i), "instance", standby.Name)
		}
	case targetlimit.Standby:
		state.confirmedAt = now
	case targetlimit.NoRole: // undecided: this instance falls back to the standby's share of the rate
	}
	s.roles[i] = state
}

// requestGrant asks another instance for a grant. It returns false if no reply is handled within grantTimeout, or if the instance is
// in backoff or can't be reached.
func (s *grantService) requestGrant(ctx context.Context, g *targetlimit.Grantor, i departure.Incarnation, observation targetlimit.Observation, purpose grantPurpose, now time.Time) (targetlimit.GrantReply, bool) {
	address, err := net.ResolveUDPAddr("udp4", g.Address)
	if err != nil {
		return targetlimit.GrantReply{}, false // the instance's record has no valid address
	}
	begun := s.state.bootTime(time.Now())
	replies := make(chan targetlimit.GrantReply, 1)
	nonce := rand.Uint64()
	s.mu.Lock()
	conn := s.conn
	if conn == nil || now.Before(s.unresponsive[g.Name]) {
		s.mu.Unlock()
		return targetlimit.GrantReply{}, false
	}
	s.pending[nonce] = replies
	s.mu.Unlock()
	defer func() {
		s.mu.Lock()
		delete(s.pending, nonce)
		s.mu.Unlock()
	}()
	query := targetlimit.GrantQuery{Nonce: nonce, Rank: uint8(purpose.rank), Control: purpose.control, Announcement: observation.ToAnnouncement(i, now)}
	_, _ = conn.WriteTo(query.Append(nil), address) // a lost query ends in a timeout
	timer := time.NewTimer(grantTimeout)
	defer timer.Stop()
	select {
	case reply := <-replies:
		s.roundTripTime.RecordDuration(time.Since(now))
		s.mu.Lock()
		delete(s.unresponsive, g.Name)
		s.mu.Unlock()
		// A reply that waited for this process, which stood still, says what held at another time.
		took := s.state.bootTime(time.Now()).Sub(begun)
		if took <= grantTimeout {
			return reply, true
		}
		klog.InfoS("reply of an instance that grants requests came too late", "instance", g.Name, "age_ms", took.Milliseconds())
	case <-ctx.Done():
	case <-timer.C:
		s.mu.Lock()
		if _, alreadyUnresponsive := s.unresponsive[g.Name]; !alreadyUnresponsive {
			klog.InfoS("instance that grants requests does not answer", "instance", g.Name)
		}
		s.unresponsive[g.Name] = time.Now().Add(grantorBackoff)
		s.mu.Unlock()
	}
	return targetlimit.GrantReply{}, false
}

// handleDatagram processes a query or a reply, and reports whether the datagram was one of them.
func (s *grantService) handleDatagram(b []byte, from net.Addr) bool {
	switch {
	case targetlimit.IsGrantQuery(b):
		query, err := targetlimit.ParseGrantQuery(b)
		if err != nil {
			klog.V(1).InfoS("invalid grant query dropped", "from", from.String(), "err", err.Error())
			return true
		}
		s.answerQuery(query, from, time.Now())
		return true
	case targetlimit.IsGrantReply(b):
		reply, err := targetlimit.ParseGrantReply(b)
		if err != nil {
			klog.V(1).InfoS("invalid grant reply dropped", "from", from.String(), "err", err.Error())
			return true
		}
		s.mu.Lock()
		defer s.mu.Unlock()
		if replies := s.pending[reply.Nonce]; replies != nil {
			delete(s.pending, reply.Nonce)
			replies <- reply // never blocks: the channel has a buffer of one
		}
		return true
	}
	return false
}

// answerQuery decides on a grant that another instance requests, and sends the reply.
func (s *grantService) answerQuery(q targetlimit.GrantQuery, from net.Addr, now time.Time) {
	s.state.learnLimits([]targetlimit.Announcement{q.Announcement}, now)
	observation := s.state.limits.tracker.Latest(q.Incarnation)
	reply := targetlimit.GrantReply{Nonce: q.Nonce, Granted: true, Role: s.currentRole(q.Incarnation, observation, now)}
	if rate, limited := observation.Rate(now); limited {
		reply.Granted, reply.Wait = s.limiter.Take(targetlimit.GrantRequest{
			Incarnation: q.Incarnation, PerSecond: rate, Role: reply.Role, Rank: int(q.Rank), Control: q.Control,
		}, now)
	}
	s.mu.Lock()
	conn := s.conn
	for name, until := range s.unresponsive {
		if now.After(until.Add(grantorBackoff)) {
			delete(s.unresponsive, name)
		}
	}
	s.mu.Unlock()
	if conn != nil {
		_, _ = conn.WriteTo(reply.Append(nil), from) // a lost reply ends in a timeout at the other instance
	}
}
