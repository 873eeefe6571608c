package httpengine

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"syscall"
	"testing"
	"testing/synctest"
	"time"

	"github.com/egrethoist/egrethoist/internal/engine"
	"github.com/egrethoist/egrethoist/internal/engine/wire"
	fakeengine "github.com/egrethoist/egrethoist/internal/fake/engine"
	"github.com/egrethoist/egrethoist/internal/fake/network"
	"github.com/egrethoist/egrethoist/internal/fake/plain"
	"github.com/egrethoist/egrethoist/internal/jsonreply"
)

const (
	local  = "10.0.0.1"
	remote = "10.0.0.2"
	peer   = remote + ":8000"
)

// bench is a handler behind the fake network.
type bench struct {
	net *network.Network
	srv *http.Server
}

func serve(t *testing.T, h http.Handler) *bench {
	t.Helper()
	b := &bench{net: network.New(time.Millisecond), srv: &http.Server{Handler: h}}
	l, err := b.net.Listen(peer)
	if err != nil {
		t.Fatal(err)
	}
	go b.srv.Serve(l)
	return b
}

func (b *bench) options() Options { return Options{Address: peer, Dial: b.net.Dialer(local)} }

func (b *bench) close(t *Target) {
	t.Close()
	_ = b.srv.Close()
	synctest.Wait()
}

// collect reads an answer to its end.
func collect(a engine.Answer) (string, error) {
	defer a.Close()
	var text strings.Builder
	for {
		p, err := a.Next()
		if errors.Is(err, io.EOF) {
			return text.String(), nil
		}
		if err != nil {
			return text.String(), err
		}
		text.Write(p.Data)
	}
}

func completion(id string, tokens int, from uint64) engine.Call {
	body := wire.Encode(wire.CompletionRequest{Prompt: "hello", MaxTokens: tokens})
	return engine.Call{
		RequestID: id, Attempt: 1, Method: http.MethodPost, Path: wire.PathCompletions,
		Body: body, Version: "v1", ResumeOffset: from,
	}
}

func TestModelStreams(t *testing.T) {
	for name, tc := range map[string]struct {
		from    uint64
		fault   func(*fakeengine.Engine, *bench)
		end     int // tokens received; -1 is any number
		whole   bool
		notSent bool
	}{
		"whole":   {end: 40, whole: true},
		"resumed": {from: 7, end: 40, whole: true},
		"cut": {end: 9, fault: func(e *fakeengine.Engine, _ *bench) {
			e.SetFaults(func(f *fakeengine.Faults) { f.CutStreams, f.CutAtToken = 1, 9 })
		}},
		"reset": {end: -1, fault: func(_ *fakeengine.Engine, b *bench) {
			time.AfterFunc(300*time.Millisecond, func() { b.net.Reset(local, remote) })
		}},
		"refused": {notSent: true, fault: func(e *fakeengine.Engine, _ *bench) {
			e.SetFaults(func(f *fakeengine.Faults) { f.FailStatus = http.StatusServiceUnavailable })
		}},
		"no listener":    {notSent: true, fault: func(_ *fakeengine.Engine, b *bench) { b.net.Kill(remote) }},
		"lost handshake": {notSent: true, fault: func(_ *fakeengine.Engine, b *bench) { b.net.Freeze(remote) }},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				e := fakeengine.New(fakeengine.Options{})
				defer e.Close()
				b := serve(t, e)
				m := NewModel(b.options())
				defer b.close(m.Target)
				if tc.fault != nil {
					tc.fault(e, b)
				}
				a, err := m.Do(t.Context(), completion("r", 40, tc.from))
				var notSent *engine.NotSentError
				if errors.As(err, &notSent) != tc.notSent {
					t.Fatalf("start: %v", err)
				}
				if tc.notSent {
					if n := len(e.Log()); n != 0 {
						t.Errorf("%d executions of a call that was not sent", n)
					}
					return
				}
				text, err := collect(a)
				if (err == nil) != tc.whole || (err != nil && !errors.Is(err, ErrTruncated)) {
					t.Errorf("end of the stream: %v", err)
				}
				if whole := fakeengine.ExpectedText("hello", "v1", int(tc.from), 40); !strings.HasPrefix(whole, text) {
					t.Errorf("got %q, want a prefix of %q", text, whole)
				}
				if want := fakeengine.ExpectedText("hello", "v1", int(tc.from), tc.end); tc.end >= 0 && text != want {
					t.Errorf("got %q, want %q", text, want)
				}
			})
		})
	}
}

