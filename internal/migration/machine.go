package migration

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

// The states of a migration. The record stores their text.
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

// Terminal tells that nothing follows by itself.
func (s State) Terminal() bool { return s == Undone || s == Done }

const (
	maxEvents            = 64  // kept of a move's history
	severeWindows        = 8   // over which the new pool may be found far under the floor
	severeMinRequests    = 10  // flows that this must rest on
	severeMinLateWindows = 5   // windows of these with a flow not in time
	severeFraction       = 0.5 // of the floor
	severeDeviations     = 4.5 // standard deviations that this must not be by chance
	failedMinAttempts    = 6   // attempts, and flows that fell over, that show a pool to be dead
	failedFraction       = 0.5 // of them failed
	quietFraction        = 0.5 // of an alarm: with more evidence than this a step is not passed
	warmMinAnswers       = 5   // answers in time that the new pool must have given before the first step
	persistWindows       = 5   // windows after which the record is written anyway, for whoever looks at it or takes it over
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
	BaseMoved       map[string]string            `json:"base,omitempty"` // Shares.Moved as they were
	FromCapacity    float64                      `json:"from_size"`      // of From's boxes that were ready at the start
	StateWindows    int                          `json:"windows"`        // seen in this state
	ShareWindows    int                          `json:"granted"`        // windows since the last change of the share
	StepRequests    [2]int                       `json:"seen"`           // flows of From and To since the step was granted
	StepWeight      [2]float64                   `json:"in_step"`        // worth asked of To, and answered in time, since then
	ReturnFromShare float64                      `json:"back"`           // the share at which the return began
	Cause           string                       `json:"cause"`          // why it was halted; "" where the operator wished it
	Evidence        Evidence                     `json:"evidence"`
	LongTerm        [2]ratio                     `json:"long"`
	Recent          [severeWindows]windowSummary `json:"recent"`
}

// windowSummary is what the last windows showed of both pools, for what must not wait for evidence.
type windowSummary struct {
	From poolSummary `json:"from"`
	To   poolSummary `json:"to"`
}

type poolSummary struct {
	Requests      int     `json:"Flows"`
	LateWindows   int     `json:"Late"`  // whether any worth was late, as a count of windows
	OfferedWeight float64 `json:"Asked"` // worth
	OnTimeWeight  float64 `json:"InTime"`
	Attempted     int     `json:"Tried"`  // attempts and flows that fell over
	Failed        int     `json:"Failed"` // of them
	Ready         int     `json:"Ready"`
	Assigned      int     `json:"Assigned"`
}

// Errors of commands.
var (
	ErrOver    = errors.New("the move is over")
	ErrRunning = errors.New("a move is under way")
)

// Machine carries one move on.
type Machine struct {
	record         Record
	analysis       *analysis
	now            time.Time
	sincePersisted int // windows since the record was last given out as changed
}

// Start begins a move over the shares that hold. from and to are the pools' health now.
func Start(id string, p Plan, base pool.Shares, from, to Health, now time.Time) (*Machine, error) {
	if err := p.Check(); err != nil {
		return nil, err
	}
	if to.Ready == 0 {
		return nil, &PlanError{"to", fmt.Sprintf("pool %q has no box that is ready", p.To)}
	}
	p.Steps = slices.Clone(p.Steps)
	m := &Machine{record: Record{ID: id, Plan: p, State: Planned, Step: -1, Version: 1, Started: now, FromCapacity: from.Capacity, BaseMoved: base.Moved,
		Shares: pool.Shares{Moved: base.Moved, From: p.From, To: p.To}}, analysis: newAnalysis(p), now: now}
	m.addEvent("planned")
	return m, nil
}

// Resume takes up a recorded move.
func Resume(r Record) *Machine {
	m := &Machine{record: r, analysis: newAnalysis(r.Plan)}
	m.record.Events = slices.Clone(r.Events)
	m.analysis.evidence, m.analysis.longErrors, m.analysis.longLate = r.Evidence, r.LongTerm[0], r.LongTerm[1]
	return m
}

// Record is the move as it stands.
func (m *Machine) Record() Record {
	r := m.record
	r.Events = slices.Clone(r.Events)
	r.Evidence, r.LongTerm = m.analysis.evidence, [2]ratio{m.analysis.longErrors, m.analysis.longLate}
	return r
}

