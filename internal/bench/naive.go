package bench

import (
	"bytes"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"

	"github.com/egrethoist/egrethoist/internal/httpclient"
	"github.com/egrethoist/egrethoist/internal/peer"
)

// naiveTries is how often the naive balancer sends a request before it gives up.
const naiveTries = 3

// naiveBalancer is the baseline: it sends each request to the next target in turn and sends it again on any
// error. It knows no limits, no keys, no cache and no drains.
type naiveBalancer struct {
	client *http.Client
	models []string // addresses of the model targets
	plains []string // addresses of the plain targets
	next   atomic.Uint64
}

func newNaive(models, plains []string, dial peer.DialFunc) *naiveBalancer {
	return &naiveBalancer{
		models: models,
		plains: plains,
		client: &http.Client{Transport: httpclient.New(&http.Transport{
			DialContext:         dial,
			MaxIdleConnsPerHost: callerConns,
		})},
	}
}

// start serves the balancer on loopback.
func (n *naiveBalancer) start() *httptest.Server { return httptest.NewServer(n) }

// ServeHTTP implements http.Handler.
func (n *naiveBalancer) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	targets, path := n.models, r.URL.Path
	if rest, ok := strings.CutPrefix(path, "/v1/services/"); ok {
		_, path, _ = strings.Cut(rest, "/")
		path = "/" + path
		targets = n.plains
	}
	for range naiveTries {
		addr := targets[int(n.next.Add(1))%len(targets)]
		if n.forward(w, r, "http://"+addr+path, body) {
			return
		}
	}
	http.Error(w, "all targets failed", http.StatusBadGateway)
}

// forward reports whether anything of an answer has been written.
func (n *naiveBalancer) forward(w http.ResponseWriter, r *http.Request, url string, body []byte) bool {
	req, err := http.NewRequestWithContext(r.Context(), r.Method, url, bytes.NewReader(body))
	if err != nil {
		return false
	}
	req.Header = r.Header.Clone()
	resp, err := n.client.Do(req)
	if err != nil {
		return false
	}
	defer resp.Body.Close()
	if resp.StatusCode >= http.StatusInternalServerError {
		return false
	}
	for name, values := range resp.Header {
		w.Header()[name] = values
	}
	w.WriteHeader(resp.StatusCode)
	n.copy(w, resp.Body)
	return true
}

const copyBuffer = 16 << 10

func (n *naiveBalancer) copy(w http.ResponseWriter, r io.Reader) {
	flusher := http.NewResponseController(w)
	buf := make([]byte, copyBuffer)
	for {
		k, err := r.Read(buf)
		if k > 0 {
			w.Write(buf[:k])
			flusher.Flush()
		}
		if err == io.EOF {
			return
		}
		if err != nil {
			panic(http.ErrAbortHandler)
		}
	}
}
