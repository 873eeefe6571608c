package main

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strconv"
	"time"

	"github.com/gravitational/trace"
	"github.com/labstack/echo/v4"

	"github.com/egrethoist/egrethoist/internal/metastore"
	"github.com/egrethoist/egrethoist/internal/tcp"
)

const (
	copyPath = "/copy"
	// copyAfter is the query parameter with the revision that the caller has.
	copyAfter = "after"
	// copyTimeout bounds a call to another instance.
	copyTimeout = 500 * time.Millisecond
	// freshCopy is how recently an instance must have heard of the metadata store to give its copy away.
	freshCopy = 1500 * time.Millisecond
)

var peerClient = &http.Client{Timeout: copyTimeout, Transport: tcp.NewTransport(copyTimeout)}

const (
	changesPath = "/changes"
	// changesWithin is the query parameter with the milliseconds within which the caller wants an answer.
	changesWithin = "within"
	// changesTransit is how long an answer may be under way beyond the time that it is waited for: round trips within a region.
	changesTransit = 100 * time.Millisecond
	// mostWithin bounds how long a call is held.
	mostWithin = 10 * time.Second
)

// upstreamClient keeps one connection to each upstream. Calls bring their own time limits.
var upstreamClient = newUpstreamClient()

func newUpstreamClient() *http.Client {
	transport := tcp.NewTransport(copyTimeout)
	transport.MaxIdleConnsPerHost, transport.IdleConnTimeout = 1, idleTimeout
	return &http.Client{Transport: transport}
}

// maxCopy bounds another instance's answer: the items of the metadata store, some thousands.
const maxCopy = 16 << 20

// serveChanges answers another instance that follows the metadata store through this one.
func (p *process) serveChanges(c echo.Context) error {
	after, err := strconv.ParseUint(c.QueryParam(copyAfter), 10, 64)
	if err != nil {
		return c.String(http.StatusBadRequest, copyAfter+" is not a revision")
	}
	within, err := strconv.ParseUint(c.QueryParam(changesWithin), 10, 32)
	if err != nil {
		return c.String(http.StatusBadRequest, changesWithin+" is not a number of milliseconds")
	}
	update, ok := p.mirror.ServeChanges(c.Request().Context(), after, min(time.Duration(within)*time.Millisecond, mostWithin))
	if !ok || p.stopping.Load() {
		return c.NoContent(http.StatusServiceUnavailable)
	}
	return c.JSON(http.StatusOK, update)
}

// changesFrom asks another instance for what changed after a revision.
func (p *process) changesFrom(ctx context.Context, address string, after uint64, within time.Duration) (metastore.Update, error) {
	ctx, cancel := context.WithTimeout(ctx, within+changesTransit)
	defer cancel()
	url := fmt.Sprintf("http://%s%s?%s=%d&%s=%d", address, changesPath, copyAfter, after, changesWithin, within.Milliseconds())
	var update metastore.Update
	return update, askPeer(ctx, upstreamClient, url, &update)
}

// askPeer decodes another instance's answer.
func askPeer(ctx context.Context, client *http.Client, url string, into any) error {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return trace.Wrap(err)
	}
	resp, err := client.Do(req)
	if err != nil {
		return trace.Wrap(err, "ask instance")
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return trace.Errorf("ask instance at %s: status %d", req.URL.Host, resp.StatusCode)
	}
	return trace.Wrap(json.NewDecoder(io.LimitReader(resp.Body, maxCopy)).Decode(into), "answer of instance %s", req.URL.Host)
}

// giveCopy hands the state of the metadata store to an instance that the store turns away.
func (p *process) giveCopy(c echo.Context) error {
	after, err := strconv.ParseUint(c.QueryParam(copyAfter), 10, 64)
	if err != nil {
		return c.String(http.StatusBadRequest, copyAfter+" is not a revision")
	}
	state, ok := p.mirror.Copy(after)
	if !ok || state.Age > freshCopy {
		return c.NoContent(http.StatusServiceUnavailable)
	}
	return c.JSON(http.StatusOK, state)
}

// copyFromPeer asks one other instance, drawn anew each time, for what is newer than a revision.
func (p *process) copyFromPeer(ctx context.Context, after uint64) (metastore.Copy, error) {
	peers := p.state.PeerAddresses()
	if len(peers) == 0 {
		return metastore.Copy{}, trace.NotFound("no other instance known")
	}
	address := peers[rand.IntN(len(peers))]
	var state metastore.Copy
	return state, askPeer(ctx, peerClient, fmt.Sprintf("http://%s%s?%s=%d", address, copyPath, copyAfter, after), &state)
}
