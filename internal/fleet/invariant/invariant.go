// Package invariant collects violations of invariants that the program checks at run time. In tests a violation ends
// the process. In production it is counted and logged, and the code that detected it contains the fault: it rejects,
// drops or quarantines the data concerned.
package invariant

import (
	"fmt"
	"os"
	"sync/atomic"

	"go.uber.org/zap"
)

// Rule is an invariant.
type Rule uint8

// The rules, each with the packages that check it.
const (
	SpentOverQuota    Rule = iota // quota: a node spends no more in a window than its quota and overdraft
	LentOverBaseQuota             // quota: a node lends no more of a window than its base quota
	StateTransition               // connectivity, site: each state transition is allowed by the transition table
	CounterBounds                 // counter: the lower bound of a reading is at most the upper one, and not negative
	EjectionLimit                 // outlier: at most the configured share of a zone's backends is ejected
	SingleClaim                   // session: a session has one claim at a time, and its fencing token only grows
	SessionTransition             // session: each state transition is allowed by the transition table
	LedgerSums                    // ledger: the sums are those of the entries, each counted once
	ruleCount
)

// ruleNames are keys in the status that operators read, and must not change.
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

// ExitCode is the exit code of a process that a strict monitor ends.
const ExitCode = 70

// Monitor counts violations. Its zero value is ready for use, and only counts them. It is safe for concurrent use; its
// exported fields are set before it is first used.
type Monitor struct {
	// Strict makes the first violation end the process.
	Strict bool
	// Log receives each violation. It may be nil.
	Log *zap.Logger

	counts [ruleCount]atomic.Uint64
}

// RecordViolation records a violation of a rule. The detail describes it. A nil monitor ignores violations.
func (m *Monitor) RecordViolation(rule Rule, detail string) {
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

// exit ends the process because of a violation.
func (m *Monitor) exit(rule Rule, detail string) {
	if m.Log != nil {
		_ = m.Log.Sync() // the process ends even if it fails
	}
	fmt.Fprintf(os.Stderr, "invariant %s: %s\n", rule, detail)
	os.Exit(ExitCode)
}

// Violations returns the number of violations of each rule, by the rule's name. Rules without violations are left out.
func (m *Monitor) Violations() map[string]uint64 {
	violations := map[string]uint64{}
	for rule := range ruleCount {
		if count := m.counts[rule].Load(); count > 0 {
			violations[rule.String()] = count
		}
	}
	return violations
}
