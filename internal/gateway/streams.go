package gateway

import (
	"context"
	"errors"
	"math/rand/v2"
	"net"
	"sync"
	"time"

	"github.com/uber-go/tally/v4"
	"k8s.io/klog/v2"

	"github.com/egrethoist/egrethoist/internal/metastore"
	"github.com/egrethoist/egrethoist/internal/sleep"
	"github.com/egrethoist/egrethoist/internal/streampin"
)

const (
	// peerQueryDelay is how long the store may take to tell a stream's version before other instances are asked what they remember.
	peerQueryDelay = 200 * time.Millisecond
	// peerQueryTimeout is how long other instances may take: one of them may read the store for it.
	peerQueryTimeout = 400 * time.Millisecond
	// peerQueryResend is after how long a query is sent again, since datagrams are lost occasionally.
	peerQueryResend = 40 * time.Millisecond
	// resolveTimeout is how long a request waits until the version of its stream is known: longer than a short outage, and shorter than
	// callers wait for the next event. A refusal would cost the caller one of its few attempts.
	resolveTimeout    = time.Second
	resolveRetryDelay = 100 * time.Millisecond
	// awaitPeriod is the time between two questions whether an instance has the metadata of a revision.
	awaitPeriod = 50 * time.Millisecond
	// maxPeersAsked bounds the instances that are asked about a stream.
	maxPeersAsked = 64
	// peersReadingStore is the number of them that read the store for it, if this instance cannot.
	peersReadingStore = 1
	// maxPeerReads bounds the reads of the store that are in progress for other instances.
	maxPeerReads = 64
	// unknownStreamRetry is the Retry-After of a request that resumes a stream of unknown version: about the time until the store is
	// reached again after a short outage.
	unknownStreamRetry = 500 * time.Millisecond
	// maxStreamVersions bounds the software versions that have metrics of their own.
	maxStreamVersions = 64
)

// errUnknownStream is returned for a request that resumes a stream if the software version that began the stream cannot be found out.
var errUnknownStream = errors.New("the software version that began the stream is unknown")

// streamService knows at which software versions streams began. It is safe for concurrent use.
type streamService struct {
	state    *State
	store    metastore.Store // nil: there is none
	pins     *streampin.Pins
	recorder *streamRecorder // nil without a store

	mu        sync.Mutex
	conn      net.PacketConn // nil until the Gossip listens
	pending   map[uint64]chan streampin.Reply
	awaiting  map[uint64]chan string // instances that have reached the metadata asked for, by nonce
	peerReads int

	metrics streamMetrics
}

func newStreamService(s *State, store metastore.Store, m tally.Scope) *streamService {
	if m == nil {
		m = tally.NoopScope
	}
	out := &streamService{state: s, store: store, pins: streampin.NewPins(), pending: map[uint64]chan streampin.Reply{}, awaiting: map[uint64]chan string{}, metrics: newStreamMetrics(m)}
	if store != nil {
		out.recorder = newStreamRecorder(store, &out.metrics)
	}
	return out
}

// streamMetrics holds the metrics of streams that may be resumed, by software version where that is known.
type streamMetrics struct {
	scope                      tally.Scope
	unknown                    tally.Counter // requests refused because the version of their stream is unknown
	storeReads, peerQueries    tally.Counter // to find out the version of a stream
	records, recordFailures    tally.Counter
	recordTime, resolutionTime tally.Histogram

	mu        sync.Mutex
	byVersion map[string]*versionMetrics
}

// versionMetrics are those of one software version.
type versionMetrics struct {
	begun         tally.Counter // streams begun
	resumed       tally.Counter // streams that went on for a new request
	withoutTarget tally.Counter // requests to resume a stream that found no target of its version
}

func newStreamMetrics(s tally.Scope) streamMetrics {
	return streamMetrics{
		scope: s, unknown: s.Counter("streams_of_unknown_software"), storeReads: s.Counter("stream_record_reads"), peerQueries: s.Counter("stream_peer_queries"),
		records: s.Counter("stream_records_written"), recordFailures: s.Counter("stream_record_failures"),
		recordTime: s.Histogram("stream_record_seconds", latencyBuckets), resolutionTime: s.Histogram("stream_resolution_seconds", latencyBuckets),
		byVersion: map[string]*versionMetrics{},
	}
}

