package forecast

import "math"

const (
	// ratioBins and ratioBinWidth define the histogram of the binary logarithm of observed to expected times: from 1/8 to 8.
	ratioBins     = 48
	ratioBinWidth = 0.125
	// ratioDecay scales the weight of earlier ratios at each new one.
	ratioDecay = 0.995
	// sharedWeight is the weight of the ratios of all bands in the quantiles of one, which has few of its own at first.
	sharedWeight = 0.1
	// priorRatios is the weight, in samples, of the assumed distribution of ratios.
	priorRatios = 8
)

// priorQuantiles are equally likely ratios of an unlearned model, about the deciles seen at two services: the mean exceeds the median.
var priorQuantiles = [...]float64{0.45, 0.55, 0.63, 0.7, 0.78, 0.9, 1.1, 1.5, 2.2}

// bandLimits are the upper bounds in seconds of the expected times of all but the last band. The shorter the expected time, the more a
// prompt that arrives just before matters.
var bandLimits = [...]float64{0.12, 0.25, 0.5, 2}

// ratioHistogram is a decaying histogram of ratios.
type ratioHistogram struct {
	bins  [ratioBins]float64
	total float64
}

func (h *ratioHistogram) add(ratio float64) {
	for i := range h.bins {
		h.bins[i] *= ratioDecay
	}
	h.total = h.total*ratioDecay + 1
	h.bins[ratioBin(ratio)]++
}

// ratioBin returns the bin of a positive ratio.
func ratioBin(ratio float64) int {
	return min(max(int(math.Log2(ratio)/ratioBinWidth+ratioBins/2), 0), ratioBins-1)
}

// errorBands holds the ratios of observed to expected times, by the expected time. The zero value is ready to use.
type errorBands struct {
	bands [len(bandLimits) + 1]ratioHistogram
	all   ratioHistogram
}

func bandOf(expected float64) int {
	for i, limit := range bandLimits {
		if expected < limit {
			return i
		}
	}
	return len(bandLimits)
}

// add adds an observation, both times in seconds.
func (e *errorBands) add(expected, observed float64) {
	if expected <= 0 || observed <= 0 {
		return
	}
	e.bands[bandOf(expected)].add(observed / expected)
	e.all.add(observed / expected)
}

// quantiles returns the median and the high quantile of the ratio of observed to expected times.
func (e *errorBands) quantiles(expected float64) (median, high float64) {
	var sum [ratioBins]float64
	total := 0.0
	band := &e.bands[bandOf(expected)]
	for i := range sum {
		sum[i] = band.bins[i] + sharedWeight*e.all.bins[i]
		total += sum[i]
	}
	for _, ratio := range priorQuantiles {
		sum[ratioBin(ratio)] += priorRatios / float64(len(priorQuantiles))
	}
	total += priorRatios
	return binQuantile(&sum, total/2), binQuantile(&sum, total*highQuantile)
}

// binQuantile returns the ratio below which the given weight lies, interpolated within its bin.
func binQuantile(bins *[ratioBins]float64, weight float64) float64 {
	for i, w := range bins {
		if w >= weight && w > 0 {
			return math.Exp2((float64(i-ratioBins/2) + weight/w) * ratioBinWidth)
		}
		weight -= w
	}
	return math.Exp2(ratioBins / 2 * ratioBinWidth)
}
