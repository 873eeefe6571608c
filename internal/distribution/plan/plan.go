// Package plan schedules the propagation of configuration revisions: which entries watch the key-value service, and
// with which peers a process exchanges revisions and when. It does no I/O and reads no clock.
package plan

import (
	"cmp"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

// Role is the kind of a process.
type Role int

// Roles.
const (
	RoleEntry   Role = iota // gateway process that accepts requests from clients
	RoleSidecar             // process next to one target
)

// Peer is a process that exchanges revisions.
type Peer struct {
	Name    string
	Region  string
	Address string // IP:port of its ConfigService
	Role    Role
	Leaving bool // is shutting down; gets no exchanges
}

// Options limits the traffic. Zero values select the defaults.
type Options struct {
	WatchersPerRegion int           // entries that watch the key-value service
	Partners          int           // peers of its own region that a process exchanges with
	FanOut            int           // partners to which a newly accepted revision is pushed
	Period            time.Duration // interval of anti-entropy exchanges
	RemoteEvery       int           // every n-th exchange of an entry is with another region
	UnconfirmedAfter  time.Duration // age from which a revision counts as unconfirmed
	SuspectFor        time.Duration // time for which a peer is avoided after a failed exchange
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

// setDefault sets *v to def unless it is positive.
func setDefault[T int | time.Duration](v *T, def T) {
	if *v <= 0 {
		*v = def
	}
}

// maxRemotePartners is the number of peers in other regions that an entry exchanges with.
const maxRemotePartners = 4

// Planner schedules the exchanges of one process. It is not safe for concurrent use.
type Planner struct {
	opts           Options
	self           Peer
	isWatcher      bool
	regionEntries  int // number of entries in the region, including this process
	localPartners  []Peer
	remotePartners []Peer
	suspectUntil   map[string]time.Time // by address
	behindSince    map[string]time.Time // by address: when an older revision was first seen there
	lastExchange   map[string]time.Time // by address: last exchange triggered by a stamp
	ticks          int
}

// New returns a planner without peers.
func New(self Peer, opts Options) *Planner {
	p := &Planner{
		opts: opts.withDefaults(), self: self, suspectUntil: map[string]time.Time{},
		behindSince: map[string]time.Time{}, lastExchange: map[string]time.Time{},
	}
	p.SetPeers(nil)
	return p
}

// Options returns the options with defaults applied.
func (p *Planner) Options() Options { return p.opts }

// SetPeers replaces the known peers. Partners are chosen by rendezvous hashing, so that they, and the connections to
// them, stay the same when other peers are added or removed.
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

// watcherRank returns the rank of this process among the region's entries by rendezvous weight; 0 is the highest.
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

// rankedPeer is a peer with its rendezvous weight for this process.
type rankedPeer struct {
	peer   *Peer
	weight uint64
}

// compareRank orders peers by descending weight, then by name.
func compareRank(a, b rankedPeer) int {
	return cmp.Or(cmp.Compare(b.weight, a.weight), cmp.Compare(a.peer.Name, b.peer.Name))
}

// highestRanked returns the n peers with the highest weight. It runs for each new configuration, so it keeps only the
// best n sorted instead of sorting all peers.
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

// IsWatcher reports whether this process watches the key-value service.
func (p *Planner) IsWatcher() bool { return p.isWatcher }

// ShouldReadHead reports whether an entry that is not a watcher reads the head in this period. Entries with a confirmed
// revision never do. The others, whose watchers may be paused or partitioned, do so at random, so that the region's
// read rate doesn't grow with the number of entries. known is false if the revision was never confirmed.
func (p *Planner) ShouldReadHead(confirmedAge time.Duration, known bool, rng *rand.Rand) bool {
	if p.self.Role != RoleEntry || p.isWatcher || known && confirmedAge < p.opts.UnconfirmedAfter {
		return false
	}
	return rng.IntN(p.regionEntries) < p.opts.WatchersPerRegion
}

// NextPartner returns the peer of this period's exchange, or false if no peers are known.
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

// PushPeers returns the peers to push a newly accepted revision to.
func (p *Planner) PushPeers(now time.Time, rng *rand.Rand) []Peer {
	return p.pick(now, rng, p.localPartners, p.opts.FanOut)
}

// pick returns up to n distinct random candidates. Suspected peers are skipped unless all are suspected.
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

// RecordFailure records a failed exchange with the peer at address, which is then suspected for Options.SuspectFor.
func (p *Planner) RecordFailure(now time.Time, address string) {
	p.expire(now, p.suspectUntil)
	p.suspectUntil[address] = now.Add(p.opts.SuspectFor)
}

// RecordSuccess records a successful exchange with the peer at address.
func (p *Planner) RecordSuccess(address string) {
	delete(p.suspectUntil, address)
	delete(p.behindSince, address)
}

// ShouldPull reports whether to exchange now with the peer at address, whose stamp shows an unknown revision with a
// number not below this process's.
func (p *Planner) ShouldPull(now time.Time, address string) bool {
	return p.allowExchange(now, address)
}

// ShouldPush reports whether to exchange now with the peer at address, whose stamp shows an older revision. It delays
// the exchange by one period, because the peer's own partners usually update it first.
func (p *Planner) ShouldPush(now time.Time, address string) bool {
	since, ok := p.behindSince[address]
	if !ok {
		p.expire(now.Add(-10*p.opts.Period), p.behindSince)
		p.behindSince[address] = now
		return false
	}
	return now.Sub(since) >= p.opts.Period && p.allowExchange(now, address)
}

// allowExchange limits exchanges triggered by stamps to one per peer and period.
func (p *Planner) allowExchange(now time.Time, address string) bool {
	if last, ok := p.lastExchange[address]; ok && now.Sub(last) < p.opts.Period {
		return false
	}
	p.expire(now.Add(-p.opts.Period), p.lastExchange)
	p.lastExchange[address] = now
	return true
}

// expire deletes times earlier than before from m, so that m holds only the peers of the last few periods.
func (p *Planner) expire(before time.Time, m map[string]time.Time) {
	for k, t := range m {
		if t.Before(before) {
			delete(m, k)
		}
	}
}
