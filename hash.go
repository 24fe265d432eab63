package standpoint

// Hashes and small numeric helpers. No decisions are made in this file.

import "math"

// unitInterval maps a hash into (0, 1).
func unitInterval(h uint64) float64 { return (float64(h>>11) + 0.5) / (1 << 53) }

// rendezvousScore returns the weighted rendezvous score of a key at an engine: of all engines, that with the
// highest score is the key's home. An engine without a size counts as one of size 1.
func rendezvousScore(key uint64, e *engine) float64 {
	u := unitInterval(mix(key, e.hash))
	size := e.Size
	if !(size > 0) {
		size = 1
	}
	return -size / math.Log(u)
}

// mix returns a hash of two numbers.
func mix(a, b uint64) uint64 {
	x := a ^ (b + 0x9e3779b97f4a7c15 + a<<6 + a>>2)
	x ^= x >> 30
	x *= 0xbf58476d1ce4e5b9
	x ^= x >> 27
	x *= 0x94d049bb133111eb
	return x ^ x>>31
}

// hashName returns a hash of a name: FNV-1a, mixed once more.
func hashName(s string) uint64 {
	h := uint64(14695981039346656037)
	for i := 0; i < len(s); i++ {
		h = (h ^ uint64(s[i])) * 1099511628211
	}
	return mix(h, 1)
}

// mean is a running mean: the arithmetic mean of the first values, later an exponentially weighted one.
type mean struct {
	value float64
	count float64 // number of values added
}

// add adds a value. Its weight is one over the number of values, but at least minWeight.
func (m *mean) add(v, minWeight float64) {
	m.count++
	m.value += max(1/m.count, minWeight) * (v - m.value)
}

// seconds converts nanoseconds to seconds.
func seconds(ns int64) float64 { return float64(ns) / 1e9 }

// clamp returns v bounded to [0, maximum], and 0 if v is not a number.
func clamp(v, maximum float64) float64 {
	if !(v >= 0) {
		return 0
	}
	return min(v, maximum)
}