// TestSilentStreamIsFound finds that a stream whose connection has gone silent ends with an error while the engine
// answers on new connections, before its first piece and after it: by the connection's own heartbeat, and where
// something between the ends answers that, by asking the engine.
func TestSilentStreamIsFound(t *testing.T) {
	moments := map[string]time.Duration{"before": 100 * time.Millisecond, "after": 2 * time.Second}
	for name, after := range moments {
		t.Run(name, func(t *testing.T) {
			silentStream(t, after, (*bench).options, syscall.ETIMEDOUT, silentAfter)
		})
		t.Run(name+", heartbeat answered", func(t *testing.T) {
			silentStream(t, after, (*bench).withoutHeartbeat, ErrStalled, 12*time.Second)
		})
	}
}

func silentStream(t *testing.T, after time.Duration, options func(*bench) Options, want error, within time.Duration) {
	synctest.Test(t, func(t *testing.T) {
		e := fakeengine.New(fakeengine.Options{PrefillPerSec: 2, DecodeStep: 20 * time.Millisecond})
		defer e.Close()
		b := serve(t, e)
		m := NewModel(options(b))
		defer b.close(m.Target)
		time.AfterFunc(after, func() { b.net.Silence(local, remote) })
		start := time.Now()
		a, err := m.Do(t.Context(), completion("r", 100, 0))
		if err == nil {
			_, err = collect(a)
		}
		found := time.Since(start) - after
		if !errors.Is(err, want) || found > within {
			t.Errorf("%v after %v", err, found)
		}
	})
}

// withoutHeartbeat dials connections whose heartbeat shows nothing.
func (b *bench) withoutHeartbeat() Options {
	o := b.options()
	dial := o.Dial
	o.Dial = func(ctx context.Context, network, address string) (net.Conn, error) {
		conn, err := dial(ctx, network, address)
		return struct{ net.Conn }{conn}, err
	}
	return o
}

// TestSlowEngineIsNotTakenForSilent lets the engine freeze, and compute for long, under a stream.
func TestSlowEngineIsNotTakenForSilent(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		e := fakeengine.New(fakeengine.Options{PrefillPerSec: 0.1})
		defer e.Close()
		b := serve(t, e)
		m := NewModel(b.options())
		defer b.close(m.Target)
		time.AfterFunc(time.Second, e.Freeze)
		time.AfterFunc(40*time.Second, e.Unfreeze)
		a, err := m.Do(t.Context(), completion("r", 10, 0))
		if err != nil {
			t.Fatal(err)
		}
		if text, err := collect(a); err != nil || text != fakeengine.ExpectedText("hello", "v1", 0, 10) {
			t.Errorf("%q, %v", text, err)
		}
	})
}

func TestCloseCancelsTheRun(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		e := fakeengine.New(fakeengine.Options{})
		defer e.Close()
		b := serve(t, e)
		m := NewModel(b.options())
		defer b.close(m.Target)
		a, err := m.Do(t.Context(), completion("r", 10000, 0))
		if err != nil {
			t.Fatal(err)
		}
		_, _ = a.Next()
		_ = a.Close()
		time.Sleep(time.Second)
		if x := e.Log()[0]; x.Outcome != fakeengine.OutcomeCancelled || e.InFlight() != 0 {
			t.Errorf("outcome %s with %d in flight", x.Outcome, e.InFlight())
		}
	})
}

func TestModelOperations(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		e := fakeengine.New(fakeengine.Options{BlockTokens: 1, BlockBytes: 64, ChecksFence: true})
		defer e.Close()
		b := serve(t, e)
		m := NewModel(b.options())
		defer b.close(m.Target)
		a, err := m.Do(t.Context(), completion("r", 1, 0))
		if err != nil {
			t.Fatal(err)
		}
		if _, err := collect(a); err != nil || a.Usage().PromptTokens != 2 || a.Usage().OutputTokens != 1 {
			t.Errorf("usage %+v, %v", a.Usage(), err)
		}
		page, err := m.CacheEvents(t.Context(), 0, time.Second)
		if err != nil || len(page.Events) != 1 {
			t.Fatalf("events %+v, %v", page, err)
		}
		block, err := m.ExportBlock(t.Context(), page.Events[0].Block)
		if err != nil {
			t.Fatal(err)
		}
		if err := m.ImportBlock(t.Context(), block); err != nil {
			t.Error(err)
		}
		block.Data = block.Data[:63]
		if err := m.ImportBlock(t.Context(), block); err == nil {
			t.Error("a partly written block was taken")
		}
		if err := m.Give(t.Context(), engine.Order{Fence: 2, Action: engine.OrderSetRole, Role: "prefill"}); err != nil {
			t.Error(err)
		}
		if err := m.Give(t.Context(), engine.Order{Fence: 1, Action: engine.OrderSetRole}); !errors.Is(err, ErrFenced) {
			t.Errorf("old fence: %v", err)
		}
		if report, err := m.Load(t.Context()); err != nil || report.Role != "prefill" || report.CacheBlocks != 1 {
			t.Errorf("load %+v, %v", report, err)
		}
	})
}

