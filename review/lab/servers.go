package lab

import (
	"fmt"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/egrethoist/egrethoist/platform/standin"
)

// addresses counts the loopback addresses of servers and stores.
var addresses atomic.Int64

func nextIP() string { return fmt.Sprintf("127.31.0.%d", addresses.Add(1)) }

// PartStore is a KV-cache store that can crash.
type PartStore struct {
	*standin.PartStore
	proxy *Proxy
}

// StartPartStore starts a store with room for some tokens.
func (l *Lab) StartPartStore(tokens, readers int) (*PartStore, error) {
	ip := nextIP()
	p, err := NewProxy(ip)
	if err != nil {
		return nil, err
	}
	s, local, err := standin.StartPartStore(l.Parts, p.Address, ip, tokens, readers)
	if err != nil {
		return nil, err
	}
	p.SetBackend(local)
	return &PartStore{PartStore: s, proxy: p}, nil
}

// Address returns the address for the configuration.
func (s *PartStore) Address() string { return s.proxy.Address }

// Restart ends the store and brings it back empty after the given time. It blocks until then.
func (s *PartStore) Restart(down time.Duration) {
	s.proxy.SetDown(true)
	s.PartStore.Restart(down)
	s.proxy.SetDown(false)
}

// HealthPath is the path at which servers say whether they are healthy, and their load.
const HealthPath = "/health"

// Server is a server of a service. It adds to the project's stand-in the health path, how fast it works in Server-Load, and the delay of the
// network.
type Server struct {
	*standin.Target
	RoundTrip time.Duration // from an instance to the server and back

	running atomic.Int64
	http    *http.Server
	ready   sync.WaitGroup
}

// StartServer starts a server at the end of a link. Its ID, address, store, observer and seed are set here.
func (l *Lab) StartServer(o standin.TargetOptions, roundTrip time.Duration) (*Server, error) {
	ip := nextIP()
	listener, err := net.Listen("tcp4", ip+":0")
	if err != nil {
		return nil, err
	}
	n := addresses.Load()
	o.ID, o.Public, o.Store, o.Parts, o.Observer, o.Seed = fmt.Sprintf("i-%08x", 0x7f3a0000+n), listener.Addr().String(), l.Store, l.Parts, l.Record, uint64(n)
	s := &Server{RoundTrip: roundTrip}
	s.ready.Add(1)
	s.http = &http.Server{Handler: s}
	go func() { _ = s.http.Serve(listener) }() // ends with the process
	if s.Target, err = standin.StartTarget(o, ip); err != nil {
		return nil, err
	}
	s.ready.Done()
	return s, nil
}

// ServeHTTP implements http.Handler.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	s.ready.Wait()
	time.Sleep(s.RoundTrip)
	if r.URL.Path == HealthPath {
		o := s.Target.Options()
		w.Header().Set("Instance-Id", o.ID)
		w.Header().Set("Server-Load", fmt.Sprintf("%d,0,%d,100", s.running.Load(), o.Slots))
		w.Header().Set("Content-Length", "0")
		return
	}
	if !strings.HasPrefix(r.URL.Path, "/egrethoist/") {
		s.running.Add(1)
		defer s.running.Add(-1)
	}
	s.Target.ServeHTTP(withSpeed{w}, r)
}

// withSpeed adds to Server-Load that work takes as long as usual.
type withSpeed struct{ http.ResponseWriter }

// WriteHeader implements http.ResponseWriter.
func (w withSpeed) WriteHeader(status int) {
	if load := w.Header().Get("Server-Load"); load != "" {
		w.Header().Set("Server-Load", load+",100")
	}
	w.ResponseWriter.WriteHeader(status)
}

// Unwrap returns the writer within, for http.ResponseController.
func (w withSpeed) Unwrap() http.ResponseWriter { return w.ResponseWriter }
