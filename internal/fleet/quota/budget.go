// Package quota decides what a node may spend of the budgets that its fleet shares, by escrow. It is pure: the time
// is an argument, and what has to be sent to other nodes is returned.
//
// A budget has an amount for each of its windows, and every member slot has a base quota of that, which needs no
// message. A node spends only quota that it owns: its slot's base quota, less what it has lent, plus what others
// have lent to it. Quota is for windows by their number, so that what is spent in a window is at most the budget,
// whatever messages are lost, duplicated, late or cut off, and whatever the clocks say. docs/design/onefleet.md
// explains the design.
package quota

import (
	"fmt"
	"math/bits"
	"time"

	"github.com/cespare/xxhash/v2"
)

// Bounds of what a node holds for one budget.
const (
	MaxTransfers = 64             // that a node has lent, and as many that it has borrowed
	MaxWindows   = 4096           // after the current one, in which something may be spent already
	MaxAmount    = int64(1) << 53 // of anything that is spent, lent or counted
	maxWeight    = int64(1) << 20 // of a slot
	maxSlots     = 1 << 16        // of a fleet
	minWindow    = 10 * time.Millisecond
	maxWindow    = 366 * 24 * time.Hour
)

// Budget is what the fleet may spend of something in each window. Its exported fields are set before Complete is
// called, and never change afterwards; from then on it is safe for concurrent use.
type Budget struct {
	Name            string
	Amount          int64         // in each window
	Overdraft       int64         // beyond the amount, in each window; divided among the slots like it
	Window          time.Duration // windows are counted from Unix time 0
	WindowsAhead    int           // windows after the current one in which something may be spent now
	TransferWindows int           // windows for which quota is lent at the most, the current one included
	Weights         []int64       // by slot; a slot of weight 0 has no base quota

	totalWeight        int64
	amountRemainder    int64 // of the amount, which does not divide evenly by weight
	overdraftRemainder int64
	definitionHash     uint64
}

// Complete checks the budget and computes what follows from its fields. The error is a *BudgetError.
func (b *Budget) Complete() error {
	if err := b.validate(); err != nil {
		return err
	}
	if err := b.sumWeights(); err != nil {
		return err
	}
	b.amountRemainder = b.Amount
	b.overdraftRemainder = b.Overdraft
	for slot := range b.Weights {
		b.amountRemainder -= b.evenShare(b.Amount, slot)
		b.overdraftRemainder -= b.evenShare(b.Overdraft, slot)
	}
	hash := xxhash.New()
	// Nodes compare the hash with that of nodes of other versions: its input must never change.
	fmt.Fprint(hash, b.Name, "\x00", b.Amount, b.Overdraft, b.Window, b.WindowsAhead, b.TransferWindows, b.Weights)
	b.definitionHash = hash.Sum64()
	return nil
}

// BudgetError reports a field of a budget that is missing or out of range.
type BudgetError struct {
	// Key is the field as the operator's file names it; "" where the fault is in no single one.
	Key string
	// Reason says what is wrong with its value.
	Reason string
}

// Error implements error.
func (e *BudgetError) Error() string {
	if e.Key == "" {
		return e.Reason
	}
	return e.Key + ": " + e.Reason
}

func budgetError(key, format string, args ...any) error {
	return &BudgetError{Key: key, Reason: fmt.Sprintf(format, args...)}
}

// validate checks the fields, but for the weights.
func (b *Budget) validate() error {
	switch {
	case b.Name == "":
		return budgetError("name", "missing")
	case b.Amount < 0 || b.Amount > MaxAmount:
		return budgetError("amount", "%d is not from 0 to %d", b.Amount, MaxAmount)
	case b.Overdraft < 0 || b.Overdraft > MaxAmount:
		return budgetError("overdraft", "%d is not from 0 to %d", b.Overdraft, MaxAmount)
	case b.Window < minWindow || b.Window > maxWindow:
		return budgetError("window", "%v is not from 10ms to a year", b.Window)
	case b.WindowsAhead < 0 || b.WindowsAhead >= MaxWindows:
		return budgetError("ahead", "%d is not from 0 to %d windows", b.WindowsAhead, MaxWindows-1)
	case b.TransferWindows < 1 || b.TransferWindows > MaxWindows:
		return budgetError("loan", "%d is not from 1 to %d windows", b.TransferWindows, MaxWindows)
	case len(b.Weights) == 0 || len(b.Weights) > maxSlots:
		return budgetError("", "%d seats; it takes 1 to 65,536", len(b.Weights))
	}
	return nil
}

// sumWeights checks the weights and sums them up.
func (b *Budget) sumWeights() error {
	b.totalWeight = 0
	for slot, weight := range b.Weights {
		if weight < 0 || weight > maxWeight {
			return budgetError(fmt.Sprintf("seat[%d].weight", slot), "%d is not from 0 to %d", weight, maxWeight)
		}
		b.totalWeight += weight
	}
	if b.totalWeight == 0 {
		return budgetError("", "no seat has a weight")
	}
	return nil
}

// DefinitionHash is the same at all nodes whose budgets are defined alike. Nodes lend to each other only where it is.
func (b *Budget) DefinitionHash() uint64 { return b.definitionHash }

// WindowAt returns the number of the window that a time, in Unix nanoseconds, falls in.
func (b *Budget) WindowAt(now int64) int64 { return now / int64(b.Window) }

// WindowStart returns when a window begins, in Unix nanoseconds.
func (b *Budget) WindowStart(window int64) int64 { return window * int64(b.Window) }

// evenShare is the part of a total that a slot's weight gives it, rounded down.
func (b *Budget) evenShare(total int64, slot int) int64 {
	high, low := bits.Mul64(uint64(total), uint64(b.Weights[slot]))
	quotient, _ := bits.Div64(high, low, uint64(b.totalWeight))
	return int64(quotient)
}

// remainderUnit is 1 where it is the slot's turn, in this window, for one unit of a remainder that does not divide
// evenly, else 0. Turns go round, so that a budget smaller than the number of slots is everybody's in turn.
func (b *Budget) remainderUnit(remainder int64, slot int, window int64) int64 {
	if remainder == 0 {
		return 0
	}
	slots := int64(len(b.Weights))
	position := ((int64(slot)-window*remainder)%slots + slots) % slots
	if position < remainder {
		return 1
	}
	return 0
}

// BaseQuota is what the owner of a slot may spend in a window without a message from anybody. The base quotas of
// all slots sum up to the amount.
func (b *Budget) BaseQuota(slot int, window int64) int64 {
	if slot < 0 || slot >= len(b.Weights) {
		return 0
	}
	return b.evenShare(b.Amount, slot) + b.remainderUnit(b.amountRemainder, slot, window)
}

// OverdraftQuota is a slot's share of the overdraft in a window.
func (b *Budget) OverdraftQuota(slot int, window int64) int64 {
	if slot < 0 || slot >= len(b.Weights) {
		return 0
	}
	return b.evenShare(b.Overdraft, slot) + b.remainderUnit(b.overdraftRemainder, slot, window)
}
