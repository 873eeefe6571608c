package transfer

import (
	"bytes"
	"context"
	"errors"
	"io"
	"net/http"
	"net/http/httptest"
	"testing"
	"testing/synctest"
	"time"

	"lukechampine.com/blake3"
	"pgregory.net/rapid"

	egretv1 "github.com/egrethoist/egrethoist/gen/egret/v1"
	"github.com/egrethoist/egrethoist/gen/egret/v1/egretv1connect"
	"github.com/egrethoist/egrethoist/internal/fake/store"
	"github.com/egrethoist/egrethoist/internal/kvcache/block"
	"github.com/egrethoist/egrethoist/internal/rapidtest"
)

func TestMain(m *testing.M) { rapidtest.Main(m, rapidtest.Setting{Flag: "checks", Value: "1000"}) }

const (
	blockSize = 256
	pieceSize = 64
)

// blockContent returns the only valid content of a block, derived from its ID.
func blockContent(id block.ID) []byte {
	out := make([]byte, blockSize)
	h := blake3.New(32, nil)
	h.Write(id[:])
	h.XOF().Read(out)
	return out
}

// newChain returns the IDs of a chain of n blocks.
func newChain(version, salt string, n int) []block.ID {
	return block.Chain(block.NewSeed("svc", version, salt), make([]byte, n), 1)
}

// blockSource returns a function that yields the blocks of a chain, as Client.Write takes it.
func blockSource(ids []block.ID, version string) func() (Export, error) {
	i := 0
	return func() (Export, error) {
		if i == len(ids) {
			return Export{}, io.EOF
		}
		e := Export{ID: ids[i], Workspace: "w", Version: version, Value: 1, Data: blockContent(ids[i])}
		if i > 0 {
			e.Parent = ids[i-1]
		}
		i++
		return e, nil
	}
}

// newStoreAndClient returns a fake store with room for a number of blocks, and a client of it.
func newStoreAndClient(blocks int) (*store.Store, *Client) {
	s := store.New(store.Options{DiskBytes: int64(blocks * blockSize), MemoryBytes: 2 * blockSize, PieceBytes: pieceSize})
	return s, New("vault", store.Local{Store: s}, Options{PieceBytes: pieceSize, MaxBlockBytes: blockSize})
}

// readAll pins and reads a chain and returns the delivered blocks.
func readAll(c *Client, ids []block.ID) ([]Block, error) {
	ctx := context.Background()
	p, err := c.Pin(ctx, ids)
	if err != nil {
		return nil, err
	}
	defer c.Release(ctx, p)
	var got []Block
	_, err = c.Read(ctx, p, p.Blocks, func(b Block) error { got = append(got, b); return nil })
	return got, err
}

var errWriterFailed = errors.New("writer failed")

// Guards against delivering partial or wrong blocks. The faults occur at every piece: writers that fail, two concurrent
// exporters, store restarts, blocks freed during a read, late and crossed responses, and dropped versions. Every delivered
// block must have the complete content of the requested block, and must keep it while the reader holds it.
func TestReadsReturnOnlyCompleteCorrectBlocks(t *testing.T) {
	synctest.Test(t, func(t *testing.T) { checkReads(withoutDeadline{t}) })
}

// withoutDeadline hides T.Deadline, which rapid would call and which must not be called in a synctest bubble.
type withoutDeadline struct{ rapid.TB }

// minDelivered is the number of blocks that the drawn reads must deliver in all, so that the content of enough blocks is compared.
const minDelivered = 1000

