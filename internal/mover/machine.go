package mover

import (
	"errors"
	"fmt"
	"math"
	"slices"
	"time"

	"standpoint/internal/pool"
)

// State is a move's place in its life.
type State string

const (
	Planned   State = "planned"   // recorded; not all live nodes have it yet
	Warming   State = "warming"   // a trickle goes to the new pool
	Stepping  State = "stepping"  // a step is granted as far as cold boxes and slow nodes allow
	Holding   State = "holding"   // the step is in force and watched
	Halted    State = "halted"    // no further step; somebody decides, or the old pool's return does
	Returning State = "returning" // traffic goes back
	Undone    State = "undone"    // all of it is back
	Done      State = "done"      // all of it has moved
)

// Over tells that nothing follows by itself.
func (s State) Over() bool { return s == Undone || s == Done }

const (
	eventsMost   = 64  // kept of a move's history
	farWindows   = 8   // over which the new pool may be found far under the floor
	farLeast     = 10  // flows that this must rest on
	farSpread    = 5   // windows of these with a flow not in time
	farPart      = 0.5 // of the floor
	farChance    = 4.5 // standard deviations that this must not be by chance
	deadLeast    = 6   // attempts, and flows that fell over, that show a pool to be dead
	deadPart     = 0.5 // of them failed
	calmPart     = 0.5 // of an alarm: with more evidence than this a step is not passed
	warmAnswers  = 5   // answers in time that the new pool must have given before the first step
	progressTime = 5   // windows after which the record is written anyway, for whoever looks at it or takes it over
)

// Event is a line of a move's history.
type Event struct {
	At    time.Time `json:"at"`
	State State     `json:"state"`
	Share float64   `json:"share"`
	Text  string    `json:"text"`
}

// Record is all that the store holds of a move; whoever has it can carry the move on.
type Record struct {
	ID      string      `json:"id"`
	Plan    Plan        `json:"plan"`
	By      string      `json:"by,omitempty"`
	Note    string      `json:"note,omitempty"`
	State   State       `json:"state"`
	Paused  bool        `json:"paused,omitempty"`
	Reason  string      `json:"reason,omitempty"` // why it does not go on, or why it went back
	Step    int         `json:"step"`             // of Plan.Steps; -1 while warming
	Shares  pool.Shares `json:"shares"`           // in force
	Version uint64      `json:"version"`          // of the shares: one more with each change
	Started time.Time   `json:"started"`
	Changed time.Time   `json:"changed"`
	Events  []Event     `json:"events,omitempty"`

	// What carrying on needs.
	Base     map[string]string `json:"base,omitempty"` // Shares.Moved as they were
	FromSize float64           `json:"from_size"`      // of From's boxes that were ready at the start
	Windows  int               `json:"windows"`        // seen in this state
	Granted  int               `json:"granted"`        // windows since the last change of the share
	Seen     [2]int            `json:"seen"`           // flows of From and To since the step was granted
	InStep   [2]float64        `json:"in_step"`        // worth asked of To, and answered in time, since then
	Back     float64           `json:"back"`           // the share at which the return began
	Cause    string            `json:"cause"`          // why it was halted; "" where the operator wished it
	Evidence Evidence          `json:"evidence"`
	Long     [2]tally          `json:"long"`
	Recent   [farWindows]brim  `json:"recent"`
}

// brim is what the last windows showed of both pools, for what must not wait for evidence.
type brim struct {
	From pulse `json:"from"`
	To   pulse `json:"to"`
}

type pulse struct {
	Flows    int     `json:"Flows"`
	Late     int     `json:"Late"`  // whether any worth was late, as a count of windows
	Asked    float64 `json:"Asked"` // worth
	InTime   float64 `json:"InTime"`
	Tried    int     `json:"Tried"`  // attempts and flows that fell over
	Failed   int     `json:"Failed"` // of them
	Ready    int     `json:"Ready"`
	Assigned int     `json:"Assigned"`
}

// Errors of commands.
var (
	ErrOver    = errors.New("the move is over")
	ErrRunning = errors.New("a move is under way")
)

// Machine carries one move on.
type Machine struct {
	rec   Record
	judge *judge
	now   time.Time
	since int // windows since the record was last given out as changed
}