func TestLongReplyIsRefused(t *testing.T) {
	const limit = 1000
	for size, want := range map[int]error{limit: nil, limit + 1: jsonreply.ErrTooLong, 3 * limit: jsonreply.ErrTooLong} {
		synctest.Test(t, func(t *testing.T) {
			b := serve(t, http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
				_, _ = io.WriteString(w, strings.Repeat("x", size))
			}))
			m := NewModel(b.options())
			defer b.close(m.Target)
			reply, err := m.roundTrip(t.Context(), engine.Call{Method: http.MethodGet, Path: wire.PathLoad}, limit)
			if !errors.Is(err, want) || want == nil && len(reply.body) != size {
				t.Errorf("reply of %d bytes, limit %d: got %d bytes, %v, want %v", size, limit, len(reply.body), err, want)
			}
		})
	}
}

func TestPlainCallsAreJudgedTruthfully(t *testing.T) {
	for name, tc := range map[string]struct {
		fault    func(*plain.Service, *bench)
		executed int
		notSent  bool
		whole    bool
	}{
		"whole":         {executed: 1, whole: true},
		"answer lost":   {executed: 1, fault: faults(func(f *plain.Faults) { f.DropAnswers = 1 })},
		"answer cut":    {executed: 1, fault: faults(func(f *plain.Faults) { f.CutAnswers = 1 })},
		"before effect": {executed: 0, fault: faults(func(f *plain.Faults) { f.DropBefore = 1 })},
		"hang":          {executed: 0, fault: faults(func(f *plain.Faults) { f.Hang = true })},
		"hang after":    {executed: 1, fault: faults(func(f *plain.Faults) { f.HangAfter = true })},
		"frozen":        {executed: 0, fault: func(s *plain.Service, _ *bench) { s.Freeze() }},
		"crashed":       {executed: 0, fault: func(s *plain.Service, _ *bench) { s.Crash() }},
		"no listener":   {notSent: true, fault: func(_ *plain.Service, b *bench) { b.net.Kill(remote) }},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				s := plain.New(plain.Options{ServiceTime: 10 * time.Millisecond})
				b := serve(t, s)
				target := New(b.options())
				defer b.close(target)
				// An idle connection is there, on which the transport might repeat a lost call.
				if err := target.Probe(t.Context()); err != nil {
					t.Fatal(err)
				}
				if tc.fault != nil {
					tc.fault(s, b)
				}
				ctx, cancel := context.WithTimeout(t.Context(), 5*time.Second)
				defer cancel()
				text, err := book(ctx, target)
				var notSent *engine.NotSentError
				if errors.As(err, &notSent) != tc.notSent || (err == nil) != tc.whole {
					t.Errorf("%q, %v", text, err)
				}
				if n := s.Store().Bookings()["b1"]; n != tc.executed {
					t.Errorf("executed %d times, want %d", n, tc.executed)
				}
			})
		})
	}
}

func faults(change func(*plain.Faults)) func(*plain.Service, *bench) {
	return func(s *plain.Service, _ *bench) { s.SetFaults(change) }
}

func book(ctx context.Context, target *Target) (string, error) {
	a, err := target.Do(ctx, engine.Call{
		RequestID: "r", Attempt: 1, Method: http.MethodPost, Path: "/bookings",
		Header: http.Header{"Idempotency-Key": {"k"}}, Body: []byte(`{"id":"b1","slot":"s1"}`),
	})
	if err != nil {
		return "", err
	}
	return collect(a)
}

// TestSilentIdleConnectionsAreRetired lets a probe meet one silent idle connection; no call meets the others.
func TestSilentIdleConnectionsAreRetired(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := plain.New(plain.Options{ServiceTime: 10 * time.Millisecond})
		b := serve(t, s)
		target := New(b.options())
		defer b.close(target)
		var calls sync.WaitGroup
		for range 5 {
			calls.Go(func() { _, _ = book(t.Context(), target) })
		}
		calls.Wait()
		if n := b.net.Silence(local, remote); n != 5 {
			t.Fatalf("%d idle connections, want 5", n)
		}
		ctx, cancel := context.WithTimeout(t.Context(), time.Second)
		defer cancel()
		if err := target.Probe(ctx); err == nil {
			t.Error("probe of a silent connection was answered")
		}
		start := time.Now()
		if _, err := book(t.Context(), target); err != nil || time.Since(start) > 100*time.Millisecond {
			t.Errorf("%v after %v", err, time.Since(start))
		}
		b.net.Reset(local, remote)
	})
}

