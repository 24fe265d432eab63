package migration

import (
	"errors"
	"fmt"
	"slices"
	"time"

	"standpoint/internal/pool"
)

const (
	// maxEvents is the maximum number of events in a record's history.
	maxEvents = 64
	// maxWindowsUnpersisted is the number of windows after which an otherwise unchanged record is stored, so that
	// readers see current counts and a new leader loses little of them.
	maxWindowsUnpersisted = 5
)

// Errors returned for commands that the migration's state does not allow.
var (
	ErrTerminal = errors.New("the move is over")
	ErrRunning  = errors.New("a move is under way")
)

// Command is an operator's command to a migration that has been started. Its text is the one of the control interface.
type Command string

// The commands.
const (
	CommandPause  Command = "pause"  // start no further step
	CommandResume Command = "resume" // continue after a pause or a halt
	CommandUndo   Command = "undo"   // shift all traffic back
)

// Machine is the state machine of one migration. It reads no clock and does no I/O: Observe is called with one window
// after another, and the resulting record takes effect when the caller stores it. It is not safe for concurrent use.
type Machine struct {
	record              Record
	analysis            *analysis
	now                 time.Time // time of the latest call of Start, Execute or Observe
	windowsSincePersist int       // windows since Observe last requested that the record be stored
}

// Start creates a migration in addition to the shares in force, base. from and to are the current health of the plan's
// pools. The error is a *PlanError if the plan is invalid or the new pool has no ready backend.
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

// Resume returns a machine that continues a migration from its stored record.
func Resume(record Record) *Machine {
	m := &Machine{record: record, analysis: newAnalysis(record.Plan)}
	m.record.Events = slices.Clone(record.Events)
	m.analysis.evidence = record.Evidence
	m.analysis.longErrors = record.LongTerm[0]
	m.analysis.longLate = record.LongTerm[1]
	return m
}

// Record returns a copy of the migration's state, with everything that Resume needs.
func (m *Machine) Record() Record {
	record := m.record
	record.Events = slices.Clone(record.Events)
	record.Evidence = m.analysis.evidence
	record.LongTerm = [2]ratio{m.analysis.longErrors, m.analysis.longLate}
	return record
}

// SetAuthor records who started the migration and the operator's note.
func (m *Machine) SetAuthor(by, note string) {
	m.record.By = by
	m.record.Note = note
}

// Execute carries out an operator's command. A command that the current state does not allow has no effect and returns
// an error.
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
		return ErrTerminal
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
		return ErrTerminal
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
		return ErrTerminal
	case Returning:
		return nil
	case Planned:
		m.finishUndone("undone before any step")
		return nil
	case Done:
		// From's former traffic is shifted back in the same way as that of an unfinished migration.
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

// Observe processes the next window and advances the migration if the window allows it. It reports whether the record
// must be stored now: a step takes effect only when it is stored, since all nodes follow the stored record.
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

// persistDue reports whether the record must be stored: its state, its shares or its history differ from before, or it
// has not been stored for maxWindowsUnpersisted windows.
func (m *Machine) persistDue(before *Record) bool {
	m.windowsSincePersist++
	due := m.record.State != before.State ||
		m.record.Version != before.Version ||
		m.record.Changed != before.Changed ||
		m.windowsSincePersist >= maxWindowsUnpersisted
	if due {
		m.windowsSincePersist = 0
	}
	return due
}

// countWindow adds a window to the counts of the current step and to the most recent windows.
func (m *Machine) countWindow(window *Window) {
	m.record.StepRequests[0] += window.From.Requests
	m.record.StepRequests[1] += window.To.Requests
	m.record.StepWeight[0] += window.To.OfferedWeight
	m.record.StepWeight[1] += window.To.OnTimeWeight
	copy(m.record.Recent[1:], m.record.Recent[:severeWindows-1])
	m.record.Recent[0] = windowSummary{From: summarize(&window.From), To: summarize(&window.To)}
}

// resetStepCounts sets the counts of the current step to zero.
func (m *Machine) resetStepCounts() {
	m.record.StepRequests = [2]int{}
	m.record.StepWeight = [2]float64{}
	m.record.ShareWindows = 0
}

// recent returns the sums over the most recent windows, for each pool.
func (m *Machine) recent() (from, to poolSummary) {
	for _, window := range m.record.Recent {
		from = from.plus(window.From)
		to = to.plus(window.To)
	}
	return from, to
}

// setShare changes the share that the new pool gets on all nodes that follow the record.
func (m *Machine) setShare(share float64) {
	if share == m.record.Shares.Share {
		return
	}
	m.record.Shares.Share = share
	m.record.Version++
	m.record.ShareWindows = 0
}

// setReason records why the migration does not advance.
func (m *Machine) setReason(format string, args ...any) {
	m.record.Reason = fmt.Sprintf(format, args...)
}

// transition enters another state and adds an event with the reason to the history.
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
		m.record.Events = slices.Delete(m.record.Events, 1, 1+excess) // the first event is retained: it marks the start
	}
	m.record.Changed = m.now
}
