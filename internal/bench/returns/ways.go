package returns

import (
	"encoding/binary"
	"fmt"
	"math/rand/v2"

	"github.com/egrethoist/egrethoist/internal/kvcache/block"
	"github.com/egrethoist/egrethoist/internal/kvcache/placement"
)

// Way is one way of knowing which store holds a prompt, at the size that the system grows towards.
type Way struct {
	Name            string  `json:"name"`
	BytesPerNode    int     `json:"bytes_per_node"`
	BytesPerSec     float64 `json:"bytes_per_sec"`    // to one node, to keep it up to date
	ShareRecomputed float64 `json:"share_recomputed"` // of the returns: held by a store that isn't asked
	Asked           float64 `json:"stores_asked"`     // a return, on average
}

// Sizes of the fleet that the ways are weighed at.
const (
	futurePrompts = 1_700_000
	futureNodes   = 660
	futureStores  = 17
	futurePerDay  = 2 * futurePrompts // prompts stored or dropped in a day
	sampled       = 100_000           // prompts looked at; shares don't hang on their number
	divertedShare = 0.05              // exports that went to the second store, the first being full or down
	recentSlots   = 1 << 16
	tableEntry    = block.IDBytes + 2 // a store's number
	bloomBits     = 10                // a prompt, for one wrong answer in a hundred
	recentEntry   = 8
	secondsPerDay = 86400
)

// lookups is a population of prompts with the stores that hold them, after one store more has joined.
type lookups struct {
	before, after *placement.Group
	rng           *rand.Rand
	heads         []block.ID
	holder        []string
}

func newLookups(seed uint64) *lookups {
	var members []placement.Member
	for i := range futureStores + 1 {
		members = append(members, placement.Member{Name: fmt.Sprintf("store-%02d", i), FailureDomain: fmt.Sprintf("domain-%02d", i)})
	}
	l := &lookups{before: placement.NewGroup(members[:futureStores]), after: placement.NewGroup(members), rng: rand.New(rand.NewPCG(seed, 19))}
	for range sampled {
		var head block.ID
		binary.LittleEndian.PutUint64(head[:], l.rng.Uint64())
		binary.LittleEndian.PutUint64(head[8:], l.rng.Uint64())
		ranked := l.before.RankReplicas(head, 2, nil)
		at := ranked[0]
		if l.rng.Float64() < divertedShare {
			at = ranked[1]
		}
		l.heads = append(l.heads, head)
		l.holder = append(l.holder, l.before.Members()[at].Name)
	}
	return l
}

// ask looks a share of the prompts up at the first n stores by rank, and returns the share not found and the
// mean number of stores asked.
func (l *lookups) ask(n int) (missed, asked float64) {
	for i, head := range l.heads {
		found := false
		for _, at := range l.after.RankReplicas(head, n, nil) {
			asked++
			if found = l.after.Members()[at].Name == l.holder[i]; found {
				break
			}
		}
		if !found {
			missed++
		}
	}
	return missed / sampled, asked / sampled
}

// Ways weighs the ways of knowing which store holds a prompt.
func Ways(seed uint64) []Way {
	l := newLookups(seed)
	one, askedOne := l.ask(1)
	two, askedTwo := l.ask(2)
	three, askedThree := l.ask(3)
	// A recent request is known to the node that it went through; others fall back on the first store.
	known := 1.0 / futureNodes * min(1, float64(recentSlots)/(float64(futurePrompts)/futureNodes))
	return []Way{
		{Name: "table of all prompts", BytesPerNode: futurePrompts * tableEntry, BytesPerSec: futurePerDay * tableEntry / float64(secondsPerDay), Asked: 1},
		{Name: "filters of all stores", BytesPerNode: futurePrompts * bloomBits / 8, BytesPerSec: futurePerDay * bloomBits / 8 / float64(secondsPerDay) * futureStores, Asked: 1 + 0.01*futureStores/2},
		{Name: "first by rank", ShareRecomputed: one, Asked: askedOne},
		{Name: "first by rank, and recent requests", BytesPerNode: recentSlots * recentEntry, ShareRecomputed: one * (1 - known), Asked: askedOne},
		{Name: "first two by rank", ShareRecomputed: two, Asked: askedTwo},
		{Name: "first three by rank", ShareRecomputed: three, Asked: askedThree},
	}
}
