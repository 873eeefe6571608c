package gateway

import (
	"errors"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/egrethoist/egrethoist/internal/eventstream"
	"github.com/egrethoist/egrethoist/internal/targetconn"
)

const (
	// wholeAnswer is the size up to which an answer is read before any of it is passed on, so that one that breaks off
	// can still be replaced.
	wholeAnswer = 256 << 10
	streamRead  = 4096
)

// writeHead sends the head of a target's answer to the caller.
func (rq *request) writeHead(resp *http.Response, length int) {
	out := rq.writer.Header()
	for name, values := range rq.gateway.opts.Protocol.Return(resp.Header) {
		out[name] = values
	}
	for _, name := range []string{"Date", "Content-Type"} {
		if _, ok := out[name]; !ok {
			out[name] = nil // the server would add its own
		}
	}
	if length >= 0 {
		out.Set("Content-Length", strconv.Itoa(length))
	}
	rq.started, rq.status, rq.firstAt = true, resp.StatusCode, time.Now()
	rq.writer.WriteHeader(resp.StatusCode)
}

// forwardWhole passes on an answer that is no stream.
func (rq *request) forwardWhole(result *try, e *targetconn.Exchange) {
	body, err := io.ReadAll(io.LimitReader(e, wholeAnswer+1))
	if err != nil {
		e.Abort()
		rq.lost(result, fmt.Errorf("read body: %w", err))
		return
	}
	if len(body) > wholeAnswer {
		rq.forwardLong(result, e, body)
		return
	}
	e.Finish()
	if e.Response.StatusCode >= http.StatusInternalServerError && rq.route.Repeatable() && !rq.started {
		result.fate, result.err = fateFailed, fmt.Errorf("target %s: status %d", result.target.id, e.Response.StatusCode)
		rq.failure = &failedAnswer{head: e.Response, body: body}
		return
	}
	result.err = rq.passOn(e.Response, body)
	result.fate = fateServed
}

// failedAnswer is a target's own failure, passed on if no other target does better.
type failedAnswer struct {
	head *http.Response
	body []byte
}

func (rq *request) passOn(head *http.Response, body []byte) error {
	rq.writeHead(head, len(body))
	if _, err := rq.writer.Write(body); err != nil {
		return fmt.Errorf("%w: %w", errWriteCaller, err)
	}
	return nil
}

// forwardLong passes on an answer that is too long to hold back.
func (rq *request) forwardLong(result *try, e *targetconn.Exchange, head []byte) {
	length := -1
	if e.Response.ContentLength >= 0 {
		length = int(e.Response.ContentLength)
	}
	rq.writeHead(e.Response, length)
	_, err := rq.writer.Write(head)
	if err == nil {
		_, err = io.Copy(rq.writer, e)
	}
	if err != nil {
		e.Abort()
		result.fate, result.err = fateBroken, fmt.Errorf("pass on body: %w", err)
		return
	}
	e.Finish()
	result.fate = fateServed
}

// errWriteCaller marks a stream that ended because its caller does not read.
var errWriteCaller = errors.New("write to caller")

// forwardStream passes on whole events as they arrive. read is called at the first one: the prompt is read then.
func (rq *request) forwardStream(result *try, e *targetconn.Exchange, read func(whole bool)) {
	var events eventstream.Splitter
	buffer := make([]byte, streamRead)
	for {
		n, err := e.Read(buffer)
		if n > 0 {
			now := time.Now()
			result.target.stats.Heard(now)
			if failed := rq.forwardEvents(&events, buffer[:n], e.Response, read); failed != nil {
				e.Abort()
				rq.endStream(result, failed)
				return
			}
		}
		if err == io.EOF && events.Buffered() == 0 {
			e.Finish()
			if !rq.started {
				rq.writeHead(e.Response, -1)
			}
			result.fate = fateServed
			return
		}
		if err != nil {
			e.Abort()
			rq.endStream(result, fmt.Errorf("read stream: %w", err))
			return
		}
	}
}

func (rq *request) endStream(result *try, err error) {
	rq.lost(result, err)
	if result.fate == fateUnknown && rq.started {
		result.fate = fateBroken
	}
}

func (rq *request) forwardEvents(events *eventstream.Splitter, p []byte, resp *http.Response, read func(whole bool)) error {
	if err := events.Append(p); err != nil {
		return err
	}
	wrote := false
	for event := events.Next(); event != nil; event = events.Next() {
		if id, ok := eventstream.ID(event); ok {
			if id <= rq.lastEvent {
				continue // already passed on from an earlier target
			}
			rq.lastEvent = id
		}
		rq.begun.Store(true)
		if !rq.started {
			read(true)
			rq.writeHead(resp, -1)
		}
		if _, err := rq.writer.Write(event); err != nil {
			return fmt.Errorf("%w: %w", errWriteCaller, err)
		}
		wrote = true
	}
	if !wrote {
		return nil
	}
	if flusher, ok := rq.writer.(http.Flusher); ok {
		flusher.Flush()
	}
	return nil
}