func (m *Machine) addEvent(form string, args ...any) {
	m.record.Events = append(m.record.Events, Event{m.now, m.record.State, m.record.CurrentShare(), fmt.Sprintf(form, args...)})
	if n := len(m.record.Events) - maxEvents; n > 0 {
		m.record.Events = slices.Delete(m.record.Events, 1, 1+n) // the first says how it began
	}
	m.record.Changed = m.now
}

func (m *Machine) transition(s State, form string, args ...any) {
	m.record.State, m.record.StateWindows, m.record.Reason = s, 0, ""
	m.addEvent(form, args...)
}

// setShare puts a share in force at all nodes that follow the record.
func (m *Machine) setShare(share float64) {
	if share == m.record.Shares.Share {
		return
	}
	m.record.Shares.Share = share
	m.record.Version++
	m.record.ShareWindows = 0
}

// setReason says why nothing happens.
func (m *Machine) setReason(form string, args ...any) { m.record.Reason = fmt.Sprintf(form, args...) }

// Command carries out an operator's wish. A wish that cannot be had changes nothing.
func (m *Machine) Command(now time.Time, command string) error {
	m.now = now
	s := m.record.State
	switch command {
	case "pause":
		switch {
		case s == Planned || s == Warming || s == Stepping || s == Holding:
			if !m.record.Paused {
				m.record.Paused = true
				m.addEvent("paused")
			}
			return nil
		case s.Terminal():
			return ErrOver
		}
		return fmt.Errorf("a move that is %s takes no step that could be paused", s)
	case "resume":
		switch {
		case s.Terminal():
			return ErrOver
		case s == Halted:
			m.analysis.evidence, m.record.Recent = Evidence{}, [severeWindows]windowSummary{}
			m.record.Cause = ""
			m.resetStepCounts()
			m.transition(Holding, "resumed by the operator: the step is watched afresh")
		case s == Returning:
			return errors.New("traffic is on its way back; start a new move once that is over")
		case m.record.Paused:
			m.record.Paused = false
			m.addEvent("resumed")
		}
		return nil
	case "undo":
		switch s {
		case Undone:
			return ErrOver
		case Returning:
			return nil
		case Planned:
			m.finishUndone("undone before any step")
			return nil
		case Done:
			// What was From's goes back, by the same means.
			m.record.Shares = pool.Shares{Moved: m.record.BaseMoved, From: m.record.Plan.From, To: m.record.Plan.To, Share: 1}
			m.record.Version++
		}
		m.record.Paused, m.record.Cause = false, ""
		m.startReturn("undo, by the operator")
		return nil
	}
	return fmt.Errorf("%q is neither pause, resume nor undo", command)
}

// resetStepCounts begins the count of a step anew.
func (m *Machine) resetStepCounts() {
	m.record.StepRequests, m.record.StepWeight, m.record.ShareWindows = [2]int{}, [2]float64{}, 0
}

func (m *Machine) startReturn(form string, args ...any) {
	m.record.ReturnFromShare = m.record.Shares.Share
	m.transition(Returning, form, args...)
}

func (m *Machine) finishUndone(text string) {
	m.record.Shares = m.record.Shares.Withdraw()
	m.record.Version++
	m.transition(Undone, "%s", text)
}

// Observe takes the next window in and goes on where it may. It tells whether the record should be written: a write
// is the step itself, for all nodes follow the record.
func (m *Machine) Observe(now time.Time, w Window) bool {
	m.now = now
	if m.record.State.Terminal() {
		return false
	}
	before := m.record
	m.record.StateWindows++
	m.record.ShareWindows++
	m.analysis.observe(&w)
	m.countWindow(&w)
	switch m.record.State {
	case Planned:
		m.observePlanned(&w)
	case Warming, Stepping, Holding:
		if !m.checkDegradation(&w) {
			m.advance(&w)
		}
	case Halted:
		m.observeHalted(&w)
	case Returning:
		m.observeReturning(&w)
	}
	m.sincePersisted++
	changed := m.record.State != before.State || m.record.Version != before.Version || m.record.Changed != before.Changed ||
		m.sincePersisted >= persistWindows
	if changed {
		m.sincePersisted = 0
	}
	return changed
}

