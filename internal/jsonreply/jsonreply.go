// Package jsonreply reads JSON answers of HTTP calls strictly: an answer that was cut, or that lacks a field that callers rely on, is an
// error. encoding/json alone takes null and an object without the expected fields for a value whose fields are all zero, which callers
// cannot tell from an answer that says so.
package jsonreply

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"slices"
	"time"

	"github.com/egrethoist/egrethoist/internal/transfer"
)

var (
	// ErrTooLong is returned for a body that is longer than its limit.
	ErrTooLong = errors.New("answer is too long")
	// ErrIncomplete is returned for an answer without a required field.
	ErrIncomplete = errors.New("answer is incomplete")
)

// Read reads the body of a response to its end. It returns an error if the body is cut or longer than maxBytes.
func Read(resp *http.Response, maxBytes int64) ([]byte, error) {
	raw, err := io.ReadAll(io.LimitReader(resp.Body, maxBytes+1))
	if err != nil {
		return nil, fmt.Errorf("after %d of %d bytes: %w", len(raw), resp.ContentLength, err) // -1: unknown length
	}
	if int64(len(raw)) > maxBytes {
		return nil, fmt.Errorf("%w: more than %d bytes", ErrTooLong, maxBytes)
	}
	return raw, nil
}

// Decode decodes a single JSON object into result. It returns an error if anything follows the object, and ErrIncomplete if a required
// field is missing or null. Names of required fields are compared exactly.
func Decode(raw []byte, result any, required ...string) error {
	var fields map[string]json.RawMessage
	if err := json.Unmarshal(raw, &fields); err != nil {
		return err
	}
	if fields == nil {
		return fmt.Errorf("%w: null", ErrIncomplete)
	}
	for _, name := range required {
		if value, ok := fields[name]; !ok || bytes.Equal(value, []byte("null")) {
			return fmt.Errorf("%w: no %s", ErrIncomplete, name)
		}
	}
	return json.Unmarshal(raw, result)
}

// NoRedirect is the CheckRedirect of a client that returns redirects as they are. A followed redirect replaces the answer by that of
// another address, and a write may be repeated there.
func NoRedirect(*http.Request, []*http.Request) error { return http.ErrUseLastResponse }

// fetchBlock is how many bytes of a body are read at once.
const fetchBlock = 32 << 10

// Fetch sends a request and reads the body of its answer to the end, within limits on progress. The response's body is closed. It returns
// the response with an error if the body is cut, longer than maxBytes or too slow, and without one if there is no answer.
func Fetch(client *http.Client, req *http.Request, limits transfer.Limits, maxBytes int64) (*http.Response, []byte, error) {
	ctx, cancel := context.WithCancel(req.Context())
	defer cancel()
	p := transfer.Progress{StartedAt: time.Now()}
	timer := time.AfterFunc(time.Until(limits.Deadline(p)), cancel)
	defer timer.Stop()
	total := int64(-1)
	// failed explains an error of the connection by the limit that caused it.
	failed := func(err error) error {
		if ctx.Err() != nil && req.Context().Err() == nil {
			limit := &transfer.Error{Received: p.Received, Total: total, HeadSeen: !p.HeadAt.IsZero(), After: time.Since(p.StartedAt)}
			return fmt.Errorf("%w: %w", limit, err)
		}
		return err
	}
	resp, err := client.Do(req.WithContext(ctx))
	if err != nil {
		return nil, nil, failed(err)
	}
	defer resp.Body.Close()
	p.HeadAt = time.Now()
	p.LastAt, total = p.HeadAt, resp.ContentLength
	if total > maxBytes {
		return resp, nil, fmt.Errorf("%w: %d of at most %d bytes", ErrTooLong, total, maxBytes)
	}
	raw := make([]byte, 0, max(total, 512))
	tracker := transfer.TrackerOf(ctx)
	for {
		timer.Reset(time.Until(limits.Deadline(p)))
		if tracker != nil {
			tracker.Update(p.Received, total)
		}
		raw = slices.Grow(raw, 512)
		n, err := resp.Body.Read(raw[len(raw):min(cap(raw), len(raw)+fetchBlock)])
		raw = raw[:len(raw)+n]
		p.Received += int64(n)
		p.LastAt = time.Now()
		switch {
		case int64(len(raw)) > maxBytes:
			return resp, nil, fmt.Errorf("%w: more than %d bytes", ErrTooLong, maxBytes)
		case errors.Is(err, io.EOF):
			return resp, raw, nil
		case err != nil:
			return resp, nil, fmt.Errorf("after %d of %d bytes: %w", p.Received, total, failed(err)) // -1: unknown length
		}
	}
}
