package peer

import (
	"net/http"
	"sync"
)

// Set holds one Client per address, created on first use. It sends each request through the Client of the URL's host, so it can be used
// as one HTTP client for all peers. It is safe for concurrent use.
type Set struct {
	dial DialFunc
	tls  TLSFunc

	mu      sync.Mutex
	clients map[string]*Client
}

// NewSet returns an empty set. dial and tls are used as in Options.
func NewSet(dial DialFunc, tls TLSFunc) *Set {
	return &Set{dial: dial, tls: tls, clients: make(map[string]*Client)}
}

// Client returns the client for addr, in the form IP:port.
func (s *Set) Client(addr string) *Client {
	s.mu.Lock()
	defer s.mu.Unlock()
	c := s.clients[addr]
	if c == nil {
		c = NewClient(Options{Addr: addr, Dial: s.dial, TLS: s.tls})
		s.clients[addr] = c
	}
	return c
}

// Do sends a request to the peer at the URL's host and implements connect.HTTPClient.
func (s *Set) Do(req *http.Request) (*http.Response, error) { return s.Client(req.URL.Host).Do(req) }

// Scheme returns the URL scheme of all peers, "http" or "https".
func (s *Set) Scheme() string {
	if s.tls != nil {
		return "https"
	}
	return "http"
}

// TLS returns the source of the TLS configurations, or nil if the set doesn't use TLS.
func (s *Set) TLS() TLSFunc { return s.tls }

// Close closes all connections and removes all clients.
func (s *Set) Close() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, c := range s.clients {
		c.Close()
	}
	s.clients = make(map[string]*Client)
}