// countWindow keeps the counts that the step and the quick rules rest on.
func (m *Machine) countWindow(w *Window) {
	m.record.StepRequests[0] += w.From.Requests
	m.record.StepRequests[1] += w.To.Requests
	m.record.StepWeight[0] += w.To.OfferedWeight
	m.record.StepWeight[1] += w.To.OnTimeWeight
	copy(m.record.Recent[1:], m.record.Recent[:severeWindows-1])
	m.record.Recent[0] = windowSummary{summarize(&w.From), summarize(&w.To)}
}

func summarize(s *PoolWindow) poolSummary {
	p := poolSummary{Requests: s.Requests, OfferedWeight: s.OfferedWeight, OnTimeWeight: s.OnTimeWeight, Attempted: s.Attempts + s.Overflowed, Failed: s.Errors + s.Overflowed,
		Ready: s.Health.Ready, Assigned: s.Requests + s.Overflowed}
	if s.OfferedWeight-s.OnTimeWeight > 1e-9 {
		p.LateWindows = 1
	}
	return p
}

// recent sums the last windows.
func (m *Machine) recent() (from, to poolSummary) {
	for _, b := range m.record.Recent {
		from, to = from.plus(b.From), to.plus(b.To)
	}
	return from, to
}

func (p poolSummary) plus(o poolSummary) poolSummary {
	return poolSummary{p.Requests + o.Requests, p.LateWindows + o.LateWindows, p.OfferedWeight + o.OfferedWeight, p.OnTimeWeight + o.OnTimeWeight, p.Attempted + o.Attempted,
		p.Failed + o.Failed, p.Ready + o.Ready, p.Assigned + o.Assigned}
}

// unfitReason tells why a pool can take no traffic; "" if it can.
func unfitReason(now Health, p poolSummary) string {
	switch {
	case now.Ready == 0:
		return "has no box that is ready"
	case p.Attempted >= failedMinAttempts && float64(p.Failed) >= failedFraction*float64(p.Attempted):
		return fmt.Sprintf("fails %d of %d attempts", p.Failed, p.Attempted)
	}
	return ""
}

// farBelowFloor tells that the new pool is so far under the floor that evidence need not be waited for. Both pools must be seen
// in the same windows, and the old one do well in them.
func (m *Machine) farBelowFloor() bool {
	from, to := m.recent()
	if to.Requests < severeMinRequests || to.LateWindows < severeMinLateWindows || to.OfferedWeight <= 0 {
		return false
	}
	usual := 1 - m.analysis.longLate.estimate(0.02)
	if from.Requests >= severeMinRequests {
		usual = from.OnTimeWeight / from.OfferedWeight
	}
	now := to.OnTimeWeight / to.OfferedWeight
	chance := math.Sqrt(usual*(1-usual)/float64(to.Requests)) + 1e-9
	return usual >= severeFraction && now < severeFraction*m.record.Plan.Floor*usual && (usual-now)/chance > severeDeviations
}

// checkDegradation halts the move where the new pool has been found worse, and has traffic go back where that is wished and the
// old pool can take it.
func (m *Machine) checkDegradation(w *Window) bool {
	from, to := m.recent()
	why := ""
	switch {
	case m.record.Shares.Share > 0 && w.To.Health.Ready == 0:
		why = fmt.Sprintf("the new pool %s", unfitReason(w.To.Health, to))
	case m.farBelowFloor():
		why = fmt.Sprintf("the new pool answers %.0f%% of its worth in time, far under the floor", 100*to.OnTimeWeight/to.OfferedWeight)
	case m.analysis.evidence.level() >= m.analysis.alarmLevel():
		why = "the new pool is worse by its " + processNames[m.analysis.evidence.strongest()]
	default:
		return false
	}
	old := unfitReason(w.From.Health, from)
	m.record.Cause = why
	if m.record.Plan.OnWorse == Stay || old != "" {
		m.transition(Halted, "%s", why)
		m.observeHalted(w)
		return true
	}
	m.transition(Halted, "%s", why)
	m.startReturn("returning: %s", why)
	// Where clients feel it already nothing is left behind; else kept prompts are given time to be read again.
	if usual := 1 - m.analysis.longLate.estimate(0.02); w.To.Health.Ready == 0 || m.farBelowFloor() || to.OnTimeWeight < m.record.Plan.Floor*usual*to.OfferedWeight {
		m.setShare(m.minimumReturnShare(w))
	}
	return true
}

