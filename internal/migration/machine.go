package migration

import (
	"errors"
	"fmt"
	"slices"
	"time"

	"standpoint/internal/pool"
)

const (
	maxEvents      = 64 // that a record's history keeps
	persistWindows = 5  // windows after which the record is stored anyway, for readers and for a successor
)

// Errors of commands.
var (
	ErrOver    = errors.New("the move is over")
	ErrRunning = errors.New("a move is under way")
)

// Command is what an operator may ask of a migration that has been started. Its text is that of the control interface.
type Command string

// The commands.
const (
	CommandPause  Command = "pause"  // take no further step
	CommandResume Command = "resume" // go on after a pause or a halt
	CommandUndo   Command = "undo"   // move all traffic back
)

// Machine is the state machine of one migration. It has no clock and does no I/O: Observe shows it one window after
// another, and the record that it then holds is put in force by storing it. It is not safe for concurrent use.
type Machine struct {
	record         Record
	analysis       *analysis
	now            time.Time
	sincePersisted int // windows since Observe last asked for the record to be stored
}

// Start begins a migration on top of the shares in force. from and to are the present health of the plan's pools. The
// error is a *PlanError if the plan cannot be carried out.
func Start(id string, plan Plan, base pool.Shares, from, to Health, now time.Time) (*Machine, error) {
	if err := plan.Check(); err != nil {
		return nil, err
	}
	if to.Ready == 0 {
		return nil, &PlanError{Key: "to", Reason: fmt.Sprintf("pool %q has no box that is ready", plan.To)}
	}
	plan.Steps = slices.Clone(plan.Steps)
	record := Record{
		ID:           id,
		Plan:         plan,
		State:        Planned,
		Step:         warmUpStep,
		Shares:       pool.Shares{Moved: base.Moved, From: plan.From, To: plan.To},
		Version:      1,
		Started:      now,
		BaseMoved:    base.Moved,
		FromCapacity: from.Capacity,
	}
	m := &Machine{record: record, analysis: newAnalysis(plan), now: now}
	m.addEvent("planned")
	return m, nil
}

// Resume continues a migration from its stored record.
func Resume(record Record) *Machine {
	m := &Machine{record: record, analysis: newAnalysis(record.Plan)}
	m.record.Events = slices.Clone(record.Events)
	m.analysis.evidence = record.Evidence
	m.analysis.longErrors = record.LongTerm[0]
	m.analysis.longLate = record.LongTerm[1]
	return m
}

// Record returns a copy of the migration's state, complete enough for Resume.
func (m *Machine) Record() Record {
	record := m.record
	record.Events = slices.Clone(record.Events)
	record.Evidence = m.analysis.evidence
	record.LongTerm = [2]ratio{m.analysis.longErrors, m.analysis.longLate}
	return record
}

// SetAuthor records who started the migration, and why.
func (m *Machine) SetAuthor(by, note string) {
	m.record.By = by
	m.record.Note = note
}

// Execute carries out an operator's command. A command that the present state does not allow changes nothing and
// returns an error.
func (m *Machine) Execute(now time.Time, command Command) error {
	m.now = now
	switch command {
	case CommandPause:
		return m.pause()
	case CommandResume:
		return m.resume()
	case CommandUndo:
		return m.undo()
	}
	return fmt.Errorf("%q is neither pause, resume nor undo", command)
}

func (m *Machine) pause() error {
	switch m.record.State {
	case Planned, Warming, Stepping, Holding:
	case Undone, Done:
		return ErrOver
	default:
		return fmt.Errorf("a move that is %s takes no step that could be paused", m.record.State)
	}
	if !m.record.Paused {
		m.record.Paused = true
		m.addEvent("paused")
	}
	return nil
}

func (m *Machine) resume() error {
	switch {
	case m.record.State.Terminal():
		return ErrOver
	case m.record.State == Halted:
		m.analysis.evidence = Evidence{}
		m.record.Recent = [severeWindows]windowSummary{}
		m.record.Cause = ""
		m.resetStepCounts()
		m.transition(Holding, "resumed by the operator: the step is watched afresh")
	case m.record.State == Returning:
		return errors.New("traffic is on its way back; start a new move once that is over")
	case m.record.Paused:
		m.record.Paused = false
		m.addEvent("resumed")
	}
	return nil
}

