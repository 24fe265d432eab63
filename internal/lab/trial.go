package lab

import (
	"fmt"
	"math"
	"slices"

	"standpoint"
	"standpoint/internal/lab/emulator"
)

// Happening is something that befalls some of a world's boxes at a time.
type Happening struct {
	At    float64
	Do    string // slow, errors, pause, kill, restart, drain, replace (a cold box of the same name)
	Value float64
	Boxes []int // none: all
}

// Deeds are the words of a happening's Do, and what its value means.
var Deeds = map[string]string{"slow": "a factor on its steps' time", "errors": "the share of requests that fail", "pause": "seconds", "kill": "",
	"restart": "", "drain": "", "replace": ""}

// Trial is one run of a setup under a timetable.
type Trial struct {
	Setup  Setup
	Events []Happening
	Settle float64 // seconds that are not counted
	For    float64 // after them
}

// Outcome is what came of a trial. Times are in seconds.
type Outcome struct {
	Seed     uint64         `json:"seed"`
	Asked    int            `json:"asked"`
	Service  float64        `json:"service"` // worth in time over worth asked for
	Least    float64        `json:"least_10_s"`
	First50  float64        `json:"first_50"`
	First99  float64        `json:"first_99"`
	Down     float64        `json:"turned_down"` // of the requests, tries counted each
	Waste    float64        `json:"waste"`       // attempts beyond one a request, of the requests
	Skew     float64        `json:"skew"`        // deviation of the boxes' numbers of attempts over their mean
	Breaches map[string]int `json:"breaches,omitempty"`
	// By second: worth in time over worth asked for, the 99th first token, refusals.
	Seconds []Instant `json:"seconds,omitempty"`
}

// Instant is one second of an outcome.
type Instant struct {
	Asked, InTime float64
	First99       float64
	Down          int
	Boxes         []int `json:"boxes,omitempty"` // attempts sent, by box
}

// Run runs a trial. The same trial gives the same outcome, whatever the machine.
func (t Trial) Run() Outcome {
	w := New(t.Setup)
	for _, e := range t.Events {
		w.At(e.At, func() { w.happen(e) })
	}
	end := t.Settle + t.For
	w.Run(end + 12)
	o := Outcome{Seed: t.Setup.Seed, Breaches: map[string]int{}}
	for name, n := range w.breaches {
		o.Breaches[name] = n
	}
	if w.lateSends > 0 {
		o.Breaches["sent to a box that drains"] = w.lateSends
	}
	fell := 0
	for _, m := range w.boxes {
		if m.fell {
			fell++
		}
	}
	if fell > 0 {
		o.Breaches["cold boxes pushed over"] = fell
	}
	unanswered := 0
	for _, g := range w.nodes {
		for _, a := range g.open {
			if !a.done && w.now > a.deadline+1 && a.first == 0 {
				unanswered++
			}
		}
	}
	if unanswered > 0 {
		o.Breaches["requests without an answer"] = unanswered
	}
	o.measure(w, t.Settle, end)
	return o
}

func (o *Outcome) measure(w *World, from, end float64) {
	asked, good := 0.0, 0.0
	var firsts []float64
	bySecond := map[int][]float64{}
	for i, at := range w.firstsAt {
		if at >= from && at < end {
			firsts = append(firsts, w.firsts[i])
			bySecond[int(at)] = append(bySecond[int(at)], w.firsts[i])
		}
	}
	down := 0
	for i := int(from); i < min(len(w.Seconds), int(end)); i++ {
		s := w.Seconds[i]
		asked, good, down, o.Asked = asked+s.Asked, good+s.InTime, down+s.Shed, o.Asked+s.Requests
		in := Instant{Asked: s.Asked, InTime: s.InTime, Down: s.Shed, Boxes: s.Boxes}
		if late := bySecond[i]; len(late) > 0 {
			in.First99 = quantile(late, 0.99)
		}
		o.Seconds = append(o.Seconds, in)
	}
	o.Service = good / max(1, asked)
	o.Least, _ = service(w.Seconds, from, end+12)
	if len(firsts) > 0 {
		o.First50, o.First99 = quantile(firsts, 0.5), quantile(firsts, 0.99)
	}
	o.Down = float64(down) / max(1, float64(o.Asked))
	total := 0
	for _, s := range w.Seconds {
		total += s.Requests
	}
	o.Waste = max(0, float64(w.attempts)/max(1, float64(total))-1)
	mean, square := 0.0, 0.0
	for _, m := range w.boxes {
		mean += float64(m.Came()) / float64(len(w.boxes))
	}
	for _, m := range w.boxes {
		square += (float64(m.Came()) - mean) * (float64(m.Came()) - mean) / float64(len(w.boxes))
	}
	o.Skew = math.Sqrt(square) / max(1e-9, mean)
}

// happen brings a happening about.
func (w *World) happen(e Happening) {
	relist := false
	for i, m := range w.boxes {
		if len(e.Boxes) > 0 && !slices.Contains(e.Boxes, i) {
			continue
		}
		switch e.Do {
		case "slow":
			m.Slow(e.Value)
		case "errors":
			m.Fail(e.Value)
		case "pause":
			m.Pause(w.now, w.now+e.Value)
			w.step(m)
		case "kill":
			w.lose(m, m.Kill())
		case "restart", "replace":
			w.lose(m, m.Restart(w.now))
			m.readyAt, m.state, m.drainedAt, relist = w.clock(), standpoint.Ready, 0, true
		case "drain":
			m.Drain()
			m.state, m.drainedAt, relist = standpoint.Draining, w.now+w.ListLate, true
		}
	}
	if relist {
		w.relist()
	}
}

// CheckEvents checks a timetable for so many boxes; errors name the key.
func CheckEvents(all []Happening, boxes int) error {
	for i, e := range all {
		if _, ok := Deeds[e.Do]; !ok {
			return fmt.Errorf("event[%d].do: %q is no deed", i, e.Do)
		}
		if e.At < 0 {
			return fmt.Errorf("event[%d].at: negative", i)
		}
		if e.Do == "slow" && !(e.Value >= 0.01 && e.Value <= 1000) || e.Do == "errors" && !(e.Value >= 0 && e.Value <= 1) || e.Do == "pause" && !(e.Value > 0 && e.Value <= 3600) {
			return fmt.Errorf("event[%d].value: %g is no value for %s, %s", i, e.Value, e.Do, Deeds[e.Do])
		}
		for _, b := range e.Boxes {
			if b < 0 || b >= boxes {
				return fmt.Errorf("event[%d].boxes: there is no box %d, from 0 to %d", i, b, boxes-1)
			}
		}
	}
	return nil
}

// Capacity is what a kind of box can do warm, in requests a second, at the operators' work.
func Capacity(f emulator.Figures) float64 { return f.Able(700, 1500, 105, 0.05) }
