package peer

import (
	"bufio"
	"bytes"
	"context"
	"crypto/tls"
	"errors"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"connectrpc.com/connect"
	"golang.org/x/net/http2"
	"golang.org/x/net/http2/hpack"
	"google.golang.org/protobuf/types/known/emptypb"

	"github.com/egrethoist/egrethoist/internal/fake/rawhttp"
)

// serveFields starts a server that answers each request on a connection over HTTP/2 with the given fields, pseudo fields included, and a body, and
// with a trailer if there is one. It returns the server's address.
func serveFields(t *testing.T, fields []hpack.HeaderField, body string, trailer []hpack.HeaderField) string {
	return rawhttp.ServeConns(t, func(conn net.Conn, r *bufio.Reader) {
		if _, err := io.ReadFull(r, make([]byte, len(http2.ClientPreface))); err != nil {
			return
		}
		framer := http2.NewFramer(conn, r)
		if err := framer.WriteSettings(); err != nil {
			return
		}
		encode := func(list []hpack.HeaderField) []byte {
			var block bytes.Buffer
			encoder := hpack.NewEncoder(&block)
			encoder.SetMaxDynamicTableSize(0) // each block stands alone
			for _, f := range list {
				_ = encoder.WriteField(f) // a buffer takes all
			}
			return block.Bytes()
		}
		for {
			frame, err := framer.ReadFrame()
			if err != nil {
				return
			}
			if settings, ok := frame.(*http2.SettingsFrame); ok && !settings.IsAck() {
				_ = framer.WriteSettingsAck()
			}
			if frame.Header().Flags&http2.FlagDataEndStream == 0 || frame.Header().Type != http2.FrameData && frame.Header().Type != http2.FrameHeaders {
				continue
			}
			id := frame.Header().StreamID
			_ = framer.WriteHeaders(http2.HeadersFrameParam{StreamID: id, BlockFragment: encode(fields), EndHeaders: true})
			_ = framer.WriteData(id, trailer == nil, []byte(body))
			if trailer != nil {
				_ = framer.WriteHeaders(http2.HeadersFrameParam{StreamID: id, BlockFragment: encode(trailer), EndHeaders: true, EndStream: true})
			}
		}
	})
}

// callKinds are the kinds of calls between processes, each with the type and the body of a sound answer.
var callKinds = map[string]struct {
	contentType, body string
	call              func(ctx context.Context, client *connect.Client[emptypb.Empty, emptypb.Empty]) error
}{
	"unary": {"application/proto", "", func(ctx context.Context, client *connect.Client[emptypb.Empty, emptypb.Empty]) error {
		_, err := client.CallUnary(ctx, connect.NewRequest(&emptypb.Empty{}))
		return err
	}},
	"stream": {"application/connect+proto", "\x02\x00\x00\x00\x02{}", func(ctx context.Context, client *connect.Client[emptypb.Empty, emptypb.Empty]) error {
		answers, err := client.CallServerStream(ctx, connect.NewRequest(&emptypb.Empty{}))
		if err != nil {
			return err
		}
		defer answers.Close()
		for answers.Receive() {
		}
		return answers.Err()
	}},
}

// An answer of a peer that breaks HTTP must not be taken for one, nor as proof that the peer has not processed the call.
func TestBrokenAnswersFail(t *testing.T) {
	for kind, k := range callKinds {
		// send makes a call whose answer has a status, another field and a field in the trailer, each left out if it is empty.
		send := func(status string, field, trailer hpack.HeaderField) error {
			fields := []hpack.HeaderField{{Name: ":status", Value: status}, {Name: "content-type", Value: k.contentType}}
			if field.Name != "" {
				fields = append(fields, field)
			}
			var trailers []hpack.HeaderField
			if trailer.Name != "" {
				trailers = []hpack.HeaderField{trailer}
			}
			ctx, cancel := context.WithTimeout(t.Context(), 5*time.Second)
			defer cancel()
			c := NewClient(Options{Addr: serveFields(t, fields, k.body, trailers)})
			defer c.Close()
			return k.call(ctx, connect.NewClient[emptypb.Empty, emptypb.Empty](c, c.URL()+"/s/m"))
		}
		refused := func(name string, err error) {
			if err == nil {
				t.Errorf("%s, %s: taken for an answer", kind, name)
			} else if NotProcessed(err) {
				t.Errorf("%s, %s: %v proves that the call was not processed", kind, name, err)
			}
		}
		none, sound := hpack.HeaderField{}, hpack.HeaderField{Name: "x", Value: "1"}
		if err := errors.Join(send("200", none, none), send("200", sound, none)); err != nil {
			t.Fatalf("%s, sound answers: %v", kind, err)
		}
		for _, status := range []string{"000", "001", "007", "099", "101", "+200", "0200", "600", "999", "1000", "20", "", "0x1", "20x"} {
			refused("status "+status, send(status, none, none))
		}
		for name, f := range map[string]hpack.HeaderField{
			"name with blank inside": {Name: "x y", Value: "1"}, "name with blank at the end": {Name: "x ", Value: "1"}, "name with 0x01": {Name: "x\x01", Value: "1"},
			"upper case name": {Name: "X", Value: "1"}, "value with 0x00": {Name: "x", Value: "\x00"}, "value with a line": {Name: "x", Value: "a\r\nb"},
		} {
			refused(name, send("200", f, none))
			if kind == "unary" { // a stream ends with a message of its own, whatever follows
				refused("trailer: "+name, send("200", none, f))
			}
		}
		if kind == "unary" {
			refused("length of another body", send("200", hpack.HeaderField{Name: "content-length", Value: "50"}, none))
		}
	}
}

// A peer that speaks HTTP/1 only must not get a call: its answers would be read from a connection that nothing checks.
func TestPeerWithoutHTTP2IsNotCalled(t *testing.T) {
	for _, protocols := range [][]string{{"http/1.1"}, nil} {
		calls := 0
		srv := httptest.NewUnstartedServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) { calls++ }))
		srv.TLS = &tls.Config{NextProtos: protocols}
		srv.Config.TLSNextProto = map[string]func(*http.Server, *tls.Conn, http.Handler){} // no HTTP/2
		srv.StartTLS()
		c := NewClient(Options{Addr: srv.Listener.Addr().String(), TLS: func(host string) *tls.Config {
			return &tls.Config{ServerName: host, NextProtos: []string{"h2", "http/1.1"}, RootCAs: srv.Client().Transport.(*http.Transport).TLSClientConfig.RootCAs}
		}})
		_, err := c.Do(mustRequest(t, c))
		var dial *DialError
		if !errors.As(err, &dial) || calls > 0 {
			t.Errorf("%v: %v, %d calls; want a failed dial", protocols, err, calls)
		}
		c.Close()
		srv.Close()
	}
}
