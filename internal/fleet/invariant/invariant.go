// Package invariant receives violations of what must always hold from the code that checks it as it runs. In tests
// a violation ends the process. In service it is counted and logged, and whoever found it contains it: it rejects,
// drops or quarantines what is at fault.
package invariant

import (
	"fmt"
	"os"
	"sync/atomic"

	"go.uber.org/zap"
)

// Rule is what must hold.
type Rule uint8

// The rules, each with the package that checks it.
const (
	SpentOverQuota    Rule = iota // quota: what a node has spent in a window is at most the quota that it has there
	LentOverBaseQuota             // quota: what a node has lent of a window is at most its base quota of it
	StateTransition               // connectivity, site: a state follows only one that its table names
	CounterBounds                 // counter: a reading's lower bound is at most its upper one, and not negative
	EjectionLimit                 // outlier: of a zone at most the configured share is ejected
	SingleClaim                   // session: a session has one claim at a time, and fencing tokens only grow
	SessionTransition             // session: a state follows only one that its table names
	LedgerSums                    // ledger: sums are those of the entries, each counted once
	ruleCount
)

// ruleNames are keys of what operators read, and must not change.
var ruleNames = [ruleCount]string{
	SpentOverQuota:    "spent_over_rights",
	LentOverBaseQuota: "lent_over_share",
	StateTransition:   "mode_table",
	CounterBounds:     "count_bounds",
	EjectionLimit:     "left_out_share",
	SingleClaim:       "one_claim",
	SessionTransition: "session_table",
	LedgerSums:        "ledger_sums",
}

// String implements fmt.Stringer.
func (r Rule) String() string { return ruleNames[r] }

// ExitCode is the code with which a strict process ends at a violation.
const ExitCode = 70

// Monitor receives violations. Its zero value counts them. It is safe for concurrent use; its exported fields are
// set before it is first used.
type Monitor struct {
	// Strict has the first violation end the process.
	Strict bool
	// Log, if not nil, receives each violation.
	Log *zap.Logger

	counts [ruleCount]atomic.Uint64
}

// Violated reports that a rule does not hold. A nil monitor ignores it.
func (m *Monitor) Violated(rule Rule, detail string) {
	if m == nil {
		return
	}
	m.counts[rule].Add(1)
	if m.Log != nil {
		m.Log.Error("invariant violated", zap.Stringer("rule", rule), zap.String("detail", detail))
	}
	if m.Strict {
		m.exit(rule, detail)
	}
}

func (m *Monitor) exit(rule Rule, detail string) {
	if m.Log != nil {
		_ = m.Log.Sync() // the process ends whether or not it succeeds
	}
	fmt.Fprintf(os.Stderr, "invariant %s: %s\n", rule, detail)
	os.Exit(ExitCode)
}

// Violations returns how often each rule was violated, by its name. Rules that held are left out.
func (m *Monitor) Violations() map[string]uint64 {
	violations := map[string]uint64{}
	for rule := range ruleCount {
		if count := m.counts[rule].Load(); count > 0 {
			violations[rule.String()] = count
		}
	}
	return violations
}
