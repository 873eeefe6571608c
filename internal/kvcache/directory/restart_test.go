package directory

import (
	"math/rand/v2"
	"testing"
	"time"
)

// simulatedStore is a KV-cache store with one part.
type simulatedStore struct {
	epoch    uint64
	down     time.Time // end of its outage
	complete bool
	writing  bool
	written  time.Time // when the present save is complete
	fetching time.Time // until when fetches that began in the outage may go on
}

// save begins a save of the part, unless the store has it or is down. It returns false if a fetch of the part goes on.
func (s *simulatedStore) save(now time.Time, length time.Duration) bool {
	if now.Before(s.down) || s.complete || s.writing {
		return true
	}
	s.writing, s.written = true, now.Add(length)
	return !now.Before(s.fetching)
}

// fetch begins a fetch of the part. It returns false if the part is being written.
func (s *simulatedStore) fetch(now time.Time) bool {
	if now.Before(s.down) {
		s.fetching = now.Add(MaxFetchTime)
	}
	return !s.writing
}

// advance completes a save that has ended, and reports whether there was one.
func (s *simulatedStore) advance(now time.Time) bool {
	if !s.writing || now.Before(s.written) {
		return false
	}
	s.writing, s.complete = false, true
	return true
}

// restart empties the store, which does not answer for a time.
func (s *simulatedStore) restart(now time.Time, outage time.Duration) {
	s.epoch++
	s.complete, s.writing, s.down = false, false, now.Add(outage)
}

// simulatedInstance is an instance that reads the store now and then.
type simulatedInstance struct {
	directory   *Directory
	nextRead    time.Time
	frozenUntil time.Time // it does nothing before
	answer      func(now time.Time)
}

// within returns a random duration of less than d.
func within(rng *rand.Rand, d time.Duration) time.Duration {
	return time.Duration(rng.Int64N(int64(d)))
}

// A store restarts empty after an outage that no instance need notice at once, and instances start and stand still at any time: an answer of the
// store may wait for one that does. None may fetch a part while another one writes it again.
func TestNoFetchWhilePartIsWrittenAgain(t *testing.T) {
	const (
		step         = 25 * time.Millisecond
		requestEvery = 20 // steps, on average
	)
	part, fetched, saved := key(1), 0, 0
	for seed := range uint64(2000) {
		rng := rand.New(rand.NewPCG(seed, 51))
		store := &simulatedStore{epoch: 1}
		list := []Store{{Name: "s", Address: "a", CapacityTokens: 100_000}}
		instances := make([]simulatedInstance, 3)
		restart := start.Add(within(rng, 12*time.Second))
		for now := start; now.Before(start.Add(20 * time.Second)); now = now.Add(step) {
			if store.advance(now) && rng.IntN(2) == 0 {
				restart = now.Add(within(rng, 2*time.Second))
			}
			if !now.Before(restart) {
				store.restart(now, maxSaveStaleness+within(rng, 2*time.Second))
				restart = now.Add(within(rng, 12*time.Second))
			}
			for i := range instances {
				in := &instances[i]
				if in.directory == nil || rng.IntN(1000) == 0 { // it starts, or starts again
					in.directory = New()
					in.directory.SetStores(list)
					in.nextRead = now
				}
				if now.Before(in.frozenUntil) {
					continue
				}
				if in.answer != nil {
					in.answer(now)
					in.answer = nil
				}
				if !now.Before(in.nextRead) && !now.Before(store.down) {
					var contents []Change
					if store.complete {
						contents = []Change{{Added: true, Key: part, Tokens: 100}}
					}
					directory, epoch, asOf := in.directory, store.epoch, now
					in.answer = func(now time.Time) { directory.ReplaceContents("s", epoch, contents, asOf, now) }
					in.nextRead = now.Add(300*time.Millisecond + within(rng, 1500*time.Millisecond))
					if rng.IntN(10) == 0 {
						in.frozenUntil = now.Add(within(rng, 6*time.Second))
						continue
					}
				}
				if rng.IntN(requestEvery) > 0 {
					continue
				}
				if _, ok := in.directory.Locate(part, 100, now); ok {
					fetched++
					if !store.fetch(now) {
						t.Fatalf("seed %d: fetched %v after the start, while the part is written", seed, now.Sub(start))
					}
				} else if _, ok := in.directory.ReserveSave(part, 100, anyLink, now); ok {
					saved++
					if !store.save(now, 100*time.Millisecond+within(rng, 2*time.Second)) {
						t.Fatalf("seed %d: written again %v after the start, while a fetch goes on", seed, now.Sub(start))
					}
				}
			}
		}
	}
	if fetched < 1000 || saved < 1000 {
		t.Errorf("%d fetches and %d saves only", fetched, saved)
	}
}