// of returns the metrics of a software version.
func (m *streamMetrics) of(software string) *versionMetrics {
	m.mu.Lock()
	defer m.mu.Unlock()
	if _, known := m.byVersion[software]; !known && len(m.byVersion) >= maxStreamVersions {
		software = "other"
	}
	if m.byVersion[software] == nil {
		s := m.scope.Tagged(map[string]string{"software": software})
		m.byVersion[software] = &versionMetrics{begun: s.Counter("streams_begun"), resumed: s.Counter("streams_went_on"), withoutTarget: s.Counter("streams_without_target")}
	}
	return m.byVersion[software]
}

// setConn sets the connection on which messages are sent.
func (s *streamService) setConn(conn net.PacketConn) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.conn = conn
}

// canRecord reports whether records of streams can be written now, as far as is known.
func (s *streamService) canRecord() bool {
	age := s.state.metadataAge()
	return s.recorder != nil && age >= 0 && age <= MaxMetadataAge && s.recorder.isHealthy(time.Now())
}

// streamSource says how the version of a stream became known.
type streamSource string

// Sources of a stream's version.
const (
	sourceMemory   streamSource = "memory"
	sourceBaseline streamSource = "baseline" // the service has had one version
	sourceStore    streamSource = "store"
	sourcePeer     streamSource = "peer"
	sourceNone     streamSource = "none"
)

// resolve returns the version that began a stream, and how it is known. sv is the service of the request that resumes it. It returns
// errUnknownStream if the version cannot be found out in resolveTimeout, and the context's error if that ends first.
func (s *streamService) resolve(ctx context.Context, id string, sv *streampin.Service) (streampin.Version, streamSource, error) {
	if v, ok := s.pins.Get(id, time.Now()); ok {
		return v, sourceMemory, nil
	}
	if v, ok := s.knownWithoutStore(sv); ok {
		return v, sourceBaseline, nil
	}
	started := time.Now()
	defer func() { s.metrics.resolutionTime.RecordDuration(time.Since(started)) }()
	for storeFailed := false; ; {
		f := s.ask(ctx, id, sv, storeFailed)
		storeFailed = !f.final
		switch {
		case f.known:
			return f.version, f.source, nil
		case ctx.Err() != nil:
			return streampin.Version{}, sourceNone, ctx.Err()
		case f.final, time.Since(started) >= resolveTimeout:
			return streampin.Version{}, sourceNone, errUnknownStream
		}
		_ = sleep.For(ctx, resolveRetryDelay) // the loop checks ctx
	}
}

// knownWithoutStore returns the version of all streams of a service, if there can be only one.
func (s *streamService) knownWithoutStore(sv *streampin.Service) (streampin.Version, bool) {
	v := s.state.current.Load()
	return sv.KnownWithoutStore(v != nil && v.registered, s.state.metadataAge(), s.storeEra(sv))
}

// storeEra returns the newest era of the metadata store that any answer had, that of a service's policy if there is no store.
func (s *streamService) storeEra(sv *streampin.Service) uint64 {
	if s.store == nil {
		return sv.Era
	}
	return s.store.Era()
}

// ask reads the record of a stream from the store, and asks other instances if the store fails or is slow. They read the store as well if this
// instance has failed to.
func (s *streamService) ask(ctx context.Context, id string, sv *streampin.Service, storeFailed bool) finding {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	fromStore, fromPeers := make(chan finding, 1), make(chan finding, 1)
	go func() { fromStore <- s.readStore(ctx, id, sv) }()
	delay := time.NewTimer(peerQueryDelay)
	defer delay.Stop()
	peersAsked, storeRead, final := false, false, false
	for outstanding := 1; outstanding > 0; {
		select {
		case f := <-fromStore:
			if f.known {
				return f
			}
			outstanding, storeRead, final = outstanding-1, true, f.final
		case f := <-fromPeers:
			if f.known {
				return f
			}
			outstanding--
		case <-delay.C:
		case <-ctx.Done():
			return finding{}
		}
		if !peersAsked {
			peersAsked = true
			outstanding++
			readStore := storeFailed || storeRead && !final
			go func() { fromPeers <- s.askPeers(ctx, id, sv.Name, readStore) }()
		}
	}
	return finding{final: final}
}