// Start begins a move over the shares that hold. from and to are the pools' health now.
func Start(id string, p Plan, base pool.Shares, from, to Health, now time.Time) (*Machine, error) {
	if err := p.Check(); err != nil {
		return nil, err
	}
	if to.Ready == 0 {
		return nil, &Fault{"to", fmt.Sprintf("pool %q has no box that is ready", p.To)}
	}
	p.Steps = slices.Clone(p.Steps)
	m := &Machine{rec: Record{ID: id, Plan: p, State: Planned, Step: -1, Version: 1, Started: now, FromSize: from.Size, Base: base.Moved,
		Shares: pool.Shares{Moved: base.Moved, From: p.From, To: p.To}}, judge: newJudge(p), now: now}
	m.tell("planned")
	return m, nil
}

// Resume takes up a recorded move.
func Resume(r Record) *Machine {
	m := &Machine{rec: r, judge: newJudge(r.Plan)}
	m.rec.Events = slices.Clone(r.Events)
	m.judge.evidence, m.judge.longErrors, m.judge.longLate = r.Evidence, r.Long[0], r.Long[1]
	return m
}

// Record is the move as it stands.
func (m *Machine) Record() Record {
	r := m.rec
	r.Events = slices.Clone(r.Events)
	r.Evidence, r.Long = m.judge.evidence, [2]tally{m.judge.longErrors, m.judge.longLate}
	return r
}

func (m *Machine) tell(form string, args ...any) {
	m.rec.Events = append(m.rec.Events, Event{m.now, m.rec.State, m.rec.InForce(), fmt.Sprintf(form, args...)})
	if n := len(m.rec.Events) - eventsMost; n > 0 {
		m.rec.Events = slices.Delete(m.rec.Events, 1, 1+n) // the first says how it began
	}
	m.rec.Changed = m.now
}

func (m *Machine) enter(s State, form string, args ...any) {
	m.rec.State, m.rec.Windows, m.rec.Reason = s, 0, ""
	m.tell(form, args...)
}

// grant puts a share in force at all nodes that follow the record.
func (m *Machine) grant(share float64) {
	if share == m.rec.Shares.Share {
		return
	}
	m.rec.Shares.Share = share
	m.rec.Version++
	m.rec.Granted = 0
}

// wait says why nothing happens.
func (m *Machine) wait(form string, args ...any) { m.rec.Reason = fmt.Sprintf(form, args...) }

// Command carries out an operator's wish. A wish that cannot be had changes nothing.
func (m *Machine) Command(now time.Time, wish string) error {
	m.now = now
	s := m.rec.State
	switch wish {
	case "pause":
		switch {
		case s == Planned || s == Warming || s == Stepping || s == Holding:
			if !m.rec.Paused {
				m.rec.Paused = true
				m.tell("paused")
			}
			return nil
		case s.Over():
			return ErrOver
		}
		return fmt.Errorf("a move that is %s takes no step that could be paused", s)
	case "resume":
		switch {
		case s.Over():
			return ErrOver
		case s == Halted:
			m.judge.evidence, m.rec.Recent = Evidence{}, [farWindows]brim{}
			m.rec.Cause = ""
			m.fresh()
			m.enter(Holding, "resumed by the operator: the step is watched afresh")
		case s == Returning:
			return errors.New("traffic is on its way back; start a new move once that is over")
		case m.rec.Paused:
			m.rec.Paused = false
			m.tell("resumed")
		}
		return nil
	case "undo":
		switch s {
		case Undone:
			return ErrOver
		case Returning:
			return nil
		case Planned:
			m.undone("undone before any step")
			return nil
		case Done:
			// What was From's goes back, by the same means.
			m.rec.Shares = pool.Shares{Moved: m.rec.Base, From: m.rec.Plan.From, To: m.rec.Plan.To, Share: 1}
			m.rec.Version++
		}
		m.rec.Paused, m.rec.Cause = false, ""
		m.goBack("undo, by the operator")
		return nil
	}
	return fmt.Errorf("%q is neither pause, resume nor undo", wish)
}

// fresh begins the count of a step anew.
func (m *Machine) fresh() {
	m.rec.Seen, m.rec.InStep, m.rec.Granted = [2]int{}, [2]float64{}, 0
}

