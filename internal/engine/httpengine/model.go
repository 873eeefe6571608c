package httpengine

import (
	"context"
	"encoding/hex"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"time"

	"lukechampine.com/blake3"

	"github.com/egrethoist/egrethoist/internal/engine"
	"github.com/egrethoist/egrethoist/internal/engine/wire"
	"github.com/egrethoist/egrethoist/internal/jsonreply"
)

// maxBlock bounds the size of an exported block in bytes.
const maxBlock = 256 << 20

// maxReply bounds the size of a report or a list in bytes.
const maxReply = 64 << 20

// ErrFenced says that the engine refused an order with an old fencing number.
var ErrFenced = errors.New("old fencing number")

// StatusError is an answer of the engine with an unexpected status.
type StatusError struct {
	Peer   string
	Path   string
	Status int
}

func (e *StatusError) Error() string {
	return fmt.Sprintf("%s at %s answered status %d", e.Path, e.Peer, e.Status)
}

// Model is a model server; it implements engine.Model.
type Model struct {
	*Target
	check *Model // asks on a new connection each time
}

// NewModel returns a model server. No connection is made before the first call.
func NewModel(opts Options) *Model {
	return &Model{Target: New(opts), check: &Model{Target: newTarget(opts, true)}}
}

// Do starts a completion. The engine is asked for a stream, whatever the caller asked for, so that a run shows its
// progress and can be resumed; only a caller who passes JSON on and asks for a whole answer that may hold more than
// text gets it as the engine gives it. The pieces of a stream are text; those of an answer that is not a stream are raw
// bytes.
func (m *Model) Do(ctx context.Context, call engine.Call) (engine.Answer, error) {
	if call.Method == http.MethodPost {
		body, err := extendBody(call)
		if err != nil {
			return nil, &engine.NotSentError{Peer: m.opts.Address, Err: err}
		}
		call.Body = body
	}
	ctx, stall := context.WithCancel(ctx)
	watch := m.watch(stall)
	resp, cancel, err := m.send(ctx, call)
	if err != nil {
		watch.stop()
		stall()
		return nil, watch.explain(err)
	}
	end := func() {
		watch.stop()
		cancel()
		stall()
	}
	if streamed(resp) {
		return newStreamAnswer(resp, end, watch, call.ResumeOffset), nil
	}
	watch.stop()
	if refused(resp) {
		defer end()
		defer resp.Body.Close()
		return nil, &engine.NotSentError{Peer: m.opts.Address, Err: refusal(resp, call.Path, m.opts.Address)}
	}
	return newRawAnswer(resp, end), nil
}

// refused reports whether the engine said that it did not run the call, for a reason that another target or a
// later time may not have. A wrong request is an answer.
func refused(resp *http.Response) bool {
	switch resp.StatusCode {
	case http.StatusServiceUnavailable, http.StatusTooManyRequests, http.StatusConflict:
		return resp.Header.Get(wire.HeaderNotRun) == "true"
	}
	return false
}

func refusal(resp *http.Response, path, peer string) error {
	_, _ = io.Copy(io.Discard, io.LimitReader(resp.Body, rawPiece))
	return &StatusError{Peer: peer, Path: path, Status: resp.StatusCode}
}

func streamed(resp *http.Response) bool {
	return wire.StreamsTokens(resp.StatusCode, resp.Header.Get("Content-Type"))
}

// extendBody adds this system's fields to the caller's body and keeps all others as they are.
func extendBody(call engine.Call) ([]byte, error) {
	fields := map[string]json.RawMessage{}
	if err := json.Unmarshal(call.Body, &fields); err != nil {
		return nil, fmt.Errorf("body of a completion: %w", err)
	}
	fields["stream"] = wire.Encode(call.Stream || textOnly(fields))
	fields["priority"] = wire.Encode(call.Priority)
	fields["cache_salt"] = wire.Encode(call.CacheSalt)
	fields["weight_version"] = wire.Encode(call.Version)
	fields["resume_from"] = wire.Encode(call.ResumeOffset)
	return wire.Encode(fields), nil
}

// textMembers are the members of a request whose answer is text only.
var textMembers = map[string]bool{
	"model": true, "prompt": true, "messages": true, "max_tokens": true, "max_completion_tokens": true, "stream": true,
	"temperature": true, "top_p": true, "top_k": true, "min_p": true, "seed": true, "stop": true, "user": true,
	"presence_penalty": true, "frequency_penalty": true, "repetition_penalty": true, "logit_bias": true,
	"response_format": true, "suffix": true, "metadata": true, "priority": true, "cache_salt": true,
}

// textOnly reports whether the answer to a request is text and nothing else.
func textOnly(fields map[string]json.RawMessage) bool {
	for name, value := range fields {
		if !textMembers[name] && string(value) != "null" {
			return false
		}
	}
	return true
}

