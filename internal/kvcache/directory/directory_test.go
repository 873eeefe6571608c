package directory

import (
	"fmt"
	"testing"
	"time"
)

var start = time.Unix(1_800_000_000, 0)

// newLoadedDirectory returns a directory with one empty store of 100,000 tokens that accepts saves.
func newLoadedDirectory(t *testing.T) *Directory {
	t.Helper()
	return newSavingDirectory(Store{Name: "s", Address: "10.0.0.1:80", CapacityTokens: 100_000})
}

// newSavingDirectory returns a directory with empty stores that were listed a hold-off ago and accept saves at start.
func newSavingDirectory(stores ...Store) *Directory {
	d := New()
	d.SetStores(stores)
	for _, s := range stores {
		d.ReplaceContents(s.Name, 1, nil, start.Add(-RestartHoldoff), start.Add(-RestartHoldoff))
		d.ApplyChanges(s.Name, 1, nil, start)
	}
	return d
}

func anyLink(string) bool { return true }

func key(n int) Key { return Key{Scope: "v1", Part: fmt.Sprint(n)} }

// Guards against fetching a part that is still being written: it may be used only once its store reports it complete.
func TestLocateRequiresCompletePart(t *testing.T) {
	d := newLoadedDirectory(t)
	if _, ok := d.ReserveSave(key(1), 1000, anyLink, start); !ok {
		t.Fatal("no store reserved for the first save")
	}
	if _, ok := d.Locate(key(1), 1000, start); ok {
		t.Error("part found while it is being written")
	}
	d.ApplyChanges("s", 1, []Change{{Added: true, Key: key(1), Tokens: 600}}, start)
	if _, ok := d.Locate(key(1), 1000, start); ok {
		t.Error("part found with only some of its tokens")
	}
	d.ApplyChanges("s", 1, []Change{{Added: true, Key: key(1), Tokens: 1000}}, start)
	if _, ok := d.Locate(key(1), 1000, start); !ok {
		t.Error("part not found once complete")
	}
}

// Guards against saving the same part twice, while a save is pending or after it has finished.
func TestPartIsSavedOnce(t *testing.T) {
	d := newLoadedDirectory(t)
	d.ReserveSave(key(1), 1000, anyLink, start)
	if _, ok := d.ReserveSave(key(1), 1000, anyLink, start); ok {
		t.Error("saved again while the first save is pending")
	}
	d.ApplyChanges("s", 1, []Change{{Added: true, Key: key(1), Tokens: 1000}}, start)
	if _, ok := d.ReserveSave(key(1), 1000, anyLink, start); ok {
		t.Error("saved again although a store holds it")
	}
}

// Guards against recording a pending save for a store whose link is throttled: the part must be saved as soon as the link
// allows it again.
func TestThrottledStoreReservesNothing(t *testing.T) {
	d := newLoadedDirectory(t)
	if _, ok := d.ReserveSave(key(1), 1000, func(string) bool { return false }, start); ok {
		t.Fatal("saved to a store whose link is throttled")
	}
	later := start.Add(time.Second)
	d.ApplyChanges("s", 1, nil, later)
	if _, ok := d.ReserveSave(key(1), 1000, anyLink, later); !ok {
		t.Error("not saved although no save is pending")
	}
}

// New weights are loaded while the links of half of the stores are slow. All parts must be saved again, so the stores with
// healthy links must take the share of the slow ones.
func TestSavesBypassThrottledStore(t *testing.T) {
	d := newSavingDirectory(Store{Name: "slow", Address: "a", CapacityTokens: 1_000_000}, Store{Name: "sound", Address: "b", CapacityTokens: 1_000_000})
	for i := range 100 {
		address, ok := d.ReserveSave(key(i), 100, func(address string) bool { return address != "a" }, start)
		if !ok || address != "b" {
			t.Fatalf("part %d saved to %q, want the store with the healthy link", i, address)
		}
	}
}

