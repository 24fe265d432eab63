package record

import "math"

// Damper holds back boxes that come and go again and again. A withdrawal is never held: it is believed at once. What is
// held is the return, for longer the more often the box went of late (the figure of merit of RFC 2439, 4.2): each
// withdrawal adds 1, which halves every Half; above Most the box stays out until the figure is under it again.
type Damper struct {
	HalfLife int64   // nanoseconds; 0: nothing is held
	MaxFlaps float64 // withdrawals of late that are not held against a box

	penalties map[string]penalty
}

type penalty struct {
	value     float64
	updatedAt int64
}

const (
	maxPenalties = 8192
	maxPenalty   = 6.0 // so that a box that has settled is back within Half times log2(meritMost/Most)
)

func (d *Damper) decayed(name string, now int64) float64 {
	m := d.penalties[name]
	return m.value * math.Exp2(-float64(now-m.updatedAt)/float64(d.HalfLife))
}

// RecordWithdrawal notes a withdrawal.
func (d *Damper) RecordWithdrawal(name string, now int64) {
	if d.HalfLife <= 0 {
		return
	}
	if d.penalties == nil {
		d.penalties = map[string]penalty{}
	}
	if _, ok := d.penalties[name]; !ok && len(d.penalties) >= maxPenalties {
		for other := range d.penalties {
			if d.decayed(other, now) < 0.1 {
				delete(d.penalties, other)
			}
		}
		if len(d.penalties) >= maxPenalties {
			return
		}
	}
	d.penalties[name] = penalty{min(maxPenalty, d.decayed(name, now)+1), now}
}

// HeldUntil is when a box that is published may be used; not later than now if at once.
func (d *Damper) HeldUntil(name string, now int64) int64 {
	if d.HalfLife <= 0 {
		return now
	}
	merit := d.decayed(name, now)
	if merit <= d.MaxFlaps || d.MaxFlaps <= 0 {
		return now
	}
	return now + int64(math.Log2(merit/d.MaxFlaps)*float64(d.HalfLife)) + 1
}