// TestSilentPlainCallIsSettledSoon lets the connection of a call under way go silent, before and after the call reached
// the service. The call ends long before its deadline, unproved, and the next one goes by a new connection.
func TestSilentPlainCallIsSettledSoon(t *testing.T) {
	for name, after := range map[string]time.Duration{"on its way": 500 * time.Microsecond, "running": 500 * time.Millisecond} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				s := plain.New(plain.Options{ServiceTime: time.Second})
				b := serve(t, s)
				target := New(b.options())
				defer b.close(target)
				if err := target.Probe(t.Context()); err != nil {
					t.Fatal(err)
				}
				time.AfterFunc(after, func() { b.net.Silence(local, remote) })
				ctx, cancel := context.WithTimeout(t.Context(), time.Hour)
				defer cancel()
				start := time.Now()
				_, err := book(ctx, target)
				var notSent *engine.NotSentError
				if took := time.Since(start); err == nil || errors.As(err, &notSent) || took > silentAfter+after {
					t.Errorf("%v after %v", err, took)
				}
				if _, err := book(ctx, target); err != nil {
					t.Errorf("on a new connection: %v", err)
				}
				b.net.Reset(local, remote)
			})
		})
	}
}

// TestSlowPlainCallIsNotTakenForSilent lets the service work, and be paused, for long.
func TestSlowPlainCallIsNotTakenForSilent(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := plain.New(plain.Options{ServiceTime: time.Minute})
		b := serve(t, s)
		target := New(b.options())
		defer b.close(target)
		time.AfterFunc(time.Second, s.Freeze)
		time.AfterFunc(2*time.Minute, s.Unfreeze)
		if text, err := book(t.Context(), target); err != nil {
			t.Errorf("%q, %v", text, err)
		}
	})
}

// TestIdleConnectionBroken finds that a call on a connection that the target has dropped is either sent once or
// proved not to be.
func TestIdleConnectionBroken(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := plain.New(plain.Options{})
		b := serve(t, s)
		target := New(b.options())
		defer b.close(target)
		if err := target.Probe(t.Context()); err != nil {
			t.Fatal(err)
		}
		b.net.Reset(local, remote)
		_, err := book(t.Context(), target)
		var notSent *engine.NotSentError
		if errors.As(err, &notSent) == (s.Store().Bookings()["b1"] != 0) {
			t.Errorf("%v with bookings %v", err, s.Store().Bookings())
		}
	})
}

func TestAnswerWithoutLengthIsNoWholeAnswer(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		n := network.New(0)
		l, err := n.Listen(peer)
		if err != nil {
			t.Fatal(err)
		}
		defer l.Close()
		go answerOnce(l, "HTTP/1.1 200 OK\r\nConnection: close\r\n\r\nhalf")
		target := New(Options{Address: peer, Dial: n.Dialer(local)})
		defer target.Close()
		if text, err := book(t.Context(), target); !errors.Is(err, ErrUndelimited) {
			t.Errorf("%q, %v", text, err)
		}
	})
}

func answerOnce(l net.Listener, answer string) {
	c, err := l.Accept()
	if err != nil {
		return
	}
	defer c.Close()
	_, _ = c.Read(make([]byte, 4096))
	_, _ = io.WriteString(c, answer)
}

