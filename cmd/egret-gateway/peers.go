package main

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"strconv"
	"time"

	"github.com/gravitational/trace"
	"github.com/labstack/echo/v4"

	"github.com/egrethoist/egrethoist/internal/jsonreply"
	"github.com/egrethoist/egrethoist/internal/metastore"
	"github.com/egrethoist/egrethoist/internal/tcp"
)

const (
	copyPath = "/copy"
	// afterParam is the query parameter with the revision that the requesting instance has.
	afterParam = "after"
	// peerTimeout limits calls of peerClient, and the connection setup of all calls to other instances.
	peerTimeout = 500 * time.Millisecond
	// maxCopyAge is the age of the metadata up to which an instance hands out its copy.
	maxCopyAge = 1500 * time.Millisecond
)

// peerClient is the client for copies of the metadata.
var peerClient = &http.Client{Timeout: peerTimeout, Transport: tcp.NewTransport(peerTimeout), CheckRedirect: jsonreply.NoRedirect}

const (
	changesPath = "/changes"
	// withinParam is the query parameter with the time in milliseconds within which the requesting instance expects an answer.
	withinParam = "within"
	// changesMargin is added to the timeout of a long poll for the network: several round trips within a region.
	changesMargin = 100 * time.Millisecond
	// maxChangesWait is the longest time that a long poll is held.
	maxChangesWait = 10 * time.Second
)

// upstreamClient is the client for changes of the metadata. It keeps one idle connection to each upstream; each call sets its own
// timeout.
var upstreamClient = newUpstreamClient()

func newUpstreamClient() *http.Client {
	transport := tcp.NewTransport(peerTimeout)
	transport.MaxIdleConnsPerHost, transport.IdleConnTimeout = 1, idleTimeout
	return &http.Client{Transport: transport, CheckRedirect: jsonreply.NoRedirect}
}

// maxPeerAnswer is the maximum size in bytes of another instance's answer, which has up to some thousands of metadata items.
const maxPeerAnswer = 16 << 20

// serveChanges answers the long poll of another instance that follows the metadata store through this one.
func (p *process) serveChanges(c echo.Context) error {
	after, err := strconv.ParseUint(c.QueryParam(afterParam), 10, 64)
	if err != nil {
		return c.String(http.StatusBadRequest, afterParam+" is not a revision")
	}
	within, err := strconv.ParseUint(c.QueryParam(withinParam), 10, 32)
	if err != nil {
		return c.String(http.StatusBadRequest, withinParam+" is not a number of milliseconds")
	}
	update, ok := p.mirror.ServeChanges(c.Request().Context(), after, min(time.Duration(within)*time.Millisecond, maxChangesWait))
	if !ok || p.stopping.Load() {
		return c.NoContent(http.StatusServiceUnavailable)
	}
	return c.JSON(http.StatusOK, update)
}

// fetchChanges long-polls another instance for the changes of the metadata after a revision.
func (p *process) fetchChanges(ctx context.Context, address string, after uint64, within time.Duration) (metastore.Update, error) {
	ctx, cancel := context.WithTimeout(ctx, within+changesMargin)
	defer cancel()
	url := fmt.Sprintf("http://%s%s?%s=%d&%s=%d", address, changesPath, afterParam, after, withinParam, within.Milliseconds())
	var update metastore.Update
	err := getFromPeer(ctx, upstreamClient, url, &update, "AsOf", "Age", "Held", "Whole")
	return update, err
}

// getFromPeer sends a GET request to another instance and decodes its JSON answer. It returns an error if the call fails, the status is not
// 200, or the answer is cut or lacks a required field: another program may have the address of an instance that has ended.
func getFromPeer(ctx context.Context, client *http.Client, url string, answer any, required ...string) error {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return trace.Wrap(err)
	}
	resp, err := client.Do(req)
	if err != nil {
		return trace.Wrap(err, "call to another instance")
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return trace.Errorf("call to instance %s: status %d", req.URL.Host, resp.StatusCode)
	}
	raw, err := jsonreply.Read(resp, maxPeerAnswer)
	if err == nil {
		err = jsonreply.Decode(raw, answer, required...)
	}
	return trace.Wrap(err, "answer of instance %s", req.URL.Host)
}

// serveCopy returns this instance's copy of the metadata to an instance that can't reach the store.
func (p *process) serveCopy(c echo.Context) error {
	after, err := strconv.ParseUint(c.QueryParam(afterParam), 10, 64)
	if err != nil {
		return c.String(http.StatusBadRequest, afterParam+" is not a revision")
	}
	mirrorCopy, ok := p.mirror.Copy(after)
	if !ok || mirrorCopy.Age > maxCopyAge {
		return c.NoContent(http.StatusServiceUnavailable)
	}
	return c.JSON(http.StatusOK, mirrorCopy)
}

// fetchCopy fetches a copy of the metadata that is newer than a revision from another instance, chosen at random for each call.
func (p *process) fetchCopy(ctx context.Context, after uint64) (metastore.Copy, error) {
	peers := p.state.PeerAddresses()
	if len(peers) == 0 {
		return metastore.Copy{}, trace.NotFound("no other instance known")
	}
	return copyFrom(ctx, peers[rand.IntN(len(peers))], after)
}

// copyFrom fetches a copy of the metadata that is newer than a revision from the instance at the address.
func copyFrom(ctx context.Context, address string, after uint64) (metastore.Copy, error) {
	var peerCopy metastore.Copy
	url := fmt.Sprintf("http://%s%s?%s=%d", address, copyPath, afterParam, after)
	err := getFromPeer(ctx, peerClient, url, &peerCopy, "AsOf", "Age")
	return peerCopy, err
}
