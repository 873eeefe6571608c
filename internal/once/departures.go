package once

import "time"

// Bounds on which a DepartureDetector relies.
const (
	// MaxListLag bounds the lag of the platform's instance list: an instance that runs now is in every reading taken at
	// least MaxListLag later, unless it has ended since.
	MaxListLag = 30 * time.Second
	// MaxPause is the longest pause of its process after which a sidecar still runs callers' keys without first reading
	// the configuration revision in force again.
	MaxPause = 10 * time.Second
	// MaxReadingGap is the longest time between two readings that count as one continuous observation.
	MaxReadingGap = 15 * time.Second
	// GoneAfter is how long a target must be missing from the list without interruption before it counts as gone.
	GoneAfter = MaxListLag + MaxPause + MaxReadingGap
)

// ListReading is one reading of the platform's instance list, reduced to a set of targets.
type ListReading struct {
	SelfListed bool            // the reading target is itself listed, which shows that the list contains targets
	Present    map[string]bool // listed targets, live or leaving
}

// DepartureDetector finds out from readings of the platform's instance list which targets are gone. One reading without
// a target proves nothing: the list lags, and a paused instance may have been taken for dead. A target that is missing
// from every reading for GoneAfter did not run all that time: it has ended, or it will notice that it was paused for
// longer than MaxPause and read the revision in force before it runs another key. This says nothing about what the
// target ran before the end of that time.
type DepartureDetector struct {
	missingSince map[string]time.Time // first reading of the current run of readings without the target
	lastReading  time.Time            // time of the last reading
}

// Observe records a reading of the list for the given targets.
func (d *DepartureDetector) Observe(reading ListReading, targets []string, now time.Time) {
	missing := map[string]time.Time{}
	for _, t := range targets {
		if !reading.SelfListed || reading.Present[t] {
			continue
		}
		missing[t] = now
		if since, ok := d.missingSince[t]; ok && now.Sub(d.lastReading) <= MaxReadingGap {
			missing[t] = since
		}
	}
	d.missingSince, d.lastReading = missing, now
}

// GoneSince returns the time from which the target is proved to run nothing under generations older than the one that
// began at began, or the zero time if there is no proof. Absence before began does not count: a process that started or
// resumed before then read the revision in force at that time, which was still an older one.
func (d *DepartureDetector) GoneSince(target string, began, now time.Time) time.Time {
	missing, ok := d.missingSince[target]
	if !ok || now.Sub(d.lastReading) > MaxReadingGap {
		return time.Time{}
	}
	if began.After(missing) {
		missing = began
	}
	since := missing.Add(GoneAfter)
	if since.After(now) {
		return time.Time{}
	}
	return since
}
