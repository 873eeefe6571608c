package rollout

import (
	"slices"
	"testing"
	"time"
)

// expiringTargets returns n idle targets on version 1 whose weights expire after the given time.
func expiringTargets(n int, left time.Duration) []Target {
	list := newTargets(n, 1)
	for i := range list {
		list[i].Expiry = epoch.Add(left)
	}
	return list
}

// Guards against a service of which no target is in rotation although the weights of none have expired: some targets do not respond to the
// rollout leader, and their places are given to others.
func TestUnexpiredTargetsStayInRotationBesideUnresponsiveOnes(t *testing.T) {
	for n := 3; n <= 36; n++ {
		for unresponsive := 0; unresponsive <= n/3; unresponsive++ {
			for _, left := range []time.Duration{2 * time.Second, 5 * time.Second, 13 * time.Second} {
				list, p := expiringTargets(n, left), New(Options{})
				p.Next(list, 2, epoch)
				for id := range p.outOfService {
					if i := slices.IndexFunc(list, func(tg Target) bool { return tg.ID == id }); countUnresponsive(list) < unresponsive {
						list[i].Unresponsive, list[i].Idle = true, false
					}
				}
				s := p.Next(list, 2, epoch.Add(200*time.Millisecond))
				if len(s.OutOfService) == n {
					t.Errorf("%d targets, %d of them unresponsive, weights last %v: all are out of service", n, unresponsive, left)
				}
			}
		}
	}
}

func countUnresponsive(list []Target) int {
	n := 0
	for _, tg := range list {
		if tg.Unresponsive {
			n++
		}
	}
	return n
}

// Guards against too few targets in rotation while their weights have not expired: MaxLoadShare is said to leave half of them to serve, with those
// that drain.
func TestHalfOfUnexpiredTargetsServe(t *testing.T) {
	for n := 4; n <= 36; n++ {
		list := expiringTargets(n, 3*time.Second)
		if s := New(Options{}).Next(list, 2, epoch); len(s.OutOfService) > (n+1)/2 {
			t.Errorf("%d of %d targets out of service, want half at most", len(s.OutOfService), n)
		}
	}
}

// Guards against targets that wait until their weights have expired for one whose load does not end: it holds the only place.
func TestLoadThatDoesNotEndLeavesPlaceToOthers(t *testing.T) {
	for name, stuck := range map[string]func(*Target){
		"loads for ever":              func(tg *Target) { tg.Busy, tg.Idle = true, true },
		"takes the order and is idle": func(tg *Target) { tg.Busy, tg.Idle = false, true },
	} {
		t.Run(name, func(t *testing.T) {
			for n := 2; n <= 12; n++ {
				list, p := expiringTargets(n, 13*time.Second), New(Options{})
				done := map[string]time.Time{}
				for now := epoch; now.Before(epoch.Add(2 * time.Minute)); now = now.Add(150 * time.Millisecond) {
					for i := range list {
						if at, ok := done[list[i].ID]; ok && !now.Before(at) && list[i].ID != "t00" {
							list[i].Version, list[i].Busy = 2, false
						}
					}
					for _, id := range p.Next(list, 2, now).Load {
						p.LoadOrdered(id, now)
						i := slices.IndexFunc(list, func(tg Target) bool { return tg.ID == id })
						if id == "t00" {
							stuck(&list[i])
							continue
						}
						list[i].Busy, done[id] = true, now.Add(1800*time.Millisecond)
					}
				}
				behind := 0
				for _, tg := range list {
					if tg.Version < 2 {
						behind++
					}
				}
				if behind > 1 {
					t.Errorf("%d targets: %d of them behind after two minutes, want only the one that does not load", n, behind)
				}
			}
		})
	}
}

func oldTargets(list []Target, newest int) []*Target {
	var old []*Target
	for i := range list {
		if list[i].Version < newest {
			old = append(old, &list[i])
		}
	}
	return old
}

// Checks that the arithmetic of a plan holds at its limits: long past expiries, long and short loads, no and many targets.
func TestMaxLoadsStaysWithinShares(t *testing.T) {
	for _, n := range []int{0, 1, 2, 3, 5, 200, 5000} {
		for _, left := range []time.Duration{-1 << 62, -time.Hour, -1, 0, 1, time.Second, time.Hour, 1 << 62} {
			for _, load := range []time.Duration{1, time.Millisecond, 2 * time.Second, 10 * time.Minute, 1 << 61} {
				p := New(Options{LoadTime: load})
				list := expiringTargets(n, left)
				got := p.maxLoads(oldTargets(list, 2), n, epoch)
				if most := max((n+2)/3, 1); got < 1 || got > most {
					t.Errorf("%d targets, %v left, load %v: %d loads at a time, want 1 to %d", n, left, load, got, most)
				}
			}
		}
	}
}

// simulateDrains runs a roll-out of n targets whose requests take drain to end, also after the order to load. It returns the largest number that
// loaded at once without requests, and the duration.
func simulateDrains(n int, left, drain, load time.Duration) (most int, took time.Duration) {
	const period = 100 * time.Millisecond
	list, p := expiringTargets(n, left), New(Options{})
	leftAt, remaining := map[string]time.Time{}, map[string]time.Duration{}
	for now := epoch; now.Before(epoch.Add(time.Hour)); now = now.Add(period) {
		loading := 0
		for i := range list {
			tg := &list[i]
			at, out := leftAt[tg.ID]
			if tg.Idle = out && now.Sub(at) >= drain; tg.Busy && tg.Idle {
				loading++
			}
		}
		most = max(most, loading)
		for i := range list {
			tg := &list[i]
			if !tg.Busy || !tg.Idle {
				continue
			}
			if remaining[tg.ID] -= period; remaining[tg.ID] <= 0 {
				tg.Version, tg.Busy = 2, false
			}
		}
		s := p.Next(list, 2, now)
		if s.Behind == 0 {
			return most, now.Sub(epoch)
		}
		for _, id := range s.OutOfService {
			if _, ok := leftAt[id]; !ok {
				leftAt[id] = now
			}
		}
		for _, id := range s.Load {
			p.LoadOrdered(id, now)
			i := slices.IndexFunc(list, func(tg Target) bool { return tg.ID == id })
			if !list[i].Busy {
				list[i].Busy, remaining[id] = true, load
			}
		}
	}
	return most, time.Hour
}

// Guards against more loads at once than MaxLoadShare: targets that have the order and still finish their requests do not count until they load, and
// all of them begin at about the same time.
func TestLoadsAfterLongDrainsStayWithinShare(t *testing.T) {
	for _, n := range []int{6, 10, 12, 18, 24, 36} {
		most, _ := simulateDrains(n, 13*time.Second, 2500*time.Millisecond, 1800*time.Millisecond)
		if limit := (n + 2) / 3; most > limit {
			t.Errorf("%d of %d targets loaded at once, want %d at most", most, n, limit)
		}
	}
}

// Guards against a roll-out that is slower than its weights last because requests take longer to end than MaxDrain: the plan counts the time of the
// load alone, not that in which a target with the order still finishes its requests.
func TestRolloutWithLongRequestsEndsBeforeWeightsExpire(t *testing.T) {
	const timeLeft, load = 13 * time.Second, 1800 * time.Millisecond
	const drain = 3500 * time.Millisecond
	for n := 4; n <= 36; n++ { // two rounds of half of the targets take 10.6 s
		if _, took := simulateDrains(n, timeLeft, drain, load); took > timeLeft {
			t.Errorf("%d targets: took %v, their weights last for %v", n, took, timeLeft)
		}
	}
}
