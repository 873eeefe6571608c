package membership

import (
	"time"

	"github.com/egrethoist/egrethoist/internal/platform"
	"github.com/egrethoist/egrethoist/internal/world"
)

// listState tracks the platform's instance list. It accepts the loss of many instances at once only after a delay.
type listState struct {
	opts          Options
	sequence      uint64
	latest        map[string]bool // instances of the last list by name; true if leaving
	accepted      map[string]bool // instances of the last accepted list, likewise
	removed       map[string]bool // instances that are missing from an accepted list after an earlier one had them
	massLossSince time.Time       // start of the current mass loss; zero if there is none
}

func newListState(opts Options) *listState {
	return &listState{opts: opts, latest: map[string]bool{}, accepted: map[string]bool{}, removed: map[string]bool{}}
}

// update applies a list whose sequence is not older than the last one.
func (l *listState) update(instances []platform.Instance, now time.Time) {
	l.latest = make(map[string]bool, len(instances))
	for _, in := range instances {
		l.latest[in.Name] = in.Leaving
		delete(l.removed, in.Name)
	}
	l.reconcile(now)
}

// reconcile accepts the last list. If many instances that were not marked as leaving are missing from it, it does so only after
// the loss has persisted for MassLossDelay.
func (l *listState) reconcile(now time.Time) {
	if l.isMassLoss() {
		if l.massLossSince.IsZero() {
			l.massLossSince = now
		}
		if now.Sub(l.massLossSince) < l.opts.MassLossDelay {
			return
		}
	}
	l.massLossSince = time.Time{}
	for name := range l.accepted {
		if _, ok := l.latest[name]; !ok {
			l.removed[name] = true
		}
	}
	l.accepted = l.latest
}

// isMassLoss reports whether the last list, compared with the accepted one, misses enough instances to be delayed. Instances that
// were marked as leaving don't count.
func (l *listState) isMassLoss() bool {
	lost := 0
	for name, leaving := range l.accepted {
		if _, ok := l.latest[name]; !ok && !leaving {
			lost++
		}
	}
	if len(l.latest) == 0 && lost > 0 {
		return true
	}
	return lost >= l.opts.MassLossMin && float64(lost) > l.opts.MassLossFraction*float64(len(l.accepted))
}

// leaving reports whether the list excludes the instance. An instance that was never in a list may be newer than the list, so it
// is not excluded. One that was marked as leaving remains excluded during the delay of a mass loss.
func (l *listState) leaving(name string) bool {
	if leaving, ok := l.latest[name]; ok {
		return leaving
	}
	return l.removed[name] || l.accepted[name]
}

// pruneRemoved discards removed instances that the configuration does not contain, which bounds the memory used.
func (l *listState) pruneRemoved(w *world.World) {
	for name := range l.removed {
		if w.Targets[name] == nil {
			delete(l.removed, name)
		}
	}
}