// finding is what the store or the other instances tell of a stream.
type finding struct {
	version streampin.Version
	source  streamSource
	known   bool
	final   bool // the store has been read and cannot tell the version
}

// readStore reads the record of a stream from the metadata store.
func (s *streamService) readStore(ctx context.Context, id string, sv *streampin.Service) finding {
	if s.store == nil {
		return finding{final: true}
	}
	s.metrics.storeReads.Inc(1)
	item, found, err := s.store.Get(ctx, streamKey(id))
	if err != nil {
		klog.V(1).InfoS("record of a stream not read", "stream", id, "err", err.Error())
		return finding{}
	}
	var record streampin.Version
	if found {
		if record, err = streampin.ParseVersion(item.Value); err != nil {
			klog.ErrorS(err, "invalid record of a stream", "key", item.Key)
			return finding{final: true}
		}
	}
	era := s.storeEra(sv) // not older than the answer
	v, known := sv.KnownFromStore(record, found, era)
	return finding{version: v, source: sourceStore, known: known, final: known || era == sv.Era}
}

// askPeers asks other instances about a stream; with readStore one of them reads the store for it. The result is not known if none knows the
// stream, or they do not answer in time.
func (s *streamService) askPeers(ctx context.Context, id, service string, readStore bool) finding {
	peers := s.state.PeerAddresses()
	rand.Shuffle(len(peers), func(i, j int) { peers[i], peers[j] = peers[j], peers[i] })
	peers = peers[:min(len(peers), maxPeersAsked)]
	replies := make(chan streampin.Reply, 2*len(peers))
	nonce := rand.Uint64()
	s.mu.Lock()
	conn := s.conn
	s.pending[nonce] = replies
	s.mu.Unlock()
	defer func() {
		s.mu.Lock()
		delete(s.pending, nonce)
		s.mu.Unlock()
	}()
	if conn == nil || len(peers) == 0 {
		return finding{}
	}
	s.metrics.peerQueries.Inc(1)
	query := func(readers int) {
		for i, peer := range peers {
			s.send(conn, peer, streampin.Message{Nonce: nonce, Query: &streampin.Query{ID: id, Service: service, ReadStore: i < readers}})
		}
	}
	if readStore {
		query(peersReadingStore)
	} else {
		query(0)
	}
	timeout, resend := time.NewTimer(peerQueryTimeout), time.NewTimer(peerQueryResend)
	defer timeout.Stop()
	defer resend.Stop()
	for {
		select {
		case reply := <-replies:
			if reply.Known {
				return finding{version: reply.Version, source: sourcePeer, known: true}
			}
		case <-resend.C:
			query(0)
		case <-timeout.C:
			return finding{}
		case <-ctx.Done():
			return finding{}
		}
	}
}

// send sends a message to another instance. A lost one ends in a timeout.
func (s *streamService) send(conn net.PacketConn, peer string, m streampin.Message) {
	address, err := net.ResolveUDPAddr("udp4", peer)
	if err != nil {
		return // the instance's record has no valid address
	}
	raw, err := m.Encode()
	if err != nil {
		klog.ErrorS(err, "cannot encode a message about a stream")
		return
	}
	_, _ = conn.WriteTo(raw, address)
}

