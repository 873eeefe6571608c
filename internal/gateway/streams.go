package gateway

import (
	"context"
	"errors"
	"math/rand/v2"
	"net"
	"slices"
	"sync"
	"time"

	"github.com/uber-go/tally/v4"
	"k8s.io/klog/v2"

	"github.com/egrethoist/egrethoist/internal/catalog"
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
	begun    tally.Counter // streams begun
	resumed  tally.Counter // streams that went on for a new request
	homeless tally.Counter // requests to resume a stream that found no target of its version
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
		m.byVersion[software] = &versionMetrics{begun: s.Counter("streams_begun"), resumed: s.Counter("streams_went_on"), homeless: s.Counter("streams_without_target")}
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
	return sv.KnownWithoutStore(v != nil && v.registered, s.state.metadataAge())
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
	v, known := sv.KnownFromStore(record, found)
	return finding{version: v, source: sourceStore, known: known, final: true}
}

// askPeers asks other instances about a stream. With readStore some of them read the store for it. The result is not known if none knows the stream, or they do not answer in time.
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

// softwareOf returns what is known of a service's software versions, nil if nothing is.
func (s *State) softwareOf(service string) *streampin.Service {
	v := s.current.Load()
	if v == nil || v.services[service] == nil {
		return nil
	}
	return v.services[service].software
}

// softwareState is what State keeps of the software versions of services. It is guarded by State.mu.
type softwareState struct {
	tracker   *streampin.Tracker
	policies  map[string]metastore.Item    // records by service
	lifetimes map[string]time.Duration     // of streams, by service with streams that may be resumed
	catalog   *catalog.Catalog             // by which lifetimes was computed
	logged    map[string]streampin.Service // state that was logged last, by service
}

func newSoftwareState() softwareState {
	return softwareState{tracker: streampin.NewTracker(), policies: map[string]metastore.Item{}, lifetimes: map[string]time.Duration{}, logged: map[string]streampin.Service{}}
}

// restore applies the policies in the metadata store, by service, and the versions whose announcements are held, by service.
func (s *softwareState) restore(items map[string]metastore.Item, held map[string][]string, now time.Time) {
	for service := range s.policies {
		if _, present := items[service]; !present {
			delete(s.policies, service)
			s.tracker.SetPolicy(service, streampin.Policy{}, nil, now)
		}
	}
	for service, item := range items {
		p, err := streampin.ParsePolicy(item.Value)
		if err != nil && s.policies[service].Revision != item.Revision {
			klog.ErrorS(err, "invalid record of software versions ignored", "key", item.Key)
		}
		s.policies[service] = item
		s.tracker.SetPolicy(service, p, held[service], now)
	}
}

// update applies the versions of the known targets, by service.
func (s *softwareState) update(c *catalog.Catalog, versions map[string][]string, now time.Time) {
	if s.catalog != c {
		s.catalog, s.lifetimes = c, streamLifetimes(c)
	}
	for service, lifetime := range s.lifetimes {
		s.tracker.Observe(service, versions[service], lifetime, now)
		known := s.tracker.Service(service, now)
		if !known.Equal(s.logged[service]) {
			s.logged[service] = known
			klog.InfoS("software versions of a service", "service", service, "baseline", known.Baseline, "announced", known.Announced, "open", known.Open, "present", known.Present)
		}
	}
}

// streamLifetimes returns the lifetime of streams by service, for the services with streams that may be resumed.
func streamLifetimes(c *catalog.Catalog) map[string]time.Duration {
	out := map[string]time.Duration{}
	for _, route := range c.Routes() {
		if route.Kind != catalog.KindStreaming || !route.Resumable {
			continue
		}
		for _, share := range route.Shares {
			out[share.Service] = max(out[share.Service], streampin.Lifetime(route.Timeout))
		}
	}
	return out
}

// software returns the state of a service whose streams may be resumed, nil for any other.
func (s *softwareState) software(service string, now time.Time) *streampin.Service {
	if _, ok := s.lifetimes[service]; !ok {
		return nil
	}
	known := s.tracker.Service(service, now)
	return &known
}

// policyChange is a due change of the record of a service.
type policyChange struct {
	service  string
	revision uint64 // that the record must have, zero if it must not exist
	policy   streampin.Policy
	added    []string // versions that it announces
}