// checkReads runs the cases of TestReadsReturnOnlyCompleteCorrectBlocks under virtual time: the store evicts by the ages of blocks.
func checkReads(t rapid.TB) {
	delivered := 0
	rapid.Check(t, func(t *rapid.T) {
		s, c := newStoreAndClient(5)
		ctx := context.Background()
		chains := [][]block.ID{newChain("v1", "a", 4), newChain("v1", "b", 4), newChain("v2", "a", 4)}
		versions := []string{"v1", "v1", "v2"}
		written := map[block.ID]bool{} // completely written at some time
		var retained []Block           // still held by the reader
		pick := func(t *rapid.T) int { return rapid.IntRange(0, len(chains)-1).Draw(t, "chain") }
		write := func(i, failAt int, corrupt bool) {
			next := blockSource(chains[i], versions[i])
			w := &writer{pieceBytes: pieceSize, next: next}
			pieces := 0
			_, _ = store.Local{Store: s}.Write(ctx, func() (*egretv1.WriteRequest, error) {
				if pieces == failAt {
					return nil, errWriterFailed
				}
				pieces++
				req, err := w.nextPiece()
				if err == nil && corrupt {
					req.Data = bytes.Repeat([]byte{1}, len(req.Data))
				}
				if err == nil && req.Last && !corrupt {
					written[block.ID(req.Block)] = true
				}
				return req, err
			})
		}
		disturbances := map[string]func(i int){
			"nothing": func(int) {},
			"free":    func(i int) { s.Free(chains[i][0]); s.Free(chains[i][1]) },
			"free and use again": func(i int) {
				for _, id := range chains[i] {
					s.Free(id)
				}
				write((i+1)%len(chains), -1, false)
			},
			"restart":      func(int) { s.Restart() },
			"drop version": func(i int) { _ = c.DropVersion(ctx, versions[i]) },
			"write":        func(i int) { write(i, -1, false) },
		}
		names := []string{"nothing", "free", "free and use again", "restart", "drop version", "write"}
		t.Repeat(map[string]func(*rapid.T){
			"write": func(t *rapid.T) {
				write(pick(t), rapid.IntRange(-1, 16).Draw(t, "die at"), rapid.Float64().Draw(t, "spoil") < 0.2)
			},
			"two exporters": func(t *rapid.T) {
				i := pick(t)
				first := &writer{pieceBytes: pieceSize, next: blockSource(chains[i], versions[i])}
				at, n := rapid.IntRange(0, 15).Draw(t, "second starts at"), 0
				_, _ = store.Local{Store: s}.Write(ctx, func() (*egretv1.WriteRequest, error) {
					if n == at {
						write(i, -1, false)
					}
					n++
					return first.nextPiece()
				})
			},
			"read": func(t *rapid.T) {
				i := pick(t)
				name := rapid.SampledFrom(names).Draw(t, "disturbance")
				at := rapid.IntRange(1, 16).Draw(t, "at piece")
				s.SetFaults(store.Faults{
					Late:     rapid.Bool().Draw(t, "late"),
					Crossed:  rapid.Float64().Draw(t, "crossed") < 0.2,
					Mute:     rapid.Bool().Draw(t, "mute"),
					Truncate: rapid.SampledFrom([]int{0, 0, 0, 3, 4, 9}).Draw(t, "truncate"),
					OnPiece: func(n int) {
						if n == at {
							disturbances[name](i)
						}
					},
				})
				got, _ := readAll(c, chains[i])
				s.SetFaults(store.Faults{})
				for j, b := range got {
					if b.ID != chains[i][j] {
						t.Fatalf("block %d is %s, want %s", j, b.ID.Hex(), chains[i][j].Hex())
					}
				}
				retained = append(retained, got...)
				delivered += len(got)
			},
			"let go": func(t *rapid.T) {
				for _, b := range retained {
					c.Recycle(b.Data)
				}
				retained = nil
			},
			"restart": func(*rapid.T) { s.Restart() },
			"": func(t *rapid.T) {
				time.Sleep(time.Millisecond) // the blocks that are held age from action to action
				for _, b := range retained {
					if !bytes.Equal(b.Data, blockContent(b.ID)) {
						t.Fatalf("the reader holds wrong content for block %s", b.ID.Hex())
					}
				}
				for _, ids := range chains {
					for _, id := range ids {
						if s.Holds(id) && !written[id] {
							t.Fatalf("block %s is visible but was never written completely", id.Hex())
						}
					}
				}
			},
		})
	})
	if delivered < minDelivered {
		t.Errorf("only %d blocks were delivered, want at least %d; the test is ineffective", delivered, minDelivered)
	}
}

