package gateway

import (
	"math"
	"net"
	"time"

	"github.com/uber-go/tally/v4"
	"k8s.io/klog/v2"

	"github.com/egrethoist/egrethoist/internal/loadshare"
	"github.com/egrethoist/egrethoist/internal/overload"
	"github.com/egrethoist/egrethoist/internal/routing"
	"github.com/egrethoist/egrethoist/internal/workspaceshare"
)

// usagePeriod is the time between two usage messages of an instance. It is a fifth of the time constant of usage.
const usagePeriod = time.Second

// shareService exchanges the usage of workspaces with the other instances and decides by shares when targets are overloaded. A
// nil shareService does nothing.
type shareService struct {
	tracker *workspaceshare.Tracker
	tables  *loadshare.UsageTables

	// Used only by the goroutine that sends messages.
	sentAt time.Time
	sent   []workspaceshare.Usage // this instance's usage in its last message

	refusedBeyond, refusedInside, refusedForUrgency, admittedLate tally.Counter
	workspaces                                                    tally.Gauge
}

// newShareService returns nil if shares are off.
func newShareService(on bool, s tally.Scope) *shareService {
	if !on {
		return nil
	}
	if s == nil {
		s = tally.NoopScope
	}
	return &shareService{
		tracker: workspaceshare.NewTracker(workspaceshare.Options{}), tables: loadshare.NewUsageTables(),
		refusedBeyond: s.Counter("requests_refused_beyond_share"), refusedInside: s.Counter("requests_refused_inside_share"),
		refusedForUrgency: s.Counter("requests_refused_for_urgency"), admittedLate: s.Counter("requests_admitted_for_share"), workspaces: s.Gauge("workspaces_with_usage"),
	}
}

// handleDatagram processes a datagram. It returns false if it is not a usage message.
func (s *shareService) handleDatagram(b []byte, from net.Addr) bool {
	if !loadshare.IsUsage(b) {
		return false
	}
	if s == nil {
		return true // another instance has shares on already
	}
	m, err := loadshare.ParseUsage(b)
	if err != nil {
		klog.V(1).InfoS("invalid usage message dropped", "from", from.String(), "err", err.Error())
		return true
	}
	s.tables.Receive(m, time.Now())
	return true
}

// broadcast sends the usage of this instance if it is due and, as the active hub, the sums, and takes in the usage of the
// others. It is called in each period of the load messages, whose sequence number it uses.
func (s *shareService) broadcast(conn net.PacketConn, plan *loadshare.Plan, sender, sequence uint64, isActiveHub bool, now time.Time) {
	if s == nil || now.Sub(s.sentAt) < usagePeriod {
		return
	}
	s.sentAt = now
	own := s.tracker.Own(now)
	message := &loadshare.UsageMessage{Sender: sender, Sequence: sequence, Kind: loadshare.Own, Usage: own}
	sendUsage(conn, plan.OwnRecipients, message)
	var others loadshare.UsageSum
	switch {
	case plan.Direct:
		others = s.tables.Sum(now)
	case plan.IsHub:
		domain, total := s.tables.HubSums(plan, own, now)
		others = total.Without(own)
		if isActiveHub {
			sendUsage(conn, plan.RemoteHubAddresses, &loadshare.UsageMessage{Sender: sender, Sequence: sequence, Kind: loadshare.Domain, Usage: domain.Usage})
			sendUsage(conn, plan.PeerAddresses, &loadshare.UsageMessage{Sender: sender, Sequence: sequence, Kind: loadshare.Total, Usage: total.Usage})
		}
	default:
		others = s.tables.Total(plan.Hubs, now).Without(s.sent)
	}
	s.sent = own
	s.workspaces.Update(float64(workspaceshare.CountWorkspaces(own)))
	s.tracker.SetRemote(workspaceshare.Remote{Usage: others.Usage, At: now, NewestAt: others.NewestAt})
}

