package engine

import (
	"container/list"
	"encoding/hex"
	"time"

	"lukechampine.com/blake3"

	"github.com/egrethoist/egrethoist/internal/engine"
	"github.com/egrethoist/egrethoist/internal/token"
)

// maxEvents is the number of cache events held for readers.
const maxEvents = 4096

// chainDigests returns the identities of the whole blocks of a prompt: each covers the salt, the version and
// all text up to the end of its block.
func chainDigests(version, salt string, prompt []byte, blockTokens int) []string {
	window := blockTokens * token.BytesPerToken
	h := blake3.Sum256([]byte(version + "\x00" + salt))
	var out []string
	for ; len(prompt) >= window; prompt = prompt[window:] {
		h = blake3.Sum256(append(h[:], prompt[:window]...))
		out = append(out, hex.EncodeToString(h[:16]))
	}
	return out
}

// BlockData returns the only right content of a block.
func BlockData(digest string, size int) []byte {
	out := make([]byte, size)
	h := blake3.New(len(digest), nil)
	_, _ = h.Write([]byte(digest))
	_, _ = h.XOF().Read(out)
	return out
}

type cacheEntry struct {
	digest  string
	parent  string
	version string
	salt    string
}

type timedEvent struct {
	engine.CacheEvent
	at time.Time
}

// prefixCache is a bounded least-recently-used set of blocks with a log of its changes.
type prefixCache struct {
	capacity int
	tokens   int // tokens in a block
	order    *list.List
	byDigest map[string]*list.Element
	events   []timedEvent
	next     uint64 // sequence of the next event
}

func newPrefixCache(capacity, blockTokens int) *prefixCache {
	return &prefixCache{capacity: capacity, tokens: blockTokens, order: list.New(), byDigest: map[string]*list.Element{}}
}

func (c *prefixCache) emit(kind engine.EventKind, e cacheEntry) {
	c.events = append(c.events, timedEvent{
		CacheEvent: engine.CacheEvent{Sequence: c.next, Kind: kind, Block: e.digest, Parent: e.parent, Tokens: c.tokens},
		at:         time.Now(),
	})
	c.next++
	if len(c.events) > maxEvents {
		c.events = c.events[len(c.events)-maxEvents:]
	}
}

// matched returns the number of leading blocks of the chain that are cached and marks them used. The chain is
// touched from its end, so that the last block of a chain is evicted before those it depends on.
func (c *prefixCache) matched(chain []string) int {
	n := 0
	for n < len(chain) && c.byDigest[chain[n]] != nil {
		n++
	}
	c.touch(chain[:n])
	return n
}

func (c *prefixCache) touch(chain []string) {
	for i := len(chain) - 1; i >= 0; i-- {
		if el := c.byDigest[chain[i]]; el != nil {
			c.order.MoveToFront(el)
		}
	}
}

// store adds the blocks of a chain.
func (c *prefixCache) store(chain []string, version, salt string) {
	parent := ""
	for _, d := range chain {
		c.add(cacheEntry{digest: d, parent: parent, version: version, salt: salt})
		parent = d
	}
	c.touch(chain)
}

func (c *prefixCache) add(e cacheEntry) {
	if c.capacity <= 0 || c.byDigest[e.digest] != nil {
		return
	}
	for c.order.Len() >= c.capacity {
		c.remove(c.order.Back())
	}
	c.byDigest[e.digest] = c.order.PushFront(e)
	c.emit(engine.EventStored, e)
}

func (c *prefixCache) remove(el *list.Element) {
	e := c.order.Remove(el).(cacheEntry)
	delete(c.byDigest, e.digest)
	c.emit(engine.EventRemoved, e)
}

// dropVersion removes every block of a weight version.
func (c *prefixCache) dropVersion(version string) {
	for el := c.order.Front(); el != nil; {
		next := el.Next()
		if el.Value.(cacheEntry).version == version {
			c.remove(el)
		}
		el = next
	}
}

func (c *prefixCache) get(digest string) (cacheEntry, bool) {
	el := c.byDigest[digest]
	if el == nil {
		return cacheEntry{}, false
	}
	return el.Value.(cacheEntry), true
}

// page returns the events from sequence after that are older than delay.
func (c *prefixCache) page(after uint64, delay time.Duration) engine.CacheEvents {
	out := engine.CacheEvents{First: c.next, Next: after}
	if len(c.events) > 0 {
		out.First = c.events[0].Sequence
	}
	if after < out.First || after > c.next {
		out.Next = out.First
	}
	limit := time.Now().Add(-delay)
	for _, e := range c.events {
		if e.at.After(limit) {
			break
		}
		if e.Sequence >= out.Next {
			out.Events = append(out.Events, e.CacheEvent)
			out.Next = e.Sequence + 1
		}
	}
	return out
}

// all lists the cached blocks, most recently used first.
func (c *prefixCache) all() engine.CacheEvents {
	out := engine.CacheEvents{First: c.next, Next: c.next}
	for el := c.order.Front(); el != nil; el = el.Next() {
		e := el.Value.(cacheEntry)
		out.Events = append(out.Events, engine.CacheEvent{Kind: engine.EventStored, Block: e.digest, Parent: e.parent, Tokens: c.tokens})
	}
	return out
}
