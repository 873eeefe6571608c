package canary

import "math/rand/v2"

// Limiter decides which requests of one instance go to the new version. It counts the requests of the instance alone, so that the sum over all
// instances stays within the share however many of them cannot talk to each other or have restarted. It is not safe for concurrent use.
type Limiter struct {
	start    float64            // random first credit: requests of many small instances together are rounded neither up nor down
	credit   map[string]float64 // requests that the new version may get, by route
	requests int
	exposed  int
}

// maxCredit bounds the requests that may follow each other after a time without a permit or an eligible target.
const maxCredit = 2

// NewLimiter returns a limiter that has seen no request.
func NewLimiter(rng *rand.Rand) *Limiter {
	return &Limiter{start: rng.Float64(), credit: map[string]float64{}}
}

// Allow counts a request of a route and reports whether it goes to the new version. share is the share of the route, and bound the share of
// all requests so far that may not be exceeded.
func (l *Limiter) Allow(route string, share, bound float64) bool {
	l.requests++
	credit, known := l.credit[route]
	if !known {
		// Each route has a part of the random start; a route of few requests is as likely to get one as others in proportion.
		credit = l.start
		l.start += 0.618034 // golden ratio: the starts of an instance's routes are spread evenly
		if l.start >= 1 {
			l.start--
		}
	}
	credit = min(credit+share, maxCredit)
	allowed := credit >= 1 && float64(l.exposed+1) <= bound*float64(l.requests)+1
	if allowed {
		credit--
		l.exposed++
	}
	l.credit[route] = credit
	return allowed
}

// Return takes back a request that was allowed and did not go to the new version.
func (l *Limiter) Return(route string) {
	l.exposed--
	l.credit[route] = min(l.credit[route]+1, maxCredit)
}

// AddExposed counts a request that goes to the new version regardless of its share, such as a stream that goes on there.
func (l *Limiter) AddExposed() { l.exposed++ }

// Counts returns the requests seen and those that went to the new version.
func (l *Limiter) Counts() (requests, exposed int) { return l.requests, l.exposed }
