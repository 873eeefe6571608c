package fleet

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"maps"
	"net/http"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/google/uuid"

	"github.com/egrethoist/egrethoist/examples"
	"github.com/egrethoist/egrethoist/internal/entry"
	fakeengine "github.com/egrethoist/egrethoist/internal/fake/engine"
	"github.com/egrethoist/egrethoist/internal/fake/network"
	"github.com/egrethoist/egrethoist/internal/manifest"
	"github.com/egrethoist/egrethoist/internal/platform/memory"
	"github.com/egrethoist/egrethoist/internal/subset"
	"github.com/egrethoist/egrethoist/internal/world"
)

// small returns the Loblolly sample with the first few targets of each service.
func small(t testing.TB, models int) *world.World {
	w, errs := manifest.Parse("loblolly.jsonc", examples.Loblolly)
	if errs != nil {
		t.Fatal(errs)
	}
	w.Revision.Number = 1
	w = w.Clone(func(*world.Target) {})
	svc := w.Services["planner-llm"]
	for _, drop := range svc.Targets[models:] {
		delete(w.Targets, drop.Name)
	}
	svc.Targets = svc.Targets[:models]
	return w
}

// bed is a fleet on a network in memory with a caller.
type bed struct {
	*Fleet
	t      *testing.T
	net    *Memory
	caller *http.Client
	key    string
	kv     *memory.KV

	instances atomic.Pointer[entry.Instances] // the platform's list as entries read it; nil is not read
	script    atomic.Pointer[script]          // answers instead of the stand-ins of targets; nil leaves them to answer
}

// list is the platform's list of instances as entries read it.
func (b *bed) list() entry.Instances {
	if l := b.instances.Load(); l != nil {
		return *l
	}
	return entry.Instances{}
}

// run starts a fleet under virtual time and calls f.
func run(t *testing.T, w *world.World, f func(b *bed)) {
	synctest.Test(t, func(t *testing.T) {
		b := &bed{t: t, net: NewMemory(network.New(time.Millisecond)), key: examples.DevKey(w), kv: memory.NewKV(memory.Options{})}
		fl, err := Start(Options{
			World:     w,
			FreePorts: true,
			Network:   b.net,
			Entries: []EntryOptions{
				{Name: "entry-1", FailureDomain: "lufkin", Region: "etx"},
				{Name: "entry-2", FailureDomain: "nacogdoches", Region: "etx"},
			},
			KV:       b.kv,
			Seed:     1,
			ErrorLog: newServerLog(t),
			NewEntry: func(o *entry.Options) { o.Instances = b.list },
			Backend:  b.scripted,
		})
		if err != nil {
			t.Fatal(err)
		}
		b.Fleet = fl
		transport := &http.Transport{DialContext: b.net.Dialer("caller")}
		b.caller = &http.Client{Transport: transport}
		defer func() {
			transport.CloseIdleConnections()
			fl.Close()
		}()
		if err := fl.WaitReady(t.Context()); err != nil {
			t.Fatal(err)
		}
		f(b)
	})
}

// send sends a request through an entry and returns its status and whole body.
func (b *bed) send(entry int, method, path, body, idempotencyKey string) (int, string, error) {
	req, err := http.NewRequest(method, b.Entries[entry].URL+path, bytes.NewReader([]byte(body)))
	if err != nil {
		b.t.Fatal(err)
	}
	req.Header.Set("Authorization", "Bearer "+b.key)
	if idempotencyKey != "" {
		req.Header.Set("Idempotency-Key", idempotencyKey)
	}
	resp, err := b.caller.Do(req)
	if err != nil {
		return 0, "", err
	}
	defer resp.Body.Close()
	text, err := io.ReadAll(resp.Body)
	return resp.StatusCode, string(text), err
}

const bookings = "/v1/services/dispatch-app/bookings"

func booking(id string) string { return fmt.Sprintf(`{"id":%q,"slot":"gate-1"}`, id) }

