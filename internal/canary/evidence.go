package canary

import (
	"fmt"
	"math"
)

// A test compares the answers of the new version with those of the old ones over the same time. Its result is the logarithm of how much more
// likely the answers of the new version are at their own rate of bad ones than at the highest rate that old versions explain.
const (
	// decisive is the evidence for a rollback. Tests run for each route, several windows and several thresholds, some times a second.
	decisive = 10
	// decisiveSlow is the same for slow answers, which ordinary load causes more often than failures.
	decisiveSlow = 12
	// decisiveAlone is the evidence for an instance to stop by itself.
	decisiveAlone = 14
	// corroborating is the evidence that must remain without the worst target of the new version: one bad target is not a bad version.
	corroborating = 3.5
	minFailed     = 3
	minSlow       = 5
	minOthersBad  = 2 // bad answers of the other targets
	// certainBad is the number of bad answers from which a version is bad whatever targets they come from.
	certainBad = 25
	// cleanRatio is how many times as often the new version must fail for old versions to count as clean beside it.
	cleanRatio = 4
	// failureAllowance and slowAllowance are rates of bad answers that no version is blamed for.
	failureAllowance = 0.003
	slowAllowance    = 0.04
	// oldTolerance is how many times as many bad answers as the old versions a new one may have.
	oldTolerance = 1.5
	// minOldLatencies is the number of latencies of old versions for a comparison.
	minOldLatencies = 20
	// laterShift is added while no request goes to old versions: the comparison is with an earlier time.
	laterShift = 2
)

// slowQuantiles are the quantiles of the old versions' latency that the new version is compared at. An answer is slow that is by more than shift
// buckets above: twice the median.
var slowQuantiles = [...]struct {
	share float64
	shift int
}{{0.5, 2}, {0.9, 1}}

// likelihood returns the evidence of bad answers among n, if up to a share allowed is explained.
func likelihood(bad, n int, allowed float64) float64 {
	if n == 0 || bad == 0 {
		return 0
	}
	rate := float64(bad) / float64(n)
	if rate <= allowed {
		return 0
	}
	sum := rate * math.Log(rate/allowed)
	if rate < 1 {
		sum += (1 - rate) * math.Log((1-rate)/(1-allowed))
	}
	return sum * float64(n)
}

// failureRate returns the highest rate of failures that the old versions' answers explain.
func failureRate(failed, n int) float64 {
	return min(oldTolerance*float64(failed+1)/float64(n+250)+failureAllowance, 0.95)
}

// cleanRate returns the rate of failures of the old versions.
func cleanRate(failed, n int) float64 { return float64(failed+1) / float64(n+100) }

// sample is the bad answers of the new version by target.
type sample struct {
	bad, n map[string]int
}

func newSample() sample { return sample{bad: map[string]int{}, n: map[string]int{}} }

func (s *sample) add(target string, bad, n int) {
	s.bad[target] += bad
	s.n[target] += n
}

func (s *sample) totals() (bad, n int) {
	for t := range s.n {
		bad, n = bad+s.bad[t], n+s.n[t]
	}
	return bad, n
}

// withoutWorst returns the totals of all targets but the one with the most bad answers, and that target.
func (s *sample) withoutWorst() (bad, n int, worst string) {
	most := -1
	for t := range s.n {
		if s.bad[t] > most || s.bad[t] == most && t < worst {
			most, worst = s.bad[t], t
		}
	}
	bad, n = s.totals()
	return bad - s.bad[worst], n - s.n[worst], worst
}

// verdict is the result of a test.
type verdict struct {
	bad      bool
	evidence float64
	reason   string
	outlier  string // target that alone is bad; empty if none is
}

// judge decides whether the bad answers of a sample are the version's. targets is the number of targets of the version that are given work, and
// clean is the share of bad answers of the old versions.
func (s *sample) judge(kind string, allowed, clean, need float64, minBad, targets int) verdict {
	bad, n := s.totals()
	v := verdict{evidence: likelihood(bad, n, allowed), reason: fmt.Sprintf("%d of %d answers %s, %.1f %% explained", bad, n, kind, 100*allowed)}
	if bad >= certainBad && float64(bad) >= cleanRatio*clean*float64(n) {
		v.bad = true
		return v
	}
	if bad < minBad || v.evidence < need {
		return v
	}
	othersBad, others, worst := s.withoutWorst()
	switch {
	case targets <= 1:
		v.bad = true
	case othersBad >= minOthersBad && likelihood(othersBad, others, allowed) >= corroborating:
		v.bad = true
	case others >= 2:
		v.outlier = worst
	}
	return v
}

