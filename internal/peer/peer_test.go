package peer

import (
	"crypto/tls"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"testing"
	"testing/synctest"
	"time"

	"github.com/egrethoist/egrethoist/internal/fake/network"
)

// Guards against falling back from HTTP/2, in plain text or over TLS, and against a client that can't reconnect after
// CloseConnections.
func TestClient(t *testing.T) {
	echo := http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) { io.WriteString(w, r.Proto) })
	cert := httptest.NewTLSServer(nil)
	defer cert.Close()
	for name, serverTLS := range map[string]*tls.Config{
		"plain": nil,
		"tls":   {Certificates: cert.TLS.Certificates, NextProtos: []string{"h2"}},
	} {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			t.Fatal(err)
		}
		srv := NewServer(echo, serverTLS)
		opts := Options{Addr: l.Addr().String()}
		if serverTLS != nil {
			l = tls.NewListener(l, serverTLS)
			opts.TLS = func(host string) *tls.Config {
				return &tls.Config{ServerName: host, NextProtos: []string{"h2"}, RootCAs: cert.Client().Transport.(*http.Transport).TLSClientConfig.RootCAs}
			}
		}
		go srv.Serve(l)
		c := NewClient(opts)
		for range 2 {
			checkProtocol(t, name, c)
			c.CloseConnections()
		}
		srv.Close()
		if _, err := c.Do(mustRequest(t, c)); err == nil {
			t.Errorf("%s: no error from a closed server", name)
		}
	}
}

func mustRequest(t *testing.T, c *Client) *http.Request {
	req, err := http.NewRequest(http.MethodGet, c.URL(), nil)
	if err != nil {
		t.Fatal(err)
	}
	return req
}

// checkProtocol sends a request and checks that it was served over HTTP/2.
func checkProtocol(t *testing.T, name string, c *Client) {
	resp, err := c.Do(mustRequest(t, c))
	if err != nil {
		t.Fatalf("%s: %v", name, err)
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(resp.Body)
	if err != nil || string(body) != "HTTP/2.0" {
		t.Errorf("%s: response body %q, error %v, want HTTP/2.0", name, body, err)
	}
}

// Guards against closing a connection with an in-flight call, and against keeping one beyond idleTimeout after the last call.
func TestIdleConnectionCloses(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		n := network.New(time.Millisecond)
		l, err := n.Listen("10.0.0.2:1")
		if err != nil {
			t.Fatal(err)
		}
		started, release := make(chan struct{}), make(chan struct{})
		srv := NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
			close(started)
			<-release
			io.WriteString(w, "HTTP/2.0")
		}), nil)
		go srv.Serve(l)
		defer srv.Close()
		c := NewClient(Options{Addr: "10.0.0.2:1", Dial: n.Dialer("10.0.0.1")})
		defer c.Close()
		done := make(chan struct{})
		go func() {
			defer close(done)
			checkProtocol(t, "idle", c)
		}()
		<-started
		time.Sleep(3 * idleTimeout)
		if n.Connections("10.0.0.1", "10.0.0.2") != 1 {
			t.Fatal("connection closed during a call")
		}
		close(release)
		<-done
		time.Sleep(2 * idleTimeout)
		if left := n.Connections("10.0.0.1", "10.0.0.2"); left != 0 {
			t.Fatalf("%d idle connections after the idle timeout, want none", left)
		}
	})
}

// An answer whose stream is reset must not be read as complete, also without a length: messages of our own protocols have none either.
func TestAbortedAnswerFails(t *testing.T) {
	for name, handler := range map[string]http.HandlerFunc{
		"before the head": func(http.ResponseWriter, *http.Request) { panic(http.ErrAbortHandler) },
		"after the head": func(w http.ResponseWriter, _ *http.Request) {
			w.WriteHeader(http.StatusOK)
			_ = http.NewResponseController(w).Flush()
			panic(http.ErrAbortHandler)
		},
		"inside the body": func(w http.ResponseWriter, _ *http.Request) {
			_, _ = io.WriteString(w, "half")
			_ = http.NewResponseController(w).Flush()
			panic(http.ErrAbortHandler)
		},
		"shorter than its length": func(w http.ResponseWriter, _ *http.Request) {
			w.Header().Set("Content-Length", "8")
			_, _ = io.WriteString(w, "half")
		},
	} {
		t.Run(name, func(t *testing.T) {
			l, err := net.Listen("tcp", "127.0.0.1:0")
			if err != nil {
				t.Fatal(err)
			}
			srv := NewServer(handler, nil)
			go srv.Serve(l)
			defer srv.Close()
			c := NewClient(Options{Addr: l.Addr().String()})
			defer c.Close()
			resp, err := c.Do(mustRequest(t, c))
			if err != nil {
				return
			}
			defer resp.Body.Close()
			if body, err := io.ReadAll(resp.Body); err == nil {
				t.Errorf("%q read as complete", body)
			}
		})
	}
}