// complete runs a streamed completion and returns its text; whole tells whether its end was seen.
func (b *bed) complete(entry int, prompt string, tokens int) (text string, whole bool) {
	body, _ := json.Marshal(struct {
		Model     string `json:"model"`
		Prompt    string `json:"prompt"`
		MaxTokens int    `json:"max_tokens"`
		Stream    bool   `json:"stream"`
	}{"planner-llm", prompt, tokens, true})
	_, answer, err := b.send(entry, http.MethodPost, "/v1/completions", string(body), "")
	if err != nil {
		return "", false
	}
	defer func() {
		if !whole {
			b.t.Logf("%v: not whole: %s", time.Now(), answer)
		}
	}()
	for line := range strings.SplitSeq(answer, "\n") {
		data, ok := strings.CutPrefix(line, "data: ")
		if data == "[DONE]" {
			whole = true
		}
		var m struct{ Choices []struct{ Text string } }
		if ok && json.Unmarshal([]byte(data), &m) == nil && len(m.Choices) == 1 {
			text += m.Choices[0].Text
		}
	}
	return text, whole
}

func TestStreamResumesAfterCut(t *testing.T) {
	run(t, small(t, 3), func(b *bed) {
		for _, n := range b.Targets {
			if n.Engine != nil && n.Target.Name != "planner-02" {
				n.Engine.SetFaults(func(f *fakeengine.Faults) { f.CutAtToken, f.CutStreams = 5, 1 })
			}
		}
		text, whole := b.complete(0, "which load fits", 20)
		want := fakeengine.ExpectedText("which load fits", b.World().Services["planner-llm"].WeightVersion, 0, 20)
		if !whole || text != want {
			t.Errorf("whole %t, text %q, want %q", whole, text, want)
		}
	})
}

func TestBookingRepeatedThroughOtherEntry(t *testing.T) {
	run(t, small(t, 1), func(b *bed) {
		for i := range 2 {
			status, body, err := b.send(i, http.MethodPost, bookings, booking("b1"), "key-1")
			if err != nil || status != http.StatusOK {
				t.Fatalf("attempt %d: %d %s %v", i, status, body, err)
			}
		}
		if n := b.Plain("dispatch-app").Bookings()["b1"]; n != 1 {
			t.Errorf("executed %d times", n)
		}
	})
}

func TestSidecarCrashLeavesOutcomeUnknown(t *testing.T) {
	run(t, small(t, 1), func(b *bed) {
		if status, body, err := b.send(0, http.MethodPost, bookings, booking("b1"), "key-1"); err != nil || status != http.StatusOK {
			t.Fatal(status, body, err)
		}
		for _, n := range b.Targets {
			n.Kill()
			if err := n.Restart(); err != nil {
				t.Fatal(err)
			}
		}
		time.Sleep(time.Second) // the entries notice the restart
		status, body, err := b.send(1, http.MethodPost, bookings, booking("b1"), "key-1")
		if err != nil || status != http.StatusBadGateway || !strings.Contains(body, "outcome_unknown") {
			t.Errorf("got %d %s %v", status, body, err)
		}
		if n := b.Plain("dispatch-app").Bookings()["b1"]; n != 1 {
			t.Errorf("executed %d times", n)
		}
	})
}

// load keeps one stream after another going through each entry until stop is closed, and checks that every text
// is whole and of one weight version.
func (b *bed) load(stop <-chan struct{}, versions ...string) (done func() int) {
	var wg sync.WaitGroup
	var sent atomic.Int64
	for i := range b.Entries {
		wg.Go(func() {
			for n := 0; ; n++ {
				select {
				case <-stop:
					return
				default:
				}
				prompt := fmt.Sprintf("load %d %d", i, n)
				text, whole := b.complete(i, prompt, 10)
				sent.Add(1)
				right := slices.ContainsFunc(versions, func(v string) bool {
					return text == fakeengine.ExpectedText(prompt, v, 0, 10)
				})
				if !whole || !right {
					b.t.Errorf("%s: whole %t, text %q", prompt, whole, text)
				}
			}
		})
	}
	return func() int {
		wg.Wait()
		return int(sent.Load())
	}
}

func TestWeightSwapRolls(t *testing.T) {
	run(t, small(t, 4), func(b *bed) {
		stop := make(chan struct{})
		done := b.load(stop, "planner-2026-11", "planner-2026-12")
		time.Sleep(2 * time.Second)
		next := b.World().Clone(func(*world.Target) {})
		next.Revision.Number = 2
		next.Services["planner-llm"].WeightVersion = "planner-2026-12"
		b.Apply(next)
		time.Sleep(30 * time.Second)
		close(stop)
		if done() == 0 {
			t.Error("nothing was sent")
		}
		for name, n := range b.Targets {
			if n.Engine == nil {
				continue
			}
			if held := b.versions(n); !slices.Equal(held, []string{"planner-2026-12"}) {
				t.Errorf("%s holds %v after the roll", name, held)
			}
		}
	})
}

