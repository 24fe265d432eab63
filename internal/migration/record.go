package migration

import (
	"math"
	"time"

	"standpoint/internal/pool"
)

// warmUpStep is the Step of a record whose first step has not begun.
const warmUpStep = -1

// State is the state of a migration.
type State string

// The states of a migration. The record stores their text.
const (
	Planned   State = "planned"   // stored; some live nodes do not follow it yet
	Warming   State = "warming"   // a trickle of traffic goes to the new pool
	Stepping  State = "stepping"  // a step is put in force as far as cold backends and lagging nodes allow
	Holding   State = "holding"   // the step is in force and analysed
	Halted    State = "halted"    // no further step; an operator decides, or the old pool's recovery does
	Returning State = "returning" // traffic moves back
	Undone    State = "undone"    // all traffic is back
	Done      State = "done"      // all traffic has moved
)

// Terminal reports whether the migration changes no more unless an operator undoes it.
func (s State) Terminal() bool { return s == Undone || s == Done }

// Event is an entry of a migration's history.
type Event struct {
	At    time.Time `json:"at"`
	State State     `json:"state"`
	Share float64   `json:"share"`
	Text  string    `json:"text"`
}

// Record is the stored state of a migration, with all that Resume needs to continue it.
type Record struct {
	ID     string `json:"id"`
	Plan   Plan   `json:"plan"`
	By     string `json:"by,omitempty"`
	Note   string `json:"note,omitempty"`
	State  State  `json:"state"`
	Paused bool   `json:"paused,omitempty"`
	// Reason is why the migration does not advance, or why traffic moved back.
	Reason string `json:"reason,omitempty"`
	// Step is the index into Plan.Steps; -1 while the new pool warms up.
	Step int `json:"step"`
	// Shares are those in force; Version grows by one with each change of them.
	Shares  pool.Shares `json:"shares"`
	Version uint64      `json:"version"`
	Started time.Time   `json:"started"`
	Changed time.Time   `json:"changed"`
	Events  []Event     `json:"events,omitempty"`

	// BaseMoved is Shares.Moved as it was before the migration.
	BaseMoved map[string]string `json:"base,omitempty"`
	// FromCapacity is the capacity of From's ready backends at the start.
	FromCapacity float64 `json:"from_size"`
	// StateWindows and ShareWindows count the windows in this state and since the last change of the share.
	StateWindows int `json:"windows"`
	ShareWindows int `json:"granted"`
	// StepRequests are the requests of From and To that ended since the step was put in force.
	StepRequests [2]int `json:"seen"`
	// StepWeight is the priority weight offered to To since then, and the part of it that was answered on time.
	StepWeight [2]float64 `json:"in_step"`
	// ReturnFromShare is the share at which the return began.
	ReturnFromShare float64 `json:"back"`
	// Cause is why the migration was halted; empty if an operator asked for it.
	Cause    string   `json:"cause"`
	Evidence Evidence `json:"evidence"`
	// LongTerm are the decaying ratios of errors and of late weight in the old pool.
	LongTerm [2]ratio `json:"long"`
	// Recent summarises the latest windows, the newest first.
	Recent [severeWindows]windowSummary `json:"recent"`
}

// CurrentShare is the share of From's requests that To gets now.
func (r *Record) CurrentShare() float64 {
	if r.State == Done {
		return 1
	}
	return r.Shares.Share
}

// EvidenceLevel is the evidence against the new pool as a fraction of what raises the alarm.
func (r *Record) EvidenceLevel() float64 {
	return max(0, r.Evidence.level()) / math.Log(r.Plan.FalseAlarmWindows)
}

// windowSummary is what one window showed of both pools, for the rules that do not wait for evidence.
type windowSummary struct {
	From poolSummary `json:"from"`
	To   poolSummary `json:"to"`
}

// poolSummary is what one window showed of a pool, or the sum over several windows.
type poolSummary struct {
	Requests      int     `json:"Flows"`
	LateWindows   int     `json:"Late"`
	OfferedWeight float64 `json:"Asked"`
	OnTimeWeight  float64 `json:"InTime"`
	Attempted     int     `json:"Tried"` // attempts, and requests that overflowed
	Failed        int     `json:"Failed"`
	Ready         int     `json:"Ready"`
	Assigned      int     `json:"Assigned"`
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
