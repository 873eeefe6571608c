package httpengine

import (
	"bufio"
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"time"

	"github.com/egrethoist/egrethoist/internal/engine"
	"github.com/egrethoist/egrethoist/internal/engine/wire"
	"github.com/egrethoist/egrethoist/internal/tcp"
)

// ErrUndelimited says that an answer had neither a length nor chunks, so that its end can't be told from a cut.
var ErrUndelimited = errors.New("answer without a length or chunks")

// ErrTruncated says that a stream closed without its end mark.
var ErrTruncated = errors.New("stream truncated")

// ErrGivenUp says that a stream has an error event, which is no part of a completion whatever follows it.
var ErrGivenUp = errors.New("engine gave the run up")

// errLongEvent says that an event of a stream is longer than maxEvent.
var errLongEvent = errors.New("event of a stream is too long")

var errTrailing = errors.New("more than one JSON value")

// rawPiece is the largest piece of a raw answer in bytes.
const rawPiece = 32 << 10

// maxEvent bounds one event of a stream in bytes.
const maxEvent = 16 << 20

// drainTimeout bounds the wait for the end of a body behind its end mark.
const drainTimeout = time.Second

// rawAnswer passes the bytes of an answer on.
type rawAnswer struct {
	resp   *http.Response
	cancel context.CancelFunc
	offset uint64
	last   error // given once the pieces have ended
	buf    []byte
}

func newRawAnswer(resp *http.Response, cancel context.CancelFunc) *rawAnswer {
	a := &rawAnswer{resp: resp, cancel: cancel, buf: make([]byte, rawPiece)}
	if !tcp.Framed(resp) {
		a.last = ErrUndelimited
	}
	return a
}

func (a *rawAnswer) Status() int         { return a.resp.StatusCode }
func (a *rawAnswer) Header() http.Header { return a.resp.Header }
func (a *rawAnswer) Usage() engine.Usage { return engine.Usage{} }

func (a *rawAnswer) Next() (engine.Piece, error) {
	if a.last != nil {
		return engine.Piece{}, a.last
	}
	n, err := a.resp.Body.Read(a.buf)
	if err != nil {
		a.last = err // io.EOF only after the stated length or the last chunk
	}
	if n == 0 {
		if a.last == nil {
			return a.Next()
		}
		return engine.Piece{}, a.last
	}
	piece := engine.Piece{Offset: a.offset, Count: uint32(n), Data: bytes.Clone(a.buf[:n])}
	a.offset += uint64(n)
	return piece, nil
}

func (a *rawAnswer) Close() error {
	// A body that is not read to its end makes the transport close the connection, which cancels the call.
	err := a.resp.Body.Close()
	a.cancel()
	return err
}

// streamAnswer reads the server-sent events of a model stream.
type streamAnswer struct {
	resp   *http.Response
	cancel context.CancelFunc
	lines  *bufio.Reader
	offset uint64 // tokens before the next piece
	usage  engine.Usage
	rich   bool          // an event held more than text
	held   *engine.Piece // read and not yet given
	last   error
	watch  *watchdog
}

func newStreamAnswer(resp *http.Response, cancel context.CancelFunc, watch *watchdog, offset uint64) *streamAnswer {
	return &streamAnswer{
		resp:   resp,
		cancel: cancel,
		lines:  bufio.NewReaderSize(resp.Body, sseBuffer),
		offset: offset,
		watch:  watch,
	}
}

func (a *streamAnswer) Status() int         { return a.resp.StatusCode }
func (a *streamAnswer) Header() http.Header { return a.resp.Header }
func (a *streamAnswer) Usage() engine.Usage { return a.usage }

// Next returns the tokens of the next event, joined with those of the events that have come whole by then: each piece
// is a message of its own from here to the caller. It never waits for more than the first. An event that holds more
// than text is a piece of its own.
func (a *streamAnswer) Next() (engine.Piece, error) {
	var joined engine.Piece
	for a.last == nil && (empty(joined) || joined.Event == nil && a.more()) {
		piece, err := a.take()
		if err != nil {
			a.last = err // given once the tokens before it are
			break
		}
		if empty(joined) {
			joined = piece
			continue
		}
		if piece.Event != nil {
			a.held = &piece
			break
		}
		joined.Count += piece.Count
		joined.Data = append(joined.Data, piece.Data...)
	}
	if !empty(joined) {
		return joined, nil
	}
	return engine.Piece{}, a.last
}

func empty(p engine.Piece) bool { return p.Count == 0 && p.Event == nil }

// more reports whether another piece is had without waiting.
func (a *streamAnswer) more() bool { return a.held == nil && a.wholeEventWaits() }

