// Package forecast predicts when the first and the last event of a request arrive from a target, and learns from answers what it
// needs for that. A Service holds what the targets of a service have in common; a Target holds how much slower than usual one of them
// works and for which share of the time it prefills prompts. The package does no I/O and reads no clock.
package forecast

import (
	"sync"
	"time"
)

const (
	// minSamples is the number of answers from which predictions count as learned.
	minSamples = 20
	// highQuantile is the quantile of FirstHigh and LastHigh.
	highQuantile = 0.9
	// maxRateFactor bounds the learned prefill time per token: at most this many times the assumed one, at least the assumed one
	// divided by it.
	maxRateFactor = 4
	// outlierFactor and outlierSlack bound a sample to a multiple of its prediction plus some seconds, so that a few stalled answers
	// do not shift the fit.
	outlierFactor = 4
	outlierSlack  = 0.25
	// defaultEventTime is the assumed time between two events of a stream, in seconds, until it is learned: measured at engines that
	// only decode.
	defaultEventTime = 0.03
	// maxPrefillDelay bounds the learned extra time between two events while prompts are prefilled, in seconds: two prefill steps.
	maxPrefillDelay = 0.25
	// defaultTokensPerEvent is the assumed number of output tokens in an event.
	defaultTokensPerEvent = 7
	urgencyLevels         = 10
)

// Work describes a request at one target at the time that it is sent.
type Work struct {
	PromptTokens  int           // to prefill: those that are not cached
	BacklogTokens int           // of other prompts, to prefill before this one
	MemoryWait    time.Duration // upper estimate of the wait for cache memory; how much of it is real is learned
	PrefillShare  float64       // of the recent time in which the target prefilled prompts, 0 to 1
	HintedTokens  int           // the caller's estimate of the output tokens; zero if unknown
	OutputLimit   int           // maximum output tokens; zero if unknown
	Urgency       int           // 0 is the most urgent; the forecast errors of each level are learned apart
	Slowdown      float64       // how many times as long as usual work takes at the target
}

// Prediction is the predicted time from the send of a request to events of its answer.
type Prediction struct {
	Learned             bool // enough answers were seen; otherwise the prediction follows from the defaults
	First, FirstHigh    time.Duration
	Last, LastHigh      time.Duration
	Stream, StreamHigh  time.Duration // from the first event to the last
	Unseen              time.Duration // part of First for prompts that arrive unseen
	MemoryShare         float64       // share of Work.MemoryWait that is real
	Events              float64       // expected number of events
	SecondsBetweenEvent float64       // expected, including the delays by prefills
}

// Service is what the targets of a service have in common. It is safe for concurrent use.
type Service struct {
	mu       sync.Mutex
	first    fit // seconds to the first event at usual speed; see firstFeatures
	firstErr [urgencyLevels]errorBands
	event    fit // seconds between two events at usual speed; see eventFeatures
	lastErr  errorBands
	output   output
	diff     differences
}

// NewService returns a service whose targets are assumed to prefill prefillRate tokens per second.
func NewService(prefillRate float64) *Service {
	perToken := 1 / prefillRate
	return &Service{
		first: fit{
			value: vector{0, perToken, perToken, 0, 0}, weight: vector{0.1, 20, 20, 0.2, 0.5},
			low: vector{0, perToken / maxRateFactor, 0, 0, 0}, high: vector{1, perToken * maxRateFactor, perToken * maxRateFactor, 1, 1},
			scale: vector{1, 2e3, 2e3, 1, 1},
		},
		event: fit{
			value: vector{defaultEventTime, defaultEventTime}, weight: vector{1, 1}, low: vector{0.001}, high: vector{1, maxPrefillDelay}, scale: vector{1, 1, 1, 1, 1},
		},
		output: newOutput(),
	}
}

