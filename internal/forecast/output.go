package forecast

import "cmp"

const (
	// outputDecay scales the weight of earlier streams at each new one.
	outputDecay = 0.99
	// defaultLimitShare is the assumed share of the maximum output that a stream without a hint produces.
	defaultLimitShare = 0.5
	// defaultHighFactor is the assumed ratio of the high quantile of the events to their mean.
	defaultHighFactor = 2
)

// ratioMean is a decaying ratio of two sums.
type ratioMean struct{ numerator, denominator float64 }

func (r *ratioMean) add(numerator, denominator float64) {
	r.numerator = r.numerator*outputDecay + numerator
	r.denominator = r.denominator*outputDecay + denominator
}

func (r *ratioMean) value() float64 { return r.numerator / r.denominator }

// output learns how many events a stream has for each token that was hinted or allowed.
type output struct {
	perHint, perLimit, mean ratioMean
	errors                  errorBands // of the number of events
}

func newOutput() output {
	return output{
		perHint: ratioMean{100, 100 * defaultTokensPerEvent}, perLimit: ratioMean{100 * defaultLimitShare, 100 * defaultTokensPerEvent}, mean: ratioMean{10, 1},
	}
}

// expected returns the expected number of events.
func (o *output) expected(w Work) float64 {
	switch {
	case w.HintedTokens > 0:
		return max(o.perHint.value()*float64(w.HintedTokens), 1)
	case w.OutputLimit > 0:
		return max(o.perLimit.value()*float64(w.OutputLimit), 1)
	}
	return max(o.mean.value(), 1)
}

// events returns the expected number of events and a high quantile of it.
func (o *output) events(w Work) (expected, high float64) {
	expected = o.expected(w)
	if o.errors.all.total < minSamples {
		return expected, expected * defaultHighFactor
	}
	_, ratio := o.errors.quantiles(expected)
	return expected, expected * ratio
}

// add learns from a complete stream.
func (o *output) add(w Work, events int) {
	if events <= 0 {
		return
	}
	o.errors.add(o.expected(w), float64(events))
	o.mean.add(float64(events), 1)
	switch cmp.Or(w.HintedTokens, w.OutputLimit) {
	case 0:
	case w.HintedTokens:
		o.perHint.add(float64(events), float64(w.HintedTokens))
	default:
		o.perLimit.add(float64(events), float64(w.OutputLimit))
	}
}
