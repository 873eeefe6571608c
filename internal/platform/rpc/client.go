package rpc

import (
	"context"
	"crypto/tls"
	"errors"
	"fmt"
	"net"
	"net/http"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"connectrpc.com/connect"

	egretv1 "github.com/egrethoist/egrethoist/gen/egret/v1"
	"github.com/egrethoist/egrethoist/gen/egret/v1/egretv1connect"
	"github.com/egrethoist/egrethoist/internal/httpclient"
	"github.com/egrethoist/egrethoist/internal/platform"
	"github.com/egrethoist/egrethoist/internal/tcp"
)

// Client reaches a platform over connect. It implements platform.KV, platform.InstanceList and
// platform.WeightStore.
type Client struct {
	kv      egretv1connect.KeyValueServiceClient
	list    egretv1connect.InstanceListServiceClient
	weights egretv1connect.WeightServiceClient
	listed  atomic.Pointer[listing] // last reading of the instance list
	waited  sync.Map                // key to platform.Item: what the last watch of it brought
}

// listing is a reading of the instance list with the tag that its server gave it.
type listing struct {
	tag       string
	instances []platform.Instance
	sequence  uint64
}

// NewClient returns a client of the platform at a base URL, such as http://127.0.0.1:7000.
func NewClient(client connect.HTTPClient, baseURL string) *Client {
	client = framedOnly{client}
	limit := connect.WithReadMaxBytes(maxMessageBytes)
	return &Client{
		kv:      egretv1connect.NewKeyValueServiceClient(client, baseURL, limit),
		list:    egretv1connect.NewInstanceListServiceClient(client, baseURL, limit),
		weights: egretv1connect.NewWeightServiceClient(client, baseURL, limit),
	}
}

// NewPlainClient returns a client of the platform at an address, IP:port, without TLS.
func NewPlainClient(address string) *Client {
	return NewClient(&http.Client{Transport: httpclient.NewDefault()}, "http://"+address)
}

// errUnframed is returned for an answer whose end cannot be told from a cut. Messages have no length of their own, so one that is cut
// between two fields is valid: a list would look shorter.
var errUnframed = errors.New("answer without a length or chunks")

// framedOnly fails calls whose answer ends with its connection.
type framedOnly struct{ connect.HTTPClient }

// Do implements connect.HTTPClient.
func (c framedOnly) Do(req *http.Request) (*http.Response, error) {
	resp, err := c.HTTPClient.Do(req)
	if err == nil && !tcp.Framed(resp) {
		resp.Body.Close()
		return nil, errUnframed
	}
	return resp, err
}

// NewTLSClient returns a client of the platform at an address, IP:port. config is asked for every dial, so that rotated
// keys take effect.
func NewTLSClient(config func(host string) *tls.Config, address string) *Client {
	transport := httpclient.New(&http.Transport{
		DialTLSContext: func(ctx context.Context, network, address string) (net.Conn, error) {
			host, _, err := net.SplitHostPort(address)
			if err != nil {
				return nil, err
			}
			d := tls.Dialer{NetDialer: &net.Dialer{Timeout: dialTimeout}, Config: config(host)}
			return d.DialContext(ctx, network, address)
		},
		ForceAttemptHTTP2: true,
		// All calls share a connection. One that went silent would fail every call until the system's own timeout.
		HTTP2:           &http.HTTP2Config{SendPingTimeout: pingAfter, PingTimeout: pingTimeout},
		IdleConnTimeout: idleTimeout,
	})
	return NewClient(&http.Client{Transport: transport}, "https://"+address)
}

// Bounds of connections under TLS.
const (
	dialTimeout = 2 * time.Second
	idleTimeout = 90 * time.Second
	pingAfter   = 2 * time.Second // no frame for so long: send a ping
	pingTimeout = 2 * time.Second // no answer to the ping for so long: close the connection
)

// readError makes the interface's error of a failed read.
func readError(step string, err error) error {
	return fmt.Errorf("%s: %w: %w", step, platform.ErrUnavailable, err)
}

// writeError makes the interface's error of a failed write: the server's own word, or the proof that no
// connection was made, or else an unknown outcome.
func writeError(step string, err error) error {
	return fmt.Errorf("%s: %w: %w", step, writeCause(err), err)
}

func writeCause(err error) error {
	var wire *connect.Error
	if errors.As(err, &wire) && connect.IsWireError(err) && wire.Meta().Get(headerNotWritten) == "true" {
		for _, c := range codes {
			if wire.Code() == c.code {
				return c.err
			}
		}
	}
	var op *net.OpError
	if errors.As(err, &op) && op.Op == "dial" {
		return platform.ErrUnavailable
	}
	return platform.ErrOutcomeUnknown
}

// Get implements platform.KV.
func (c *Client) Get(ctx context.Context, key string) (platform.Item, error) {
	resp, err := c.kv.Get(ctx, connect.NewRequest(&egretv1.GetRequest{Key: key}))
	if err != nil {
		return platform.Item{}, readError("get "+key, err)
	}
	return item(resp.Msg), nil
}