// TestWaitingEventsAreJoined writes events together and apart: those that wait make one piece, and none is held back
// for one that is still to come.
func TestWaitingEventsAreJoined(t *testing.T) {
	event := func(offset int, text string) string {
		return fmt.Sprintf("data: {\"choices\":[{\"text\":%q}],\"token_count\":1,\"token_offset\":%d}\n\n", text, offset)
	}
	for name, tc := range map[string]struct {
		write string   // at once; the stream goes on a second later
		want  []string // pieces of it
		err   error    // of the stream that ends after it
	}{
		"joined":          {event(0, "a") + event(1, "b") + event(2, "c"), []string{"abc"}, ErrTruncated},
		"part of one":     {event(0, "a") + event(1, "b")[:20], []string{"a"}, ErrTruncated},
		"comment between": {event(0, "a") + ": alive\n\n", []string{"a"}, ErrTruncated},
		"blank lines":     {event(0, "a") + "\n\n\n", []string{"a"}, ErrTruncated},
		"empty data":      {event(0, "a") + "data:\n\n", []string{"a"}, ErrTruncated},
		"gap":             {event(0, "a") + event(5, "b"), []string{"a"}, nil},
		"error event":     {event(0, "a") + "data: {\"error\": {\"message\": \"out of memory\"}}\n\ndata: [DONE]\n\n", []string{"a"}, ErrGivenUp},
		"whole":           {event(0, "a") + event(1, "b") + "data: [DONE]\n\n", []string{"ab"}, io.EOF},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				b := serve(t, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
					w.Header().Set("Content-Type", "text/event-stream")
					io.WriteString(w, tc.write)
					http.NewResponseController(w).Flush()
					select {
					case <-r.Context().Done():
					case <-time.After(time.Second):
					}
				}))
				m := NewModel(b.options())
				defer b.close(m.Target)
				start := time.Now()
				a, err := m.Do(t.Context(), completion("r", 9, 0))
				if err != nil {
					t.Fatal(err)
				}
				defer a.Close()
				for _, want := range tc.want {
					p, err := a.Next()
					if err != nil || string(p.Data) != want || int(p.Count) != len(want) {
						t.Fatalf("got %q, %d tokens, %v, want %q", p.Data, p.Count, err, want)
					}
				}
				if time.Since(start) >= time.Second {
					t.Error("held back until the stream went on")
				}
				if _, err := a.Next(); err == nil || tc.err != nil && !errors.Is(err, tc.err) {
					t.Errorf("ended with %v, want %v", err, tc.err)
				}
			})
		})
	}
}

// An answer to a read of the load or the prefix cache that is cut, or lacks its fields, must not be taken for an engine that is idle or holds
// nothing.
func TestIncompleteReadFails(t *testing.T) {
	reads := map[string]struct {
		body string
		read func(ctx context.Context, m *Model) error
	}{
		"load": {
			`{"Incarnation":"1","Running":3,"Waiting":0,"Versions":["v1"]}`,
			func(ctx context.Context, m *Model) error { _, err := m.Load(ctx); return err },
		},
		"events": {
			`{"Incarnation":"1","First":0,"Next":5,"Events":null}`,
			func(ctx context.Context, m *Model) error { _, err := m.CacheEvents(ctx, 5, 0); return err },
		},
		"blocks": {
			`{"Incarnation":"1","First":5,"Next":5,"Events":[]}`,
			func(ctx context.Context, m *Model) error { _, err := m.CacheBlocks(ctx); return err },
		},
	}
	for name, c := range reads {
		body := c.body
		head := func(status, length int) string {
			return fmt.Sprintf("HTTP/1.1 %d S\r\nConnection: close\r\nContent-Length: %d\r\n\r\n", status, length)
		}
		for fault, answer := range map[string]string{
			"":                          head(200, len(body)) + body,
			"shorter than its length":   head(200, len(body)+1) + body,
			"cut between chunks":        fmt.Sprintf("HTTP/1.1 200 S\r\nTransfer-Encoding: chunked\r\n\r\n%x\r\n%s\r\n", len(body), body),
			"closed inside the value":   "HTTP/1.1 200 S\r\n\r\n" + body[:len(body)/2],
			"empty":                     head(200, 0),
			"no content":                "HTTP/1.1 204 S\r\n\r\n",
			"partial content":           head(206, len(body)) + body,
			"redirect":                  "HTTP/1.1 302 S\r\nLocation: /\r\nContent-Length: 0\r\n\r\n",
			"null":                      head(200, 4) + "null",
			"empty object":              head(200, 2) + "{}",
			"without an incarnation":    head(200, len(body)-18) + "{" + body[len(`{"Incarnation":"1",`):],
			"page":                      head(200, 13) + "<html></html>",
			"two values":                head(200, 2*len(body)) + body + body,
			"trailing bytes":            head(200, len(body)+1) + body + "]",
			"closed before the value":   "HTTP/1.1 200 S\r\n\r\n",
			"closed inside the chunk":   fmt.Sprintf("HTTP/1.1 200 S\r\nTransfer-Encoding: chunked\r\n\r\n%x\r\n{", len(body)),
			"interim answer, then none": "HTTP/1.1 100 Continue\r\n\r\n",
		} {
			t.Run(name+" "+fault, func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) {
					n := network.New(0)
					l, err := n.Listen(peer)
					if err != nil {
						t.Fatal(err)
					}
					defer l.Close()
					go answerOnce(l, answer)
					m := NewModel(Options{Address: peer, Dial: n.Dialer(local)})
					defer m.Close()
					ctx, cancel := context.WithTimeout(t.Context(), time.Second)
					defer cancel()
					if err := c.read(ctx, m); (err == nil) != (fault == "") {
						t.Errorf("error %v", err)
					}
				})
			})
		}
	}
}
