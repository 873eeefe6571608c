package gateway

import (
	"testing"
	"time"
)

// Guards against a Retry-After that exceeds the longest wait that callers honor because it was rounded up.
func TestRetryAfterIsRoundedDown(t *testing.T) {
	for d, want := range map[time.Duration]string{
		666_600 * time.Microsecond: "0.666", 50 * time.Millisecond: "0.050", 999_999 * time.Microsecond: "0.999", 2 * time.Minute: "120.000",
	} {
		if got := formatRetryAfter(d); got != want {
			t.Errorf("%v is written as %s, want %s", d, got, want)
		}
	}
}