func (m *Machine) undo() error {
	switch m.record.State {
	case Undone:
		return ErrOver
	case Returning:
		return nil
	case Planned:
		m.finishUndone("undone before any step")
		return nil
	case Done:
		// The traffic that From had is returned by the same means as from an unfinished migration.
		m.record.Shares = pool.Shares{
			Moved: m.record.BaseMoved,
			From:  m.record.Plan.From,
			To:    m.record.Plan.To,
			Share: 1,
		}
		m.record.Version++
	}
	m.record.Paused = false
	m.record.Cause = ""
	m.startReturn("undo, by the operator")
	return nil
}

// Observe takes the next window in and advances the migration as far as it allows. It reports whether the record
// should be stored now: storing it is what puts a step in force, since all nodes follow the stored record.
func (m *Machine) Observe(now time.Time, window Window) bool {
	m.now = now
	if m.record.State.Terminal() {
		return false
	}
	before := m.record
	m.record.StateWindows++
	m.record.ShareWindows++
	m.analysis.observe(&window)
	m.countWindow(&window)
	switch m.record.State {
	case Planned:
		m.observePlanned(&window)
	case Warming, Stepping, Holding:
		if !m.checkDegradation(&window) {
			m.advance(&window)
		}
	case Halted:
		m.observeHalted(&window)
	case Returning:
		m.observeReturning(&window)
	}
	return m.persistDue(&before)
}

// persistDue reports whether the record has to be stored: it has changed since before, or it has not been stored for
// a while.
func (m *Machine) persistDue(before *Record) bool {
	m.sincePersisted++
	due := m.record.State != before.State ||
		m.record.Version != before.Version ||
		m.record.Changed != before.Changed ||
		m.sincePersisted >= persistWindows
	if due {
		m.sincePersisted = 0
	}
	return due
}

// countWindow updates the counts of the step and of the latest windows.
func (m *Machine) countWindow(window *Window) {
	m.record.StepRequests[0] += window.From.Requests
	m.record.StepRequests[1] += window.To.Requests
	m.record.StepWeight[0] += window.To.OfferedWeight
	m.record.StepWeight[1] += window.To.OnTimeWeight
	copy(m.record.Recent[1:], m.record.Recent[:severeWindows-1])
	m.record.Recent[0] = windowSummary{From: summarize(&window.From), To: summarize(&window.To)}
}

// resetStepCounts starts the counts of a step again.
func (m *Machine) resetStepCounts() {
	m.record.StepRequests = [2]int{}
	m.record.StepWeight = [2]float64{}
	m.record.ShareWindows = 0
}

// recent returns the sums over the latest windows.
func (m *Machine) recent() (from, to poolSummary) {
	for _, window := range m.record.Recent {
		from = from.plus(window.From)
		to = to.plus(window.To)
	}
	return from, to
}

// setShare puts a share in force, at all nodes that follow the record.
func (m *Machine) setShare(share float64) {
	if share == m.record.Shares.Share {
		return
	}
	m.record.Shares.Share = share
	m.record.Version++
	m.record.ShareWindows = 0
}

// setReason states why the migration does not advance.
func (m *Machine) setReason(format string, args ...any) {
	m.record.Reason = fmt.Sprintf(format, args...)
}

// transition enters another state, and adds an event that explains it.
func (m *Machine) transition(state State, format string, args ...any) {
	m.record.State = state
	m.record.StateWindows = 0
	m.record.Reason = ""
	m.addEvent(format, args...)
}

func (m *Machine) addEvent(format string, args ...any) {
	event := Event{
		At:    m.now,
		State: m.record.State,
		Share: m.record.CurrentShare(),
		Text:  fmt.Sprintf(format, args...),
	}
	m.record.Events = append(m.record.Events, event)
	if excess := len(m.record.Events) - maxEvents; excess > 0 {
		m.record.Events = slices.Delete(m.record.Events, 1, 1+excess) // the first says how the migration began
	}
	m.record.Changed = m.now
}
