package peer

import (
	"crypto/tls"
	"net/http"
	"time"

	"connectrpc.com/connect"
)

const (
	readHeaderTimeout = 10 * time.Second
	serverPingAfter   = 15 * time.Second // time without a received frame after which a ping is sent
	serverPingTimeout = 5 * time.Second  // time without a reply to the ping after which the connection is closed
)

// NewServer returns an HTTP server for HTTP/1.1 and HTTP/2. HTTP/2 is also accepted without TLS.
func NewServer(handler http.Handler, tlsConfig *tls.Config) *http.Server {
	s := &http.Server{
		Handler:           handler,
		TLSConfig:         tlsConfig,
		ReadHeaderTimeout: readHeaderTimeout,
		HTTP2: &http.HTTP2Config{
			SendPingTimeout: serverPingAfter,
			PingTimeout:     serverPingTimeout,
		},
	}
	s.Protocols = new(http.Protocols)
	s.Protocols.SetHTTP1(true)
	s.Protocols.SetHTTP2(true)
	s.Protocols.SetUnencryptedHTTP2(true)
	return s
}

// compressMinBytes is the size from which a message is compressed. The chunks of a streamed response are far smaller: compressing
// each of them costs more CPU time than everything else done to forward it, and saves nothing.
const compressMinBytes = 64 << 10

// HandlerOptions returns the options of all RPC handlers between the system's own processes.
func HandlerOptions() connect.HandlerOption { return connect.WithCompressMinBytes(compressMinBytes) }

// BlockOptions returns the options of clients that read KV-cache blocks. It disables compression, because their content does not
// compress.
func BlockOptions() connect.ClientOption { return connect.WithAcceptCompression("gzip", nil, nil) }