func (m *Machine) goBack(form string, args ...any) {
	m.rec.Back = m.rec.Shares.Share
	m.enter(Returning, form, args...)
}

func (m *Machine) undone(text string) {
	m.rec.Shares = m.rec.Shares.Withdraw()
	m.rec.Version++
	m.enter(Undone, "%s", text)
}

// Observe takes the next window in and goes on where it may. It tells whether the record should be written: a write
// is the step itself, for all nodes follow the record.
func (m *Machine) Observe(now time.Time, w Window) bool {
	m.now = now
	if m.rec.State.Over() {
		return false
	}
	before := m.rec
	m.rec.Windows++
	m.rec.Granted++
	m.judge.see(&w)
	m.note(&w)
	switch m.rec.State {
	case Planned:
		m.planned(&w)
	case Warming, Stepping, Holding:
		if !m.worse(&w) {
			m.forward(&w)
		}
	case Halted:
		m.halted(&w)
	case Returning:
		m.returning(&w)
	}
	m.since++
	changed := m.rec.State != before.State || m.rec.Version != before.Version || m.rec.Changed != before.Changed ||
		m.since >= progressTime
	if changed {
		m.since = 0
	}
	return changed
}

// note keeps the counts that the step and the quick rules rest on.
func (m *Machine) note(w *Window) {
	m.rec.Seen[0] += w.From.Flows
	m.rec.Seen[1] += w.To.Flows
	m.rec.InStep[0] += w.To.Asked
	m.rec.InStep[1] += w.To.InTime
	copy(m.rec.Recent[1:], m.rec.Recent[:farWindows-1])
	m.rec.Recent[0] = brim{beat(&w.From), beat(&w.To)}
}

func beat(s *Side) pulse {
	p := pulse{Flows: s.Flows, Asked: s.Asked, InTime: s.InTime, Tried: s.Attempts + s.Fallen, Failed: s.Errors + s.Fallen,
		Ready: s.Health.Ready, Assigned: s.Flows + s.Fallen}
	if s.Asked-s.InTime > 1e-9 {
		p.Late = 1
	}
	return p
}

// recent sums the last windows.
func (m *Machine) recent() (from, to pulse) {
	for _, b := range m.rec.Recent {
		from, to = from.plus(b.From), to.plus(b.To)
	}
	return from, to
}

func (p pulse) plus(o pulse) pulse {
	return pulse{p.Flows + o.Flows, p.Late + o.Late, p.Asked + o.Asked, p.InTime + o.InTime, p.Tried + o.Tried,
		p.Failed + o.Failed, p.Ready + o.Ready, p.Assigned + o.Assigned}
}

// unfit tells why a pool can take no traffic; "" if it can.
func unfit(now Health, p pulse) string {
	switch {
	case now.Ready == 0:
		return "has no box that is ready"
	case p.Tried >= deadLeast && float64(p.Failed) >= deadPart*float64(p.Tried):
		return fmt.Sprintf("fails %d of %d attempts", p.Failed, p.Tried)
	}
	return ""
}

// far tells that the new pool is so far under the floor that evidence need not be waited for. Both pools must be seen
// in the same windows, and the old one do well in them.
func (m *Machine) far() bool {
	from, to := m.recent()
	if to.Flows < farLeast || to.Late < farSpread || to.Asked <= 0 {
		return false
	}
	usual := 1 - m.judge.longLate.share(0.02)
	if from.Flows >= farLeast {
		usual = from.InTime / from.Asked
	}
	now := to.InTime / to.Asked
	chance := math.Sqrt(usual*(1-usual)/float64(to.Flows)) + 1e-9
	return usual >= farPart && now < farPart*m.rec.Plan.Floor*usual && (usual-now)/chance > farChance
}