// observeHalted waits for the operator; where the move was to go back and only the old pool kept it from that, it goes back
// once that pool is fit again.
func (m *Machine) observeHalted(w *Window) {
	from, _ := m.recent()
	old := unfitReason(w.From.Health, from)
	switch {
	case m.record.Plan.OnWorse == Stay && m.record.Cause != "":
		m.setReason("waiting for resume or undo: %s", m.record.Cause)
	case old != "":
		m.setReason("not returned: the old pool %s", old)
	case m.record.StateWindows >= severeWindows:
		m.startReturn("the old pool is fit again: returning")
	}
}

// minimumReturnShare is the least share of To that the old pool's boxes leave room for: where some of them are gone by
// now, not all can go back.
func (m *Machine) minimumReturnShare(w *Window) float64 {
	if m.record.FromCapacity <= 0 {
		return 0
	}
	kept := min(1, w.From.Health.WarmCapacity/m.record.FromCapacity)
	if kept >= warmThreshold {
		return 0
	}
	return min(m.record.ReturnFromShare, 1-kept)
}

func (m *Machine) observeReturning(w *Window) {
	from, to := m.recent()
	if old := unfitReason(w.From.Health, from); old != "" && w.To.Health.Ready > 0 && m.record.Shares.Share > 0 &&
		(from.Failed-to.Failed > 0 || w.From.Health.Ready == 0) {
		m.record.Cause = "the old pool failed during the return"
		m.transition(Halted, "the old pool %s: no more goes back", old)
		return
	}
	every, least := windowCount(m.record.Plan.ReturnEvery), m.minimumReturnShare(w)
	step := m.record.ReturnFromShare / float64(m.record.Plan.ReturnSteps)
	switch share := m.record.Shares.Share; {
	case share <= 0 && len(w.Lagging) == 0:
		m.finishUndone("all traffic is back")
	case share <= 0:
		m.setReason("waiting for %v", w.Lagging)
	case share <= least:
		m.setReason("the old pool has %.0f%% of its size left and cannot take more back", 100*w.From.Health.WarmCapacity/m.record.FromCapacity)
	case m.record.StateWindows == 1 || m.record.ShareWindows >= every:
		next := share - step
		if next < step/2 {
			next = 0
		}
		m.setShare(max(least, next))
		m.addEvent("%.0f%% left", 100*m.record.Shares.Share)
	}
}

func (m *Machine) observePlanned(w *Window) {
	switch {
	case m.record.Paused:
		m.setReason("paused")
	case len(w.Lagging) > 0:
		m.setReason("waiting for %v", w.Lagging)
	default:
		m.resetStepCounts()
		m.transition(Warming, "a trickle goes to the new pool")
		m.setShare(min(m.record.Plan.Trickle, m.attainableShare(w)))
	}
}

// attainableShare is the share that the new pool's boxes can take now.
func (m *Machine) attainableShare(w *Window) float64 {
	return m.record.Plan.maximumShare(w.From.Health, w.To.Health, m.record.FromCapacity)
}

// targetShare is the share that the state wants.
func (m *Machine) targetShare() float64 {
	if m.record.Step < 0 {
		return m.record.Plan.Trickle
	}
	return m.record.Plan.Steps[m.record.Step]
}

// advance goes on as far as cold boxes, nodes, samples and evidence allow.
func (m *Machine) advance(w *Window) {
	// Boxes that started anew in the middle of a move are cold again, and never hold more than cold ones can do.
	able := m.attainableShare(w)
	if granted := min(m.targetShare(), able); granted < m.record.Shares.Share {
		m.setShare(granted)
		if m.record.State == Holding {
			m.transition(Stepping, "the new pool's boxes are cold: %.0f%% for now", 100*granted)
		}
		return
	}
	if m.record.Paused {
		m.setReason("paused")
		return
	}
	switch m.record.State {
	case Warming:
		m.observeWarming(w, able)
	case Stepping:
		m.observeStepping(w, able)
	case Holding:
		m.observeHolding(w)
	}
}

