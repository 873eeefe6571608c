// Package wallclock simulates changes of the wall clock, for tests.
package wallclock

import (
	"reflect"
	"time"
	"unsafe"
)

// Step returns t as time.Now would have returned it had the wall clock been set by d before: the monotonic reading, which t must have, stays.
// d must be whole seconds.
func Step(t time.Time, d time.Duration) time.Time {
	const secondShift = 30 // of the seconds in the first word of a time.Time with a monotonic reading
	if reflect.TypeOf(t).Field(0).Name != "wall" {
		panic("wallclock: time.Time has another layout")
	}
	want := t.Round(0).Add(d)
	wall := (*uint64)(unsafe.Pointer(&t))
	*wall += uint64(int64(d/time.Second) << secondShift)
	if got := t.Round(0); !got.Equal(want) {
		panic("wallclock: " + got.String() + " in place of " + want.String())
	}
	return t
}