// handleDatagram processes a datagram. It returns false if it is not one of this service.
func (s *streamService) handleDatagram(b []byte, from net.Addr) bool {
	if !streampin.IsMessage(b) {
		return false
	}
	m, err := streampin.Parse(b)
	if err != nil {
		klog.V(1).InfoS("invalid message about a stream dropped", "from", from.String(), "err", err.Error())
		return true
	}
	switch {
	case m.Reply != nil:
		s.mu.Lock()
		defer s.mu.Unlock()
		select {
		case s.pending[m.Nonce] <- *m.Reply:
		default: // late, or more than were asked for
		}
		return true
	case m.Reached != nil:
		s.mu.Lock()
		defer s.mu.Unlock()
		select {
		case s.awaiting[m.Nonce] <- m.Reached.Instance:
		default: // late, or repeated
		}
		return true
	case m.Await != nil:
		if current := s.state.current.Load(); current != nil && current.metadataRevision >= m.Await.Revision {
			s.answer(from, streampin.Message{Nonce: m.Nonce, Reached: &streampin.Reached{Instance: s.state.opts.Self}})
		}
		return true
	}
	v, ok := s.pins.Get(m.Query.ID, time.Now())
	if ok || !m.Query.ReadStore {
		s.reply(m.Nonce, from, streampin.Reply{Known: ok, Version: v})
		return true
	}
	s.readForPeer(m, from)
	return true
}

// reply answers a query of another instance.
func (s *streamService) reply(nonce uint64, to net.Addr, r streampin.Reply) {
	s.answer(to, streampin.Message{Nonce: nonce, Reply: &r})
}

func (s *streamService) answer(to net.Addr, m streampin.Message) {
	s.mu.Lock()
	conn := s.conn
	s.mu.Unlock()
	if conn != nil {
		s.send(conn, to.String(), m)
	}
}

// awaitAll returns true once all live instances have the metadata of a revision, false if they do not in time.
func (s *streamService) awaitAll(ctx context.Context, revision uint64, timeout time.Duration) bool {
	nonce := rand.Uint64()
	reached := make(chan string, 1024)
	s.mu.Lock()
	conn := s.conn
	s.awaiting[nonce] = reached
	s.mu.Unlock()
	defer func() {
		s.mu.Lock()
		delete(s.awaiting, nonce)
		s.mu.Unlock()
	}()
	confirmed := map[string]bool{}
	for giveUp := time.Now().Add(timeout); conn != nil && time.Now().Before(giveUp); {
		// The list of instances must be as new as the revision: one that registers later has that metadata.
		if missing, known := s.missingInstances(revision, confirmed); known {
			if len(missing) == 0 {
				return true
			}
			for _, peer := range missing {
				s.send(conn, peer, streampin.Message{Nonce: nonce, Await: &streampin.Await{Revision: revision}})
			}
		}
		if sleep.For(ctx, awaitPeriod) != nil {
			return false
		}
		for len(reached) > 0 {
			confirmed[<-reached] = true
		}
	}
	return false
}

// missingInstances returns the addresses of the other live instances that are not confirmed. It returns false if this instance does not have
// the metadata of the revision itself, or if an instance may not know yet that it no longer counts as live.
func (s *streamService) missingInstances(revision uint64, confirmed map[string]bool) ([]string, bool) {
	s.state.mu.Lock()
	defer s.state.mu.Unlock()
	if s.state.metadataRevision < revision || time.Since(s.state.instanceLostAt) < streampin.MaxTrustedAge {
		return nil, false
	}
	var missing []string
	for name, in := range s.state.instances {
		if name != s.state.opts.Self && !confirmed[name] {
			missing = append(missing, in.Address)
		}
	}
	return missing, true
}

// readForPeer reads the store for another instance and answers it.
func (s *streamService) readForPeer(m *streampin.Message, from net.Addr) {
	sv := s.state.softwareOf(m.Query.Service)
	s.mu.Lock()
	busy := s.peerReads >= maxPeerReads
	if !busy && sv != nil {
		s.peerReads++
	}
	s.mu.Unlock()
	if busy || sv == nil {
		s.reply(m.Nonce, from, streampin.Reply{})
		return
	}
	go func() {
		defer func() {
			s.mu.Lock()
			s.peerReads--
			s.mu.Unlock()
		}()
		ctx, cancel := context.WithTimeout(context.Background(), peerQueryTimeout)
		defer cancel()
		f := s.readStore(ctx, m.Query.ID, sv)
		s.reply(m.Nonce, from, streampin.Reply{Known: f.known, Version: f.version})
	}()
}