// worse halts the move where the new pool has been found worse, and has traffic go back where that is wished and the
// old pool can take it.
func (m *Machine) worse(w *Window) bool {
	from, to := m.recent()
	why := ""
	switch {
	case m.rec.Shares.Share > 0 && w.To.Health.Ready == 0:
		why = fmt.Sprintf("the new pool %s", unfit(w.To.Health, to))
	case m.far():
		why = fmt.Sprintf("the new pool answers %.0f%% of its worth in time, far under the floor", 100*to.InTime/to.Asked)
	case m.judge.evidence.level() >= m.judge.limit():
		why = "the new pool is worse by its " + processNames[m.judge.evidence.strongest()]
	default:
		return false
	}
	old := unfit(w.From.Health, from)
	m.rec.Cause = why
	if m.rec.Plan.OnWorse == Stay || old != "" {
		m.enter(Halted, "%s", why)
		m.halted(w)
		return true
	}
	m.enter(Halted, "%s", why)
	m.goBack("returning: %s", why)
	// Where clients feel it already nothing is left behind; else kept prompts are given time to be read again.
	if usual := 1 - m.judge.longLate.share(0.02); w.To.Health.Ready == 0 || m.far() || to.InTime < m.rec.Plan.Floor*usual*to.Asked {
		m.grant(m.floorOfReturn(w))
	}
	return true
}

// halted waits for the operator; where the move was to go back and only the old pool kept it from that, it goes back
// once that pool is fit again.
func (m *Machine) halted(w *Window) {
	from, _ := m.recent()
	old := unfit(w.From.Health, from)
	switch {
	case m.rec.Plan.OnWorse == Stay && m.rec.Cause != "":
		m.wait("waiting for resume or undo: %s", m.rec.Cause)
	case old != "":
		m.wait("not returned: the old pool %s", old)
	case m.rec.Windows >= farWindows:
		m.goBack("the old pool is fit again: returning")
	}
}

// floorOfReturn is the least share of To that the old pool's boxes leave room for: where some of them are gone by
// now, not all can go back.
func (m *Machine) floorOfReturn(w *Window) float64 {
	if m.rec.FromSize <= 0 {
		return 0
	}
	kept := min(1, w.From.Health.Able/m.rec.FromSize)
	if kept >= warmEnough {
		return 0
	}
	return min(m.rec.Back, 1-kept)
}

func (m *Machine) returning(w *Window) {
	from, to := m.recent()
	if old := unfit(w.From.Health, from); old != "" && w.To.Health.Ready > 0 && m.rec.Shares.Share > 0 &&
		(from.Failed-to.Failed > 0 || w.From.Health.Ready == 0) {
		m.rec.Cause = "the old pool failed during the return"
		m.enter(Halted, "the old pool %s: no more goes back", old)
		return
	}
	every, least := windows(m.rec.Plan.ReturnEvery), m.floorOfReturn(w)
	step := m.rec.Back / float64(m.rec.Plan.ReturnSteps)
	switch share := m.rec.Shares.Share; {
	case share <= 0 && len(w.Behind) == 0:
		m.undone("all traffic is back")
	case share <= 0:
		m.wait("waiting for %v", w.Behind)
	case share <= least:
		m.wait("the old pool has %.0f%% of its size left and cannot take more back", 100*w.From.Health.Able/m.rec.FromSize)
	case m.rec.Windows == 1 || m.rec.Granted >= every:
		next := share - step
		if next < step/2 {
			next = 0
		}
		m.grant(max(least, next))
		m.tell("%.0f%% left", 100*m.rec.Shares.Share)
	}
}

func (m *Machine) planned(w *Window) {
	switch {
	case m.rec.Paused:
		m.wait("paused")
	case len(w.Behind) > 0:
		m.wait("waiting for %v", w.Behind)
	default:
		m.fresh()
		m.enter(Warming, "a trickle goes to the new pool")
		m.grant(min(m.rec.Plan.Trickle, m.able(w)))
	}
}

// able is the share that the new pool's boxes can take now.
func (m *Machine) able(w *Window) float64 {
	return m.rec.Plan.cap(w.From.Health, w.To.Health, m.rec.FromSize)
}

// target is the share that the state wants.
func (m *Machine) target() float64 {
	if m.rec.Step < 0 {
		return m.rec.Plan.Trickle
	}
	return m.rec.Plan.Steps[m.rec.Step]
}

// forward goes on as far as cold boxes, nodes, samples and evidence allow.
func (m *Machine) forward(w *Window) {
	// Boxes that started anew in the middle of a move are cold again, and never hold more than cold ones can do.
	able := m.able(w)
	if granted := min(m.target(), able); granted < m.rec.Shares.Share {
		m.grant(granted)
		if m.rec.State == Holding {
			m.enter(Stepping, "the new pool's boxes are cold: %.0f%% for now", 100*granted)
		}
		return
	}
	if m.rec.Paused {
		m.wait("paused")
		return
	}
	switch m.rec.State {
	case Warming:
		m.warming(w, able)
	case Stepping:
		m.stepping(w, able)
	case Holding:
		m.holding(w)
	}
}

