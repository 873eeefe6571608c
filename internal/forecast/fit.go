package forecast

// maxTerms is the largest number of terms of a fit.
const maxTerms = 5

// vector holds one number for each term of a fit.
type vector [maxTerms]float64

const (
	// fitDecay scales the weight of earlier samples at each new one: a fit covers about 200 answers, some seconds of traffic.
	fitDecay = 0.995
	// fitSweeps is the number of coordinate descent sweeps after each sample, which start from the previous solution.
	fitSweeps = 3
)

// fit is a least-squares fit with bounded coefficients and exponentially decaying weights. The zero terms of value, high and scale
// are unused. Its prior is the value that it starts with.
type fit struct {
	value     vector // coefficients
	prior     vector
	weight    vector // weight of the prior, in samples of a feature of size scale
	low, high vector // bounds of the coefficients
	scale     vector // typical size of a feature
	gram      [maxTerms]vector
	moment    vector
	samples   int
}

// predict returns the fitted value for the features.
func (f *fit) predict(x vector) float64 {
	sum := 0.0
	for i := range x {
		sum += f.value[i] * x[i]
	}
	return sum
}

// add adds a sample and updates the coefficients.
func (f *fit) add(x vector, y float64) {
	if f.samples == 0 {
		f.prior = f.value
	}
	f.samples++
	for i := range x {
		for j := range x {
			f.gram[i][j] = f.gram[i][j]*fitDecay + x[i]*x[j]
		}
		f.moment[i] = f.moment[i]*fitDecay + x[i]*y
	}
	for range fitSweeps {
		for i := range f.value {
			f.solve(i)
		}
	}
}

// solve sets one coefficient to the best one given the others. Its bounds keep a poorly determined coefficient, as that of a prompt
// length that hardly varies, within what is physically possible.
func (f *fit) solve(i int) {
	ridge := f.weight[i] * f.scale[i] * f.scale[i]
	denominator := f.gram[i][i] + ridge
	if denominator <= 0 {
		return
	}
	rest := f.moment[i] + ridge*f.prior[i]
	for j := range f.value {
		if j != i {
			rest -= f.gram[i][j] * f.value[j]
		}
	}
	f.value[i] = min(max(rest/denominator, f.low[i]), f.high[i])
}
