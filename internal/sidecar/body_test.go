package sidecar

import (
	"errors"
	"fmt"
	"io"
	"testing"
	"time"

	"google.golang.org/protobuf/proto"

	egretv1 "github.com/egrethoist/egrethoist/gen/egret/v1"
	"github.com/egrethoist/egrethoist/internal/admission"
	"github.com/egrethoist/egrethoist/internal/upload"
)

// TestTruncatedBodyIsNoTargetFailure guards against holding a target responsible for a request body that the caller
// or the entry gateway cut short.
func TestTruncatedBodyIsNoTargetFailure(t *testing.T) {
	s := failureSample(fmt.Errorf("call: %w", errBodyTruncated), time.Second)
	if s.Outcome != admission.OutcomeCancelled {
		t.Errorf("got outcome %v, want cancelled", s.Outcome)
	}
}

// TestBodyIsCompleteOnlyAsDeclared guards against taking a truncated body for a complete one: a body that lacks its end
// marker, differs from its declared length or exceeds its grant must neither end with io.EOF nor have a fingerprint.
func TestBodyIsCompleteOnlyAsDeclared(t *testing.T) {
	piece := func(n int) *egretv1.ServeRequest {
		return &egretv1.ServeRequest{Kind: &egretv1.ServeRequest_Body{Body: make([]byte, n)}}
	}
	end := &egretv1.ServeRequest{Kind: &egretv1.ServeRequest_BodyEnd{BodyEnd: &egretv1.BodyEnd{}}}
	ten := proto.Uint64(10)
	for _, tc := range []struct {
		name     string
		declared *uint64
		messages []*egretv1.ServeRequest
		whole    bool
	}{
		{"undeclared", nil, []*egretv1.ServeRequest{piece(4), piece(6), end}, true},
		{"empty", nil, []*egretv1.ServeRequest{end}, true},
		{"as declared", ten, []*egretv1.ServeRequest{piece(4), piece(6), end}, true},
		{"no end mark", nil, []*egretv1.ServeRequest{piece(10)}, false},
		{"shorter than declared", ten, []*egretv1.ServeRequest{piece(9), end}, false},
		{"longer than declared", ten, []*egretv1.ServeRequest{piece(11), end}, false},
		{"more than granted", nil, []*egretv1.ServeRequest{piece(upload.InitialGrant + 1), end}, false},
	} {
		b := newBodyStream(&egretv1.Open{BodyLength: tc.declared}, func(uint64) {})
		b.receive(func() (*egretv1.ServeRequest, error) {
			if len(tc.messages) == 0 {
				return nil, io.EOF // a stream that its sender closed ends like this
			}
			m := tc.messages[0]
			tc.messages = tc.messages[1:]
			return m, nil
		})
		_, err := io.Copy(io.Discard, b)
		_, known := b.fingerprint()
		if (err == nil) != tc.whole || known != tc.whole || err != nil && !errors.Is(err, errBodyTruncated) {
			t.Errorf("%s: got read error %v, fingerprint known: %t", tc.name, err, known)
		}
	}
}