// Guards against a fault that is not detected, or detected by another check than the one intended for it.
func TestReadFaults(t *testing.T) {
	ids := newChain("v1", "a", 2)
	for _, tc := range []struct {
		name      string
		fault     func(s *store.Store, c *Client) store.Faults
		want      error
		delivered int // blocks delivered before the fault
	}{
		{"healthy", func(*store.Store, *Client) store.Faults { return store.Faults{} }, nil, 2},
		{"freed", func(s *store.Store, _ *Client) store.Faults {
			return store.Faults{OnPiece: func(n int) {
				if n == 6 {
					s.Free(ids[1])
				}
			}}
		}, ErrBlockFreed, 1},
		{"freed without a sign", func(s *store.Store, _ *Client) store.Faults {
			return store.Faults{Mute: true, OnPiece: func(n int) {
				if n == 6 {
					s.Free(ids[1])
				}
			}}
		}, ErrDigestMismatch, 1},
		{"truncated", func(*store.Store, *Client) store.Faults { return store.Faults{Truncate: 6} }, ErrTruncated, 1},
		{"late piece of an earlier transfer", func(_ *store.Store, c *Client) store.Faults {
			_, _ = readAll(c, ids)
			return store.Faults{Late: true}
		}, nil, 2},
		{"crossed", func(_ *store.Store, c *Client) store.Faults {
			_, _ = readAll(c, ids)
			return store.Faults{Crossed: true}
		}, ErrDigestMismatch, 0},
	} {
		s, c := newStoreAndClient(8)
		if r, err := c.Write(context.Background(), blockSource(ids, "v1"), nil); err != nil || r.Stored != 2 {
			t.Fatalf("write: %+v, %v", r, err)
		}
		s.SetFaults(tc.fault(s, c))
		got, err := readAll(c, ids)
		if !errors.Is(err, tc.want) || len(got) != tc.delivered {
			t.Errorf("%s: %d blocks, error %v; want %d, %v", tc.name, len(got), err, tc.delivered, tc.want)
		}
	}
}

// Guards against accepting a piece of another incarnation, block, offset, size or digest.
func TestInvalidPieces(t *testing.T) {
	ids := newChain("v1", "a", 2)
	validPiece := func() *egretv1.ReadResponse {
		sum := block.Sum(ids[0], blockContent(ids[0]))
		return &egretv1.ReadResponse{Transfer: 7, Incarnation: 3, Block: ids[0].Bytes(), Data: blockContent(ids[0]), Last: true, Digest: sum[:]}
	}
	for _, tc := range []struct {
		name    string
		corrupt func(p *egretv1.ReadResponse)
		want    error
	}{
		{"whole", func(*egretv1.ReadResponse) {}, nil},
		{"other incarnation", func(p *egretv1.ReadResponse) { p.Incarnation = 4 }, ErrStoreRestarted},
		{"other block", func(p *egretv1.ReadResponse) { p.Block = ids[1].Bytes() }, ErrUnexpectedPiece},
		{"gap", func(p *egretv1.ReadResponse) { p.Offset = 1 }, ErrUnexpectedPiece},
		{"too long", func(p *egretv1.ReadResponse) { p.Data = append(p.Data, 0) }, ErrBlockTooLarge},
		{"digest of the content alone", func(p *egretv1.ReadResponse) {
			sum := blake3.Sum256(p.Data)
			p.Digest = sum[:]
		}, ErrDigestMismatch},
	} {
		a := &assembler{transfer: 7, incarnation: 3, want: ids, maxBytes: blockSize, newBuffer: func() []byte { return nil }}
		p := validPiece()
		tc.corrupt(p)
		b, err := a.add(p)
		if !errors.Is(err, tc.want) || (b != nil) != (tc.want == nil) {
			t.Errorf("%s: block returned = %v, error %v, want error %v", tc.name, b != nil, err, tc.want)
		}
	}
}

// Guards against reading through a pin that was given before the store restarted.
func TestPinDoesNotSurviveStoreRestart(t *testing.T) {
	s, c := newStoreAndClient(8)
	ctx, ids := context.Background(), newChain("v1", "a", 2)
	_, _ = c.Write(ctx, blockSource(ids, "v1"), nil)
	p, _ := c.Pin(ctx, ids)
	s.Restart()
	_, _ = c.Write(ctx, blockSource(ids, "v1"), nil) // the store holds the same blocks again
	if n, err := c.Read(ctx, p, p.Blocks, func(Block) error { return nil }); n != 0 || err == nil {
		t.Errorf("read through a pin of an earlier incarnation: %d blocks, error %v", n, err)
	}
	if c.Incarnation() != 2 {
		t.Errorf("incarnation %d, want 2", c.Incarnation())
	}
}