// Wait implements platform.KV.
func (c *Client) Wait(ctx context.Context, key string, after uint64, wait time.Duration) (platform.Item, error) {
	req := &egretv1.WaitRequest{Key: key, AfterVersion: after, WaitMillis: uint64(wait.Milliseconds())}
	held, ok := c.held(key, after)
	if ok {
		req.HeldHash = hashOf(held.Value)
	}
	resp, err := c.kv.Wait(ctx, connect.NewRequest(req))
	if err != nil {
		return platform.Item{}, readError("wait for "+key, err)
	}
	if ok && resp.Msg.Held {
		return held, nil
	}
	got := item(resp.Msg)
	c.waited.Store(key, got)
	return got, nil
}

// held returns what the last watch of a key brought, if that was at the given version.
func (c *Client) held(key string, version uint64) (platform.Item, bool) {
	v, ok := c.waited.Load(key)
	if !ok || version == 0 || v.(platform.Item).Version != version {
		return platform.Item{}, false
	}
	return v.(platform.Item), true
}

func item(m *egretv1.GetResponse) platform.Item {
	return platform.Item{Value: m.Value, Version: m.Version}
}

// CompareAndSwap implements platform.KV. On a conflict it returns the version in force.
func (c *Client) CompareAndSwap(ctx context.Context, key string, expect uint64, value []byte, lease platform.LeaseID) (uint64, error) {
	if len(value) > platform.MaxValueBytes {
		return 0, platform.ErrTooLarge
	}
	return c.swap(ctx, &egretv1.CompareAndSwapRequest{
		Key:           key,
		ExpectVersion: expect,
		Value:         value,
		Lease:         uint64(lease),
	})
}

// Delete implements platform.KV.
func (c *Client) Delete(ctx context.Context, key string, expect uint64) error {
	_, err := c.swap(ctx, &egretv1.CompareAndSwapRequest{Key: key, ExpectVersion: expect, Delete: true})
	return err
}

func (c *Client) swap(ctx context.Context, m *egretv1.CompareAndSwapRequest) (uint64, error) {
	resp, err := c.kv.CompareAndSwap(ctx, connect.NewRequest(m))
	if err != nil {
		return 0, writeError("swap "+m.Key, err)
	}
	if !resp.Msg.Swapped {
		return resp.Msg.Version, platform.ErrConflict
	}
	return resp.Msg.Version, nil
}

// Grant implements platform.KV.
func (c *Client) Grant(ctx context.Context, ttl time.Duration) (platform.LeaseID, error) {
	resp, err := c.kv.Grant(ctx, connect.NewRequest(&egretv1.GrantRequest{TtlMillis: uint64(ttl.Milliseconds())}))
	if err != nil {
		return 0, writeError("grant a lease", err)
	}
	return platform.LeaseID(resp.Msg.Lease), nil
}

// KeepAlive implements platform.KV.
func (c *Client) KeepAlive(ctx context.Context, lease platform.LeaseID) error {
	resp, err := c.kv.KeepAlive(ctx, connect.NewRequest(&egretv1.KeepAliveRequest{Lease: uint64(lease)}))
	if err != nil {
		return writeError("keep a lease alive", err)
	}
	if !resp.Msg.Alive {
		return platform.ErrLeaseLost
	}
	return nil
}

// List implements platform.InstanceList. A server that still has the list that was read last doesn't send it again.
func (c *Client) List(ctx context.Context) ([]platform.Instance, uint64, error) {
	last := c.listed.Load()
	req := connect.NewRequest(&egretv1.ListRequest{})
	if last != nil {
		req.Header().Set(headerHasList, last.tag)
	}
	resp, err := c.list.List(ctx, req)
	if err != nil {
		return nil, 0, readError("list instances", err)
	}
	tag := resp.Header().Get(headerList)
	if last != nil && tag == last.tag {
		return slices.Clone(last.instances), last.sequence, nil
	}
	list := instances(resp.Msg)
	if tag != "" {
		c.listed.Store(&listing{tag: tag, instances: slices.Clone(list), sequence: resp.Msg.Sequence})
	}
	return list, resp.Msg.Sequence, nil
}

func instances(m *egretv1.ListResponse) []platform.Instance {
	list := make([]platform.Instance, 0, len(m.Instances))
	for _, in := range m.Instances {
		list = append(list, platform.Instance{
			Name:          in.Name,
			FailureDomain: in.FailureDomain,
			Address:       in.Address,
			Role:          in.Role,
			Leaving:       in.Leaving,
		})
	}
	return list
}

// Describe implements platform.WeightStore.
func (c *Client) Describe(ctx context.Context, version string) (platform.Weights, bool, error) {
	resp, err := c.weights.Describe(ctx, connect.NewRequest(&egretv1.DescribeRequest{Version: version}))
	if err != nil {
		return platform.Weights{}, false, readError("describe weights "+version, err)
	}
	w := platform.Weights{Version: version, Bytes: int64(resp.Msg.Bytes)}
	copy(w.Digest[:], resp.Msg.Digest)
	return w, resp.Msg.Found, nil
}

var (
	_ platform.KV           = (*Client)(nil)
	_ platform.InstanceList = (*Client)(nil)
	_ platform.WeightStore  = (*Client)(nil)
)
