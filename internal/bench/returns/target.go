package returns

import (
	"container/list"
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/egrethoist/egrethoist/internal/engine"
	"github.com/egrethoist/egrethoist/internal/kvcache/block"
	"github.com/egrethoist/egrethoist/internal/kvcache/index"
	"github.com/egrethoist/egrethoist/internal/kvcache/linkbudget"
	"github.com/egrethoist/egrethoist/internal/kvcache/retention"
)

// target is one model server with the decisions of its sidecar.
type target struct {
	number int
	name   string
	domain string
	cpu    processor
	cache  prefixCache

	index     *index.Index
	events    []engine.CacheEvent // not yet told
	sequence  uint64
	queue     *retention.Queue
	returns   *retention.ReuseModel
	given     map[int]*given // prompts that the sidecar remembers
	links     []*linkbudget.Link
	fetches   int   // under way
	seen      []int // last incarnation of each store
	exporting bool
	out       bool          // takes no new work
	outSince  time.Duration // valid if out
	gone      bool
	restarts  int
}

// given is what a sidecar remembers of a prompt.
type given struct {
	blocks  int // of its longest form here
	returns int
	kept    int // leading blocks that its first store is known to hold
	last    time.Time
	gone    bool // the target holds nothing of it any more
}

// prefixCache is an engine's bounded least-recently-used set of blocks, by their numbers in the trace.
type prefixCache struct {
	capacity int
	order    *list.List // cachedBlock, most recently used first
	held     map[int]*list.Element
}

type cachedBlock struct {
	number int
	hex    string
}

func newPrefixCache(capacity int) prefixCache {
	return prefixCache{capacity: capacity, order: list.New(), held: map[int]*list.Element{}}
}

// prefix returns the number of leading blocks held of the first n of a prompt.
func (c *prefixCache) prefix(p *prompt, n int) int {
	for i := range n {
		if c.held[p.base+i] == nil {
			return i
		}
	}
	return n
}

// add stores the blocks from to up to but without to and touches those before them. It tells of changes.
func (c *prefixCache) add(p *prompt, from, to int, tell func(kind engine.EventKind, hex string)) {
	// From the last to the first, so that the last blocks of a prompt are evicted first.
	for i := to - 1; i >= 0; i-- {
		if el := c.held[p.base+i]; el != nil {
			c.order.MoveToFront(el)
			continue
		}
		if i < from {
			continue
		}
		for len(c.held) >= c.capacity {
			last := c.order.Remove(c.order.Back()).(cachedBlock)
			delete(c.held, last.number)
			tell(engine.EventRemoved, last.hex)
		}
		c.held[p.base+i] = c.order.PushFront(cachedBlock{p.base + i, p.hex[i]})
		tell(engine.EventStored, p.hex[i])
	}
}

func (t *target) tell(kind engine.EventKind, hex string) {
	t.events = append(t.events, engine.CacheEvent{Sequence: t.sequence, Kind: kind, Block: hex, Tokens: 1})
	t.sequence++
}

// lossRate is the share of event pages that are lost on the way to the sidecar.
const lossRate = 0.01

// hear lets the sidecar take the events of the last period, or lose them.
func (t *target) hear(now time.Time, rng *rand.Rand) {
	if len(t.events) == 0 && !t.index.Stale() {
		return
	}
	first := t.sequence - uint64(len(t.events))
	page := engine.CacheEvents{Incarnation: t.incarnation(), First: first, Next: t.sequence, Events: t.events}
	if rng.Float64() < lossRate && len(t.events) > 0 {
		page.First, page.Events = t.sequence, nil
	}
	t.events = nil
	t.index.Apply(page)
	if t.index.TryStartListing(now) {
		listing := engine.CacheEvents{Incarnation: t.incarnation(), Next: t.sequence}
		for el := t.cache.order.Front(); el != nil; el = el.Next() {
			listing.Events = append(listing.Events, engine.CacheEvent{Block: el.Value.(cachedBlock).hex, Tokens: 1})
		}
		t.index.Replace(listing)
	}
}

func (t *target) incarnation() string { return fmt.Sprint(t.restarts) }

// restart empties the target, as an instance that is replaced.
func (t *target) restart(c *Customer) {
	t.restarts++
	t.cache = newPrefixCache(c.CacheBlocks)
	t.events, t.sequence = nil, 0
	t.queue = retention.NewQueue(retention.QueueOptions{})
	t.returns = retention.NewReuseModel()
	t.given = map[int]*given{}
	t.exporting = false
}

// storeSim is one store with its link.
type storeSim struct {
	declared    Store
	table       *retention.Table
	link        link
	down        bool
	incarnation int
}

func newStoreSim(declared Store, recency bool, diskBytes int64) *storeSim {
	return &storeSim{
		declared: declared,
		table:    retention.NewTable(retention.TableOptions{Capacity: diskBytes, LRU: recency}),
	}
}

// held returns the number of leading blocks that a store holds.
func (s *storeSim) held(chain []block.ID) int {
	for i, id := range chain {
		if !s.table.Contains(id) {
			return i
		}
	}
	return len(chain)
}

// lose empties the store; it comes back as a new incarnation.
func (s *storeSim) lose(recency bool, diskBytes int64) {
	s.table = retention.NewTable(retention.TableOptions{Capacity: diskBytes, LRU: recency})
	s.incarnation++
}

// heldOf returns the leading blocks of a chain that the target holds by its index. The last is looked at
// first: blocks are evicted from the end.
func (t *target) heldOf(chain []block.ID) int {
	if t.index.Contains(chain[len(chain)-1]) {
		return len(chain)
	}
	n, _ := t.index.Prefix(chain)
	return n
}
