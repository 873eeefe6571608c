package entry

import (
	"context"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"connectrpc.com/connect"

	egretv1 "github.com/egrethoist/egrethoist/gen/egret/v1"
	"github.com/egrethoist/egrethoist/gen/egret/v1/egretv1connect"
	"github.com/egrethoist/egrethoist/internal/fake/network"
	"github.com/egrethoist/egrethoist/internal/peer"
	"github.com/egrethoist/egrethoist/internal/world"
)

// Guards against state streams that start before all connections are in the pool, as when an entry starts: their period
// would be computed from too small a number of streams and exceed the bandwidth budget.
func TestStreamPeriodCountsAllStreams(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const streams = 111
		var wanted []*world.Target
		for i := range streams {
			wanted = append(wanted, &world.Target{Name: fmt.Sprint("target-", i), Sidecar: fmt.Sprintf("10.0.0.%d:1", i+1)})
		}
		p := newPool(&Options{})
		sizes := make(chan int, streams)
		run := func(ctx context.Context, _ *sidecarConn) {
			sizes <- p.size()
			<-ctx.Done()
		}
		if !p.reconcile(t.Context(), wanted, run) || p.reconcile(t.Context(), wanted, run) {
			t.Error("first reconcile must report a change and the second must not")
		}
		for range streams {
			if n := <-sizes; n != streams {
				t.Fatalf("stream started with pool size %d, want %d", n, streams)
			}
		}
		p.close()
	})
}

// steadySidecar sends a state in every period, and answers a ping after pingTime.
type steadySidecar struct {
	egretv1connect.UnimplementedSidecarServiceHandler
	pingTime time.Duration
}

func (s steadySidecar) Watch(ctx context.Context, req *connect.Request[egretv1.WatchRequest], stream *connect.ServerStream[egretv1.TargetState]) error {
	for ctx.Err() == nil {
		if err := stream.Send(&egretv1.TargetState{}); err != nil {
			return err
		}
		time.Sleep(time.Duration(req.Msg.PeriodMillis) * time.Millisecond)
	}
	return nil
}

func (s steadySidecar) Ping(context.Context, *connect.Request[egretv1.PingRequest]) (*connect.Response[egretv1.PingResponse], error) {
	time.Sleep(s.pingTime)
	return connect.NewResponse(&egretv1.PingResponse{}), nil
}

// Guards against an entry that closes all connections to a sidecar, with the answers that have arrived on them, because it has read nothing itself
// for a while, as after its process stood still. Silence of the sidecar must still end the calls.
func TestSilenceIsTheSidecars(t *testing.T) {
	for name, c := range map[string]struct {
		frozen string // the host that reads and sends nothing for a while
		cut    bool
	}{
		"entry stands still":   {"10.0.0.1", false},
		"sidecar stands still": {"10.0.0.2", true},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				n := network.New(time.Millisecond)
				l, err := n.Listen("10.0.0.2:1")
				if err != nil {
					t.Fatal(err)
				}
				const pingTime = 2 * maxSilentPeriods * minWatchPeriod
				_, handler := egretv1connect.NewSidecarServiceHandler(steadySidecar{pingTime: pingTime}, peer.HandlerOptions())
				server := peer.NewServer(handler, nil)
				go server.Serve(l)
				s := newSidecarConn(&world.Target{Name: "t", Sidecar: "10.0.0.2:1"}, n.Dialer("10.0.0.1"), nil)
				ctx, cancel := context.WithCancel(t.Context())
				watched := make(chan struct{})
				go func() {
					defer close(watched)
					s.watch(ctx, &watchOptions{
						revision: func() *egretv1.RevisionStamp { return nil }, observeRevision: func(*egretv1.RevisionStamp, string) {},
						conditionChanged: func() {}, streamCount: func() int { return 1 }, monitor: newConnMonitor(),
					})
				}()
				time.Sleep(minWatchPeriod / 2)
				pinged := make(chan error, 1)
				go func() {
					_, err := s.rpc.Ping(t.Context(), connect.NewRequest(&egretv1.PingRequest{}))
					pinged <- err
				}()
				time.Sleep(minWatchPeriod / 10)
				n.Freeze(c.frozen)
				// The last state came a bit more than half a period before. The host goes on just after the stream counts as silent.
				time.Sleep(maxSilentPeriods*minWatchPeriod - minWatchPeriod/2)
				if c.cut {
					time.Sleep(minWatchPeriod)
				}
				n.Unfreeze(c.frozen)
				if err := <-pinged; (err != nil) != c.cut {
					t.Errorf("call during the silence: %v, want an error: %t", err, c.cut)
				}
				cancel()
				<-watched
				s.client.Close()
				server.Close()
				time.Sleep(pingTime) // the handlers end
			})
		})
	}
}
