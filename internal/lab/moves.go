package lab

import (
	"math"

	"standpoint"
	"standpoint/internal/migration"
	"standpoint/internal/node"
	"standpoint/internal/pool"
)

// Fault is a fault in the middle of a migration.
type Fault struct {
	Name      string
	Slow      float64 // factor on the duration of the new backends' steps
	Errors    float64 // share of the requests to the new backends that fail
	Stall     float64 // seconds for which the new backends pause
	BothPools bool    // the old backends pause too
	NewDead   bool    // the new backends die
	OldDead   bool    // the old backends die
	DrainOld  int     // number of old backends that drain
	Harmful   bool    // the migration should halt and be undone
}

// StandardFaults returns the faults that a study covers by default.
func StandardFaults() []Fault {
	return []Fault{
		{Name: "no change"},
		{Name: "stall 0.2 s", Stall: 0.2}, {Name: "stall 1 s", Stall: 1}, {Name: "stall 2 s", Stall: 2},
		{Name: "stall 2 s in both", Stall: 2, BothPools: true},
		{Name: "slower 1.25x", Slow: 1.25, Harmful: true}, {Name: "slower 1.5x", Slow: 1.5, Harmful: true},
		{Name: "slower 2x", Slow: 2, Harmful: true},
		{Name: "errors 5%", Errors: 0.05, Harmful: true}, {Name: "errors 20%", Errors: 0.2, Harmful: true},
		{Name: "errors 50%", Errors: 0.5, Harmful: true},
		{Name: "new pool dead", NewDead: true, Harmful: true},
	}
}

// Driver decides about a migration from windows of counts.
type Driver interface {
	// Observe processes a window and returns the record that nodes follow from now on.
	Observe(sim *Simulation, window migration.Window) migration.Record
}

// MigrationDriver is the migration state machine as a driver.
type MigrationDriver struct{ *migration.Machine }

// Observe implements Driver.
func (m MigrationDriver) Observe(sim *Simulation, window migration.Window) migration.Record {
	m.Machine.Observe(sim.Time(), window)
	return m.Record()
}

// ThresholdDriver compares the new pool's shares of late requests and of failed attempts with fixed bounds every
// CheckEvery windows. After MaxFailures failed checks in a row it undoes the migration at once, as common roll-out
// tools do.
type ThresholdDriver struct {
	Plan          migration.Plan
	CheckEvery    int     // windows between two checks
	MaxFailures   int     // failed checks in a row that undo the migration
	MaxLateShare  float64 // largest share of the offered weight that may miss its objectives
	MaxErrorShare float64 // largest share of the attempts that may fail

	record       migration.Record
	windows      int
	failedChecks int
	// offeredAndLate counts, since the last check, the weight offered and the part of it that missed its objectives.
	offeredAndLate    [2]float64
	attemptsAndErrors [2]int // since the last check: attempts, and those that failed
}

// Observe implements Driver.
func (t *ThresholdDriver) Observe(_ *Simulation, window migration.Window) migration.Record {
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
	t.offeredAndLate[0], t.offeredAndLate[1] = t.offeredAndLate[0]+to.OfferedWeight,
		t.offeredAndLate[1]+to.OfferedWeight-to.OnTimeWeight
	t.attemptsAndErrors[0], t.attemptsAndErrors[1] = t.attemptsAndErrors[0]+to.Attempts,
		t.attemptsAndErrors[1]+to.Errors
	if t.windows%t.CheckEvery == 0 {
		if t.offeredAndLate[1] > t.MaxLateShare*t.offeredAndLate[0] ||
			float64(t.attemptsAndErrors[1]) > t.MaxErrorShare*float64(t.attemptsAndErrors[0]) {
			t.failedChecks++
		} else {
			t.failedChecks = 0
		}
		t.offeredAndLate, t.attemptsAndErrors = [2]float64{}, [2]int{}
		if t.failedChecks >= t.MaxFailures {
			r.State, r.Shares = migration.Undone, pool.Shares{}
			return *r
		}
	}
	minWindows := int(t.Plan.MinHold / migration.WindowLength)
	if r.Step < 0 {
		minWindows = int(t.Plan.MinWarmUp / migration.WindowLength)
	}
	if r.StateWindows++; r.StateWindows >= minWindows {
		r.StateWindows = 0
		if r.Step++; r.Step == len(t.Plan.Steps) {
			r.State, r.Shares = migration.Done, pool.Shares{Moved: map[string]string{"old": "new"}}
			return *r
		}
		r.Shares.Share = t.Plan.Steps[r.Step]
	}
	return *r
}

