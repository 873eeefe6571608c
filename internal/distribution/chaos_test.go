package distribution

import (
	"context"
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"connectrpc.com/connect"

	egretv1 "github.com/egrethoist/egrethoist/gen/egret/v1"
	"github.com/egrethoist/egrethoist/internal/configkv"
	"github.com/egrethoist/egrethoist/internal/control"
	"github.com/egrethoist/egrethoist/internal/platform/memory"
	"github.com/egrethoist/egrethoist/internal/world"
)

// chaos injects random concurrent faults into a fleet while operators apply conflicting changes.
type chaos struct {
	*fleet
	rng          *rand.Rand
	lastRevision map[string]world.Revision  // last revision seen at each address
	recorded     []*egretv1.ExchangeRequest // messages that are replayed later
	actions      []string                   // logged if the test fails
}

// TestRandomFaultsNeverRevert guards against a process that loses its revision, returns to an older one or switches to
// another branch, when stale reads, lost responses, partitions, restarts and replayed messages coincide. After the
// faults every process must hold the head.
func TestRandomFaultsNeverRevert(t *testing.T) {
	for seed := range uint64(12) {
		t.Run(fmt.Sprint("seed=", seed), func(t *testing.T) {
			withFleet(t, func(f *fleet) {
				c := &chaos{fleet: f, rng: rand.New(rand.NewPCG(seed, 3)), lastRevision: map[string]world.Revision{}}
				f.expectRevision(f.apply())
				for range 25 {
					c.randomAction()
					time.Sleep(time.Duration(c.rng.IntN(4000)) * time.Millisecond)
					c.checkNoRevert()
				}
				c.clearFaults()
				f.expectRevision(c.applyAfterRaces())
				c.checkNoRevert()
				c.checkLineage()
				if t.Failed() {
					t.Log(c.actions)
				}
			})
		})
	}
}

// randomAction sets or clears one fault, or performs one action on a random process.
func (c *chaos) randomAction() {
	address := c.randomAddress()
	on := c.rng.IntN(2) == 0
	switch k := c.rng.IntN(11); k {
	case 0:
		c.setFaults("down", on, func(f *memory.Faults) { f.Down = on })
	case 1:
		c.setFaults("stale", on, func(f *memory.Faults) { f.Stale = on })
	case 2:
		c.setFaults("dropped watches", on, func(f *memory.Faults) { f.DropWatches = on })
	case 3:
		c.setFaults("lost answers", on, func(f *memory.Faults) { f.LoseAnswers = c.rng.IntN(4) })
	case 4:
		c.setFaults("delay", on, func(f *memory.Faults) { f.Delay = time.Duration(c.rng.IntN(900)) * time.Millisecond })
	case 5:
		c.actions = append(c.actions, fmt.Sprint("cut ", address, on))
		c.net.setCut(address, on)
	case 6:
		c.restart(address)
	case 7:
		c.record(address)
	case 8:
		c.replay(address)
	default:
		c.applyConcurrently()
	}
}

// record stores the message that the process at address would send to a peer without a revision.
func (c *chaos) record(address string) {
	m := c.nodes[address].messageFor(nil)
	c.recorded = append(c.recorded, &egretv1.ExchangeRequest{Revision: m.stamp, Manifest: m.manifest, Ancestors: m.ancestors})
}

// replay delivers the recorded messages to the process at address, like a sender that was paused.
func (c *chaos) replay(address string) {
	c.actions = append(c.actions, "replay to "+address)
	for _, m := range c.recorded {
		c.nodes[address].Exchange(c.ctx, connect.NewRequest(m))
		c.checkNoRevert()
	}
}

// randomAddress returns the address of a random entry or sidecar.
func (c *chaos) randomAddress() string {
	fallback := c.entries[0].Address
	n := c.rng.IntN(len(c.nodes))
	if n < len(c.entries) {
		return c.entries[n].Address
	}
	targets := document(c.t, 1).Services[0].Targets
	if i := n - len(c.entries); i < len(targets) {
		return targets[i].Sidecar.String()
	}
	return fallback
}

// setFaults changes the faults of the key-value service and logs the action.
func (c *chaos) setFaults(name string, on bool, change func(*memory.Faults)) {
	c.actions = append(c.actions, fmt.Sprint(name, on))
	c.kv.SetFaults(change)
}

// restart replaces a process by one without a configuration. The old process keeps running but receives no requests,
// like a paused process.
func (c *chaos) restart(address string) {
	c.actions = append(c.actions, "restart "+address)
	c.start(c.nodes[address].opts.Self, true)
	delete(c.lastRevision, address)
}

// applyConcurrently lets two operators apply at the same time. The outcomes are not checked here.
func (c *chaos) applyConcurrently() {
	c.actions = append(c.actions, "race")
	for range 2 {
		c.applyCount++
		doc, id := document(c.t, c.applyCount+100), fmt.Sprint("race-", c.applyCount)
		c.background.Go(func() {
			ctx, cancel := context.WithTimeout(c.ctx, 3*time.Second)
			defer cancel()
			c.control.Apply(ctx, doc, control.ApplyOptions{ApplyID: id})
		})
	}
}

// clearFaults removes all faults of the key-value service and the network.
func (c *chaos) clearFaults() {
	c.kv.SetFaults(func(f *memory.Faults) { *f = memory.Faults{} })
	for address := range c.nodes {
		c.net.setCut(address, false)
	}
}

// applyAfterRaces waits until concurrent applies have ended or timed out, and then applies a change.
func (c *chaos) applyAfterRaces() uint64 {
	time.Sleep(control.DefaultTimeout)
	return c.apply()
}

// checkNoRevert compares the revision of each process with the last one seen there.
func (c *chaos) checkNoRevert() {
	for address, d := range c.nodes {
		w := d.Current()
		previous := c.lastRevision[address]
		switch {
		case w == nil && previous.Number > 0:
			c.t.Errorf("%s lost revision %d", address, previous.Number)
		case w == nil:
		case w.Revision.Number < previous.Number, w.Revision.Number == previous.Number && w.Revision != previous:
			c.t.Errorf("%s went from revision %d to %d", address, previous.Number, w.Revision.Number)
		default:
			c.lastRevision[address] = w.Revision
		}
	}
}

// checkLineage checks that every process holds the head's revision.
func (c *chaos) checkLineage() {
	head, err := configkv.ReadHead(c.ctx, c.kv)
	if err != nil {
		c.t.Fatal(err)
	}
	for address, d := range c.nodes {
		if got := d.Current().Revision; got != head.Lineage.Revision {
			c.t.Errorf("%s holds revision %d %x, the key-value service %d %x", address, got.Number, got.Digest[:4],
				head.Lineage.Revision.Number, head.Lineage.Revision.Digest[:4])
		}
	}
}
