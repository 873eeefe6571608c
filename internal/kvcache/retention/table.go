package retention

import (
	"math"
	"math/rand/v2"
	"time"

	"github.com/egrethoist/egrethoist/internal/kvcache/block"
)

// Item is a block that is offered to a store.
type Item struct {
	ID        block.ID
	Parent    block.ID // preceding block of the prompt; the zero ID for the first
	Workspace string
	Version   string
	Bytes     int64
	Value     float64 // see ValueInputs.Value
	Replica   bool    // an additional copy of a block that another store holds; evicted before all others
}

// TableOptions configure a Table. Zero fields except Capacity select the defaults.
type TableOptions struct {
	Capacity        int64                          // bytes
	InitialHalfAge  time.Duration                  // half-age until it is learned from the gaps between uses
	FixedHalfAge    bool                           // keep InitialHalfAge
	EvictionSamples int                            // number of candidates that are compared for one eviction
	Weight          func(workspace string) float64 // weight of a workspace's share; nil gives all the same
	Pinned          func(id block.ID) bool         // reports whether a block must not be evicted; nil pins none
	LRU             bool                           // evict by last use alone, as a store without values does
}

// DefaultEvictionSamples is the default of TableOptions.EvictionSamples.
const DefaultEvictionSamples = 16

// Table decides admission and eviction for one tier of one store. The blocks of a prompt are evicted from the last to
// the first, since a block is useless without those before it. A Table is not safe for concurrent use.
type Table struct {
	opts       TableOptions
	used       int64
	halfAge    time.Duration
	meanLogGap float64 // moving average of the logarithm of the gap between uses, in nanoseconds
	nodes      map[block.ID]*node
	accounts   map[string]*account
	replicas   *account   // holds all replicas; its weight is so small that it always exceeds its share
	ordered    []*account // in the order of their first use, so that runs are reproducible
}

// node is a block in the table. children counts the held blocks that directly follow it.
type node struct {
	item      Item
	account   *account
	lastUse   time.Time
	reuses    int
	children  int
	leafIndex int // index in the account's leaves, or -1
}

// account holds the usage of one workspace, or of all replicas.
type account struct {
	weight float64
	used   int64
	leaves []*node
}

// NewTable returns an empty table.
func NewTable(opts TableOptions) *Table {
	if opts.InitialHalfAge == 0 {
		opts.InitialHalfAge = DefaultHalfAge
	}
	if opts.EvictionSamples == 0 {
		opts.EvictionSamples = DefaultEvictionSamples
	}
	if opts.Weight == nil {
		opts.Weight = func(string) float64 { return 1 }
	}
	t := &Table{opts: opts, halfAge: opts.InitialHalfAge, meanLogGap: math.Log(float64(opts.InitialHalfAge) / halfAgePerGap)}
	t.nodes, t.accounts = map[block.ID]*node{}, map[string]*account{}
	t.replicas = &account{weight: minWeight}
	t.ordered = []*account{t.replicas}
	return t
}

// minWeight is the lowest weight of an account, which avoids division by zero for workspaces without a weight.
const minWeight = 1e-9

// Used returns the bytes held.
func (t *Table) Used() int64 { return t.used }

// Len returns the number of blocks held.
func (t *Table) Len() int { return len(t.nodes) }

// UsedBy returns the bytes that a workspace holds, without replicas.
func (t *Table) UsedBy(workspace string) int64 {
	if a := t.accounts[workspace]; a != nil {
		return a.used
	}
	return 0
}

// Contains reports whether a block is held.
func (t *Table) Contains(id block.ID) bool { return t.nodes[id] != nil }

// Touch records that a block was read. A replica remains a replica: its reader exports a first copy again, to the
// first store that accepts it, and two first copies would evict other prompts.
func (t *Table) Touch(id block.ID, now time.Time) {
	n := t.nodes[id]
	if n == nil {
		return
	}
	t.learnGap(now.Sub(n.lastUse))
	n.reuses++
	n.lastUse = now
}