// MigrationResult has the results of one migration. Times are virtual times in seconds.
type MigrationResult struct {
	State       migration.State
	Cause       string
	HaltDelay   float64 // time from the fault to the halt; NaN if there was none
	ReturnDelay float64 // time from the fault until all traffic was back; NaN if it was not
	MinService  float64 // lowest service of any 10 s from the start of the migration on
	MeanService float64 // service from the start of the migration on
	// BaselineMinService is the lowest service of any 10 s with the old pool alone on this seed. The caller sets it.
	BaselineMinService float64
	Collapsed          int // backends that went down under overload
	Seconds            []SecondTotals
	Trace              []TracePoint
	FaultAt            float64
	SendsAfterDrain    int // attempts that reached a backend more than 500 ms after its drain was published
	Violations         []string
}

// TracePoint is the state of a migration at one second.
type TracePoint struct {
	At, Share, Evidence float64
	State               migration.State
	OldTTFT, NewTTFT    float64 // median time to first token of the window's samples, in seconds; NaN without samples
}

// MigrationCase describes one migration to be simulated. Times are in seconds.
type MigrationCase struct {
	Setup
	Plan  migration.Plan
	Fault Fault
	// FaultStep and FaultAfter are the step at which the fault occurs, and the time within the step's hold.
	FaultStep  int
	FaultAfter float64
	// NewDriver makes the driver; nil means the migration state machine. NoMove leaves all traffic with the old pool.
	NewDriver func(p migration.Plan) Driver
	NoMove    bool
	// RunAfterFault is how long the run continues after the fault, and MaxDuration its duration in any case.
	RunAfterFault, MaxDuration float64
	// Settle is how long the old pool serves alone before the migration, so that the modules have learned their
	// backends.
	Settle float64
	Trace  bool // record a trace point for each second
}

// Run simulates the case.
func (c MigrationCase) Run() MigrationResult {
	c.UsePools = true
	sim := New(c.Setup)
	r := MigrationResult{HaltDelay: math.NaN(), ReturnDelay: math.NaN(), FaultAt: math.NaN()}
	var driver Driver
	var record migration.Record
	apply := func(next migration.Record) {
		changed := next.Shares.Share != record.Shares.Share || next.State != record.State || next.ID != record.ID
		record = next
		if changed {
			for _, n := range sim.nodes {
				n.tracker.Follow(next)
			}
		}
	}
	end := c.MaxDuration
	var tick func()
	tick = func() {
		var window migration.Window
		for _, n := range sim.nodes {
			from, to := n.tracker.TakeWindow(sim.Time())
			window.From, window.To = window.From.Add(from), window.To.Add(to)
			window.Nodes++
		}
		sim.At(sim.now+countsDelay, func() {
			next := driver.Observe(sim, window)
			if math.IsNaN(r.HaltDelay) && (next.State == migration.Halted || next.State == migration.Returning ||
				next.State == migration.Undone) {
				r.HaltDelay, r.Cause = sim.now-r.FaultAt, next.Cause
			}
			if math.IsNaN(r.ReturnDelay) && next.State == migration.Undone {
				r.ReturnDelay = sim.now - r.FaultAt
			}
			if math.IsNaN(r.FaultAt) && next.Step == c.FaultStep && next.State == migration.Holding &&
				float64(next.StateWindows) >= c.FaultAfter {
				r.FaultAt = sim.now
				end = min(end, sim.now+c.RunAfterFault)
				sim.applyFault(c.Fault)
			}
			if c.Trace {
				r.Trace = append(r.Trace, TracePoint{sim.now, next.Shares.Share, next.EvidenceLevel(), next.State,
					median(window.From.Samples), median(window.To.Samples)})
			}
			apply(next)
		})
		sim.At(sim.now+1, tick)
	}
	sim.At(c.Settle, func() {
		if c.NoMove {
			return
		}
		if c.NewDriver != nil {
			driver = c.NewDriver(c.Plan)
			// Trackers count only while they follow a record.
			apply(migration.Record{ID: "begin", Plan: c.Plan, State: migration.Planned,
				Shares: pool.Shares{From: c.Plan.From, To: c.Plan.To}})
		} else {
			now := sim.Time()
			m, err := migration.Start("m-1", c.Plan, pool.Shares{}, sim.nodes[0].tracker.Health("old", now),
				sim.nodes[0].tracker.Health("new", now), now)
			if err != nil {
				r.Violations = append(r.Violations, err.Error())
				return
			}
			driver = MigrationDriver{m}
			apply(m.Record())
		}
		sim.At(sim.now+1, tick)
	})
	for at := 1.0; at <= end; at++ {
		sim.Run(at)
	}
	r.State = record.State
	r.Seconds, r.SendsAfterDrain = sim.Seconds, sim.sendsAfterDrain
	r.MinService, r.MeanService = service(sim.Seconds, c.Settle, end)
	for _, b := range sim.backends {
		if !b.Alive() && !(c.Fault.NewDead && b.pool == 2) && !(c.Fault.OldDead && b.pool == 1) {
			r.Collapsed++
		}
	}
	return r
}

