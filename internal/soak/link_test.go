package soak

import (
	"bytes"
	"io"
	"net/http"
	"testing"
	"time"

	"github.com/egrethoist/egrethoist/internal/fake/rawhttp"
	"github.com/egrethoist/egrethoist/internal/httpclient"
)

// A link must pass a reset on as one: an instance that sees an orderly end in its place would be charged with an answer that it cannot tell from a whole
// one. Which of the link's two directions learns of the reset is a race.
func TestLinkPassesResetsOn(t *testing.T) {
	const tries, upload = 20, 16 << 20
	transport := httpclient.New(&http.Transport{DisableKeepAlives: true})
	for try := range tries {
		backend := rawhttp.ServeEarly(t, rawhttp.EarlyAnswer{
			Answer: rawhttp.Always("HTTP/1.1 200 OK\r\n\r\npart"), Pause: time.Duration(try%4) * 10 * time.Millisecond, End: rawhttp.EarlyReset,
		})
		k, err := newLink("127.0.0.1:0", backend)
		if err != nil {
			t.Fatal(err)
		}
		req, err := http.NewRequestWithContext(t.Context(), http.MethodPost, "http://"+k.Address, bytes.NewReader(make([]byte, upload)))
		if err != nil {
			t.Fatal(err)
		}
		if resp, err := transport.RoundTrip(req); err == nil {
			if body, err := io.ReadAll(resp.Body); err == nil {
				t.Errorf("try %d: %q ends in order", try, body)
			}
			_ = resp.Body.Close()
		}
		k.close()
	}
}
