package once

import "time"

// AckedRevisions records which configuration revisions each target has acknowledged, and since when.
type AckedRevisions struct {
	acks map[string][]revisionAck // by target, in increasing order of revision and time
}

// revisionAck is one acknowledgement: the target acts on the revision, or a later one, from since on.
type revisionAck struct {
	revision uint64
	since    time.Time
}

// Ack records that a target acts on the revision, or a later one, from since on. It does nothing if the target has
// acknowledged that revision or a later one before.
func (a *AckedRevisions) Ack(target string, revision uint64, since time.Time) {
	if a.Acked(target, revision) {
		return
	}
	if a.acks == nil {
		a.acks = map[string][]revisionAck{}
	}
	a.acks[target] = append(a.acks[target], revisionAck{revision, since})
}

// Acked reports whether the target has acknowledged the revision or a later one.
func (a *AckedRevisions) Acked(target string, revision uint64) bool {
	list := a.acks[target]
	return len(list) > 0 && list[len(list)-1].revision >= revision
}

// Since returns the time from which the target is known to act on the revision or a later one, or the zero time if it
// has not acknowledged it.
func (a *AckedRevisions) Since(target string, revision uint64) time.Time {
	for _, ack := range a.acks[target] {
		if ack.revision >= revision {
			return ack.since
		}
	}
	return time.Time{}
}

// Settled reports whether the target has acted on the revision or a later one for longer than retention, the time for
// which callers may repeat keys that the target ran under an older revision.
func (a *AckedRevisions) Settled(target string, revision uint64, now time.Time, retention time.Duration) bool {
	list := a.acks[target]
	// Of the acknowledgements older than retention only the newest matters.
	for len(list) > 1 && now.Sub(list[1].since) > retention {
		list = list[1:]
		a.acks[target] = list
	}
	return len(list) > 0 && list[0].revision >= revision && now.Sub(list[0].since) > retention
}
