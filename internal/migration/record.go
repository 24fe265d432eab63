package migration

import (
	"math"
	"time"

	"standpoint/internal/pool"
)

// warmUpStep is the value of Record.Step before the first step has begun.
const warmUpStep = -1

// State is the state of a migration.
type State string

// The states of a migration. The record stores their text.
const (
	Planned   State = "planned"   // the record is stored, but not all live nodes follow it yet
	Warming   State = "warming"   // a small share of the traffic goes to the new pool while it warms up
	Stepping  State = "stepping"  // the share is raised as far as cold backends and lagging nodes allow
	Holding   State = "holding"   // the step's share is in force, and the pools are compared
	Halted    State = "halted"    // no further step until an operator decides or the old pool recovers
	Returning State = "returning" // traffic is shifted back to the old pool
	Undone    State = "undone"    // all traffic is back in the old pool
	Done      State = "done"      // all traffic goes to the new pool
)

// Terminal reports whether the migration is over; only an operator's undo of a Done migration still changes it.
func (s State) Terminal() bool { return s == Undone || s == Done }

// Event is an entry in a migration's history.
type Event struct {
	At    time.Time `json:"at"`
	State State     `json:"state"`
	Share float64   `json:"share"`
	Text  string    `json:"text"`
}

// Record is the stored state of a migration, with everything that Resume needs to continue it.
type Record struct {
	ID     string `json:"id"`
	Plan   Plan   `json:"plan"`
	By     string `json:"by,omitempty"`
	Note   string `json:"note,omitempty"`
	State  State  `json:"state"`
	Paused bool   `json:"paused,omitempty"`
	// Reason states why the migration does not advance.
	Reason string `json:"reason,omitempty"`
	// Step is the index of the current step in Plan.Steps; -1 while the new pool warms up.
	Step int `json:"step"`
	// Shares are the shares in force. Version increases by one with each change of them.
	Shares  pool.Shares `json:"shares"`
	Version uint64      `json:"version"`
	Started time.Time   `json:"started"`
	Changed time.Time   `json:"changed"`
	Events  []Event     `json:"events,omitempty"`

	// BaseMoved is the value of Shares.Moved before the migration.
	BaseMoved map[string]string `json:"base,omitempty"`
	// FromCapacity is the capacity of From's ready backends when the migration started.
	FromCapacity float64 `json:"from_size"`
	// StateWindows is the number of windows in the current state, ShareWindows the number of windows since the last
	// change of the share or reset of the step's counts.
	StateWindows int `json:"windows"`
	ShareWindows int `json:"granted"`
	// StepRequests are the numbers of requests of From and To that have ended in the current step.
	StepRequests [2]int `json:"seen"`
	// StepWeight is the priority weight offered to To in the current step, and the part of it that was served on time.
	StepWeight [2]float64 `json:"in_step"`
	// ReturnFromShare is the share at which the return to the old pool began.
	ReturnFromShare float64 `json:"back"`
	// Cause states why the migration was halted; it is empty if it was not, or if an operator requested the return.
	Cause    string   `json:"cause"`
	Evidence Evidence `json:"evidence"`
	// LongTerm are the decaying ratios of errors and of late weight in the old pool.
	LongTerm [2]ratio `json:"long"`
	// Recent summarises the latest windows, most recent first.
	Recent [severeWindows]windowSummary `json:"recent"`
}

// CurrentShare returns the share of From's requests that To gets now.
func (r *Record) CurrentShare() float64 {
	if r.State == Done {
		return 1
	}
	return r.Shares.Share
}

// EvidenceLevel returns the evidence that the new pool is worse, as a fraction of the evidence that raises the alarm.
func (r *Record) EvidenceLevel() float64 {
	return max(0, r.Evidence.level()) / math.Log(r.Plan.FalseAlarmWindows)
}

// windowSummary summarises one window of both pools, for the rules that do not wait for evidence.
type windowSummary struct {
	From poolSummary `json:"from"`
	To   poolSummary `json:"to"`
}

// poolSummary summarises one window of a pool, or is the sum over several windows.
type poolSummary struct {
	Requests      int     `json:"Flows"`    // requests that ended
	LateWindows   int     `json:"Late"`     // windows in which a request was late
	OfferedWeight float64 `json:"Asked"`    // priority weight of these requests
	OnTimeWeight  float64 `json:"InTime"`   // the part of OfferedWeight that was served on time
	Attempted     int     `json:"Tried"`    // attempts and overflowed requests
	Failed        int     `json:"Failed"`   // failed attempts and overflowed requests
	Ready         int     `json:"Ready"`    // ready backends
	Assigned      int     `json:"Assigned"` // requests that ended, and overflowed ones
}

func summarize(pool *PoolWindow) poolSummary {
	summary := poolSummary{
		Requests:      pool.Requests,
		OfferedWeight: pool.OfferedWeight,
		OnTimeWeight:  pool.OnTimeWeight,
		Attempted:     pool.Attempts + pool.Overflowed,
		Failed:        pool.Errors + pool.Overflowed,
		Ready:         pool.Health.Ready,
		Assigned:      pool.Requests + pool.Overflowed,
	}
	if pool.OfferedWeight-pool.OnTimeWeight > 1e-9 {
		summary.LateWindows = 1
	}
	return summary
}

func (s poolSummary) plus(other poolSummary) poolSummary {
	s.Requests += other.Requests
	s.LateWindows += other.LateWindows
	s.OfferedWeight += other.OfferedWeight
	s.OnTimeWeight += other.OnTimeWeight
	s.Attempted += other.Attempted
	s.Failed += other.Failed
	s.Ready += other.Ready
	s.Assigned += other.Assigned
	return s
}
