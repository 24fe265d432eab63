package standpoint

// Hashes and small numerics. Nothing in this file decides.

import "math"

// unit maps a hash into (0, 1).
func unit(h uint64) float64 { return (float64(h>>11) + 0.5) / (1 << 53) }

// rank is the weighted rendezvous score of a key on an engine.
func rank(key uint64, e *engine) float64 {
	u := unit(mix(key, e.hash))
	size := e.Size
	if !(size > 0) {
		size = 1
	}
	return -size / math.Log(u)
}

func mix(a, b uint64) uint64 {
	x := a ^ (b + 0x9e3779b97f4a7c15 + a<<6 + a>>2)
	x ^= x >> 30
	x *= 0xbf58476d1ce4e5b9
	x ^= x >> 27
	x *= 0x94d049bb133111eb
	return x ^ x>>31
}

func hashName(s string) uint64 {
	h := uint64(14695981039346656037)
	for i := 0; i < len(s); i++ {
		h = (h ^ uint64(s[i])) * 1099511628211
	}
	return mix(h, 1)
}

// mean is a running mean that starts as a plain one and then forgets.
type mean struct {
	mean float64
	n    float64
}

func (m *mean) add(v, rate float64) {
	m.n++
	m.mean += max(1/m.n, rate) * (v - m.mean)
}

func seconds(ns int64) float64 { return float64(ns) / 1e9 }

// clamp returns v within [0, most]; what is no number counts as 0.
func clamp(v, maximum float64) float64 {
	if !(v >= 0) {
		return 0
	}
	return min(v, maximum)
}