// Guards against using a store that was not read recently: it may have restarted and hold the part half written.
func TestStaleContentsAreNotUsed(t *testing.T) {
	d := newLoadedDirectory(t)
	d.ApplyChanges("s", 1, []Change{{Added: true, Key: key(1), Tokens: 1000}}, start)
	if _, ok := d.Locate(key(1), 1000, start.Add(MaxStaleness)); ok {
		t.Error("part found from stale contents")
	}
	if _, ok := d.ReserveSave(key(2), 1000, anyLink, start.Add(maxSaveStaleness)); ok {
		t.Error("part saved by a reading from which the store may have restarted")
	}
	d.ApplyChanges("s", 1, nil, start.Add(MaxStaleness))
	if _, ok := d.Locate(key(1), 1000, start.Add(MaxStaleness)); !ok {
		t.Error("part not found from fresh contents")
	}
	d.Invalidate("s")
	if _, ok := d.Locate(key(1), 1000, start.Add(MaxStaleness)); ok {
		t.Error("part found in a store that is unreachable")
	}
}

// A store restarts empty. Until every other instance has noticed, one of them may fetch a part that was complete before
// the restart, so no part may be written again until the hold-off ends.
func TestNoSavesUntilRestartHoldoffEnds(t *testing.T) {
	d := newLoadedDirectory(t)
	d.ApplyChanges("s", 1, []Change{{Added: true, Key: key(1), Tokens: 1000}}, start)
	if d.ApplyChanges("s", 2, nil, start.Add(time.Second)) {
		t.Fatal("changes of another epoch were applied")
	}
	restarted := start.Add(2 * time.Second)
	d.ReplaceContents("s", 2, nil, restarted, restarted)
	if _, ok := d.Locate(key(1), 1000, restarted); ok {
		t.Error("part found although the store lost it in the restart")
	}
	if _, ok := d.ReserveSave(key(1), 1000, anyLink, restarted.Add(time.Second)); ok {
		t.Error("saved during the restart hold-off")
	}
	holdoffEnd := restarted.Add(RestartHoldoff)
	d.ApplyChanges("s", 2, nil, holdoffEnd)
	if _, ok := d.ReserveSave(key(1), 1000, anyLink, holdoffEnd); !ok {
		t.Error("not saved after the restart hold-off")
	}
}

// An instance that starts, or is told a new address of a store, can't tell whether the store has just restarted: another one may still fetch
// what was there before. A store that was only out of reach and kept its contents accepts saves at once.
func TestNoSavesAfterFirstListingUntilHoldoffEnds(t *testing.T) {
	d := New()
	for i, address := range []string{"a", "b"} {
		listed := start.Add(time.Duration(i) * time.Minute)
		d.SetStores([]Store{{Name: "s", Address: address, CapacityTokens: 100_000}})
		d.ReplaceContents("s", 1, nil, listed, listed)
		if _, ok := d.ReserveSave(key(i), 1000, anyLink, listed.Add(time.Second)); ok {
			t.Errorf("address %s: saved within the hold-off after the first listing", address)
		}
		holdoffEnd := listed.Add(RestartHoldoff)
		d.Invalidate("s")
		d.ReplaceContents("s", 1, nil, holdoffEnd, holdoffEnd)
		if _, ok := d.ReserveSave(key(i), 1000, anyLink, holdoffEnd); !ok {
			t.Errorf("address %s: not saved after the hold-off", address)
		}
	}
}

// Guards against saves that a full store rejects, since stores do not evict: they would waste computation and bandwidth.
func TestFullStoreGetsNoSaves(t *testing.T) {
	d := newLoadedDirectory(t)
	saved := 0
	for i := range 200 {
		if _, ok := d.ReserveSave(key(i), 1000, anyLink, start); ok {
			saved++
		}
	}
	if saved < 90 || saved > 100 {
		t.Errorf("%d parts of 1,000 tokens saved to a store of 100,000", saved)
	}
}

// Guards against an even spread of saves over stores of different capacity.
func TestSavesInProportionToCapacity(t *testing.T) {
	d := New()
	d.SetStores([]Store{{Name: "small", Address: "a", CapacityTokens: 1_000_000}, {Name: "large", Address: "b", CapacityTokens: 5_000_000}})
	d.ReplaceContents("small", 1, nil, start, start)
	d.ReplaceContents("large", 1, nil, start, start)
	count := map[string]int{}
	for i := range 3000 {
		if address, ok := d.ReserveSave(key(i), 100, anyLink, start); ok {
			count[address]++
		}
	}
	if ratio := float64(count["b"]) / float64(count["a"]); ratio < 4 || ratio > 6.5 {
		t.Errorf("saves by store %v, want about five times as many in the large store", count)
	}
}
