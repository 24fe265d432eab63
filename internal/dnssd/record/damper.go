package record

import "math"

// Damper holds back instances that come and go again and again. A withdrawal is never held: it takes effect at once.
// What is held is the return, for longer the more often the instance was withdrawn lately (the figure of merit of RFC
// 2439, 4.2): each withdrawal adds a penalty of 1, which decays by half every HalfLife; above MaxFlaps the instance
// stays out until the penalty is below it again. It is not safe for concurrent use.
type Damper struct {
	HalfLife int64   // nanoseconds; 0: nothing is held
	MaxFlaps float64 // recent withdrawals without effect; 0: nothing is held

	penalties map[string]penalty // by instance name
}

// penalty is an instance's, as it was at a time in nanoseconds.
type penalty struct {
	value     float64
	updatedAt int64
}

const (
	maxPenalties = 8192 // instances; withdrawals of further ones are not counted
	// maxPenalty bounds the time that an instance is held: one that has settled is back within HalfLife times
	// log2(maxPenalty/MaxFlaps).
	maxPenalty = 6.0
	// negligiblePenalty is one that may be forgotten where there are too many.
	negligiblePenalty = 0.1
)

// RecordWithdrawal counts a withdrawal; now is in nanoseconds.
func (d *Damper) RecordWithdrawal(name string, now int64) {
	if d.HalfLife <= 0 {
		return
	}
	if d.penalties == nil {
		d.penalties = map[string]penalty{}
	}
	if _, ok := d.penalties[name]; !ok && !d.makeRoom(now) {
		return
	}
	d.penalties[name] = penalty{value: min(maxPenalty, d.decayed(name, now)+1), updatedAt: now}
}

// makeRoom forgets negligible penalties where there are too many, and reports whether another has room.
func (d *Damper) makeRoom(now int64) bool {
	if len(d.penalties) < maxPenalties {
		return true
	}
	for name := range d.penalties {
		if d.decayed(name, now) < negligiblePenalty {
			delete(d.penalties, name)
		}
	}
	return len(d.penalties) < maxPenalties
}

// SuppressedUntil is when a published instance may be used, in nanoseconds; now if at once.
func (d *Damper) SuppressedUntil(name string, now int64) int64 {
	if d.HalfLife <= 0 {
		return now
	}
	value := d.decayed(name, now)
	if value <= d.MaxFlaps || d.MaxFlaps <= 0 {
		return now
	}
	return now + int64(math.Log2(value/d.MaxFlaps)*float64(d.HalfLife)) + 1
}

// decayed is an instance's penalty now.
func (d *Damper) decayed(name string, now int64) float64 {
	p := d.penalties[name]
	return p.value * math.Exp2(-float64(now-p.updatedAt)/float64(d.HalfLife))
}
