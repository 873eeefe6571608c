package quarantine

import (
	"fmt"
	"testing"
	"time"
)

// Requests must be the same only if method, path, caller and body are, also where one field could be taken for a part of the next.
func TestRequestPart(t *testing.T) {
	base := RequestPart("POST", "h", "/a/b?c", "w", []byte("body"))
	if !base.Valid() || !base.IsRequest() || part("aa").IsRequest() || base != RequestPart("POST", "H", "/a/b?c", "w", []byte("body")) {
		t.Errorf("%v is not the identity of a request", base)
	}
	for _, other := range []Part{
		RequestPart("PUT", "h", "/a/b?c", "w", []byte("body")), RequestPart("POST", "g", "/a/b?c", "w", []byte("body")),
		RequestPart("POST", "h", "/a/b", "w", []byte("body")), RequestPart("POST", "h", "/a/b?c", "v", []byte("body")),
		RequestPart("POST", "h", "/a/b?c", "w", nil), RequestPart("POST", "h", "/a/b?c", "wb", []byte("ody")),
	} {
		if other == base {
			t.Error("another request has the same identity")
		}
	}
}

// crashOfRequest returns a crash under a whole request.
func crashOfRequest(n int, at time.Time, body string) Crash {
	p := RequestPart("GET", "h", "/", "", []byte(body))
	return Crash{Incarnation: uint64(n) + 1, At: at, Suspects: []Suspect{{Part: p, Request: uint32(n)}}}
}

// comesAgain lets a deadly request come at the given pauses, and returns how many targets it crashes.
func comesAgain(t *Tracker, body string, now time.Time, pause time.Duration, times int) int {
	crashes := 0
	p := RequestPart("GET", "h", "/", "", []byte(body))
	for i := range times {
		t.Expire(now)
		if v := t.Check([]Part{p}, 0, now).Verdict; v == Allow || v == Probe {
			t.LearnCrash(crashOfRequest(i, now, body), 0, now)
			crashes++
		}
		now = now.Add(pause)
	}
	return crashes
}

// Guards against requests that are forgotten between the moments at which they come: each time they would crash further targets.
func TestDeadlyRequestAtDistantMoments(t *testing.T) {
	for pause, length := range map[time.Duration]time.Duration{
		time.Second: 10 * time.Hour, 3 * time.Minute: 120 * time.Hour, 11 * time.Minute: 120 * time.Hour, 90 * time.Minute: 120 * time.Hour, 20 * time.Hour: 600 * time.Hour,
	} {
		if got := comesAgain(NewTracker(epoch), "x", epoch, pause, int(length/pause)); got > 6 {
			t.Errorf("%d crashes in %v by a request that comes every %v, want at most six", got, length, pause)
		}
	}
}

// Each of many deadly requests must crash few targets, in bounded memory.
func TestManyDeadlyRequests(t *testing.T) {
	const requests = 200
	tracker, now, crashes := NewTracker(epoch), epoch, map[int]int{}
	for round := range 6 {
		for i := range requests {
			now = now.Add(150 * time.Millisecond)
			body := fmt.Sprint(i)
			p := RequestPart("GET", "h", "/", "", []byte(body))
			if v := tracker.Check([]Part{p}, 0, now).Verdict; v == Allow || v == Probe {
				crashes[i]++
				tracker.LearnCrash(crashOfRequest(round*requests+i, now, body), 0, now)
			}
		}
	}
	most := 0
	for _, n := range crashes {
		most = max(most, n)
	}
	if most > 4 || len(tracker.crashes) > maxCrashes {
		t.Errorf("a request of %d crashed %d targets, want at most 4; %d crashes kept", requests, most, len(tracker.crashes))
	}
}

// Guards against crashes that stop counting when every gateway was replaced after a quarantine had run out: the next two would be the first ones again.
func TestRecordOfRequestCountsAfterItHasRunOut(t *testing.T) {
	request := RequestPart("GET", "h", "/", "", nil)
	for _, c := range []struct {
		part Part
		want bool
	}{{request, true}, {part("x"), false}} {
		record := NewRecord(Quarantine{Parts: []Part{c.part}, Crashes: 2, LastCrash: epoch, Until: epoch.Add(firstQuarantine)}, "i1")
		if got := record.Remembered(epoch.Add(time.Hour)); got != c.want {
			t.Errorf("record of %v is remembered: %v", c.part, got)
		}
	}
	now := epoch.Add(time.Hour)
	record := NewRecord(Quarantine{Parts: []Part{request}, Crashes: 2, LastCrash: epoch}, "i1")
	tracker := NewTracker(now)
	tracker.Restore(record.Quarantine(now), now)
	if got := tracker.Check([]Part{request}, 0, now).Verdict; got != Probe {
		t.Errorf("verdict %d after the quarantine has run out, want a probe", got)
	}
	tracker.LearnCrash(Crash{Incarnation: 9, At: now, Suspects: []Suspect{{Part: request, Request: 9}}}, 0, now)
	if list := tracker.Quarantines(); len(list) != 1 || list[0].Crashes != 3 {
		t.Errorf("quarantines %v after a third crash, want one of three", list)
	}
}
