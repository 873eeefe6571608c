// Package metapeer carries the metadata from instance to instance: a follower long-polls an upstream for changes, and an instance that
// cannot reach the metadata store fetches another one's copy. The mirrors at both ends decide what is sent and used. Large values are sent as
// the difference to the one that the other instance has. An instance of an earlier version asks for JSON, and answers in it.
package metapeer

import (
	"context"
	"net"
	"net/http"
	"net/url"
	"strconv"
	"strings"
	"time"

	"github.com/gravitational/trace"
	"github.com/labstack/echo/v4"

	"github.com/egrethoist/egrethoist/internal/httpclient"
	"github.com/egrethoist/egrethoist/internal/jsonreply"
	"github.com/egrethoist/egrethoist/internal/metastore"
	"github.com/egrethoist/egrethoist/internal/tcp"
	"github.com/egrethoist/egrethoist/internal/transfer"
)

const (
	copyPath    = "/copy"
	changesPath = "/changes"
	// afterParam is the query parameter with the revision that the requesting instance has.
	afterParam = "after"
	// withinParam is the query parameter with the time in milliseconds within which the requesting instance expects an answer.
	withinParam = "within"
	// onlyReadParam, if it is not empty, leaves out changes that the answering instance has from another one.
	onlyReadParam = "only_read"
	// baseParam and baseRevisionParam name the large value that the requesting instance has: its key and the revision of that.
	baseParam         = "base"
	baseRevisionParam = "base_revision"
	// mediaType is the type of bodies that an instance sends if the request accepts it.
	mediaType = "application/vnd.egrethoist.metadata"
	// Headers of such answers. Times are in nanoseconds.
	headerAge       = "Egret-Age"
	headerHeld      = "Egret-Held"
	headerSteady    = "Egret-Steady"
	headerReceiving = "Egret-Receiving" // "1": the answering instance is receiving a large answer of the store
)

const (
	// copyTimeout is the time within which an instance begins to send its copy, and the limit of the connection setup of all calls.
	copyTimeout = 500 * time.Millisecond
	// changesMargin is added to the timeout of a long poll for the network: several round trips within a region.
	changesMargin = 100 * time.Millisecond
	// queuedBytes is how much may wait in front of a call and its answer on full links: windows of a few connections.
	queuedBytes = 128 << 10
	// stallTimeout is the longest time that an answer may pause.
	stallTimeout = 500 * time.Millisecond
	// maxChangesWait is the longest time that a long poll is held.
	maxChangesWait = 10 * time.Second
	// maxCopyAge is the age of the metadata up to which an instance hands out its copy.
	maxCopyAge = 1500 * time.Millisecond
	// idleTimeout is how long an idle connection to another instance is kept.
	idleTimeout = time.Minute
	// minAnswerLimit is the smallest limit in bytes of another instance's metadata, which has up to some thousands of items.
	minAnswerLimit = 16 << 20
)

// Server answers the calls of other instances.
type Server struct {
	Mirror   *metastore.Mirror
	Stopping func() bool // reports whether the instance stops, so that others are to follow another one

	packed packCache
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
	serve := s.Mirror.ServeChanges
	if c.QueryParam(onlyReadParam) != "" {
		serve = s.Mirror.ServeRead
	}
	u, ok := serve(c.Request().Context(), after, min(time.Duration(within)*time.Millisecond, maxChangesWait))
	if !ok || s.Stopping() {
		return c.NoContent(http.StatusServiceUnavailable)
	}
	if !acceptsMediaType(c) {
		if u.Receiving {
			return c.NoContent(http.StatusServiceUnavailable) // an earlier version does not know of it
		}
		return c.JSON(http.StatusOK, u)
	}
	header := c.Response().Header()
	header.Set(headerHeld, formatDuration(u.Held))
	if u.Receiving {
		header.Set(headerReceiving, "1")
	}
	if u.Changes == nil {
		u.Changes = []metastore.Event{}
	}
	return s.send(c, u.AsOf, u.Age, u.Whole, u.Changes)
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
	if !acceptsMediaType(c) {
		return c.JSON(http.StatusOK, mirrorCopy)
	}
	var items []metastore.Event
	if mirrorCopy.Items != nil {
		items = make([]metastore.Event, len(mirrorCopy.Items))
		for i, item := range mirrorCopy.Items {
			items[i].Item = item
		}
	}
	c.Response().Header().Set(headerSteady, formatDuration(mirrorCopy.Steady))
	return s.send(c, mirrorCopy.AsOf, mirrorCopy.Age, true, items)
}

