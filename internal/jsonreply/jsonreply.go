// Package jsonreply reads JSON answers of HTTP calls strictly: an answer that was cut, or that lacks a field that callers rely on, is an
// error. encoding/json alone takes null and an object without the expected fields for a value whose fields are all zero, which callers
// cannot tell from an answer that says so.
package jsonreply

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
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