// promote turns a replica into a first copy, which counts towards its workspace.
func (t *Table) promote(n *node) {
	if n.account != t.replicas {
		return
	}
	isLeaf := n.leafIndex >= 0
	t.dropLeaf(n)
	n.account.used -= n.item.Bytes
	n.account = t.account(n.item.Workspace)
	n.account.used += n.item.Bytes
	if isLeaf {
		t.addLeaf(n)
	}
}

// Parameters of the estimate of gaps between uses.
const (
	minGap        = time.Second // shorter gaps belong to the same use
	gapSmoothing  = 0.002       // weight of one gap in the moving average; it is small because all blocks of a prompt are reused together
	halfAgePerGap = 2           // half-age as a multiple of the geometric mean of the gaps
)

// learnGap updates the half-age from the geometric mean of the gaps between uses.
func (t *Table) learnGap(gap time.Duration) {
	if gap < minGap || t.opts.FixedHalfAge {
		return
	}
	t.meanLogGap += gapSmoothing * (math.Log(float64(gap)) - t.meanLogGap)
	t.halfAge = time.Duration(halfAgePerGap * math.Exp(t.meanLogGap))
}

// OfferResult is the result of Table.Offer.
type OfferResult struct {
	Admitted bool
	Evicted  []block.ID // removed from the table, also if the item was not admitted in the end
}

// Offer adds an item to the table, and evicts blocks to make room if needed. It refreshes an item that is already there.
// An item is not admitted if its size is not positive or exceeds the capacity, or if too few blocks may be evicted for
// it.
func (t *Table) Offer(item Item, now time.Time, rng *rand.Rand) OfferResult {
	var v OfferResult
	if n := t.nodes[item.ID]; n != nil {
		n.lastUse = now
		n.item.Value = max(n.item.Value, item.Value)
		if !item.Replica {
			t.promote(n)
		}
		v.Admitted = true
		return v
	}
	if item.Bytes <= 0 || item.Bytes > t.opts.Capacity {
		return v
	}
	a := t.replicas
	if !item.Replica {
		a = t.account(item.Workspace)
	}
	for t.used+item.Bytes > t.opts.Capacity {
		victim := t.victim(item, a, now, rng)
		if victim == nil {
			return v
		}
		t.remove(victim)
		v.Evicted = append(v.Evicted, victim.item.ID)
	}
	t.insert(item, a, now)
	v.Admitted = true
	return v
}

// Remove removes a block whatever its value, and reports whether it was there.
func (t *Table) Remove(id block.ID) bool {
	n := t.nodes[id]
	if n == nil {
		return false
	}
	t.remove(n)
	return true
}

// DropVersion removes all blocks of a weight version and returns their IDs.
func (t *Table) DropVersion(version string) []block.ID {
	var dropped []block.ID
	for id, n := range t.nodes {
		if n.item.Version == version {
			t.remove(n)
			dropped = append(dropped, id)
		}
	}
	return dropped
}

// account returns the account of a workspace, and creates it if needed.
func (t *Table) account(workspace string) *account {
	a := t.accounts[workspace]
	if a == nil {
		a = &account{weight: max(t.opts.Weight(workspace), minWeight)}
		t.accounts[workspace] = a
		t.ordered = append(t.ordered, a)
	}
	return a
}

// sharePerWeight returns the fair share in bytes per unit of weight, among the writer and the accounts that hold blocks.
func (t *Table) sharePerWeight(writer *account) float64 {
	var weights float64
	for _, a := range t.ordered {
		if a.used > 0 || a == writer {
			weights += a.weight
		}
	}
	return float64(t.opts.Capacity) / weights
}

