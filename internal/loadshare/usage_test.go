package loadshare

import (
	"fmt"
	"math"
	"testing"
	"time"

	"github.com/egrethoist/egrethoist/internal/workspaceshare"
)

func usageOf(n int) []workspaceshare.Usage {
	var out []workspaceshare.Usage
	for i := range n {
		rate := 1e6 / float64(i+1)
		out = append(out, workspaceshare.Usage{Key: workspaceshare.NewKey(fmt.Sprint("service", i%3), fmt.Sprint("workspace", i)), Asked: rate, Used: rate / 2})
	}
	return out
}

func totals(usage []workspaceshare.Usage) (asked, used float64) {
	for _, u := range usage {
		asked, used = asked+u.Asked, used+u.Used
	}
	return asked, used
}

// Guards against messages that grow with the number of workspaces, do not fit into a usual MTU, or lose work.
func TestUsageMessageIsBounded(t *testing.T) {
	for _, n := range []int{0, 1, 100, 500, 4600} {
		usage := usageOf(n)
		m, bytes, tables := &UsageMessage{Sender: 1, Sequence: 5, Usage: usage}, 0, NewUsageTables()
		fragments := m.Split()
		for _, b := range fragments {
			bytes += len(b)
			if len(b) > 1400 {
				t.Errorf("%d workspaces: fragment of %d bytes", n, len(b))
			}
			parsed, err := ParseUsage(b)
			if err != nil {
				t.Fatal(err)
			}
			tables.Receive(parsed, epoch)
		}
		asked, used := totals(usage)
		gotAsked, gotUsed := totals(tables.Sum(epoch.Add(time.Second)).Usage)
		t.Logf("%d workspaces: %d fragments, %d bytes", n, len(fragments), bytes)
		if len(fragments) > 4 || math.Abs(gotAsked-asked) > 0.001*asked || math.Abs(gotUsed-used) > 0.001*used {
			t.Errorf("%d workspaces: %d fragments, asked %v of %v, used %v of %v", n, len(fragments), gotAsked, asked, gotUsed, used)
		}
	}
}

// Guards against a lost fragment that removes the usage of all workspaces, a reordered one that replaces newer usage, and a
// changed number of fragments that counts a workspace twice.
func TestUsageTableKeepsOlderFragments(t *testing.T) {
	tables := NewUsageTables()
	receive := func(sequence uint64, usage []workspaceshare.Usage, lost int, now time.Time) {
		for i, b := range (&UsageMessage{Sender: 1, Sequence: sequence, Usage: usage}).Split() {
			if m, err := ParseUsage(b); err != nil {
				t.Fatal(err)
			} else if i != lost {
				tables.Receive(m, now)
			}
		}
	}
	want, _ := totals(usageOf(400))
	check := func(what string, factor float64, now time.Time) {
		t.Helper()
		if got, _ := totals(tables.Sum(now).Usage); math.Abs(got-factor*want) > 0.002*want {
			t.Errorf("%s: asked %.0f, want %.0f", what, got, factor*want)
		}
	}
	receive(2, usageOf(400), -1, epoch)
	receive(3, usageOf(400), 1, epoch.Add(time.Second))
	check("lost fragment", 1, epoch.Add(2*time.Second))
	receive(1, usageOf(10), -1, epoch.Add(2*time.Second))
	check("old message", 1, epoch.Add(2*time.Second))
	receive(4, usageOf(400)[:100], -1, epoch.Add(2*time.Second))
	small, _ := totals(usageOf(100))
	check("fewer fragments", small/want, epoch.Add(2*time.Second))
	check("silence of 12 s: decayed by 9 s", small/want*math.Exp(-9.0/5), epoch.Add(14*time.Second))
	check("forgotten", 0, epoch.Add(40*time.Second))
}

// Guards against panics and wrong usage from malformed datagrams.
func TestParseUsageMalformed(t *testing.T) {
	usage := usageOf(20)
	for i := range usage {
		usage[i].Service = 1 // entries of another service would form a complete message after a cut before them
	}
	valid := (&UsageMessage{Sender: 1, Sequence: 5, Usage: usage}).Split()[0]
	for i := range valid {
		if _, err := ParseUsage(valid[:i]); err == nil && i != usageHeader {
			t.Errorf("truncated to %d bytes: no error", i)
		}
	}
	for i, v := range map[int]byte{0: 5, 1: 9, 2: byte(numKinds), 3: 9, 4: 200} {
		b := append([]byte{}, valid...)
		b[i] = v
		if _, err := ParseUsage(b); err == nil {
			t.Errorf("byte %d set to %d: no error", i, v)
		}
	}
}