func acceptsMediaType(c echo.Context) bool { return c.Request().Header.Get("Accept") == mediaType }

// send answers with items or changes, large values as the difference to the value that the request names, if that is still known.
func (s *Server) send(c echo.Context, asOf uint64, age time.Duration, whole bool, events []metastore.Event) error {
	payload, err := encodePayload(asOf, whole, events)
	if err != nil {
		return trace.Wrap(err)
	}
	body, err := s.packed.pack(payload, s.requestBase(c, events))
	if err != nil {
		return trace.Wrap(err)
	}
	c.Response().Header().Set(headerAge, formatDuration(age))
	return c.Blob(http.StatusOK, mediaType, body)
}

// requestBase returns the value that the requesting instance has of a key that is among the events, nil if none is known.
func (s *Server) requestBase(c echo.Context, events []metastore.Event) []byte {
	key := c.QueryParam(baseParam)
	revision, err := strconv.ParseUint(c.QueryParam(baseRevisionParam), 10, 64)
	if key == "" || err != nil {
		return nil
	}
	for _, e := range events {
		if e.Key == key && len(e.Value) >= minPacked {
			value, _ := s.Mirror.ValueAt(key, revision)
			return value
		}
	}
	return nil
}

func formatDuration(d time.Duration) string { return strconv.FormatInt(int64(d), 10) }

// ClientOptions configure a Client.
type ClientOptions struct {
	LinkMbps   float64 // width of this machine's link; zero: unknown
	ValueBytes int64   // largest value that the metadata store takes
	// Base returns the large value that this instance has, false if it has none. If it is nil, it never has one.
	Base func() (metastore.Item, bool)
	// Dial opens connections. If it is nil, they are TCP connections.
	Dial func(ctx context.Context, network, address string) (net.Conn, error)
}

// Client calls other instances.
type Client struct {
	opts      ClientOptions
	changes   *http.Client // keeps one idle connection to each upstream
	copies    *http.Client
	maxBytes  int64         // of an answer, and of the metadata in it
	queueTime time.Duration // in which this machine's link carries queuedBytes
}

// NewClient returns a client with the given options.
func NewClient(o ClientOptions) *Client {
	if o.Dial == nil {
		o.Dial = tcp.Dialer(copyTimeout).DialContext
	}
	client := func(idleConns int) *http.Client {
		t := httpclient.New(&http.Transport{DialContext: o.Dial, MaxIdleConnsPerHost: idleConns, IdleConnTimeout: idleTimeout})
		return &http.Client{Transport: t, CheckRedirect: jsonreply.NoRedirect}
	}
	const copyValues = 8 // how many values of the largest size fit into an answer
	return &Client{
		opts: o, changes: client(1), copies: client(0), maxBytes: max(minAnswerLimit, copyValues*o.ValueBytes),
		queueTime: transfer.Time(queuedBytes, o.LinkMbps),
	}
}

// Changes long-polls the instance at an address for the changes of the metadata after a revision.
func (c *Client) Changes(ctx context.Context, address string, after uint64, within time.Duration) (metastore.Update, error) {
	return c.poll(ctx, address, url.Values{}, after, within)
}

// Read is Changes for an instance that reads the store, which may leave out the changes that it has from another one.
func (c *Client) Read(ctx context.Context, address string, after uint64, within time.Duration) (metastore.Update, error) {
	return c.poll(ctx, address, url.Values{onlyReadParam: {"1"}}, after, within)
}