// victim returns the block to evict for an item, or nil if the item should not be admitted. Replicas are evicted first. A
// workspace within its share evicts from the account that exceeds its share the most. A workspace that exceeds its share
// evicts only from itself and from accounts that exceed theirs more, and only blocks worth less than the item.
func (t *Table) victim(item Item, writer *account, now time.Time, rng *rand.Rand) *node {
	if writer != t.replicas {
		if n := t.leastValuable(t.replicas, now, rng); n != nil {
			return n
		}
	}
	share := t.sharePerWeight(writer)
	loadAfter := float64(writer.used+item.Bytes) / writer.weight
	if loadAfter <= share {
		return t.leastValuable(t.mostOverShare(share), now, rng)
	}
	var best *node
	for _, a := range t.ordered {
		if a != writer && float64(a.used)/a.weight < loadAfter {
			continue
		}
		if n := t.leastValuable(a, now, rng); n != nil && (best == nil || t.evictBefore(n, best, now)) {
			best = n
		}
	}
	if best == nil || t.value(best, now) >= item.Value {
		return nil
	}
	return best
}

// mostOverShare returns the account that exceeds its share the most, or nil if none does.
func (t *Table) mostOverShare(share float64) *account {
	var most *account
	for _, a := range t.ordered {
		overShare := float64(a.used)/a.weight > share
		if overShare && (most == nil || float64(a.used)/a.weight > float64(most.used)/most.weight) {
			most = a
		}
	}
	return most
}

// leastValuable returns the least valuable of a random sample of an account's leaves, or nil if there is none. Leaves are
// blocks that no held block follows.
func (t *Table) leastValuable(a *account, now time.Time, rng *rand.Rand) *node {
	if a == nil || len(a.leaves) == 0 {
		return nil
	}
	var best *node
	for i := range min(t.opts.EvictionSamples, len(a.leaves)) {
		n := a.leaves[i]
		if len(a.leaves) > t.opts.EvictionSamples {
			n = a.leaves[rng.IntN(len(a.leaves))]
		}
		if t.opts.Pinned != nil && t.opts.Pinned(n.item.ID) {
			continue
		}
		if best == nil || t.evictBefore(n, best, now) {
			best = n
		}
	}
	return best
}

// evictBefore orders blocks by value, then by ID, so that results do not depend on the iteration order of maps.
func (t *Table) evictBefore(a, b *node, now time.Time) bool {
	va, vb := t.value(a, now), t.value(b, now)
	if va != vb {
		return va < vb
	}
	return a.item.ID.Hash() < b.item.ID.Hash()
}

// value returns the current value of a block for eviction; with LRU it is the negative age in seconds.
func (t *Table) value(n *node, now time.Time) float64 {
	age := now.Sub(n.lastUse)
	if t.opts.LRU {
		return -age.Seconds()
	}
	return n.item.Value * float64(1+n.reuses) * ageFactor(age, t.halfAge)
}

func (t *Table) insert(item Item, a *account, now time.Time) {
	n := &node{item: item, account: a, lastUse: now, leafIndex: -1}
	t.nodes[item.ID] = n
	t.used += item.Bytes
	a.used += item.Bytes
	t.addLeaf(n)
	if p := t.nodes[item.Parent]; p != nil {
		p.children++
		t.dropLeaf(p)
	}
}

func (t *Table) remove(n *node) {
	delete(t.nodes, n.item.ID)
	t.used -= n.item.Bytes
	n.account.used -= n.item.Bytes
	t.dropLeaf(n)
	if p := t.nodes[n.item.Parent]; p != nil {
		// A parent that was inserted after its child never counted it.
		p.children = max(p.children-1, 0)
		if p.children == 0 {
			t.addLeaf(p)
		}
	}
}

func (t *Table) addLeaf(n *node) {
	if n.leafIndex >= 0 {
		return
	}
	a := n.account
	n.leafIndex = len(a.leaves)
	a.leaves = append(a.leaves, n)
}

func (t *Table) dropLeaf(n *node) {
	if n.leafIndex < 0 {
		return
	}
	a := n.account
	last := a.leaves[len(a.leaves)-1]
	a.leaves[n.leafIndex] = last
	last.leafIndex = n.leafIndex
	a.leaves = a.leaves[:len(a.leaves)-1]
	n.leafIndex = -1
}
