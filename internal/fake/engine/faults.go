package engine

import (
	"sync"
	"time"
)

// Faults that act until they are changed. The zero value is a healthy engine.
type Faults struct {
	Slow          float64       // factor on the step time; zero is 1
	CutAtToken    int           // cut a stream when it would send this token; zero is never
	CutStreams    int           // number of streams still to cut
	HangFirstByte bool          // compute, but send nothing
	EventDelay    time.Duration // age at which a cache event becomes visible
	FailStatus    int           // answer completions with this status instead of running them
}

// SetFaults changes the faults in force.
func (e *Engine) SetFaults(change func(*Faults)) {
	e.mu.Lock()
	defer e.mu.Unlock()
	change(&e.faults)
}

// Freeze stops the engine's computing and its answers, with connections left open.
func (e *Engine) Freeze() {
	e.mu.Lock()
	defer e.mu.Unlock()
	select {
	case <-e.thaw:
		e.thaw = make(chan struct{})
	default:
	}
}

// Unfreeze lets a frozen engine go on where it stopped.
func (e *Engine) Unfreeze() {
	e.mu.Lock()
	defer e.mu.Unlock()
	select {
	case <-e.thaw:
	default:
		close(e.thaw)
	}
}

// Crash cuts every run, loses the cache and answers nothing until Restart.
func (e *Engine) Crash() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.crashLocked()
}

func (e *Engine) crashLocked() {
	if e.down {
		return
	}
	e.down = true
	e.counts.Crashes++
	e.abortRuns()
}

func (e *Engine) abortRuns() {
	for _, r := range append(e.running, e.waiting...) {
		e.finish(r, OutcomeCrashed)
	}
	e.running, e.waiting = nil, nil
}

// Restart brings a crashed engine back, cold and in a new incarnation.
func (e *Engine) Restart() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.reset()
}

// TurnCold makes the engine cold again in a new incarnation without a warning: its runs are cut, but it answers
// on.
func (e *Engine) TurnCold() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.abortRuns()
	e.reset()
}

// DropEvents forgets the cache events held for readers, which leaves a gap.
func (e *Engine) DropEvents() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.cache.events = nil
}

// Loaders slows the loading of weights down when too many engines of a service load at once.
type Loaders struct {
	mu      sync.Mutex
	free    int // loaders at once without a slowdown
	current int
}

// NewLoaders returns a counter of loaders that bears the given number at full speed.
func NewLoaders(free int) *Loaders { return &Loaders{free: max(free, 1)} }

func (l *Loaders) add(n int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.current += n
}

// loadSlices is the number of parts in which a load measures its slowdown.
const loadSlices = 20

// load takes the time of one load among the others.
func (l *Loaders) load(alone time.Duration) {
	l.add(1)
	defer l.add(-1)
	for range loadSlices {
		time.Sleep(time.Duration(float64(alone) / loadSlices * l.factor()))
	}
}

func (l *Loaders) factor() float64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	return max(1, float64(l.current)/float64(l.free))
}