func (b *bed) versions(n *TargetNode) []string {
	report, err := n.model.Load(b.t.Context())
	if err != nil {
		b.t.Fatal(err)
	}
	return report.Versions
}

func TestDrainedDomainGetsNoNewWork(t *testing.T) {
	for _, reach := range []string{"both ends", "entries", "sidecars"} {
		t.Run(reach, func(t *testing.T) {
			run(t, small(t, 6), func(b *bed) {
				stop := make(chan struct{})
				done := b.load(stop, "planner-2026-11")
				time.Sleep(2 * time.Second)
				next := b.World().Clone(func(*world.Target) {})
				next.Revision.Number = 2
				next.FailureDomains = maps.Clone(next.FailureDomains)
				next.FailureDomains["lufkin"] = &world.FailureDomain{Name: "lufkin", Region: "etx", Drained: true}
				if reach != "entries" {
					for _, n := range b.Targets {
						n.Config.Set(next)
					}
				}
				if reach != "sidecars" {
					for _, e := range b.Entries {
						e.Config.Set(next)
					}
				}
				limit := time.Now().Add(3 * time.Second)
				time.Sleep(10 * time.Second)
				close(stop)
				done()
				for name, n := range b.Targets {
					if n.Engine == nil || n.Target.FailureDomain != "lufkin" {
						continue
					}
					for _, x := range n.Engine.Log() {
						if x.Start.After(limit) {
							t.Errorf("%s got work %v after the limit", name, x.Start.Sub(limit))
						}
					}
				}
			})
		})
	}
}

func TestPlannedStopsCutNothing(t *testing.T) {
	run(t, small(t, 4), func(b *bed) {
		stop := make(chan struct{})
		done := b.load(stop, "planner-2026-11")
		time.Sleep(2 * time.Second)
		for _, name := range []string{"planner-01", "planner-02"} {
			n := b.Targets[name]
			if err := n.Stop(b.t.Context()); err != nil {
				t.Error(err)
			}
			time.Sleep(time.Second)
			if err := n.Restart(); err != nil {
				t.Error(err)
			}
			time.Sleep(2 * time.Second)
		}
		close(stop)
		if done() == 0 {
			t.Error("nothing was sent")
		}
	})
}

// TestBookingsWaitOutARestart books without a pause while the home's sidecar is stopped as planned and returns.
func TestBookingsWaitOutARestart(t *testing.T) {
	run(t, small(t, 1), func(b *bed) {
		go func() {
			time.Sleep(time.Second)
			n := b.Targets["dispatch-02"]
			if err := n.Stop(b.t.Context()); err != nil {
				b.t.Error(err)
			}
			time.Sleep(time.Second)
			if err := n.Restart(); err != nil {
				b.t.Error(err)
			}
		}()
		for i := range 200 {
			id := fmt.Sprintf("b%d", i)
			status, body, err := b.send(i%2, http.MethodPost, bookings, booking(id), id)
			if err != nil || status != http.StatusOK {
				b.t.Errorf("%s: %d %s %v", id, status, body, err)
			}
			time.Sleep(20 * time.Millisecond)
		}
	})
}

// TestBookingsFindAHomeThatIsBack cuts the home of all keys off for longer than it takes to be dialled seldom, and
// sends a booking shortly before the link heals, at several times after the last dial.
func TestBookingsFindAHomeThatIsBack(t *testing.T) {
	const (
		away     = time.Minute
		healedIn = 500 * time.Millisecond
	)
	for after := range 8 {
		run(t, withOneHome(small(t, 1)), func(b *bed) {
			entry, home := b.net.IP("entry-1"), b.net.IP("dispatch-01")
			b.net.Partition(entry, home)
			b.net.Partition(home, entry)
			time.Sleep(away + time.Duration(after)*time.Second)
			time.AfterFunc(healedIn, func() {
				b.net.Heal(entry, home)
				b.net.Heal(home, entry)
			})
			status, body, err := b.send(0, http.MethodPost, bookings, booking("b1"), "key-1")
			if err != nil || status != http.StatusOK {
				t.Errorf("%d s later: %d %s %v", after, status, body, err)
			}
		})
	}
}