// Guards against delivering a block that arrives after the pin has expired, as when the reader's process was paused.
func TestExpiredPin(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s, c := newStoreAndClient(8)
		ids := newChain("v1", "a", 2)
		_, _ = c.Write(context.Background(), blockSource(ids, "v1"), nil)
		s.SetFaults(store.Faults{OnPiece: func(n int) {
			if n == 7 {
				time.Sleep(DefaultPinLease + time.Second) // simulates a paused reader
			}
		}})
		got, err := readAll(c, ids)
		if !errors.Is(err, ErrPinExpired) || len(got) != 1 {
			t.Errorf("read with an expired pin: %d blocks, error %v", len(got), err)
		}
	})
}

// Guards against evicting pinned blocks for blocks of higher value, and against keeping them after their release.
func TestPinnedBlocksAreNotEvicted(t *testing.T) {
	s, c := newStoreAndClient(4)
	ctx, a, b := context.Background(), newChain("v1", "a", 4), newChain("v1", "b", 4)
	_, _ = c.Write(ctx, blockSource(a, "v1"), nil)
	p, _ := c.Pin(ctx, a)
	higherValue := func() func() (Export, error) {
		next := blockSource(b, "v1")
		return func() (Export, error) {
			e, err := next()
			e.Value = 2
			return e, err
		}
	}
	if r, err := c.Write(ctx, higherValue(), nil); err != nil || r.Stored != 0 {
		t.Errorf("pinned blocks were evicted: %+v, %v", r, err)
	}
	c.Release(ctx, p)
	if r, err := c.Write(ctx, higherValue(), nil); err != nil || r.Stored == 0 {
		t.Errorf("released blocks were not evicted: %+v, %v, %+v", r, err, s.Counts())
	}
}

// Guards against differences between a remote store and a local one: a complete write and read, a failed writer, a dropped
// version and a store that is down.
func TestRemoteStore(t *testing.T) {
	s := store.New(store.Options{PieceBytes: pieceSize})
	mux := http.NewServeMux()
	mux.Handle(egretv1connect.NewStoreServiceHandler(store.NewHandler(s)))
	server := httptest.NewServer(mux)
	defer server.Close()
	exports := &http.Client{Transport: &http.Transport{DialContext: DialExport}}
	remote := NewRemote(egretv1connect.NewStoreServiceClient(server.Client(), server.URL)).
		WithExports(egretv1connect.NewStoreServiceClient(exports, server.URL))
	c := New("vault", remote, Options{PieceBytes: pieceSize})
	ids := newChain("v1", "a", 6)
	ctx := context.Background()
	if r, err := c.Write(ctx, blockSource(ids, "v1"), nil); err != nil || r.Stored != 6 {
		t.Fatalf("write: %+v, %v", r, err)
	}
	got, err := readAll(c, ids)
	if err != nil || len(got) != 6 || !bytes.Equal(got[5].Data, blockContent(ids[5])) {
		t.Fatalf("read: %d blocks, %v", len(got), err)
	}
	n := 0
	_, err = c.Write(ctx, func() (Export, error) { // fails before the second block
		if n++; n == 2 {
			return Export{}, errWriterFailed
		}
		return Export{ID: newChain("v1", "b", 1)[0], Version: "v1", Workspace: "w", Data: blockContent(ids[0])}, nil
	}, nil)
	if !errors.Is(err, errWriterFailed) {
		t.Errorf("the failed write returned %v", err)
	}
	if err := c.DropVersion(ctx, "v1"); err != nil || s.Holds(ids[0]) {
		t.Errorf("blocks of a dropped version are still held: %v", err)
	}
	s.SetFaults(store.Faults{Down: true})
	if _, err := c.Pin(ctx, ids); err == nil {
		t.Error("pinned blocks at a store that is down")
	}
}
