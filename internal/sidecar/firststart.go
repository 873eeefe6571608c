package sidecar

import (
	"context"
	"errors"
	"strconv"
	"time"

	"github.com/egrethoist/egrethoist/internal/platform"
	"github.com/gravitational/trace"
)

// firstTimeout bounds one try to mark the first incarnation of a target.
const firstIncarnationTimeout = 2 * time.Second

func firstIncarnationKey(target string) string { return "first/" + target }

// claimFirst writes, once in the life of a target, that an incarnation of its sidecar has run. No incarnation runs a
// caller's key before it knows the mark to be there, so an absent mark proves that none ever did. It returns whether
// the mark was absent and this incarnation has set it. It reads first: of the service's reads there are more than of
// its writes, and at every start but the first the mark is there. A mark is never removed, so that a stale read can only
// miss one, and then the write is refused. A lost answer is resolved by reading the mark back, which names the
// incarnation.
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
