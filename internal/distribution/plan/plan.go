// Package plan decides how a configuration spreads: which entries watch the key-value service and with which peer
// a process exchanges revisions, and when. It is free of I/O and clocks.
package plan

import (
	"cmp"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

// Role tells what a process is.
type Role int

// Roles.
const (
	RoleEntry Role = iota
	RoleSidecar
)

// Peer is a process that takes part.
type Peer struct {
	Name    string
	Region  string
	Address string // IP:port of its ConfigService
	Role    Role
	Leaving bool
}

// Options bound the traffic. Zero values take the defaults.
type Options struct {
	WatchersPerRegion int           // entries that wait at the key-value service
	Partners          int           // peers of the same region that a process exchanges with
	FanOut            int           // partners told at once of a newly accepted revision
	Period            time.Duration // between two anti-entropy exchanges
	RemoteEvery       int           // every so many periods the exchange goes to another region
	UnconfirmedAfter  time.Duration // age from which a revision counts as unconfirmed
	SuspectFor        time.Duration // a peer that failed is passed over for so long
}

// Defaults.
const (
	DefaultWatchersPerRegion = 2
	DefaultPartners          = 6
	DefaultFanOut            = 3
	DefaultPeriod            = time.Second
	DefaultRemoteEvery       = 8
	DefaultUnconfirmedAfter  = 30 * time.Second
	DefaultSuspectFor        = 10 * time.Second
)

func (o Options) withDefaults() Options {
	setDefault(&o.WatchersPerRegion, DefaultWatchersPerRegion)
	setDefault(&o.Partners, DefaultPartners)
	setDefault(&o.FanOut, DefaultFanOut)
	setDefault(&o.Period, DefaultPeriod)
	setDefault(&o.RemoteEvery, DefaultRemoteEvery)
	setDefault(&o.UnconfirmedAfter, DefaultUnconfirmedAfter)
	setDefault(&o.SuspectFor, DefaultSuspectFor)
	return o
}

func setDefault[T int | time.Duration](v *T, def T) {
	if *v <= 0 {
		*v = def
	}
}

// remotePartners is the number of peers of other regions that an entry exchanges with in turn.
const maxRemotePartners = 4

// Planner decides for one process. It is not safe for concurrent use.
type Planner struct {
	opts           Options
	self           Peer
	isWatcher      bool
	regionEntries  int // of the own region, with the process itself
	localPartners  []Peer
	remotePartners []Peer
	suspectUntil   map[string]time.Time // address to the end of suspicion
	behindSince    map[string]time.Time // address to the time since when it was seen behind
	lastExchange   map[string]time.Time // address to the last exchange caused by a stamp
	ticks          int
}

// New returns the planner of a process that knows no peers yet.
func New(self Peer, opts Options) *Planner {
	p := &Planner{
		opts: opts.withDefaults(), self: self, suspectUntil: map[string]time.Time{},
		behindSince: map[string]time.Time{}, lastExchange: map[string]time.Time{},
	}
	p.SetPeers(nil)
	return p
}

// Options returns the options with defaults filled in.
func (p *Planner) Options() Options { return p.opts }

// SetPeers takes the known peers. Partners are those with the highest hash of both names, so that they stay the
// same, with their connections, while others come and go.
func (p *Planner) SetPeers(peers []Peer) {
	var local, remote, entries []Peer
	for _, q := range peers {
		if q.Leaving || q.Address == p.self.Address || q.Name == p.self.Name && q.Role == p.self.Role {
			continue
		}
		if q.Region != p.self.Region {
			remote = append(remote, q)
			continue
		}
		local = append(local, q)
		if q.Role == RoleEntry {
			entries = append(entries, q)
		}
	}
	p.regionEntries = len(entries) + 1
	p.isWatcher = p.self.Role == RoleEntry && p.watcherRank(entries) < p.opts.WatchersPerRegion
	p.localPartners = p.highestRanked(local, p.opts.Partners)
	p.remotePartners = nil
	if p.self.Role == RoleEntry {
		p.remotePartners = p.highestRanked(remote, maxRemotePartners)
	}
}

// ranksAmong returns how many of entries come before the process in the order of their region.
func (p *Planner) watcherRank(entries []Peer) int {
	own := rendezvousWeight(p.self.Region, p.self.Name)
	rank := 0
	for _, q := range entries {
		if w := rendezvousWeight(p.self.Region, q.Name); w > own || w == own && q.Name < p.self.Name {
			rank++
		}
	}
	return rank
}

// weighted is a peer with the hash of its name and the process's own.
type rankedPeer struct {
	peer   *Peer
	weight uint64
}

func compareRank(a, b rankedPeer) int {
	return cmp.Or(cmp.Compare(b.weight, a.weight), cmp.Compare(a.peer.Name, b.peer.Name))
}

// top returns the n peers of the highest weight. It runs for each configuration, so it sorts no more than them.
func (p *Planner) highestRanked(peers []Peer, n int) []Peer {
	best := make([]rankedPeer, 0, n+1)
	for i := range peers {
		w := rankedPeer{&peers[i], rendezvousWeight(p.self.Name, peers[i].Name)}
		index, _ := slices.BinarySearchFunc(best, w, compareRank)
		if index < n {
			best = slices.Insert(best, index, w)
			best = best[:min(len(best), n)]
		}
	}
	out := make([]Peer, len(best))
	for i, w := range best {
		out[i] = *w.peer
	}
	return out
}

func rendezvousWeight(a, b string) uint64 { return xxhash.Sum64String(a + "\x00" + b) }

// Watches reports whether this process waits at the key-value service.
func (p *Planner) IsWatcher() bool { return p.isWatcher }

// ReadsHead reports whether an entry that doesn't watch reads the head in this period. Entries with a confirmed
// revision never do. The others, whose watchers may be paused or cut off, do so at a rate that doesn't grow with
// their number.
func (p *Planner) ShouldReadHead(confirmedAge time.Duration, known bool, rng *rand.Rand) bool {
	if p.self.Role != RoleEntry || p.isWatcher || known && confirmedAge < p.opts.UnconfirmedAfter {
		return false
	}
	return rng.IntN(p.regionEntries) < p.opts.WatchersPerRegion
}

// Tick returns the peer of this period's exchange.
func (p *Planner) NextPartner(now time.Time, rng *rand.Rand) (Peer, bool) {
	p.ticks++
	list := p.localPartners
	if len(p.remotePartners) > 0 && (len(p.localPartners) == 0 || p.ticks%p.opts.RemoteEvery == 0) {
		list = p.remotePartners
	}
	picked := p.pick(now, rng, list, 1)
	if len(picked) == 0 {
		return Peer{}, false
	}
	return picked[0], true
}

// Accepted returns the peers to tell at once of a newly accepted revision.
func (p *Planner) PushPeers(now time.Time, rng *rand.Rand) []Peer {
	return p.pick(now, rng, p.localPartners, p.opts.FanOut)
}

// pick draws up to n distinct peers; suspected ones are passed over unless there are no others.
func (p *Planner) pick(now time.Time, rng *rand.Rand, candidates []Peer, n int) []Peer {
	healthy := make([]Peer, 0, len(candidates))
	for _, q := range candidates {
		if !now.Before(p.suspectUntil[q.Address]) {
			healthy = append(healthy, q)
		}
	}
	if len(healthy) == 0 {
		healthy = append(healthy, candidates...)
	}
	rng.Shuffle(len(healthy), func(i, j int) { healthy[i], healthy[j] = healthy[j], healthy[i] })
	return healthy[:min(n, len(healthy))]
}

// Failed records that an exchange with the peer at address failed.
func (p *Planner) RecordFailure(now time.Time, address string) {
	p.expire(now, p.suspectUntil)
	p.suspectUntil[address] = now.Add(p.opts.SuspectFor)
}

// Succeeded records that an exchange worked.
func (p *Planner) RecordSuccess(address string) {
	delete(p.suspectUntil, address)
	delete(p.behindSince, address)
}

// SeenAhead reports whether to ask the peer at address, whose stamp isn't known here.
func (p *Planner) ShouldPull(now time.Time, address string) bool {
	return p.allowExchange(now, address)
}

// SeenBehind reports whether to tell the peer at address, whose stamp is old. It waits for one period, for the
// peer's own partners usually tell it first.
func (p *Planner) ShouldPush(now time.Time, address string) bool {
	since, ok := p.behindSince[address]
	if !ok {
		p.expire(now.Add(-10*p.opts.Period), p.behindSince)
		p.behindSince[address] = now
		return false
	}
	return now.Sub(since) >= p.opts.Period && p.allowExchange(now, address)
}

// ask allows one exchange for each peer and period.
func (p *Planner) allowExchange(now time.Time, address string) bool {
	if last, ok := p.lastExchange[address]; ok && now.Sub(last) < p.opts.Period {
		return false
	}
	p.expire(now.Add(-p.opts.Period), p.lastExchange)
	p.lastExchange[address] = now
	return true
}

// forget drops entries older than before, so that a map holds no more than the peers of a few periods.
func (p *Planner) expire(before time.Time, m map[string]time.Time) {
	for k, t := range m {
		if t.Before(before) {
			delete(m, k)
		}
	}
}
