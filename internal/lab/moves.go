package lab

import (
	"math"

	"standpoint"
	"standpoint/internal/migration"
	"standpoint/internal/node"
	"standpoint/internal/pool"
)

// Trouble is what happens in the middle of a move.
type Trouble struct {
	Name    string
	Slow    float64 // factor on the new boxes' steps
	Errors  float64 // share of what they are sent
	Stall   float64 // seconds for which they stand still
	Both    bool    // the old ones too
	Dead    bool    // the new boxes die
	OldDead bool    // the old ones
	Drain   int     // so many of the old boxes drain
	Harmful bool    // the move should go back
}

// Troubles are the standard ones.
func Troubles() []Trouble {
	return []Trouble{
		{Name: "no change"},
		{Name: "stall 0.2 s", Stall: 0.2}, {Name: "stall 1 s", Stall: 1}, {Name: "stall 2 s", Stall: 2},
		{Name: "stall 2 s in both", Stall: 2, Both: true},
		{Name: "slower 1.25x", Slow: 1.25, Harmful: true}, {Name: "slower 1.5x", Slow: 1.5, Harmful: true},
		{Name: "slower 2x", Slow: 2, Harmful: true},
		{Name: "errors 5%", Errors: 0.05, Harmful: true}, {Name: "errors 20%", Errors: 0.2, Harmful: true},
		{Name: "errors 50%", Errors: 0.5, Harmful: true},
		{Name: "new pool dead", Dead: true, Harmful: true},
	}
}

// Driver decides over a move from its windows.
type Driver interface {
	// Observe takes a window and returns the record to follow.
	Observe(w *World, window migration.Window) migration.Record
}

// Machine is the project's mover as a driver.
type Machine struct{ *migration.Machine }

// Observe implements Driver.
func (m Machine) Observe(w *World, window migration.Window) migration.Record {
	m.Machine.Observe(w.Time(), window)
	return m.Record()
}

// Threshold is the usual way: a check every so many windows, of the new pool's own figures against fixed bounds, and
// back at once after so many failed checks in a row.
type Threshold struct {
	Plan     migration.Plan
	Every    int     // windows between checks
	Failures int     // in a row
	Late     float64 // share of the worth not in time that fails a check
	Errors   float64 // share of attempts

	record  migration.Record
	windows int
	failed  int
	asked   [2]float64
	tried   [2]int
}

// Observe implements Driver.
func (t *Threshold) Observe(_ *World, window migration.Window) migration.Record {
	r := &t.record
	if r.State == "" {
		*r = migration.Record{ID: "threshold", Plan: t.Plan, State: migration.Holding, Step: -1,
			Shares: pool.Shares{From: t.Plan.From, To: t.Plan.To, Share: t.Plan.WarmUpShare}}
	}
	if r.State.Terminal() {
		return *r
	}
	t.windows++
	to := window.To
	t.asked[0], t.asked[1] = t.asked[0]+to.OfferedWeight, t.asked[1]+to.OfferedWeight-to.OnTimeWeight
	t.tried[0], t.tried[1] = t.tried[0]+to.Attempts, t.tried[1]+to.Errors
	if t.windows%t.Every == 0 {
		if t.asked[1] > t.Late*t.asked[0] || float64(t.tried[1]) > t.Errors*float64(t.tried[0]) {
			t.failed++
		} else {
			t.failed = 0
		}
		t.asked, t.tried = [2]float64{}, [2]int{}
		if t.failed >= t.Failures {
			r.State, r.Shares = migration.Undone, pool.Shares{}
			return *r
		}
	}
	least := int(t.Plan.MinHold / migration.WindowLength)
	if r.Step < 0 {
		least = int(t.Plan.MinWarmUp / migration.WindowLength)
	}
	if r.StateWindows++; r.StateWindows >= least {
		r.StateWindows = 0
		if r.Step++; r.Step == len(t.Plan.Steps) {
			r.State, r.Shares = migration.Done, pool.Shares{Moved: map[string]string{"old": "new"}}
			return *r
		}
		r.Shares.Share = t.Plan.Steps[r.Step]
	}
	return *r
}

// Result is what came of one move.
type Result struct {
	State      migration.State
	Cause      string
	Halted     float64 // seconds from the trouble to the halt; NaN: none
	Back       float64 // to all traffic back
	Least      float64 // least service of any 10 s from the move's start on
	Mean       float64 // service over the run
	Base       float64 // least service of any 10 s that the same seed gives with the old pool alone, filled in by the caller
	Fell       int     // boxes that were pushed over
	Seconds    []Second
	Trace      []Point
	TroubleAt  float64
	LateSends  int // attempts that reached a box more than 500 ms after its drain was told
	Violations []string
}

// Point is the state of a move at one second.
type Point struct {
	At, Share, Evidence float64
	State               migration.State
	OldFirst, NewFirst  float64 // median first token of the samples, seconds; NaN: none
}

// Case is one move to be run.
type Case struct {
	Setup
	Plan    migration.Plan
	Trouble Trouble
	// Step and After say when the trouble comes: so many seconds into that step.
	Step  int
	After float64
	// Driver makes the one that decides; nil stands for the mover. None leaves all traffic with the old pool.
	Driver func(p migration.Plan) Driver
	None   bool
	// For is how long the run goes on after the trouble, and Most its length in any case.
	For, Most float64
	// Settle is how long the old pool serves alone before the move, so that the modules know their boxes.
	Settle float64
	Trace  bool
}

