// Package metapeer carries the metadata from instance to instance: a follower long-polls an upstream for changes, and an instance that
// cannot reach the metadata store fetches another one's copy. The mirrors at both ends decide what is sent and used.
package metapeer

import (
	"context"
	"fmt"
	"net"
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
	copyPath    = "/copy"
	changesPath = "/changes"
	// afterParam is the query parameter with the revision that the requesting instance has.
	afterParam = "after"
	// withinParam is the query parameter with the time in milliseconds within which the requesting instance expects an answer.
	withinParam = "within"
	// copyTimeout limits calls for copies, and the connection setup of all calls to other instances.
	copyTimeout = 500 * time.Millisecond
	// changesMargin is added to the timeout of a long poll for the network: several round trips within a region.
	changesMargin = 100 * time.Millisecond
	// maxChangesWait is the longest time that a long poll is held.
	maxChangesWait = 10 * time.Second
	// maxCopyAge is the age of the metadata up to which an instance hands out its copy.
	maxCopyAge = 1500 * time.Millisecond
	// idleTimeout is how long an idle connection to another instance is kept.
	idleTimeout = time.Minute
	// maxAnswer is the maximum size in bytes of another instance's answer, which has up to some thousands of metadata items.
	maxAnswer = 16 << 20
)

// Server answers the calls of other instances.
type Server struct {
	Mirror   *metastore.Mirror
	Stopping func() bool // reports whether the instance stops, so that others are to follow another one
}

// Register adds the routes of the server.
func (s *Server) Register(e *echo.Echo) {
	e.GET(copyPath, s.serveCopy)
	e.GET(changesPath, s.serveChanges)
}

// serveChanges answers the long poll of another instance that follows the metadata store through this one.
func (s *Server) serveChanges(c echo.Context) error {
	after, err := strconv.ParseUint(c.QueryParam(afterParam), 10, 64)
	if err != nil {
		return c.String(http.StatusBadRequest, afterParam+" is not a revision")
	}
	within, err := strconv.ParseUint(c.QueryParam(withinParam), 10, 32)
	if err != nil {
		return c.String(http.StatusBadRequest, withinParam+" is not a number of milliseconds")
	}
	update, ok := s.Mirror.ServeChanges(c.Request().Context(), after, min(time.Duration(within)*time.Millisecond, maxChangesWait))
	if !ok || s.Stopping() {
		return c.NoContent(http.StatusServiceUnavailable)
	}
	return c.JSON(http.StatusOK, update)
}

// serveCopy returns this instance's copy of the metadata to an instance that can't reach the store.
func (s *Server) serveCopy(c echo.Context) error {
	after, err := strconv.ParseUint(c.QueryParam(afterParam), 10, 64)
	if err != nil {
		return c.String(http.StatusBadRequest, afterParam+" is not a revision")
	}
	mirrorCopy, ok := s.Mirror.Copy(after)
	if !ok || mirrorCopy.Age > maxCopyAge {
		return c.NoContent(http.StatusServiceUnavailable)
	}
	return c.JSON(http.StatusOK, mirrorCopy)
}

// Dial opens connections to other instances.
type Dial func(ctx context.Context, network, address string) (net.Conn, error)

// Client calls other instances.
type Client struct {
	changes *http.Client // keeps one idle connection to each upstream; each call sets its own timeout
	copies  *http.Client
}

// NewClient returns a client. If dial is nil, it connects by TCP.
func NewClient(dial Dial) *Client {
	transport := func() *http.Transport {
		t := tcp.NewTransport(copyTimeout)
		if dial != nil {
			t.DialContext = dial
		}
		return t
	}
	changes := transport()
	changes.MaxIdleConnsPerHost, changes.IdleConnTimeout = 1, idleTimeout
	return &Client{
		changes: &http.Client{Transport: changes, CheckRedirect: jsonreply.NoRedirect},
		copies:  &http.Client{Timeout: copyTimeout, Transport: transport(), CheckRedirect: jsonreply.NoRedirect},
	}
}

// Changes long-polls the instance at an address for the changes of the metadata after a revision.
func (c *Client) Changes(ctx context.Context, address string, after uint64, within time.Duration) (metastore.Update, error) {
	ctx, cancel := context.WithTimeout(ctx, within+changesMargin)
	defer cancel()
	url := fmt.Sprintf("http://%s%s?%s=%d&%s=%d", address, changesPath, afterParam, after, withinParam, within.Milliseconds())
	var update metastore.Update
	err := get(ctx, c.changes, url, &update, "AsOf", "Age", "Held", "Whole")
	return update, err
}

// Copy fetches a copy of the metadata that is newer than a revision from the instance at an address.
func (c *Client) Copy(ctx context.Context, address string, after uint64) (metastore.Copy, error) {
	var peerCopy metastore.Copy
	url := fmt.Sprintf("http://%s%s?%s=%d", address, copyPath, afterParam, after)
	err := get(ctx, c.copies, url, &peerCopy, "AsOf", "Age")
	return peerCopy, err
}

// get sends a GET request to another instance and decodes its JSON answer. It returns an error if the call fails, the status is not
// 200, or the answer is cut or lacks a required field: another program may have the address of an instance that has ended.
func get(ctx context.Context, client *http.Client, url string, answer any, required ...string) error {
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
	raw, err := jsonreply.Read(resp, maxAnswer)
	if err == nil {
		err = jsonreply.Decode(raw, answer, required...)
	}
	return trace.Wrap(err, "answer of instance %s", req.URL.Host)
}