func (c *Client) poll(ctx context.Context, address string, query url.Values, after uint64, within time.Duration) (metastore.Update, error) {
	query.Set(afterParam, strconv.FormatUint(after, 10))
	query.Set(withinParam, strconv.FormatInt(within.Milliseconds(), 10))
	var u metastore.Update
	a, err := c.get(ctx, c.changes, address, changesPath, query, within+changesMargin+c.queueTime, &u, "AsOf", "Age", "Held", "Whole")
	if err != nil || a == nil {
		return u, err
	}
	held, err := a.duration(headerHeld)
	return metastore.Update{AsOf: a.asOf, Age: a.age, Held: held, Receiving: a.header.Get(headerReceiving) == "1", Whole: a.whole, Changes: a.events}, err
}

// Copy fetches a copy of the metadata that is newer than a revision from the instance at an address.
func (c *Client) Copy(ctx context.Context, address string, after uint64) (metastore.Copy, error) {
	var peerCopy metastore.Copy
	a, err := c.get(ctx, c.copies, address, copyPath, url.Values{afterParam: {strconv.FormatUint(after, 10)}}, copyTimeout, &peerCopy, "AsOf", "Age")
	if err != nil || a == nil {
		return peerCopy, err
	}
	steady, err := a.duration(headerSteady)
	peerCopy = metastore.Copy{AsOf: a.asOf, Age: a.age, Steady: steady}
	if a.events != nil {
		peerCopy.Items = make([]metastore.Item, len(a.events))
		for i, e := range a.events {
			peerCopy.Items[i] = e.Item
		}
	}
	return peerCopy, err
}

// answer is an answer of mediaType.
type answer struct {
	header http.Header
	asOf   uint64
	age    time.Duration
	whole  bool
	events []metastore.Event
}

// duration returns the value of a header.
func (a *answer) duration(header string) (time.Duration, error) {
	n, err := strconv.ParseInt(a.header.Get(header), 10, 64)
	return time.Duration(n), trace.Wrap(err, "header %s", header)
}

// get sends a GET request to another instance, whose answer must begin within a time. It returns the answer, or nil if that is JSON and
// decoded into legacy. It returns an error if the call fails, the status is not 200, or the answer is cut or lacks a required field:
// another program may have the address of an instance that has ended.
func (c *Client) get(ctx context.Context, client *http.Client, address, path string, query url.Values, begin time.Duration, legacy any, required ...string) (*answer, error) {
	var base metastore.Item
	if c.opts.Base != nil {
		if item, ok := c.opts.Base(); ok {
			base = item
			query.Set(baseParam, base.Key)
			query.Set(baseRevisionParam, strconv.FormatUint(base.Revision, 10))
		}
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address+path+"?"+query.Encode(), nil)
	if err != nil {
		return nil, trace.Wrap(err)
	}
	req.Header.Set("Accept", mediaType)
	limits := transfer.Limits{Head: begin, Stall: stallTimeout, MinRate: transfer.MinRate(c.opts.LinkMbps)}
	resp, raw, err := jsonreply.Fetch(client, req, limits, c.maxBytes)
	if err != nil {
		return nil, trace.Wrap(err, "call to instance %s", address)
	}
	if resp.StatusCode != http.StatusOK {
		return nil, trace.Errorf("call to instance %s: status %d", address, resp.StatusCode)
	}
	if !strings.HasPrefix(resp.Header.Get("Content-Type"), mediaType) {
		return nil, trace.Wrap(jsonreply.Decode(raw, legacy, required...), "answer of instance %s", address)
	}
	a := &answer{header: resp.Header}
	payload, err := unpack(raw, base.Value, c.maxBytes)
	if err == nil {
		a.asOf, a.whole, a.events, err = decodePayload(payload)
	}
	if err == nil && !tcp.Framed(resp) {
		err = jsonreply.ErrIncomplete
	}
	if err == nil {
		a.age, err = a.duration(headerAge)
	}
	return a, trace.Wrap(err, "answer of instance %s", address)
}