// outcome asks an entry what became of a key and returns its answer.
func (b *bed) outcome(entry int, key string) string {
	status, body, err := b.send(entry, http.MethodGet, "/v1/outcomes/dispatch-app?key="+key, "", "")
	if err != nil || status != http.StatusOK {
		b.t.Fatalf("outcome of %s: %d %s %v", key, status, body, err)
	}
	return body
}

// TestOutcomeIsFoundAtAFormerHome drains one target after a booking, which is home of its key for one of them, and asks
// both entries what became of it.
func TestOutcomeIsFoundAtAFormerHome(t *testing.T) {
	for _, drained := range []string{"dispatch-01", "dispatch-02", "dispatch-03"} {
		run(t, small(t, 1), func(b *bed) {
			if status, body, err := b.send(0, http.MethodPost, bookings, booking("b1"), "key-1"); err != nil || status != http.StatusOK {
				t.Fatal(status, body, err)
			}
			next := b.World().Clone(func(tg *world.Target) { tg.Drained = tg.Name == drained })
			next.Revision.Number = 2
			move := world.HomeMove{Revision: 2, At: time.Now(), Left: []string{drained}}
			next.Services["dispatch-app"].Homes = &world.HomeHistory{From: 1, Moves: []world.HomeMove{move}}
			b.setWorld(next)
			time.Sleep(time.Second)
			for entry := range b.Entries {
				if got := b.outcome(entry, "key-1"); !strings.Contains(got, `"outcome":"ran"`) {
					t.Errorf("%s drained, entry %d: %s", drained, entry, got)
				}
			}
		})
	}
}

// setWorld puts a configuration in force everywhere.
func (b *bed) setWorld(w *world.World) {
	for _, n := range b.Targets {
		n.Config.Set(w)
	}
	for _, e := range b.Entries {
		e.Config.Set(w)
	}
}

// TestOutcomeIsFoundOutsideTheSubset books through one entry and asks another, which is one of many and keeps
// connections to a part of the homes only.
func TestOutcomeIsFoundOutsideTheSubset(t *testing.T) {
	const keys = 40
	run(t, withHomes(small(t, 1), 16), func(b *bed) {
		for i := range keys {
			id := fmt.Sprintf("b%d", i)
			if status, body, err := b.send(0, http.MethodPost, bookings, booking(id), id); err != nil || status != http.StatusOK {
				t.Fatal(status, body, err)
			}
		}
		list := entry.Instances{Sequence: 1}
		for i := range 200 {
			list.Entries = append(list.Entries, subset.Member{Name: fmt.Sprintf("entry-%d", i+1), FailureDomain: "lufkin", Region: "etx"})
		}
		b.instances.Store(&list)
		time.Sleep(5 * time.Second)
		if !slices.ContainsFunc(b.Entries[1].Entry.Targets(), func(s entry.TargetStatus) bool { return s.Outside }) {
			t.Fatal("the entry is connected to every target")
		}
		for i := range keys {
			if got := b.outcome(1, fmt.Sprintf("b%d", i)); !strings.Contains(got, `"outcome":"ran"`) {
				t.Error(got)
			}
		}
	})
}

// withHomes adds targets to the plain service until it has n.
func withHomes(w *world.World, n int) *world.World {
	svc := w.Services["dispatch-app"]
	domains := w.DomainNames()
	for i := len(svc.Targets); i < n; i++ {
		t := *svc.Targets[0]
		t.Name, t.FailureDomain = fmt.Sprintf("dispatch-%02d", i+1), domains[i%len(domains)]
		svc.Targets = append(svc.Targets, &t)
		w.Targets[t.Name] = &t
	}
	return w
}

// withOneHome leaves one target to every plain service.
func withOneHome(w *world.World) *world.World {
	svc := w.Services["dispatch-app"]
	for _, drop := range svc.Targets[1:] {
		delete(w.Targets, drop.Name)
	}
	svc.Targets = svc.Targets[:1]
	return w
}

