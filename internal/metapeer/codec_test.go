package metapeer

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"math/rand/v2"
	"net/http"
	"net/http/httptest"
	"reflect"
	"strings"
	"testing"
	"time"

	"github.com/labstack/echo/v4"

	"github.com/egrethoist/egrethoist/internal/jsonreply"
	"github.com/egrethoist/egrethoist/internal/metastore"
	"github.com/egrethoist/egrethoist/internal/metastore/memory"
	"github.com/egrethoist/egrethoist/internal/transfer"
)

// routes returns a value like a configuration with n routes.
func routes(rng *rand.Rand, n int) []byte {
	var b bytes.Buffer
	for range n {
		fmt.Fprintf(&b, `{"name":"r-%x","host":"%x.example","prefix":"/%x/","kind":"idempotent","timeoutMs":1200,"targetLatencyMs":150,"service":"plain"},`, rng.Uint32(), rng.Uint32(), rng.Uint32())
	}
	return b.Bytes()
}

// Guards against values that are lost, mixed up or changed on their way, in each form.
func TestBodiesRoundTrip(t *testing.T) {
	rng := rand.New(rand.NewPCG(54, 2))
	base := routes(rng, 4000)
	changed := bytes.Replace(base, []byte("1200"), []byte("1300"), 1)
	for name, c := range map[string]struct {
		events  []metastore.Event
		base    []byte
		maxSize int
	}{
		"nothing asked for": {nil, nil, 100},
		"no changes":        {[]metastore.Event{}, nil, 100},
		"small": {[]metastore.Event{
			{Item: metastore.Item{Key: "a", Value: []byte("x"), Revision: 7, Created: 3, Lease: 9}}, {Item: metastore.Item{Key: "b", Revision: 8}, Deleted: true},
		}, nil, 200},
		"large":                 {[]metastore.Event{{Item: metastore.Item{Key: "c", Value: base, Revision: 9}}}, nil, len(base) / 4},
		"large with difference": {[]metastore.Event{{Item: metastore.Item{Key: "c", Value: changed, Revision: 9}}}, base, 2000},
	} {
		payload, err := encodePayload(12, true, c.events)
		if err != nil {
			t.Fatal(err)
		}
		body, err := (&packCache{}).pack(payload, c.base)
		if err != nil {
			t.Fatal(err)
		}
		if len(body) > c.maxSize {
			t.Errorf("%s: %d bytes, want at most %d", name, len(body), c.maxSize)
		}
		got, err := unpack(body, c.base, 16<<20)
		if err != nil {
			t.Fatalf("%s: %v", name, err)
		}
		asOf, whole, events, err := decodePayload(got)
		if err != nil || asOf != 12 || !whole || !reflect.DeepEqual(events, c.events) {
			t.Errorf("%s: revision %d, whole %v, events %.100v, error %v; want those that were sent", name, asOf, whole, events, err)
		}
	}
}

// Guards against a difference that is applied to another value than the one it was made for, and against bodies that are cut, malformed or
// unpack to more than an instance can hold.
func TestMalformedBodiesFail(t *testing.T) {
	rng := rand.New(rand.NewPCG(54, 3))
	base, value := routes(rng, 1000), routes(rng, 1000)
	payload, err := encodePayload(12, false, []metastore.Event{{Item: metastore.Item{Key: "c", Value: append(bytes.Clone(base), value...), Revision: 9}}})
	if err != nil {
		t.Fatal(err)
	}
	difference, err := pack(payload, base)
	if err != nil {
		t.Fatal(err)
	}
	whole, err := pack(payload, nil)
	if err != nil {
		t.Fatal(err)
	}
	otherBase := bytes.Clone(base)
	otherBase[len(otherBase)/2] ^= 1
	for name, c := range map[string]struct {
		body, base []byte
		maxBytes   int64
	}{
		"another value":      {difference, otherBase, 16 << 20},
		"value not known":    {difference, nil, 16 << 20},
		"cut":                {whole[:len(whole)/2], nil, 16 << 20},
		"too large":          {whole, nil, int64(len(payload) - 1)},
		"unknown form":       {append([]byte{9}, whole[1:]...), nil, 16 << 20},
		"empty":              {nil, nil, 16 << 20},
		"no compressed form": {append([]byte{formCompressed}, payload...), nil, 16 << 20},
	} {
		if _, err := unpack(c.body, c.base, c.maxBytes); err == nil {
			t.Errorf("%s: accepted", name)
		}
	}
	for name, p := range map[string][]byte{
		"empty": {}, "cut head": payload[:10], "cut value": payload[:len(payload)-1], "bytes too many": append(bytes.Clone(payload), 0), "no JSON": {2, 'x', 'y'},
	} {
		if _, _, _, err := decodePayload(p); err == nil {
			t.Errorf("payload %s: accepted", name)
		}
	}
}