// Load returns the engine's load report.
func (m *Model) Load(ctx context.Context) (engine.LoadReport, error) {
	var report engine.LoadReport
	err := m.get(ctx, wire.PathLoad, &report, "Incarnation", "Running", "Waiting")
	return report, err
}

// CacheEvents returns the events from a sequence number on; it waits when there are none.
func (m *Model) CacheEvents(ctx context.Context, after uint64, wait time.Duration) (engine.CacheEvents, error) {
	path := wire.PathCacheEvents + "?after=" + strconv.FormatUint(after, 10) +
		"&wait_ms=" + strconv.FormatInt(wait.Milliseconds(), 10)
	var page engine.CacheEvents
	err := m.get(ctx, path, &page, "Incarnation", "First", "Next") // Events is null in a page without events
	return page, err
}

// CacheBlocks lists the whole prefix cache.
func (m *Model) CacheBlocks(ctx context.Context) (engine.CacheEvents, error) {
	var page engine.CacheEvents
	err := m.get(ctx, wire.PathCacheBlocks, &page, "Incarnation", "Next")
	return page, err
}

// Give sends an order. ErrFenced says that a newer order was given before.
func (m *Model) Give(ctx context.Context, order engine.Order) error {
	resp, err := m.roundTrip(ctx, engine.Call{
		Method: http.MethodPost,
		Path:   wire.PathOrders,
		Body:   wire.Encode(wire.Order(order)),
	}, maxReply)
	if err != nil {
		return err
	}
	switch resp.status {
	case http.StatusOK, http.StatusAccepted:
		return nil
	case http.StatusConflict:
		return ErrFenced
	default:
		return &StatusError{Peer: m.opts.Address, Path: wire.PathOrders, Status: resp.status}
	}
}

// ExportBlock reads one block and checks its sum.
func (m *Model) ExportBlock(ctx context.Context, digest string) (engine.Block, error) {
	path := wire.PathCacheBlocks + "/" + digest
	resp, err := m.roundTrip(ctx, engine.Call{Method: http.MethodGet, Path: path}, maxBlock)
	if err != nil {
		return engine.Block{}, err
	}
	if resp.status != http.StatusOK {
		return engine.Block{}, &StatusError{Peer: m.opts.Address, Path: path, Status: resp.status}
	}
	block := engine.Block{
		Digest:  digest,
		Version: resp.header.Get(wire.HeaderBlockVersion),
		Salt:    resp.header.Get(wire.HeaderBlockSalt),
		Data:    resp.body,
		Sum:     blake3.Sum256(resp.body),
	}
	if hex.EncodeToString(block.Sum[:]) != resp.header.Get(wire.HeaderBlockSum) {
		return engine.Block{}, fmt.Errorf("block %s from %s: wrong sum", digest, m.opts.Address)
	}
	return block, nil
}

// ImportBlock hands one block to the engine, which refuses a partly written one.
func (m *Model) ImportBlock(ctx context.Context, block engine.Block) error {
	path := wire.PathCacheBlocks + "/" + block.Digest
	header := http.Header{}
	header.Set(wire.HeaderBlockSum, hex.EncodeToString(block.Sum[:]))
	header.Set(wire.HeaderBlockVersion, block.Version)
	header.Set(wire.HeaderBlockSalt, block.Salt)
	resp, err := m.roundTrip(ctx, engine.Call{Method: http.MethodPut, Path: path, Header: header, Body: block.Data}, maxReply)
	if err != nil {
		return err
	}
	if resp.status != http.StatusOK {
		return &StatusError{Peer: m.opts.Address, Path: path, Status: resp.status}
	}
	return nil
}

// wholeReply is a short answer read to its end.
type wholeReply struct {
	status int
	header http.Header
	body   []byte
}

// roundTrip reads an answer of at most limit bytes.
func (m *Model) roundTrip(ctx context.Context, call engine.Call, limit int64) (wholeReply, error) {
	resp, cancel, err := m.send(ctx, call)
	if err != nil {
		return wholeReply{}, err
	}
	defer cancel()
	defer resp.Body.Close()
	body, err := jsonreply.Read(resp, limit)
	if err != nil {
		return wholeReply{}, fmt.Errorf("answer to %s from %s: %w", call.Path, m.opts.Address, err)
	}
	return wholeReply{status: resp.StatusCode, header: resp.Header, body: body}, nil
}

// get decodes the answer to a GET, which must have the required fields.
func (m *Model) get(ctx context.Context, path string, into any, required ...string) error {
	resp, err := m.roundTrip(ctx, engine.Call{Method: http.MethodGet, Path: path}, maxReply)
	if err != nil {
		return err
	}
	if resp.status != http.StatusOK {
		return &StatusError{Peer: m.opts.Address, Path: path, Status: resp.status}
	}
	if err := jsonreply.Decode(resp.body, into, required...); err != nil {
		return fmt.Errorf("answer to %s from %s: %w", path, m.opts.Address, err)
	}
	return nil
}

var _ engine.Model = (*Model)(nil)