func (m *Machine) warming(w *Window, able float64) {
	p := &m.rec.Plan
	granted := min(p.Trickle, able)
	if granted > m.rec.Shares.Share+0.002 {
		m.grant(granted)
	}
	answers := int(math.Round(float64(m.rec.Seen[1]) * m.rec.InStep[1] / max(m.rec.InStep[0], 1e-9)))
	switch {
	case m.rec.Windows < windows(p.Warm):
		m.wait("warming up: at least %v", p.Warm)
	case able < p.Steps[0]:
		m.wait("warming up: the new pool's boxes can take %.1f%% by now", 100*able)
	case answers < warmAnswers:
		m.wait("too few samples: %d of %d answers in time from the new pool", answers, warmAnswers)
	default:
		m.next(w, able)
	}
}

// next grants the next step, as far as it can be granted yet.
func (m *Machine) next(w *Window, able float64) {
	m.rec.Step++
	m.fresh()
	m.grant(min(m.target(), able))
	m.enter(Stepping, "step %d of %d: %.0f%%", m.rec.Step+1, len(m.rec.Plan.Steps), 100*m.target())
}

func (m *Machine) stepping(w *Window, able float64) {
	target := m.target()
	switch share := m.rec.Shares.Share; {
	case share < target-1e-9 && able > share+0.005:
		m.grant(min(target, able))
		m.wait("the new pool's boxes are cold: %.0f%% of %.0f%%", 100*m.rec.Shares.Share, 100*target)
	case share < target-1e-9:
		m.wait("the new pool's boxes are cold: %.0f%% of %.0f%%", 100*share, 100*target)
	case len(w.Behind) > 0:
		m.wait("waiting for %v", w.Behind)
	default:
		m.fresh()
		m.enter(Holding, "%.0f%% is in force at %d nodes", 100*target, w.Nodes)
	}
}

func (m *Machine) holding(w *Window) {
	p := &m.rec.Plan
	from, _ := m.recent()
	old := unfit(w.From.Health, from)
	last := m.rec.Step == len(p.Steps)-1
	switch {
	case m.rec.Windows < windows(p.Hold):
		m.wait("watched for at least %v", p.Hold)
	case len(w.Behind) > 0:
		m.wait("waiting for %v", w.Behind)
	case m.rec.Seen[1] < p.Samples:
		m.wait("too few samples: %d of %d from the new pool", m.rec.Seen[1], p.Samples)
	case old != "" && w.From.Health.Ready > 0:
		m.wait("the old pool %s: nothing to compare with", old)
	case m.rec.Seen[0] < p.Samples && m.rec.Shares.Share < 1 && old == "":
		m.wait("too few samples: %d of %d from the old pool", m.rec.Seen[0], p.Samples)
	case m.judge.evidence.level() > calmPart*m.judge.limit():
		m.wait("the new pool looks worse by its %s; not sure yet", processNames[m.judge.evidence.strongest()])
	case m.rec.InStep[1] < p.Floor*(1-m.judge.longLate.share(0.02))*m.rec.InStep[0]:
		m.wait("the new pool answered %.0f%% of its worth in time, under the floor", 100*m.rec.InStep[1]/m.rec.InStep[0])
	case !last:
		m.next(w, m.able(w))
	case m.rec.Shares.Share < 1:
		m.wait("the last step is held until undo, or a move with further steps")
	default:
		m.rec.Shares = m.rec.Shares.Finish()
		m.rec.Version++
		m.enter(Done, "all traffic has moved")
	}
}

// InForce is the share of From's flows that To has now.
func (r *Record) InForce() float64 {
	if r.State == Done {
		return 1
	}
	return r.Shares.Share
}

// Sign notes who started the move, and why.
func (m *Machine) Sign(by, note string) { m.rec.By, m.rec.Note = by, note }

// Level is the evidence that a record holds against the new pool, as a part of what raises an alarm.
func (r *Record) Level() float64 {
	return max(0, r.Evidence.level()) / math.Log(r.Plan.Alarm)
}