// service returns the lowest service of any 10 s, and that of the whole time, of the requests that arrived between from
// and end, in seconds. Service is the weight of the requests that met their objectives over the offered weight. The
// last 12 s are left out, because their responses may be outstanding.
func service(all []SecondTotals, from, end float64) (lowest, mean float64) {
	lowest = 1
	var sumOffered, sumOnTime float64
	last := min(len(all), int(end)-12)
	for i := int(from); i < last; i++ {
		sumOffered, sumOnTime = sumOffered+all[i].OfferedWeight, sumOnTime+all[i].OnTimeWeight
		if i+10 > last {
			continue
		}
		offered, onTime := 0.0, 0.0
		for _, s := range all[i : i+10] {
			offered, onTime = offered+s.OfferedWeight, onTime+s.OnTimeWeight
		}
		if offered > 0 {
			lowest = min(lowest, onTime/offered)
		}
	}
	return lowest, sumOnTime / max(1, sumOffered)
}

// median returns the samples' median time to first token in seconds, or NaN without samples.
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

// applyFault injects the fault.
func (sim *Simulation) applyFault(fault Fault) {
	drained := 0
	for _, b := range sim.backends {
		isNew := b.pool == 2
		if fault.Stall > 0 && (isNew || fault.BothPools) {
			b.Pause(sim.now, sim.now+fault.Stall)
			sim.scheduleStep(b)
		}
		if isNew && fault.Slow > 0 {
			b.MultiplySlowdown(fault.Slow)
		}
		if isNew && fault.Errors > 0 {
			b.SetErrorShare(fault.Errors)
		}
		if isNew && fault.NewDead || !isNew && fault.OldDead {
			sim.failAttempts(b, b.Kill())
		}
		if !isNew && drained < fault.DrainOld {
			drained++
			b.Drain()
			b.state, b.drainedAt = standpoint.Draining, sim.now
		}
	}
	if drained > 0 {
		sim.publishList()
	}
}

// publishList sends the current endpoint list to all nodes, with a random delay of up to ListDelay.
func (sim *Simulation) publishList() {
	l := node.EndpointList{Kind: standpoint.ListFull}
	for _, b := range sim.backends {
		l.Endpoints = append(l.Endpoints, node.Endpoint{Address: b.name,
			Labels: map[string]string{"version": []string{"", "v1", "v2"}[b.pool]},
			Engine: standpoint.Engine{Name: b.name, Kind: b.kind, Size: 1, StartedAt: b.readyAt, State: b.state}})
	}
	for _, n := range sim.nodes {
		if sim.ListDelay > 0 {
			sim.At(sim.now+sim.ListDelay*sim.lossRNG.Float64(), func() { n.updateEndpoints(l) })
			continue
		}
		n.updateEndpoints(l)
	}
}
