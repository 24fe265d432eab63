package record

import "math"

// Damper suppresses flapping instances: those that are withdrawn and published again repeatedly. A withdrawal always
// takes effect immediately. The use of an instance that is published again is delayed, for longer the more often the
// instance was withdrawn recently (the figure of merit of RFC 2439, 4.2): each withdrawal adds a penalty of 1, which
// halves every HalfLife; while the penalty exceeds MaxFlaps, the instance is suppressed. It is not safe for concurrent
// use.
type Damper struct {
	HalfLife int64   // time in nanoseconds in which a penalty halves; 0 disables suppression
	MaxFlaps float64 // largest penalty, in recent withdrawals, without suppression; 0 disables suppression

	penalties map[string]penalty // penalties by instance name
}

// penalty is the penalty of an instance.
type penalty struct {
	value     float64 // penalty at updatedAt, in withdrawals
	updatedAt int64   // time of the latest withdrawal in nanoseconds
}

const (
	// maxPenalties is the maximum number of instances with a penalty; withdrawals of further ones are not counted.
	maxPenalties = 8192
	// maxPenalty bounds the time for which an instance is suppressed: after its last withdrawal that time is at most
	// HalfLife times log2(maxPenalty/MaxFlaps).
	maxPenalty = 6.0
	// negligiblePenalty is the penalty below which an entry may be deleted to stay within maxPenalties.
	negligiblePenalty = 0.1
)

// RecordWithdrawal counts a withdrawal of an instance; now is in nanoseconds.
func (d *Damper) RecordWithdrawal(name string, now int64) {
	if d.HalfLife <= 0 {
		return
	}
	if d.penalties == nil {
		d.penalties = map[string]penalty{}
	}
	if _, ok := d.penalties[name]; !ok && !d.ensureCapacity(now) {
		return
	}
	d.penalties[name] = penalty{value: min(maxPenalty, d.currentPenalty(name, now)+1), updatedAt: now}
}

// ensureCapacity deletes negligible penalties if there are maxPenalties, and reports whether another one may be added.
func (d *Damper) ensureCapacity(now int64) bool {
	if len(d.penalties) < maxPenalties {
		return true
	}
	for name := range d.penalties {
		if d.currentPenalty(name, now) < negligiblePenalty {
			delete(d.penalties, name)
		}
	}
	return len(d.penalties) < maxPenalties
}

// SuppressedUntil returns the time, in nanoseconds, from which a published instance may be used. It is now for an
// instance that is not suppressed.
func (d *Damper) SuppressedUntil(name string, now int64) int64 {
	if d.HalfLife <= 0 {
		return now
	}
	value := d.currentPenalty(name, now)
	if value <= d.MaxFlaps || d.MaxFlaps <= 0 {
		return now
	}
	return now + int64(math.Log2(value/d.MaxFlaps)*float64(d.HalfLife)) + 1
}

// currentPenalty returns the penalty of an instance at the time now.
func (d *Damper) currentPenalty(name string, now int64) float64 {
	p := d.penalties[name]
	return p.value * math.Exp2(-float64(now-p.updatedAt)/float64(d.HalfLife))
}
