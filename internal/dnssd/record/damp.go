package record

import "math"

// Damper holds back boxes that come and go again and again. A withdrawal is never held: it is believed at once. What is
// held is the return, for longer the more often the box went of late (the figure of merit of RFC 2439, 4.2): each
// withdrawal adds 1, which halves every Half; above Most the box stays out until the figure is under it again.
type Damper struct {
	Half int64   // nanoseconds; 0: nothing is held
	Most float64 // withdrawals of late that are not held against a box

	marks map[string]mark
}

type mark struct {
	merit float64
	at    int64
}

const (
	marksMost = 8192
	meritMost = 6.0 // so that a box that has settled is back within Half times log2(meritMost/Most)
)

func (d *Damper) now(name string, now int64) float64 {
	m := d.marks[name]
	return m.merit * math.Exp2(-float64(now-m.at)/float64(d.Half))
}

// Removed notes a withdrawal.
func (d *Damper) Removed(name string, now int64) {
	if d.Half <= 0 {
		return
	}
	if d.marks == nil {
		d.marks = map[string]mark{}
	}
	if _, ok := d.marks[name]; !ok && len(d.marks) >= marksMost {
		for other := range d.marks {
			if d.now(other, now) < 0.1 {
				delete(d.marks, other)
			}
		}
		if len(d.marks) >= marksMost {
			return
		}
	}
	d.marks[name] = mark{min(meritMost, d.now(name, now)+1), now}
}

// Until is when a box that is published may be used; not later than now if at once.
func (d *Damper) Until(name string, now int64) int64 {
	if d.Half <= 0 {
		return now
	}
	merit := d.now(name, now)
	if merit <= d.Most || d.Most <= 0 {
		return now
	}
	return now + int64(math.Log2(merit/d.Most)*float64(d.Half)) + 1
}
