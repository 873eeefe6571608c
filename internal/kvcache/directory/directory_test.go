package directory

import (
	"fmt"
	"testing"
	"time"
)

var epoch = time.Unix(1_800_000_000, 0)

func one(t *testing.T) *Directory {
	t.Helper()
	d := New()
	d.SetStores([]Store{{Name: "s", Address: "10.0.0.1:80", Tokens: 100_000}})
	d.Replace("s", 1, nil, epoch)
	return d
}

func carried(string) bool { return true }

func key(n int) Key { return Key{Scope: "v1", Part: fmt.Sprint(n)} }

// A part is fetched only once its store has reported it complete: one that is being written is not whole.
func TestFetchOnlyWhatIsComplete(t *testing.T) {
	d := one(t)
	if _, ok := d.Save(key(1), 1000, carried, epoch); !ok {
		t.Fatal("not saved")
	}
	if _, ok := d.Held(key(1), 1000, epoch); ok {
		t.Error("held while it is being written")
	}
	d.Apply("s", 1, []Change{{Added: true, Key: key(1), Tokens: 600}}, epoch)
	if _, ok := d.Held(key(1), 1000, epoch); ok {
		t.Error("held with some of its tokens")
	}
	d.Apply("s", 1, []Change{{Added: true, Key: key(1), Tokens: 1000}}, epoch)
	if _, ok := d.Held(key(1), 1000, epoch); !ok {
		t.Error("not held once complete")
	}
}

func TestSavedOnce(t *testing.T) {
	d := one(t)
	d.Save(key(1), 1000, carried, epoch)
	if _, ok := d.Save(key(1), 1000, carried, epoch); ok {
		t.Error("saved again while the first save is under way")
	}
	d.Apply("s", 1, []Change{{Added: true, Key: key(1), Tokens: 1000}}, epoch)
	if _, ok := d.Save(key(1), 1000, carried, epoch); ok {
		t.Error("saved again though it is held")
	}
}

// A store whose link is paced gets the part as soon as it carries it again: a save that was not sent is not under way.
func TestPacedStoreGetsThePartLater(t *testing.T) {
	d := one(t)
	if _, ok := d.Save(key(1), 1000, func(string) bool { return false }, epoch); ok {
		t.Fatal("saved to a store that does not carry it")
	}
	if _, ok := d.Save(key(1), 1000, carried, epoch.Add(time.Second)); !ok {
		t.Error("not saved though nothing is under way")
	}
}

// Pattern: new weights are loaded while half of the stores' links are slow. Everything must be saved anew, so the stores
// that are not slow take the share of the others.
func TestPartsOfAPacedStoreGoToTheOthers(t *testing.T) {
	d := New()
	d.SetStores([]Store{{Name: "slow", Address: "a", Tokens: 1_000_000}, {Name: "sound", Address: "b", Tokens: 1_000_000}})
	d.Replace("slow", 1, nil, epoch)
	d.Replace("sound", 1, nil, epoch)
	for i := range 100 {
		address, ok := d.Save(key(i), 100, func(address string) bool { return address != "a" }, epoch)
		if !ok || address != "b" {
			t.Fatalf("part %d goes to %q, want the store that carries it", i, address)
		}
	}
}

// Nothing is known of a store that has not been heard of: it may have restarted and hold the part half written.
func TestStaleViewIsNotUsed(t *testing.T) {
	d := one(t)
	d.Apply("s", 1, []Change{{Added: true, Key: key(1), Tokens: 1000}}, epoch)
	if _, ok := d.Held(key(1), 1000, epoch.Add(FreshFor)); ok {
		t.Error("fetched by a stale view")
	}
	d.Apply("s", 1, nil, epoch.Add(FreshFor))
	if _, ok := d.Held(key(1), 1000, epoch.Add(FreshFor)); !ok {
		t.Error("not fetched by a fresh view")
	}
	d.Lost("s")
	if _, ok := d.Held(key(1), 1000, epoch.Add(FreshFor)); ok {
		t.Error("fetched from a store that does not answer")
	}
}

// The store restarted empty. Until every other instance has noticed, one of them may fetch what it saw complete before,
// so nothing may be written anew.
func TestRestartedStoreSettles(t *testing.T) {
	d := one(t)
	d.Apply("s", 1, []Change{{Added: true, Key: key(1), Tokens: 1000}}, epoch)
	if d.Apply("s", 2, nil, epoch.Add(time.Second)) {
		t.Fatal("changes of another epoch taken in")
	}
	back := epoch.Add(2 * time.Second)
	d.Replace("s", 2, nil, back)
	if _, ok := d.Held(key(1), 1000, back); ok {
		t.Error("held though the store lost it")
	}
	if _, ok := d.Save(key(1), 1000, carried, back.Add(time.Second)); ok {
		t.Error("saved before the store has settled")
	}
	settled := back.Add(Settle)
	d.Apply("s", 2, nil, settled)
	if _, ok := d.Save(key(1), 1000, carried, settled); !ok {
		t.Error("not saved after the store has settled")
	}
}

// Stores that evict nothing turn saves away when they are full; those would be computed and sent in vain.
func TestFullStoreGetsNoSaves(t *testing.T) {
	d := one(t)
	saved := 0
	for i := range 200 {
		if _, ok := d.Save(key(i), 1000, carried, epoch); ok {
			saved++
		}
	}
	if saved < 90 || saved > 100 {
		t.Errorf("%d parts of 1,000 tokens saved to a store of 100,000", saved)
	}
}

// Large stores take a larger part.
func TestSharesByCapacity(t *testing.T) {
	d := New()
	d.SetStores([]Store{{Name: "small", Address: "a", Tokens: 1_000_000}, {Name: "large", Address: "b", Tokens: 5_000_000}})
	d.Replace("small", 1, nil, epoch)
	d.Replace("large", 1, nil, epoch)
	count := map[string]int{}
	for i := range 3000 {
		if address, ok := d.Save(key(i), 100, carried, epoch); ok {
			count[address]++
		}
	}
	if ratio := float64(count["b"]) / float64(count["a"]); ratio < 4 || ratio > 6.5 {
		t.Errorf("saves %v, want about five times as many at the large store", count)
	}
}
