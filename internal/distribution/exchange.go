package distribution

import (
	"context"
	"math/rand/v2"
	"net/http"
	"time"

	"connectrpc.com/connect"
	"github.com/gravitational/trace"

	egretv1 "github.com/egrethoist/egrethoist/gen/egret/v1"
	"github.com/egrethoist/egrethoist/gen/egret/v1/egretv1connect"
	"github.com/egrethoist/egrethoist/internal/configkv"
	"github.com/egrethoist/egrethoist/internal/distribution/plan"
	"github.com/egrethoist/egrethoist/internal/manifest"
	"github.com/egrethoist/egrethoist/internal/revision"
	"github.com/egrethoist/egrethoist/internal/sleep"
	"github.com/egrethoist/egrethoist/internal/world"
)

// Limits of an exchange.
const (
	exchangeTimeout     = 2 * time.Second
	maxPushBytes        = 4 << 10 // of deltas pushed without knowing the peer's revision
	maxPushDeltas       = 2
	ancestorsForNewPeer = 256 // sent to a peer without a revision
	maxExchangeBytes    = manifest.MaxCanonicalBytes
)

// uncompressed disables gzip for responses: stamps and deltas are small, and manifests are already compressed.
var uncompressed = connect.WithAcceptCompression("gzip", nil, nil)

// message is the common content of ExchangeRequest and ExchangeResponse.
type message struct {
	stamp        *egretv1.RevisionStamp
	manifest     []byte
	ancestors    [][]byte
	deltas       []*egretv1.ConfigDelta
	confirmedAge uint64 // milliseconds plus one; zero: unknown
}

// Handler returns the path prefix and the HTTP handler of the ConfigService.
func (d *Distributor) Handler() (string, http.Handler) {
	return egretv1connect.NewConfigServiceHandler(d, connect.WithReadMaxBytes(maxExchangeBytes))
}

// Exchange implements the ConfigService: it applies what the peer sent and responds with what the peer lacks. It
// returns CodeInvalidArgument if the peer's update can't be decoded or applied.
func (d *Distributor) Exchange(_ context.Context, req *connect.Request[egretv1.ExchangeRequest]) (*connect.Response[egretv1.ExchangeResponse], error) {
	m := req.Msg
	if err := d.receive(message{m.Revision, m.Manifest, m.Ancestors, m.Deltas, m.ConfirmedAgeMillis}); err != nil {
		d.metrics.failures.Inc(1)
		return nil, connect.NewError(connect.CodeInvalidArgument, err)
	}
	out := d.messageFor(m.Revision)
	return connect.NewResponse(&egretv1.ExchangeResponse{
		Revision: out.stamp, Manifest: out.manifest, Ancestors: out.ancestors, Deltas: out.deltas, ConfirmedAgeMillis: out.confirmedAge,
	}), nil
}

// receive applies a peer's message. A stamp without content can only confirm the revision in force.
func (d *Distributor) receive(m message) error {
	if m.stamp.GetNumber() == 0 {
		return nil
	}
	u, err := decodeUpdate(m)
	if err != nil {
		return err
	}
	own := d.state.revision()
	if m.manifest == nil && m.deltas == nil && u.lineage.Revision.Digest != own.Digest {
		if u.lineage.Revision.Number == own.Number {
			d.metrics.conflicts.Inc(1)
		}
		return nil
	}
	v, err := d.applyUpdate(u)
	if v != revision.Accept && err == errNeedManifest {
		return nil // the pushed deltas start at another revision; our stamp in the response lets the peer send the right ones
	}
	return err
}

// decodeUpdate converts a message from its wire form.
func decodeUpdate(m message) (update, error) {
	lineage, err := configkv.LineageFromWire(m.stamp, m.ancestors)
	if err != nil {
		return update{}, err
	}
	deltas, err := configkv.DeltasFromWire(m.deltas)
	if err != nil {
		return update{}, err
	}
	u := update{lineage: lineage, deltas: deltas, confirmedAge: -1}
	if m.confirmedAge > 0 {
		u.confirmedAge = time.Duration(m.confirmedAge-1) * time.Millisecond
	}
	if len(m.manifest) > 0 {
		if u.canonical, err = manifest.Decompress(m.manifest); err != nil {
			return update{}, trace.Wrap(err, "unpack manifest")
		}
	}
	return u, nil
}

// messageFor returns the message that brings a peer with the given revision up to date: deltas if they start at its
// revision, else the manifest with its ancestors. A peer that isn't behind gets only the stamp.
func (d *Distributor) messageFor(peer *egretv1.RevisionStamp) message {
	out := message{stamp: d.Stamp(), confirmedAge: d.encodedConfirmedAge()}
	cur := d.state.current.Load()
	if cur == nil || peer.GetNumber() >= cur.world.Revision.Number {
		return out
	}
	out.stamp = configkv.Stamp(cur.world.Revision)
	var peerDigest world.Digest
	copy(peerDigest[:], peer.GetDigest())
	if deltas := deltasAfter(cur.deltas, peerDigest); len(deltas) > 0 {
		d.metrics.deltasSent.Inc(1)
		out.deltas = configkv.DeltasToWire(deltas)
		return out
	}
	gap := int(min(cur.world.Revision.Number-peer.GetNumber(), revision.DefaultWindow))
	if peer.GetNumber() == 0 {
		gap = ancestorsForNewPeer
	}
	ancestors := d.state.ancestors(gap)
	if peer.GetNumber() > 0 && len(ancestors) == gap && ancestors[gap-1] != peerDigest {
		// The peer is on another branch and would reject this revision.
		d.metrics.conflicts.Inc(1)
		return out
	}
	d.metrics.fullSent.Inc(1)
	out.manifest = cur.compressed()
	out.ancestors = configkv.DigestsToWire(ancestors)
	return out
}