// TestTicketRunsAtOneIncarnation books under a ticket, repeats it through the other entry, and finds that another
// ticket is void once its incarnation has gone.
func TestTicketRunsAtOneIncarnation(t *testing.T) {
	run(t, small(t, 1), func(b *bed) {
		ticket := func() (key, target string) {
			_, body, err := b.send(0, http.MethodPost, "/v1/tickets/dispatch-app", "", "")
			var m struct {
				Key    string `json:"idempotency_key"`
				Target string `json:"target"`
			}
			if err != nil || json.Unmarshal([]byte(body), &m) != nil || m.Key == "" {
				b.t.Fatal(body, err)
			}
			return m.Key, m.Target
		}
		key, _ := ticket()
		for i := range 2 {
			if status, body, err := b.send(i, http.MethodPost, bookings, booking("b1"), key); err != nil || status != http.StatusOK {
				b.t.Fatal(i, status, body, err)
			}
		}
		void, target := ticket()
		b.Targets[target].Kill()
		if err := b.Targets[target].Restart(); err != nil {
			b.t.Fatal(err)
		}
		time.Sleep(time.Second)
		if status, body, _ := b.send(0, http.MethodPost, bookings, booking("b2"), void); status == http.StatusOK {
			b.t.Errorf("a void ticket ran: %s", body)
		}
		if got := b.Plain("dispatch-app").Bookings(); got["b1"] != 1 || got["b2"] != 0 {
			b.t.Errorf("executions %v", got)
		}
	})
}

// TestLongStreamMovesAtAStop stops the sidecar under a stream that outlasts the time until streams are handed over.
func TestLongStreamMovesAtAStop(t *testing.T) {
	run(t, small(t, 2), func(b *bed) {
		go func() {
			time.Sleep(time.Second)
			for _, name := range []string{"planner-01", "planner-02"} {
				if n := b.Targets[name]; n.Engine.InFlight() > 0 {
					if err := n.Stop(b.t.Context()); err != nil {
						b.t.Error(err)
					}
					return
				}
			}
		}()
		const tokens = 9000 // at 10 ms and more each
		text, whole := b.complete(0, "a long plan", tokens)
		if !whole || text != fakeengine.ExpectedText("a long plan", "planner-2026-11", 0, tokens) {
			b.t.Errorf("whole %t, %d bytes", whole, len(text))
		}
	})
}

// TestFirstIncarnationInAnOutage crashes the first incarnations of all sidecars, which started while the key-value
// service was down, and repeats their bookings after it has returned: an absent mark must not prove them unrun.
func TestFirstIncarnationInAnOutage(t *testing.T) {
	run(t, small(t, 1), func(b *bed) {
		plains := func(f func(n *TargetNode)) {
			for _, n := range b.Targets {
				if n.Plain != nil {
					f(n)
				}
			}
			time.Sleep(2 * time.Second)
		}
		restart := func(n *TargetNode) {
			n.Kill()
			if err := n.Restart(); err != nil {
				b.t.Error(err)
			}
		}
		for _, name := range []string{"dispatch-01", "dispatch-02", "dispatch-03"} {
			item, err := b.kv.Get(b.t.Context(), "first/"+name)
			if err != nil || item.Version == 0 {
				b.t.Fatal("no mark of the first incarnation", err)
			}
			b.kv.Delete(b.t.Context(), "first/"+name, item.Version)
		}
		b.kv.SetFaults(func(f *memory.Faults) { f.Down = true })
		plains(restart)
		time.Sleep(time.Minute) // whatever an incarnation waits for by itself has passed
		first := uuid.Must(uuid.NewV7()).String()
		b.send(0, http.MethodPost, bookings, booking("b1"), first)
		b.kv.SetFaults(func(f *memory.Faults) { f.Down = false })
		plains(restart)
		b.send(1, http.MethodPost, bookings, booking("b1"), first)
		if n := b.Plain("dispatch-app").Bookings()["b1"]; n > 1 {
			b.t.Errorf("executed %d times", n)
		}
		// A key of the new incarnation runs once its creation time proves it fresh.
		key := uuid.Must(uuid.NewV7()).String()
		if status, body, err := b.send(1, http.MethodPost, bookings, booking("b2"), key); err != nil || status != http.StatusOK {
			b.t.Error(status, body, err)
		}
	})
}