// duePolicies returns the policies to write now.
func (s *State) duePolicies(now time.Time) []policyChange {
	age := s.metadataAge()
	s.mu.Lock()
	defer s.mu.Unlock()
	if age < 0 || age > MaxMetadataAge {
		s.software.tracker.Interrupt(now)
		return nil
	}
	var due []policyChange
	for service := range s.software.lifetimes {
		if next, ok := s.software.tracker.NextPolicy(service, s.opts.FirstStart, now); ok {
			added := next.Added(s.software.tracker.Service(service, now).Policy)
			due = append(due, policyChange{service: service, revision: s.software.policies[service].Revision, policy: next, added: added})
		}
	}
	return due
}

// mayBeResumed reports whether the request's answer is a stream that a later request may resume.
func (rq *request) mayBeResumed() bool {
	return rq.route.Kind == catalog.KindStreaming && rq.route.Resumable && rq.service.software != nil
}

// streamID returns the ID of the request's stream: that of the caller's attempt that received its first event, empty if unknown.
func (rq *request) streamID() string {
	if rq.call.LastEventID > 0 {
		return rq.call.Resumes
	}
	return rq.call.ID
}

// pinStream finds out at which software version the request must run, if it resumes a stream. It returns errUnknownStream if that is
// unknown, and the context's error if the request has ended.
func (rq *request) pinStream() error {
	if rq.pinned != "" || rq.call.LastEventID == 0 || !rq.mayBeResumed() {
		return nil
	}
	streams := rq.gateway.opts.State.streams
	v, source, err := streampin.Version{}, sourceNone, errUnknownStream
	if id := rq.streamID(); id != "" {
		v, source, err = streams.resolve(rq.ctx, id, rq.service.software)
	} else if known, ok := streams.knownWithoutStore(rq.service.software); ok {
		v, source, err = known, sourceBaseline, nil
	}
	rq.pinSource = source
	if err == nil && v.Service != rq.service.Name {
		err = rq.switchService(v.Service)
	}
	if err != nil {
		if errors.Is(err, errUnknownStream) {
			streams.metrics.unknown.Inc(1)
		}
		return err
	}
	rq.pinned = v.Software
	if id := rq.streamID(); id != "" && source != sourceBaseline {
		streams.pins.Set(id, v, time.Now(), rq.service.streamLifetime) // the caller may come back
	}
	return nil
}

// switchService makes the request run at the service that began its stream. It returns errUnknownStream if the route no longer leads there.
func (rq *request) switchService(name string) error {
	sv := rq.view.services[name]
	if sv == nil || sv.software == nil || !slices.ContainsFunc(rq.route.Shares, func(share catalog.Share) bool { return share.Service == name }) {
		return errUnknownStream
	}
	rq.service, rq.pinnedService, rq.prefix = sv, name, nil
	return nil
}

// allowedSoftware returns the software versions at which the request may run, nil for all.
func (rq *request) allowedSoftware() []string {
	switch {
	case rq.pinned != "":
		return []string{rq.pinned}
	case !rq.mayBeResumed():
		return nil
	}
	return rq.service.beginAt(rq.gateway.opts.State.streams.canRecord())
}

// recordBegin starts to record the stream that the request is about to begin at a target, if it needs a record. From then on the request
// must run at that version, since the record may be written even if that is not confirmed.
func (rq *request) recordBegin(t *target) {
	if rq.pinned != "" || !rq.mayBeResumed() || !streampin.ValidID(rq.call.ID) {
		return
	}
	streams := rq.gateway.opts.State.streams
	rule := rq.service.software.RecordRuleFor(t.software, streams.canRecord())
	if rule == streampin.NoRecord || streams.recorder == nil {
		return
	}
	rq.pinned = t.software
	record := streams.recorder.add(rq.call.ID, streampin.Version{Service: rq.service.Name, Software: t.software}, rq.service.streamLifetime)
	if rule == streampin.RecordFirst {
		rq.record = record
	}
}

// beginEvents must be called before an event of a target is sent to the caller. At the first one it waits for the record of the stream, if
// there is one, and binds the request to the target's software version. It returns an error if the stream cannot be recorded.
func (rq *request) beginEvents(t *target) error {
	if rq.eventsBegun {
		return nil
	}
	if rq.record != nil {
		if err := rq.record.wait(rq.ctx); err != nil {
			return err
		}
	}
	rq.eventsBegun = true
	if !rq.mayBeResumed() {
		return nil
	}
	rq.pinned = t.software
	streams := rq.gateway.opts.State.streams
	counters := streams.metrics.of(t.software)
	if rq.call.LastEventID > 0 {
		counters.resumed.Inc(1)
	} else {
		counters.begun.Inc(1)
	}
	if id := rq.streamID(); streampin.ValidID(id) {
		streams.pins.Set(id, streampin.Version{Service: rq.service.Name, Software: t.software}, time.Now(), rq.service.streamLifetime)
	}
	return nil
}