func sendUsage(conn net.PacketConn, to []string, m *loadshare.UsageMessage) {
	if len(to) == 0 {
		return
	}
	fragments := m.Split()
	for _, peer := range to {
		address, err := net.ResolveUDPAddr("udp4", peer)
		if err != nil {
			continue // the instance's record has no valid address
		}
		for _, fragment := range fragments {
			_, _ = conn.WriteTo(fragment, address) // lost usage is sent again with the next message
		}
	}
}

// shareLog is what a request's log line says of the share of its workspace.
type shareLog struct {
	Used      float64 `json:"used"`             // work per second that the workspace gets at the service
	Asked     float64 `json:"asked"`            // work per second that it asks for
	Share     float64 `json:"share,omitempty"`  // work per second; left out if there was enough for all
	Excess    float64 `json:"beyond,omitempty"` // usage beyond the share, as a fraction of the share
	AgeMs     float64 `json:"age_ms"`           // of the newest usage from another instance; negative if there was none
	Inside    bool    `json:"inside"`
	Outranked bool    `json:"outranked,omitempty"` // more urgent requests were served less often
	Outcome   string  `json:"outcome,omitempty"`   // what the share changed

	admittedCost float64 // work counted as admitted
}

func newShareLog(s workspaceshare.Standing, d workspaceshare.Decision) *shareLog {
	out := &shareLog{
		Used: math.Round(s.Used), Asked: math.Round(s.Asked), Share: math.Round(s.Share), Excess: math.Round(s.Excess*1000) / 1000,
		AgeMs: milliseconds(s.Age), Inside: s.Inside, Outranked: s.Outranked,
	}
	switch {
	case d.BeyondShare && s.Outranked:
		out.Outcome = "refused for more urgent requests"
	case d.BeyondShare:
		out.Outcome = "refused beyond share"
	case d.Benefited:
		out.Outcome = "admitted inside share"
	}
	return out
}

// decideByShare decides whether a request is admitted, by overload control and by the share of its workspace. The
// request is counted as usage once, by its last decision if several targets are considered.
func (rq *request) decideByShare(s *shareService, r overload.Request, prefillTokens int) overload.Decision {
	if s == nil {
		return overload.Decide(r, rq.rng)
	}
	now, name := time.Now(), ""
	if rq.workspace != nil {
		name = rq.workspace.Name
	}
	key := workspaceshare.NewKey(rq.service.Name, name)
	cost := workspaceshare.Work(prefillTokens, rq.call.PromptTotal-prefillTokens, rq.call.OutputLimit/2) // half the limit, as in AddHeldTokens
	urgency := min(max(rq.urgency, 0), routing.UrgencyLevels-1)
	standing := s.tracker.Assess(key, cost, urgency, now)
	longest := r.LongestWait()
	if standing.Known {
		r.QueueLimit = min(r.QueueLimit, workspaceshare.CommonWait(longest))
	}
	d := standing.Decide(r.QueueWait, longest, r.Remaining, func(wait time.Duration) (bool, time.Duration) {
		r.QueueWait = wait
		control := overload.Decide(r, rq.rng)
		if standing.Known {
			return control.Admit, control.RoomAfter // the share spreads the retries
		}
		return control.Admit, control.RetryAfter
	}, rq.rng)
	switch {
	case rq.share == nil:
		s.tracker.RecordControl(key, urgency, d.Control, now)
		s.tracker.Record(key, cost, urgency, d.Admit, now)
	case d.Admit:
		return overload.Decision{Admit: true} // counted already for another target
	default:
		s.tracker.Revoke(key, rq.share.admittedCost, urgency)
	}
	s.record(standing, d)
	rq.share = newShareLog(standing, d)
	if d.Admit {
		rq.share.admittedCost = cost
	}
	return overload.Decision{Admit: d.Admit, RetryAfter: d.RetryAfter}
}

// record updates the metrics.
func (s *shareService) record(standing workspaceshare.Standing, d workspaceshare.Decision) {
	switch {
	case d.Benefited:
		s.admittedLate.Inc(1)
	case d.Admit || !standing.Known:
	case d.BeyondShare && standing.Outranked:
		s.refusedForUrgency.Inc(1)
	case standing.Inside && !d.BeyondShare:
		s.refusedInside.Inc(1)
	default:
		s.refusedBeyond.Inc(1)
	}
}
