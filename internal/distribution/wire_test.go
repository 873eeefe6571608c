package distribution

import (
	"fmt"
	"net"
	"net/http"
	"sync/atomic"
	"testing"

	"github.com/egrethoist/egrethoist/internal/control"
	"github.com/egrethoist/egrethoist/internal/distribution/plan"
	"github.com/egrethoist/egrethoist/internal/peer"
	"github.com/egrethoist/egrethoist/internal/platform/memory"
)

// countingConn counts the bytes read and written.
type countingConn struct {
	net.Conn
	bytes *atomic.Int64
}

func (c countingConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	c.bytes.Add(int64(n))
	return n, err
}

func (c countingConn) Write(b []byte) (int, error) {
	n, err := c.Conn.Write(b)
	c.bytes.Add(int64(n))
	return n, err
}

// countingListener wraps accepted connections in countingConn.
type countingListener struct {
	net.Listener
	bytes *atomic.Int64
}

func (l countingListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	return countingConn{c, l.bytes}, err
}

// BenchmarkSteadyExchange measures exchanges between two processes with the same revision over loopback. It reports
// the bytes of both directions above TCP; the CPU time covers both ends.
func BenchmarkSteadyExchange(b *testing.B) {
	kv := memory.NewKV(memory.Options{})
	ctl := control.New(kv)
	for i := range 5 {
		if _, err := ctl.Apply(b.Context(), document(b, i+1), control.ApplyOptions{ApplyID: fmt.Sprint(i)}); err != nil {
			b.Fatal(err)
		}
	}
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		b.Fatal(err)
	}
	var bytes atomic.Int64
	client := peer.NewSet(nil, nil)
	defer client.Close()
	newNode := func(name string) *Distributor {
		d := New(Options{Self: plan.Peer{Name: name, Address: l.Addr().String()}, KV: kv, Client: client})
		if !d.readInitialHead(b.Context()) {
			b.Fatal("no configuration")
		}
		return d
	}
	server, caller := newNode("entry-1"), newNode("entry-2")
	mux := http.NewServeMux()
	mux.Handle(server.Handler())
	srv := peer.NewServer(mux, nil)
	go srv.Serve(countingListener{l, &bytes})
	defer srv.Close()
	address := l.Addr().String()
	if err := caller.exchange(b.Context(), address, false); err != nil {
		b.Fatal(err)
	}
	for _, push := range []bool{false, true} {
		b.Run(fmt.Sprint("push=", push), func(b *testing.B) {
			bytes.Store(0)
			for b.Loop() {
				if err := caller.exchange(b.Context(), address, push); err != nil {
					b.Fatal(err)
				}
			}
			b.ReportMetric(float64(bytes.Load())/float64(b.N), "wire-B/op")
		})
	}
}

// BenchmarkObserve measures Observe with a stamp of the same revision, the case of nearly every request.
func BenchmarkObserve(b *testing.B) {
	d := New(Options{Self: plan.Peer{Name: "entry-1", Address: "127.0.0.1:1"}})
	kv := memory.NewKV(memory.Options{})
	if _, err := control.New(kv).Apply(b.Context(), document(b, 1), control.ApplyOptions{ApplyID: "1"}); err != nil {
		b.Fatal(err)
	}
	d.opts.KV = kv
	if !d.readInitialHead(b.Context()) {
		b.Fatal("no configuration")
	}
	stamp := d.Stamp()
	b.ReportAllocs()
	b.RunParallel(func(pb *testing.PB) {
		for pb.Next() {
			d.Observe(stamp, "127.0.0.1:2")
		}
	})
}