// group is the counts of one route, or of all, over one window.
type group struct {
	old    Count
	newest map[string]*Count // by target
}

func newGroup() *group { return &group{newest: map[string]*Count{}} }

func (g *group) add(k Key, isNew bool, c *Count) {
	if !isNew {
		g.old.add(c)
		return
	}
	if g.newest[k.Target] == nil {
		g.newest[k.Target] = new(Count)
	}
	g.newest[k.Target].add(c)
}

// answers returns the answers of the new version.
func (g *group) answers() (n int) {
	for _, c := range g.newest {
		n += c.Answers
	}
	return n
}

// failures returns the verdict on failures. allowed is the rate that is explained, and clean that of the old versions.
func (g *group) failures(allowed, clean, need float64, targets int) verdict {
	s := newSample()
	for t, c := range g.newest {
		s.add(t, c.Failed, c.Answers)
	}
	return s.judge("failed", allowed, clean, need, minFailed, targets)
}

// slowKinds are the ways in which answers can be slow.
var slowKinds = [...]struct {
	name  string
	of    func(c *Count) *Histogram
	waits bool
}{
	{"slow", func(c *Count) *Histogram { return &c.Latency }, true},
	{"slow between events", func(c *Count) *Histogram { return &c.Gaps }, false},
}

// slowTest is a sample of slow answers of one kind by one quantile, with the number of them that old versions explain.
type slowTest struct {
	sample
	explained float64
}

type slowTests [len(slowKinds)][len(slowQuantiles)]slowTest

// slowness returns the samples of slow answers. reference is the old versions' latencies that the new version is compared with; later is whether
// they are of an earlier time.
func (g *group) slowness(reference *Count, later bool) (tests slowTests) {
	for k, kind := range slowKinds {
		old := kind.of(reference)
		for j, q := range slowQuantiles {
			t := &tests[k][j]
			t.sample = newSample()
			threshold := old.quantile(q.share) + q.shift
			if later {
				threshold += laterShift
			}
			if old.total() < minOldLatencies || threshold >= numBuckets-1 {
				continue
			}
			total := 0
			for target, c := range g.newest {
				h := kind.of(c)
				slow, n := h.above(threshold), h.total()
				if kind.waits { // those that wait longer than that will be slow
					waiting := c.Waiting.above(threshold)
					slow, n = slow+waiting, n+waiting
				}
				t.add(target, slow, n)
				total += n
			}
			allowed := min(oldTolerance*float64(old.above(threshold)+1)/float64(old.total()+20)+slowAllowance, 0.9)
			t.explained = allowed * float64(total)
		}
	}
	return tests
}

func (t *slowTests) add(o *slowTests) {
	for k := range t {
		for j := range t[k] {
			if t[k][j].n == nil {
				t[k][j].sample = newSample()
			}
			for target, n := range o[k][j].n {
				t[k][j].sample.add(target, o[k][j].bad[target], n)
			}
			t[k][j].explained += o[k][j].explained
		}
	}
}

// judge returns the strongest verdict of the tests.
func (t *slowTests) judge(need float64, targets int) verdict {
	best := verdict{}
	for k := range t {
		for j := range t[k] {
			test := &t[k][j]
			if _, n := test.totals(); n > 0 {
				allowed := test.explained / float64(n)
				best = best.stronger(test.judge(slowKinds[k].name, allowed, allowed, need, minSlow, targets))
			}
		}
	}
	return best
}

// stronger returns the verdict that counts more.
func (v verdict) stronger(o verdict) verdict {
	if o.bad && !v.bad || o.bad == v.bad && (o.outlier != "" && v.outlier == "" || (o.outlier != "") == (v.outlier != "") && o.evidence > v.evidence) {
		return o
	}
	return v
}

// slowCounts returns how many answers of each version were slow by the old versions' latency, for the record.
func slowCounts(reference, c *Count) int {
	if reference.Latency.total() < minOldLatencies {
		return 0
	}
	return c.Latency.above(reference.Latency.quantile(slowQuantiles[1].share) + slowQuantiles[1].shift)
}
