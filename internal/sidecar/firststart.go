package sidecar

import (
	"context"
	"errors"
	"strconv"
	"time"

	"github.com/egrethoist/egrethoist/internal/platform"
	"github.com/gravitational/trace"
)

// firstIncarnationTimeout bounds one attempt to claim the first-incarnation marker.
const firstIncarnationTimeout = 2 * time.Second

func firstIncarnationKey(target string) string { return "first/" + target }

// claimFirstIncarnation writes the first-incarnation marker of the target, unless it exists. It returns whether this
// incarnation wrote it. No incarnation runs a caller's key before it knows that the marker exists, so a missing marker
// proves that none has ever run one.
//
// It reads before it writes because the key-value service allows more reads than writes, and the marker exists at every
// start but the first. The marker is never removed, so a stale read can only miss it, and then the write fails with a
// conflict. If the answer to the write is lost, the marker is read back; its value is the incarnation that wrote it. It
// returns an error if the key-value service fails or the outcome of the write stays unknown.
func (s *Sidecar) claimFirstIncarnation(ctx context.Context) (bool, error) {
	ctx, cancel := context.WithTimeout(ctx, firstIncarnationTimeout)
	defer cancel()
	own := strconv.FormatUint(s.opts.Incarnation, 10)
	marker, err := s.opts.KV.Get(ctx, firstIncarnationKey(s.opts.Name))
	if err != nil {
		return false, trace.Wrap(err)
	}
	if marker.Version != 0 {
		return string(marker.Value) == own, nil
	}
	_, err = s.opts.KV.CompareAndSwap(ctx, firstIncarnationKey(s.opts.Name), 0, []byte(own), 0)
	if err == nil {
		return true, nil
	}
	if !errors.Is(err, platform.ErrConflict) && !errors.Is(err, platform.ErrOutcomeUnknown) {
		return false, trace.Wrap(err)
	}
	marker, err = s.opts.KV.Get(ctx, firstIncarnationKey(s.opts.Name))
	if err != nil || marker.Version == 0 {
		return false, trace.Wrap(errors.Join(err, platform.ErrOutcomeUnknown))
	}
	return string(marker.Value) == own, nil
}
