package standpoint

// A windowed ridge regression. What goes into it, its priors and its buckets are router.go's.

import "math"

// featureVector is what a prediction is made from: 1, memory held, unread tokens (thousands), slot share,
// prompt length (thousands), its part not kept (prompt and match in one), own input tokens in flight
// (thousands).
type featureVector [featureCount]float64

type sample struct {
	x featureVector
	y float64
}

type bucket struct {
	ring []sample
	next int
}

// model is a ridge fit over coarse buckets, each a small sliding window, so that a regime not seen lately
// is not forgotten. The ridge pulls towards base: the fleet's fit for a kind, the prior for the fleet.
type model struct {
	buckets         [10 * 4 * 3]bucket
	base            featureVector
	coef            featureVector
	samplesSinceFit int
	err             float64 // mean relative error
}

func (m *model) init(prior featureVector) {
	m.base = prior
	m.coef = prior
	m.err = 0.5
}

func (m *model) at(x *featureVector) float64 {
	var y, p float64
	for i := range x {
		y += m.coef[i] * x[i]
		p += m.base[i] * x[i]
	}
	return max(y, p/10, 1e-4)
}

func (m *model) add(x *featureVector, y float64) {
	p := m.at(x)
	m.err += 0.03 * (min(3, math.Abs(y-p)/p) - m.err)
	b := &m.buckets[bucketOf(x)]
	if len(b.ring) < bucketDepth {
		b.ring = append(b.ring, sample{*x, y})
	} else {
		b.ring[b.next] = sample{*x, y}
		b.next = (b.next + 1) % bucketDepth
	}
	m.samplesSinceFit++
}

// fit solves the weighted ridge around base; samples count in inverse square of their base prediction, so
// that long waits do not drown short ones. Load never makes a prediction smaller.
func (m *model) fit(base featureVector) {
	m.base = base
	m.samplesSinceFit = 0
	var a [featureCount][featureCount + 1]float64
	for bi := range m.buckets {
		for _, s := range m.buckets[bi].ring {
			var p float64
			for i := range s.x {
				p += base[i] * s.x[i]
			}
			p = max(p, 1e-4)
			w := 1 / (p * p)
			for i := range s.x {
				for j := range s.x {
					a[i][j] += w * s.x[i] * s.x[j]
				}
				a[i][featureCount] += w * s.x[i] * (s.y - p)
			}
		}
	}
	for i := range a { // a unit of ridge is a relative change of the coefficient's own size
		unit := max(base[i], base[0]/20)
		a[i][i] += priorWeight / (unit * unit)
	}
	delta, ok := solve(&a)
	if !ok {
		return
	}
	for i := range base {
		m.coef[i] = max(0, base[i]+delta[i])
	}
}

// solve runs Gauss-Jordan elimination; the ridge keeps the matrix positive definite.
func solve(a *[featureCount][featureCount + 1]float64) (featureVector, bool) {
	var x featureVector
	for i := range a {
		if !(a[i][i] > 1e-12) {
			return x, false
		}
		for j := range a {
			if j == i {
				continue
			}
			f := a[j][i] / a[i][i]
			for k := i; k <= featureCount; k++ {
				a[j][k] -= f * a[i][k]
			}
		}
	}
	for i := range a {
		x[i] = a[i][featureCount] / a[i][i]
		if math.IsNaN(x[i]) || math.IsInf(x[i], 0) {
			return x, false
		}
	}
	return x, true
}
