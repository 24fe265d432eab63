// Package quota decides how much of the budgets that a fleet shares a node may spend. It uses an escrow scheme, and
// is pure: the time is an argument, and messages to other nodes are returned.
//
// A budget has an amount for each of its time windows, and every member slot has a base quota of that amount, for
// which no message is needed. A node spends only quota that it owns: its slot's base quota, less what it has lent,
// plus what others have lent to it. Quota belongs to windows with a number, so that no more than the budget is spent
// in a window, even if messages are lost, duplicated or late, nodes are partitioned, or clocks are wrong.
// docs/design/onefleet.md explains the design.
package quota

import (
	"fmt"
	"math/bits"
	"time"

	"github.com/cespare/xxhash/v2"
)

// Limits of budgets and allocations.
const (
	MaxTransfers = 64             // maximum number of lent transfers, and of borrowed ones, of a node and a budget
	MaxWindows   = 4096           // maximum number of windows in which quota can be spent or lent at a time
	MaxAmount    = int64(1) << 53 // maximum of every amount that is spent, lent or counted
	maxWeight    = int64(1) << 20 // maximum weight of a slot
	maxSlots     = 1 << 16        // maximum number of slots of a fleet
	minWindow    = 10 * time.Millisecond
	maxWindow    = 366 * 24 * time.Hour
)

// Budget defines an amount, of tokens for example, that the fleet may spend in each window. Its exported fields are
// set before Complete is called, and do not change afterwards; from then on it is safe for concurrent use.
type Budget struct {
	Name            string
	Amount          int64         // amount in each window
	Overdraft       int64         // further amount in each window, divided among the slots like Amount
	Window          time.Duration // length of a window; windows are numbered from Unix time 0
	WindowsAhead    int           // number of windows after the current one in which quota can be spent now
	TransferWindows int           // maximum number of windows of a transfer
	Weights         []int64       // weights of the slots; a slot of weight 0 has a base quota of at most 1

	totalWeight        int64
	amountRemainder    int64  // part of Amount that does not divide evenly by weight
	overdraftRemainder int64  // part of Overdraft that does not divide evenly by weight
	definitionHash     uint64 // see DefinitionHash
}

// Complete validates the budget and computes the values that depend on its fields. The error is a *BudgetError.
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
	// Nodes compare the hash with those of nodes of other versions, so its input must never change.
	fmt.Fprint(hash, b.Name, "\x00", b.Amount, b.Overdraft, b.Window, b.WindowsAhead, b.TransferWindows, b.Weights)
	b.definitionHash = hash.Sum64()
	return nil
}

// BudgetError reports a field of a budget that is missing or out of range.
type BudgetError struct {
	// Key is the key of the field in the operator's file, or "" if the fault is in no single field.
	Key string
	// Reason describes the fault.
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

// validate checks all fields except the weights.
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
		return budgetError("", "%d seats are not from 1 to 65,536", len(b.Weights))
	}
	return nil
}

// sumWeights checks the weights and computes their sum.
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

// DefinitionHash returns a hash of the budget's definition. Nodes lend to each other only if their hashes are equal.
func (b *Budget) DefinitionHash() uint64 { return b.definitionHash }

// WindowAt returns the number of the window that contains a time, in Unix nanoseconds.
func (b *Budget) WindowAt(now int64) int64 { return now / int64(b.Window) }

// WindowStart returns the start of a window in Unix nanoseconds.
func (b *Budget) WindowStart(window int64) int64 { return window * int64(b.Window) }

// evenShare returns a slot's share of a total by its weight, rounded down.
func (b *Budget) evenShare(total int64, slot int) int64 {
	high, low := bits.Mul64(uint64(total), uint64(b.Weights[slot]))
	quotient, _ := bits.Div64(high, low, uint64(b.totalWeight))
	return int64(quotient)
}

// remainderUnit returns 1 if a slot receives one unit of a remainder in a window, else 0. The units rotate over the
// slots from window to window, so that every slot has quota at times even if the budget is smaller than the number of
// slots.
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

// BaseQuota returns the amount that the owner of a slot may spend in a window without a message from another node.
// The base quotas of all slots sum to Amount.
func (b *Budget) BaseQuota(slot int, window int64) int64 {
	if slot < 0 || slot >= len(b.Weights) {
		return 0
	}
	return b.evenShare(b.Amount, slot) + b.remainderUnit(b.amountRemainder, slot, window)
}

// OverdraftQuota returns a slot's share of the overdraft in a window.
func (b *Budget) OverdraftQuota(slot int, window int64) int64 {
	if slot < 0 || slot >= len(b.Weights) {
		return 0
	}
	return b.evenShare(b.Overdraft, slot) + b.remainderUnit(b.overdraftRemainder, slot, window)
}
