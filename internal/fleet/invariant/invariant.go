// Package invariant is told, by the code that runs, of what must always hold and does not. In tests a violation ends the
// process; in service it is counted and logged, and whoever found it contains it: it refuses, drops or sets apart.
package invariant

import (
	"os"
	"sync/atomic"

	"go.uber.org/zap"
)

// Rule is what must hold.
type Rule uint8

// The rules. Each is checked where its name says.
const (
	SpentOverQuota    Rule = iota // rights: what a node has spent in a window is at most what it holds there
	LentOverBaseQuota             // rights: what a node has lent of a window is at most its own share of it
	StateTransition               // mode: a mode follows only one that its table names
	CounterBounds                 // tally: a reading's lower bound is at most its upper one, and falls for nobody
	EjectionLimit                 // judge: of a zone at most the stated share is left out
	SingleClaim                   // session: a session has one claim at a time, and fences only grow
	SessionTransition             // session: a state follows only one that its table names
	LedgerSums                    // ledger: sums are those of the entries, each counted once
	ruleCount
)

var ruleNames = [ruleCount]string{"spent_over_rights", "lent_over_share", "mode_table", "count_bounds", "left_out_share", "one_claim", "session_table",
	"ledger_sums"}

// String implements fmt.Stringer.
func (r Rule) String() string { return ruleNames[r] }

// ExitCode is the code with which a process ends at a violation, where it is strict.
const ExitCode = 70

// Monitor hears of violations. Its zero value counts.
type Monitor struct {
	// Strict has the first violation end the process.
	Strict bool
	// Log, if not nil, is told of each violation.
	Log *zap.Logger

	counts [ruleCount]atomic.Uint64
}

// Violated is called where a rule does not hold. A nil guard hears nothing.
func (g *Monitor) Violated(r Rule, detail string) {
	if g == nil {
		return
	}
	g.counts[r].Add(1)
	if g.Log != nil {
		g.Log.Error("an invariant does not hold", zap.Stringer("rule", r), zap.String("detail", detail))
	}
	if g.Strict {
		if g.Log != nil {
			_ = g.Log.Sync()
		}
		os.Stderr.WriteString("invariant " + r.String() + ": " + detail + "\n")
		os.Exit(ExitCode)
	}
}

// Violations are the violations so far, by rule; rules that held are left out.
func (g *Monitor) Violations() map[string]uint64 {
	all := map[string]uint64{}
	for r := range ruleCount {
		if n := g.counts[r].Load(); n > 0 {
			all[r.String()] = n
		}
	}
	return all
}
