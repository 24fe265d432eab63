package standpoint

// Ridge regression over sliding windows of samples. The priors and the choice of a bucket are in
// prediction.go, the constants in router.go.

import "math"

// featureVector holds the inputs of a prediction: the constant 1; the engine's memory usage, prefill backlog
// and slot usage, as in Report; and in thousands of tokens the prompt's length, the uncached part of the
// prompt, and the prompts that this gateway has in flight at the engine.
type featureVector [featureCount]float64

// sample is one observation: the features x and the observed value y.
type sample struct {
	x featureVector
	y float64
}

// bucket is a ring buffer of the latest samples of one regime.
type bucket struct {
	samples []sample
	next    int // index of the oldest sample, once the bucket is full
}

// model is a ridge regression over coarse buckets of samples. Each bucket is a small sliding window, so that
// a regime that has not been seen recently is not forgotten. The ridge pulls the coefficients towards prior:
// the fleet's fit for a kind's model, ttftPrior or tpotPrior for the fleet's.
type model struct {
	buckets         [10 * 4 * 3]bucket // indexed by bucketIndex
	prior           featureVector      // coefficients that the ridge pulls towards
	coefficients    featureVector
	samplesSinceFit int
	relativeError   float64 // moving average of the absolute error relative to the prediction
}

// init sets a model's coefficients to the prior.
func (m *model) init(prior featureVector) {
	m.prior = prior
	m.coefficients = prior
	m.relativeError = 0.5
}

// predict returns the predicted value, which is at least a tenth of what the prior predicts, and above 0.
func (m *model) predict(x *featureVector) float64 {
	var prediction, priorPrediction float64
	for i := range x {
		prediction += m.coefficients[i] * x[i]
		priorPrediction += m.prior[i] * x[i]
	}
	return max(prediction, priorPrediction/10, 1e-4)
}

// add stores a sample, in place of the oldest one of its bucket once that is full, and updates the relative
// error.
func (m *model) add(x *featureVector, y float64) {
	prediction := m.predict(x)
	m.relativeError += 0.03 * (min(3, math.Abs(y-prediction)/prediction) - m.relativeError)
	b := &m.buckets[bucketIndex(x)]
	if len(b.samples) < bucketDepth {
		b.samples = append(b.samples, sample{*x, y})
	} else {
		b.samples[b.next] = sample{*x, y}
		b.next = (b.next + 1) % bucketDepth
	}
	m.samplesSinceFit++
}

// fit solves the weighted ridge regression around the prior. A sample's weight is the inverse square of the
// prior's prediction for it, so that long times do not outweigh short ones. No coefficient becomes negative,
// so that load never makes a prediction smaller.
func (m *model) fit(prior featureVector) {
	m.prior = prior
	m.samplesSinceFit = 0
	var system [featureCount][featureCount + 1]float64
	for index := range m.buckets {
		for _, s := range m.buckets[index].samples {
			var priorPrediction float64
			for i := range s.x {
				priorPrediction += prior[i] * s.x[i]
			}
			priorPrediction = max(priorPrediction, 1e-4)
			weight := 1 / (priorPrediction * priorPrediction)
			for i := range s.x {
				for j := range s.x {
					system[i][j] += weight * s.x[i] * s.x[j]
				}
				system[i][featureCount] += weight * s.x[i] * (s.y - priorPrediction)
			}
		}
	}
	for i := range system {
		// The ridge penalizes a coefficient's difference from its prior relative to the size of that prior,
		// or to a twentieth of the constant's prior if that is larger.
		unit := max(prior[i], prior[0]/20)
		system[i][i] += priorWeight / (unit * unit)
	}
	delta, ok := solve(&system)
	if !ok {
		return
	}
	for i := range prior {
		m.coefficients[i] = max(0, prior[i]+delta[i])
	}
}

// solve solves a system of linear equations by Gauss-Jordan elimination, and reports whether it found a
// finite solution. The last column is the right-hand side. No pivoting is needed, because the ridge keeps the
// matrix positive definite.
func solve(system *[featureCount][featureCount + 1]float64) (featureVector, bool) {
	var x featureVector
	for i := range system {
		if !(system[i][i] > 1e-12) {
			return x, false
		}
		for j := range system {
			if j == i {
				continue
			}
			factor := system[j][i] / system[i][i]
			for k := i; k <= featureCount; k++ {
				system[j][k] -= factor * system[i][k]
			}
		}
	}
	for i := range system {
		x[i] = system[i][featureCount] / system[i][i]
		if math.IsNaN(x[i]) || math.IsInf(x[i], 0) {
			return x, false
		}
	}
	return x, true
}
