// Package steadytime turns points in time into numbers that a change of the wall clock does not affect, so that atomics can hold the ends of
// pauses, leases and limits. time.Time.UnixNano returns the wall clock alone.
package steadytime

import "time"

// start is the point in time from which all others are measured.
var start = time.Now()

// UnixNano returns t as nanoseconds since the Unix epoch, by the wall clock of the start of the process and the monotonic time since then. The
// numbers must not leave the process. For a time without a monotonic reading it equals t.UnixNano.
func UnixNano(t time.Time) int64 { return start.UnixNano() + int64(t.Sub(start)) }

// Time returns the point in time that UnixNano returned a number for.
func Time(nanoseconds int64) time.Time {
	return start.Add(time.Duration(nanoseconds - start.UnixNano()))
}