// startServer serves the metadata of a mirror that has the given value.
func startServer(t *testing.T, value []byte) (address string, store *memory.Store, mirror *metastore.Mirror) {
	store = memory.New()
	store.Put("large", value)
	changed := make(chan struct{}, 100)
	mirror = metastore.NewMirror(metastore.MirrorOptions{Store: store, OnChange: func(map[string]metastore.Item, uint64) { changed <- struct{}{} }})
	ctx, cancel := context.WithCancel(t.Context())
	done := make(chan struct{})
	go func() { defer close(done); _ = mirror.Run(ctx) }()
	<-changed
	e := echo.New()
	(&Server{Mirror: mirror, Stopping: func() bool { return false }}).Register(e)
	server := httptest.NewServer(e)
	t.Cleanup(func() { cancel(); <-done; server.Close() })
	return strings.TrimPrefix(server.URL, "http://"), store, mirror
}

// Guards against an upgrade in which instances of the version before, which ask for JSON, do not understand the answer.
func TestEarlierVersionGetsJSON(t *testing.T) {
	address, _, _ := startServer(t, []byte("v"))
	for path, answer := range map[string]any{"/changes?after=0&within=1000": &metastore.Update{}, "/copy?after=0": &metastore.Copy{}} {
		resp, err := http.Get("http://" + address + path)
		if err != nil {
			t.Fatal(err)
		}
		raw, err := jsonreply.Read(resp, 1<<20)
		if err == nil {
			err = json.Unmarshal(raw, answer)
		}
		_ = resp.Body.Close()
		if err != nil || resp.StatusCode != http.StatusOK {
			t.Errorf("%s: status %d, error %v", path, resp.StatusCode, err)
		}
		if u, ok := answer.(*metastore.Update); ok && (len(u.Changes) != 1 || string(u.Changes[0].Value) != "v") {
			t.Errorf("changes %v, want the value", u.Changes)
		}
		if c, ok := answer.(*metastore.Copy); ok && (len(c.Items) != 1 || string(c.Items[0].Value) != "v") {
			t.Errorf("copy %v, want the value", c.Items)
		}
	}
}

// Guards against calls that give other metadata than the upstream has, with or without a value to send the difference to, and after that has
// been replaced more often than replaced values are kept.
func TestClientGetsMetadata(t *testing.T) {
	rng := rand.New(rand.NewPCG(54, 4))
	value := routes(rng, 4000)
	address, store, mirror := startServer(t, value)
	known, _ := mirror.Base()
	var base metastore.Item
	client := NewClient(ClientOptions{Base: func() (metastore.Item, bool) { return base, base.Key != "" }})
	check := func(after uint64, want []byte) {
		t.Helper()
		u, err := client.Changes(t.Context(), address, after, 5*time.Second)
		if err != nil || len(u.Changes) != 1 || !bytes.Equal(u.Changes[0].Value, want) {
			t.Fatalf("changes %d, error %v; want the new value", len(u.Changes), err)
		}
		c, err := client.Copy(t.Context(), address, after)
		// The race detector slows the comparison of large values down: an answer that is not begun in time is asked for again.
		var late *transfer.Error
		for range 20 {
			if !errors.As(err, &late) || late.HeadSeen {
				break
			}
			c, err = client.Copy(t.Context(), address, after)
		}
		if err != nil || len(c.Items) != 1 || !bytes.Equal(c.Items[0].Value, want) || c.AsOf != u.AsOf {
			t.Fatalf("copy with %d items, error %v; want the new value", len(c.Items), err)
		}
	}
	check(0, value)
	base = known
	for range 10 {
		next := append(bytes.Clone(value), routes(rng, 10)...)
		value = next
		revision := store.Put("large", value)
		for {
			if b, _ := mirror.Base(); b.Revision == revision {
				break
			}
			time.Sleep(10 * time.Millisecond)
		}
		check(known.Revision, value)
	}
	if _, kept := mirror.ValueAt("large", known.Revision); kept {
		t.Error("the first value is still kept, so that no answer was without it")
	}
	if c, err := client.Copy(t.Context(), address, base.Revision+100); err != nil || c.Items != nil {
		t.Errorf("copy for an instance that has its revision: %v, error %v; want no items", c.Items, err)
	}
}