// Run runs a case.
func (c Case) Run() Result {
	c.Pools = true
	w := New(c.Setup)
	r := Result{Halted: math.NaN(), Back: math.NaN(), TroubleAt: math.NaN()}
	var driver Driver
	var record migration.Record
	follow := func(next migration.Record) {
		changed := next.Shares.Share != record.Shares.Share || next.State != record.State || next.ID != record.ID
		record = next
		if changed {
			for _, g := range w.nodes {
				g.tracker.Follow(next)
			}
		}
	}
	end := c.Most
	var tick func()
	tick = func() {
		var win migration.Window
		for _, g := range w.nodes {
			from, to := g.tracker.TakeWindow(w.Time())
			win.From, win.To = win.From.Add(from), win.To.Add(to)
			win.Nodes++
		}
		w.At(w.now+reportLag, func() {
			next := driver.Observe(w, win)
			if math.IsNaN(r.Halted) && (next.State == migration.Halted || next.State == migration.Returning || next.State == migration.Undone) {
				r.Halted, r.Cause = w.now-r.TroubleAt, next.Cause
			}
			if math.IsNaN(r.Back) && next.State == migration.Undone {
				r.Back = w.now - r.TroubleAt
			}
			if math.IsNaN(r.TroubleAt) && next.Step == c.Step && next.State == migration.Holding && float64(next.StateWindows) >= c.After {
				r.TroubleAt = w.now
				end = min(end, w.now+c.For)
				w.trouble(c.Trouble)
			}
			if c.Trace {
				r.Trace = append(r.Trace, Point{w.now, next.Shares.Share, next.EvidenceLevel(), next.State, median(win.From.Samples), median(win.To.Samples)})
			}
			follow(next)
		})
		w.At(w.now+1, tick)
	}
	w.At(c.Settle, func() {
		if c.None {
			return
		}
		if c.Driver != nil {
			driver = c.Driver(c.Plan)
			// The counts need a record to follow from the start.
			follow(migration.Record{ID: "begin", Plan: c.Plan, State: migration.Planned, Shares: pool.Shares{From: c.Plan.From, To: c.Plan.To}})
		} else {
			now := w.Time()
			m, err := migration.Start("m-1", c.Plan, pool.Shares{}, w.nodes[0].tracker.Health("old", now), w.nodes[0].tracker.Health("new", now), now)
			if err != nil {
				r.Violations = append(r.Violations, err.Error())
				return
			}
			driver = Machine{m}
			follow(m.Record())
		}
		w.At(w.now+1, tick)
	})
	for at := 1.0; at <= end; at++ {
		w.Run(at)
	}
	r.State = record.State
	r.Seconds, r.LateSends = w.Seconds, w.lateSends
	r.Least, r.Mean = service(w.Seconds, c.Settle, end)
	for _, m := range w.boxes {
		if !m.Alive() && !(c.Trouble.Dead && m.pool == 2) && !(c.Trouble.OldDead && m.pool == 1) {
			r.Fell++
		}
	}
	return r
}

// service is the least over any 10 s, and the mean, of the worth in time over the worth asked for, of requests that
// arrived from a time on; the last 12 s are left out, for their answers may not have come yet.
func service(all []Second, from, end float64) (least, mean float64) {
	least = 1
	var sumAsked, sumGood float64
	last := min(len(all), int(end)-12)
	for i := int(from); i < last; i++ {
		sumAsked, sumGood = sumAsked+all[i].Asked, sumGood+all[i].InTime
		if i+10 > last {
			continue
		}
		asked, good := 0.0, 0.0
		for _, s := range all[i : i+10] {
			asked, good = asked+s.Asked, good+s.InTime
		}
		if asked > 0 {
			least = min(least, good/asked)
		}
	}
	return least, sumGood / max(1, sumAsked)
}

func median(all []migration.Sample) float64 {
	if len(all) == 0 {
		return math.NaN()
	}
	values := make([]float64, 0, len(all))
	for _, s := range all {
		values = append(values, s.FirstToken)
	}
	return quantile(values, 0.5)
}

// trouble brings a trouble about.
func (w *World) trouble(t Trouble) {
	drained := 0
	for _, m := range w.boxes {
		isNew := m.pool == 2
		if t.Stall > 0 && (isNew || t.Both) {
			m.Pause(w.now, w.now+t.Stall)
			w.step(m)
		}
		if isNew && t.Slow > 0 {
			m.Scale(t.Slow)
		}
		if isNew && t.Errors > 0 {
			m.Fail(t.Errors)
		}
		if isNew && t.Dead || !isNew && t.OldDead {
			w.lose(m, m.Kill())
		}
		if !isNew && drained < t.Drain {
			drained++
			m.Drain()
			m.state, m.drainedAt = standpoint.Draining, w.now
		}
	}
	if drained > 0 {
		w.relist()
	}
}

// relist tells all nodes the list as it is.
func (w *World) relist() {
	l := node.EndpointList{Kind: standpoint.ListFull}
	for _, m := range w.boxes {
		l.Endpoints = append(l.Endpoints, node.Endpoint{Address: m.name, Labels: map[string]string{"version": []string{"", "v1", "v2"}[m.pool]},
			Engine: standpoint.Engine{Name: m.name, Kind: m.kind, Size: 1, StartedAt: m.readyAt, State: m.state}})
	}
	for _, g := range w.nodes {
		if w.ListLate > 0 {
			w.At(w.now+w.ListLate*w.lost.Float64(), func() { g.news(l) })
			continue
		}
		g.news(l)
	}
}