// firstFeatures are the terms of the time to the first event: a base, the own prompt, the prompts before it, the wait for memory,
// and the prompts that arrive unseen where prompts are prefilled all the time.
func firstFeatures(w Work) vector {
	return vector{1, float64(w.PromptTokens), float64(w.BacklogTokens), w.MemoryWait.Seconds(), w.PrefillShare}
}

// memoryTerm and unseenTerm are the indexes of the last two of firstFeatures.
const (
	memoryTerm = 3
	unseenTerm = 4
)

// eventFeatures are the terms of the time between two events: a base and the share of the time with prefills.
func eventFeatures(w Work) vector { return vector{1, w.PrefillShare} }

// slowdown returns the slowdown of the work, 1 if unset.
func (w Work) slowdown() float64 {
	if w.Slowdown <= 0 {
		return 1
	}
	return w.Slowdown
}

// urgency returns the urgency within its bounds.
func (w Work) urgency() int { return min(max(w.Urgency, 0), urgencyLevels-1) }

// Predict returns the prediction for a request.
func (s *Service) Predict(w Work) Prediction {
	s.mu.Lock()
	defer s.mu.Unlock()
	first := s.first.predict(firstFeatures(w)) * w.slowdown()
	between := s.event.predict(eventFeatures(w)) * w.slowdown()
	events, eventsHigh := s.output.events(w)
	stream := between * max(events-1, 0)
	p := Prediction{Learned: s.first.samples >= minSamples, Events: events, SecondsBetweenEvent: between}
	median, high := s.firstErr[w.urgency()].quantiles(first)
	p.First, p.FirstHigh = seconds(first*median), seconds(first*high)
	median, high = s.lastErr.quantiles(stream)
	p.Stream, p.StreamHigh = seconds(stream*median), seconds(max(stream*high, between*max(eventsHigh-1, 0)))
	p.Last, p.LastHigh = p.First+p.Stream, p.FirstHigh+p.StreamHigh
	p.MemoryShare = s.first.value[memoryTerm]
	p.Unseen = seconds(s.first.value[unseenTerm] * w.PrefillShare * w.slowdown())
	return p
}

// AddFirst learns from the time between the send of a request and its first event. It returns the ratio of that time to the one that
// is expected at usual speed, for Target.AddRatio; zero if the model has not learned enough to tell.
func (s *Service) AddFirst(w Work, took time.Duration) float64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	x, y := firstFeatures(w), took.Seconds()/w.slowdown()
	expected := s.first.predict(x)
	learned := s.first.samples >= minSamples
	s.firstErr[w.urgency()].add(expected*w.slowdown(), took.Seconds())
	s.first.add(x, min(y, outlierFactor*expected+outlierSlack))
	if !learned || expected <= 0 {
		return 0
	}
	return took.Seconds() / expected
}

// AddStream learns from a complete stream: the number of its events and the time between the first and the last one. share is the
// share of that time in which the target prefilled prompts; w is the work as it was predicted. It returns the ratio as AddFirst does.
func (s *Service) AddStream(w Work, share float64, events int, took time.Duration) float64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.output.add(w, events)
	if events < minStreamEvents {
		return 0
	}
	x, between := vector{1, share}, took.Seconds()/float64(events-1)
	expected := s.event.predict(x)
	learned := s.event.samples >= minSamples
	s.lastErr.add(s.event.predict(eventFeatures(w))*w.slowdown()*float64(events-1), took.Seconds())
	s.event.add(x, min(between/w.slowdown(), outlierFactor*expected))
	if !learned || expected <= 0 {
		return 0
	}
	return between / expected
}

// minStreamEvents is the number of events from which a stream shows the time between events.
const minStreamEvents = 5

// PrefillRate returns the learned tokens per second at usual speed.
func (s *Service) PrefillRate() float64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return 1 / s.first.value[1]
}

// PrefillDelay returns the time by which the prefill of a prompt of this many tokens delays others at a target of usual speed.
func (s *Service) PrefillDelay(tokens int) time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	return seconds(float64(tokens) * s.first.value[1])
}

func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }
