// Package rights decides what a node may spend of the budgets that its fleet shares. It is pure: time is passed in, and what
// is to be told to others is returned.
//
// Each budget has so much for each of its windows, and every seat of the fleet a share of that which needs nobody's word. A
// node spends only rights that it holds: its seat's share, less what it has lent, and what others have lent to it. Rights are
// for windows by their number, so that what is spent in a window is at most the budget whatever is lost, doubled, late or cut
// off, and whatever clocks say; why it is built so stands in docs/design/onefleet.md.
package quota

import (
	"errors"
	"fmt"
	"math/bits"
	"time"

	"github.com/cespare/xxhash/v2"
)

// Bounds of what a node holds for one budget.
const (
	MaxTransfers = 64   // loans out, and as many in
	MaxWindows   = 4096 // ahead of the present one, in which something may be spent already
	MaxAmount    = int64(1) << 53
)

// Budget is what the fleet may spend of something in each window. It never changes once complete.
type Budget struct {
	Name            string
	Amount          int64         // in each window
	Overdraft       int64         // beyond it, which the configuration puts up with; shared like the amount
	Window          time.Duration // windows are counted from Unix time 0
	WindowsAhead    int           // windows after the present one in which something may be spent now
	TransferWindows int           // windows for which rights are lent at the most, the present one included
	Weights         []int64       // of the seats; a seat without any has no share of its own

	totalWeight        int64
	amountRemainder    int64 // of the amount, that does not divide evenly
	overdraftRemainder int64 // likewise of the overdraft
	definitionHash     uint64
}

// Complete checks a budget and works out the rest. The error names the key.
func (b *Budget) Complete() error {
	switch {
	case b.Name == "":
		return errors.New("name: missing")
	case b.Amount < 0 || b.Amount > MaxAmount:
		return fmt.Errorf("amount: %d is not from 0 to %d", b.Amount, MaxAmount)
	case b.Overdraft < 0 || b.Overdraft > MaxAmount:
		return fmt.Errorf("overdraft: %d is not from 0 to %d", b.Overdraft, MaxAmount)
	case b.Window < 10*time.Millisecond || b.Window > 366*24*time.Hour:
		return fmt.Errorf("window: %v is not from 10ms to a year", b.Window)
	case b.WindowsAhead < 0 || b.WindowsAhead >= MaxWindows:
		return fmt.Errorf("ahead: %d is not from 0 to %d windows", b.WindowsAhead, MaxWindows-1)
	case b.TransferWindows < 1 || b.TransferWindows > MaxWindows:
		return fmt.Errorf("loan: %d is not from 1 to %d windows", b.TransferWindows, MaxWindows)
	case len(b.Weights) == 0 || len(b.Weights) > 1<<16:
		return fmt.Errorf("%d seats; it takes 1 to 65,536", len(b.Weights))
	}
	b.totalWeight = 0
	for i, w := range b.Weights {
		if w < 0 || w > 1<<20 {
			return fmt.Errorf("seat[%d].weight: %d is not from 0 to %d", i, w, 1<<20)
		}
		b.totalWeight += w
	}
	if b.totalWeight == 0 {
		return errors.New("no seat has a weight")
	}
	b.amountRemainder, b.overdraftRemainder = b.Amount, b.Overdraft
	for i := range b.Weights {
		b.amountRemainder -= b.evenShare(b.Amount, i)
		b.overdraftRemainder -= b.evenShare(b.Overdraft, i)
	}
	h := xxhash.New()
	fmt.Fprint(h, b.Name, "\x00", b.Amount, b.Overdraft, b.Window, b.WindowsAhead, b.TransferWindows, b.Weights)
	b.definitionHash = h.Sum64()
	return nil
}

// DefinitionHash is the same at all nodes that mean the same budget. Between those that do not nothing is lent.
func (b *Budget) DefinitionHash() uint64 { return b.definitionHash }

// WindowAt is the window of a time.
func (b *Budget) WindowAt(now int64) int64 { return now / int64(b.Window) }

// WindowStart is when a window begins.
func (b *Budget) WindowStart(window int64) int64 { return window * int64(b.Window) }

// evenShare is a seat's even part of an amount, rounded down.
func (b *Budget) evenShare(amount int64, seat int) int64 {
	hi, lo := bits.Mul64(uint64(amount), uint64(b.Weights[seat]))
	q, _ := bits.Div64(hi, lo, uint64(b.totalWeight))
	return int64(q)
}

// remainderUnit tells whether it is a seat's turn, in a window, for one more of what does not divide evenly. Turns go round, so that a
// budget smaller than the number of seats is everybody's in turn.
func (b *Budget) remainderUnit(rest int64, seat int, window int64) int64 {
	n := int64(len(b.Weights))
	if rest == 0 {
		return 0
	}
	if place := ((int64(seat)-window*rest)%n + n) % n; place < rest {
		return 1
	}
	return 0
}

// BaseQuota is what a seat may spend in a window without anybody's word. The shares of all seats are the amount.
func (b *Budget) BaseQuota(seat int, window int64) int64 {
	if seat < 0 || seat >= len(b.Weights) {
		return 0
	}
	return b.evenShare(b.Amount, seat) + b.remainderUnit(b.amountRemainder, seat, window)
}

// OverdraftQuota is a seat's share of the overdraft in a window.
func (b *Budget) OverdraftQuota(seat int, window int64) int64 {
	if seat < 0 || seat >= len(b.Weights) {
		return 0
	}
	return b.evenShare(b.Overdraft, seat) + b.remainderUnit(b.overdraftRemainder, seat, window)
}
