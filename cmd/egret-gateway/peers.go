package main

import (
	"context"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net/http"
	"strconv"
	"time"

	"github.com/gravitational/trace"
	"github.com/labstack/echo/v4"

	"github.com/egrethoist/egrethoist/internal/metastore"
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

var peerClient = &http.Client{Timeout: copyTimeout}

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
	peers := p.state.Peers()
	if len(peers) == 0 {
		return metastore.Copy{}, trace.NotFound("no other instance known")
	}
	address := peers[rand.IntN(len(peers))]
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, fmt.Sprintf("http://%s%s?%s=%d", address, copyPath, copyAfter, after), nil)
	if err != nil {
		return metastore.Copy{}, trace.Wrap(err)
	}
	resp, err := peerClient.Do(req)
	if err != nil {
		return metastore.Copy{}, trace.Wrap(err, "ask instance %s", address)
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return metastore.Copy{}, trace.Errorf("instance %s: status %d", address, resp.StatusCode)
	}
	var state metastore.Copy
	if err := json.NewDecoder(resp.Body).Decode(&state); err != nil {
		return metastore.Copy{}, trace.Wrap(err, "answer of instance %s", address)
	}
	return state, nil
}
