package jsonreply

import (
	"errors"
	"io"
	"net/http"
	"strings"
	"testing"
)

// A value that is not the complete answer must not be decoded into zero values.
func TestDecode(t *testing.T) {
	for raw, ok := range map[string]bool{
		`{"a":0,"b":[]}`: true, ` {"b":[1],"a":3,"c":null} `: true,
		``: false, ` `: false, `null`: false, `{}`: false, `[]`: false, `3`: false, `"x"`: false, `{"a":0}`: false, `{"a":0,"b":null}`: false,
		`{"A":0,"b":[]}`: false, `{"a":0,"b":[]`: false, `{"a":0,"b":[]}{"a":0,"b":[]}`: false, `{"a":0,"b":[]}x`: false, `{"a":"0","b":[]}`: false,
		`<html></html>`: false,
	} {
		var v struct {
			A int
			B []int
		}
		if err := Decode([]byte(raw), &v, "a", "b"); (err == nil) != ok {
			t.Errorf("%q: %v, want success %v", raw, err, ok)
		}
	}
}

// A body that is cut off at the limit must not be returned as the whole body.
func TestReadFailsBeyondLimit(t *testing.T) {
	for body, ok := range map[string]bool{"": true, "1234": true, "12345": false} {
		raw, err := Read(&http.Response{Body: io.NopCloser(strings.NewReader(body))}, 4)
		if ok && (err != nil || string(raw) != body) || !ok && !errors.Is(err, ErrTooLong) {
			t.Errorf("%q: %q, %v", body, raw, err)
		}
	}
}
