package peer

import (
	"crypto/tls"
	"net/http"
	"time"

	"connectrpc.com/connect"

	"github.com/egrethoist/egrethoist/internal/httpserver"
)

const (
	readHeaderTimeout = 10 * time.Second
	serverPingAfter   = 15 * time.Second // time without a received frame after which a ping is sent
	serverPingTimeout = 5 * time.Second  // time without a reply to the ping after which the connection is closed
)

// NewServer returns an HTTP server for HTTP/1.1 and HTTP/2. HTTP/2 is also accepted without TLS.
func NewServer(handler http.Handler, tlsConfig *tls.Config) *http.Server {
	return &http.Server{
		Handler:           handler,
		TLSConfig:         tlsConfig,
		ReadHeaderTimeout: readHeaderTimeout,
		HTTP2:             serverHTTP2(),
		Protocols:         serverProtocols(),
	}
}

// ServerOptions returns the options of a server for HTTP/1.1 and HTTP/2, with TLS unless tlsConfig is nil. HTTP/2 is also accepted without
// TLS.
func ServerOptions(name string, handler http.Handler, tlsConfig *tls.Config) httpserver.Options {
	return httpserver.Options{
		Name:              name,
		Handler:           handler,
		TLS:               tlsConfig,
		ReadHeaderTimeout: readHeaderTimeout,
		HTTP2:             serverHTTP2(),
		Protocols:         serverProtocols(),
	}
}

func serverHTTP2() *http.HTTP2Config {
	return &http.HTTP2Config{SendPingTimeout: serverPingAfter, PingTimeout: serverPingTimeout}
}

func serverProtocols() *http.Protocols {
	p := new(http.Protocols)
	p.SetHTTP1(true)
	p.SetHTTP2(true)
	p.SetUnencryptedHTTP2(true)
	return p
}

// compressMinBytes is the size from which a message is compressed. The chunks of a streamed response are far smaller: compressing
// each of them costs more CPU time than everything else done to forward it, and saves nothing.
const compressMinBytes = 64 << 10

// HandlerOptions returns the options of all RPC handlers between the system's own processes.
func HandlerOptions() connect.HandlerOption { return connect.WithCompressMinBytes(compressMinBytes) }

// BlockOptions returns the options of clients that read KV-cache blocks. It disables compression, because their content does not
// compress.
func BlockOptions() connect.ClientOption { return connect.WithAcceptCompression("gzip", nil, nil) }