// take returns the piece that was held back, or else the next one.
func (a *streamAnswer) take() (engine.Piece, error) {
	if a.held == nil {
		return a.next()
	}
	piece := *a.held
	a.held = nil
	return piece, nil
}

// next returns the tokens of one event, which may be none, or io.EOF at the end mark.
func (a *streamAnswer) next() (engine.Piece, error) {
	data, err := a.event()
	if err != nil {
		return engine.Piece{}, a.watch.explain(err)
	}
	a.watch.progress.Add(1)
	if string(data) == wire.StreamDone {
		return engine.Piece{}, io.EOF
	}
	return a.piece(data)
}

// wholeEventWaits reports whether the next event, with data, has come whole, so that reading it waits for nothing. A
// comment that keeps the stream alive is none.
func (a *streamAnswer) wholeEventWaits() bool {
	waiting, _ := a.lines.Peek(a.lines.Buffered())
	event, _, whole := bytes.Cut(waiting, []byte("\n\n"))
	data, named := bytes.CutPrefix(event, []byte("data:"))
	return whole && named && len(bytes.TrimSpace(data)) > 0
}

// event returns the data of the next event.
func (a *streamAnswer) event() ([]byte, error) {
	var data []byte
	for {
		line, err := a.line(maxEvent - len(data))
		if errors.Is(err, errLongEvent) {
			return nil, err
		}
		if err != nil {
			// Without the end mark every end is a cut.
			return nil, fmt.Errorf("%w: %w", ErrTruncated, notEOF(err))
		}
		line = bytes.TrimRight(line, "\r\n")
		if rest, ok := bytes.CutPrefix(line, []byte("data:")); ok {
			data = append(data, bytes.TrimPrefix(rest, []byte(" "))...)
			continue
		}
		if len(line) == 0 && len(data) > 0 {
			return data, nil
		}
	}
}

// line returns the next line, which is valid until the next read.
func (a *streamAnswer) line(limit int) ([]byte, error) {
	var line []byte
	for {
		part, err := a.lines.ReadSlice('\n')
		if len(line)+len(part) > limit {
			return nil, errLongEvent
		}
		if line == nil && err == nil {
			return part, nil
		}
		line = append(line, part...)
		if !errors.Is(err, bufio.ErrBufferFull) {
			return line, err
		}
	}
}

// notEOF keeps io.EOF, which means a whole answer, out of the chain of a truncation.
func notEOF(err error) error {
	if errors.Is(err, io.EOF) {
		return io.ErrUnexpectedEOF
	}
	return err
}

// piece decodes one event. An event that repeats or skips tokens is an error: the answer can't be trusted.
func (a *streamAnswer) piece(data []byte) (engine.Piece, error) {
	e, err := decodeEvent(data)
	if err != nil {
		return engine.Piece{}, fmt.Errorf("event of a stream: %w", err)
	}
	if set(e.Error) {
		return engine.Piece{}, ErrGivenUp
	}
	a.account(e)
	text := e.text()
	if e.TokenCount == 0 && text != "" && !e.rich {
		return engine.Piece{}, errors.New("event with text and no token count")
	}
	if e.TokenCount > 0 && e.TokenOffset != a.offset {
		return engine.Piece{}, fmt.Errorf("event at token %d, want %d", e.TokenOffset, a.offset)
	}
	piece := engine.Piece{Offset: a.offset, Count: e.TokenCount, Data: []byte(text)}
	// Behind an event that holds more, the reason for the end is part of the events too: it may differ by choice.
	a.rich = a.rich || e.rich
	if e.rich || a.rich && e.finishes() {
		piece.Event = data
		if e.TokenCount == 0 {
			piece.Data = nil
		}
	}
	a.offset += uint64(e.TokenCount)
	return piece, nil
}

// account notes what the event tells of the whole run.
func (a *streamAnswer) account(e *streamEvent) {
	if e.Usage != nil {
		a.usage.PromptTokens = e.Usage.PromptTokens
		a.usage.CachedTokens = e.Usage.CachedTokens
		a.usage.OutputTokens = e.Usage.CompletionTokens
	}
	if e.finishes() {
		a.usage.FinishReason = *e.Choices[0].FinishReason
	}
}

// Close cancels the call if the stream has not ended. Behind the end mark of a whole stream the end of the body
// is still to be read, so that the connection can be used again; the caller does not wait for it.
func (a *streamAnswer) Close() error {
	if a.last != io.EOF {
		err := a.resp.Body.Close()
		a.cancel()
		return err
	}
	timer := time.AfterFunc(drainTimeout, a.cancel)
	go func() {
		_, _ = io.CopyN(io.Discard, a.lines, sseBuffer)
		_ = a.resp.Body.Close()
		timer.Stop()
		a.cancel()
	}()
	return nil
}