func (m *Machine) observeWarming(w *Window, able float64) {
	p := &m.record.Plan
	granted := min(p.Trickle, able)
	if granted > m.record.Shares.Share+0.002 {
		m.setShare(granted)
	}
	answers := int(math.Round(float64(m.record.StepRequests[1]) * m.record.StepWeight[1] / max(m.record.StepWeight[0], 1e-9)))
	switch {
	case m.record.StateWindows < windowCount(p.Warm):
		m.setReason("warming up: at least %v", p.Warm)
	case able < p.Steps[0]:
		m.setReason("warming up: the new pool's boxes can take %.1f%% by now", 100*able)
	case answers < warmMinAnswers:
		m.setReason("too few samples: %d of %d answers in time from the new pool", answers, warmMinAnswers)
	default:
		m.startNextStep(w, able)
	}
}

// startNextStep grants the next step, as far as it can be granted yet.
func (m *Machine) startNextStep(_ *Window, able float64) {
	m.record.Step++
	m.resetStepCounts()
	m.setShare(min(m.targetShare(), able))
	m.transition(Stepping, "step %d of %d: %.0f%%", m.record.Step+1, len(m.record.Plan.Steps), 100*m.targetShare())
}

func (m *Machine) observeStepping(w *Window, able float64) {
	target := m.targetShare()
	switch share := m.record.Shares.Share; {
	case share < target-1e-9 && able > share+0.005:
		m.setShare(min(target, able))
		m.setReason("the new pool's boxes are cold: %.0f%% of %.0f%%", 100*m.record.Shares.Share, 100*target)
	case share < target-1e-9:
		m.setReason("the new pool's boxes are cold: %.0f%% of %.0f%%", 100*share, 100*target)
	case len(w.Lagging) > 0:
		m.setReason("waiting for %v", w.Lagging)
	default:
		m.resetStepCounts()
		m.transition(Holding, "%.0f%% is in force at %d nodes", 100*target, w.Nodes)
	}
}

func (m *Machine) observeHolding(w *Window) {
	p := &m.record.Plan
	from, _ := m.recent()
	old := unfitReason(w.From.Health, from)
	last := m.record.Step == len(p.Steps)-1
	switch {
	case m.record.StateWindows < windowCount(p.Hold):
		m.setReason("watched for at least %v", p.Hold)
	case len(w.Lagging) > 0:
		m.setReason("waiting for %v", w.Lagging)
	case m.record.StepRequests[1] < p.Samples:
		m.setReason("too few samples: %d of %d from the new pool", m.record.StepRequests[1], p.Samples)
	case old != "" && w.From.Health.Ready > 0:
		m.setReason("the old pool %s: nothing to compare with", old)
	case m.record.StepRequests[0] < p.Samples && m.record.Shares.Share < 1 && old == "":
		m.setReason("too few samples: %d of %d from the old pool", m.record.StepRequests[0], p.Samples)
	case m.analysis.evidence.level() > quietFraction*m.analysis.alarmLevel():
		m.setReason("the new pool looks worse by its %s; not sure yet", processNames[m.analysis.evidence.strongest()])
	case m.record.StepWeight[1] < p.Floor*(1-m.analysis.longLate.estimate(0.02))*m.record.StepWeight[0]:
		m.setReason("the new pool answered %.0f%% of its worth in time, under the floor", 100*m.record.StepWeight[1]/m.record.StepWeight[0])
	case !last:
		m.startNextStep(w, m.attainableShare(w))
	case m.record.Shares.Share < 1:
		m.setReason("the last step is held until undo, or a move with further steps")
	default:
		m.record.Shares = m.record.Shares.Finish()
		m.record.Version++
		m.transition(Done, "all traffic has moved")
	}
}

// CurrentShare is the share of From's flows that To has now.
func (r *Record) CurrentShare() float64 {
	if r.State == Done {
		return 1
	}
	return r.Shares.Share
}

// SetAuthor notes who started the move, and why.
func (m *Machine) SetAuthor(by, note string) { m.record.By, m.record.Note = by, note }

// EvidenceLevel is the evidence that a record holds against the new pool, as a part of what raises an alarm.
func (r *Record) EvidenceLevel() float64 {
	return max(0, r.Evidence.level()) / math.Log(r.Plan.Alarm)
}