// encodedConfirmedAge returns the age of the last confirmation in the wire encoding.
func (d *Distributor) encodedConfirmedAge() uint64 {
	age, known := d.state.confirmedAge(time.Now())
	if !known {
		return 0
	}
	return uint64(age.Milliseconds()) + 1
}

// pushDeltas returns the newest deltas within the limits of an unsolicited push.
func (d *Distributor) pushDeltas() []*egretv1.ConfigDelta {
	cur := d.state.current.Load()
	if cur == nil {
		return nil
	}
	return configkv.DeltasToWire(configkv.TrimDeltas(cur.deltas, maxPushDeltas, maxPushBytes))
}

// exchange compares revisions with the peer at address and updates the side that is behind. With push, the first
// request carries the newest deltas. It returns an error if a call fails or the peer's update can't be applied.
func (d *Distributor) exchange(ctx context.Context, address string, push bool) error {
	ctx, cancel := context.WithTimeout(ctx, exchangeTimeout)
	defer cancel()
	request := message{stamp: d.Stamp(), confirmedAge: d.encodedConfirmedAge()}
	if push {
		request.deltas = d.pushDeltas()
	}
	peerStamp, err := d.call(ctx, address, request)
	if err != nil || peerStamp.GetNumber() >= d.state.revision().Number {
		return err
	}
	// The peer is behind: send what it lacks.
	followUp := d.messageFor(peerStamp)
	if followUp.manifest == nil && followUp.deltas == nil {
		return nil
	}
	_, err = d.call(ctx, address, followUp)
	return err
}

// call sends one message, applies the response and returns the peer's stamp.
func (d *Distributor) call(ctx context.Context, address string, m message) (*egretv1.RevisionStamp, error) {
	d.metrics.exchanges.Inc(1)
	client := egretv1connect.NewConfigServiceClient(d.opts.Client, d.opts.Scheme+"://"+address, connect.WithReadMaxBytes(maxExchangeBytes), uncompressed)
	resp, err := client.Exchange(ctx, connect.NewRequest(&egretv1.ExchangeRequest{
		Peer: d.opts.Self.Name, Revision: m.stamp, Manifest: m.manifest, Ancestors: m.ancestors, Deltas: m.deltas,
		ConfirmedAgeMillis: m.confirmedAge,
	}))
	if err != nil {
		return nil, trace.Wrap(err, "exchange configuration with %s", address)
	}
	r := resp.Msg
	err = d.receive(message{r.Revision, r.Manifest, r.Ancestors, r.Deltas, r.ConfirmedAgeMillis})
	return r.Revision, trace.Wrap(err, "apply configuration received from %s", address)
}

// startExchange exchanges in the background. It does nothing if maxExchanges are in flight.
func (d *Distributor) startExchange(ctx context.Context, address string, push bool) {
	select {
	case d.exchangeSlots <- struct{}{}:
	default:
		return
	}
	d.running.Go(func() {
		defer func() { <-d.exchangeSlots }()
		d.recordResult(address, d.exchange(ctx, address, push))
	})
}

// recordResult reports the outcome of an exchange to the planner.
func (d *Distributor) recordResult(address string, err error) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if err != nil {
		d.metrics.failures.Inc(1)
		d.planner.RecordFailure(time.Now(), address)
		return
	}
	d.planner.RecordSuccess(address)
}

// runExchanges starts the periodic anti-entropy exchanges, the pushes of accepted revisions and the exchanges that
// observed stamps call for.
func (d *Distributor) runExchanges(ctx context.Context) error {
	period := d.planner.Options().Period
	// The random phase desynchronizes processes that started together.
	if err := sleep.For(ctx, d.jitter(period)); err != nil {
		return err
	}
	tick := time.NewTicker(period)
	defer tick.Stop()
	for {
		d.refreshPeers()
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-tick.C:
			if p, ok := d.nextPartner(); ok {
				d.startExchange(ctx, p.Address, false)
			}
		case <-d.acceptSignal:
			for _, p := range d.pushPeers() {
				d.startExchange(ctx, p.Address, true)
			}
		case address := <-d.exchangeRequests:
			d.startExchange(ctx, address, false)
		}
	}
}

// nextPartner returns the peer of the next periodic exchange, or false if there is none.
func (d *Distributor) nextPartner() (plan.Peer, bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.planner.NextPartner(time.Now(), d.opts.Rand)
}

// pushPeers returns the peers to push an accepted revision to.
func (d *Distributor) pushPeers() []plan.Peer {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.planner.PushPeers(time.Now(), d.opts.Rand)
}

// jitter returns a random duration in [0, limit).
func (d *Distributor) jitter(limit time.Duration) time.Duration {
	d.mu.Lock()
	defer d.mu.Unlock()
	return jitter(d.opts.Rand, limit)
}

// jitter returns a random duration in [0, limit); limits below 1 ns count as 1 ns.
func jitter(rng *rand.Rand, limit time.Duration) time.Duration {
	return time.Duration(rng.Int64N(int64(max(limit, 1))))
}
