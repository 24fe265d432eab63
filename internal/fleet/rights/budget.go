// Package rights decides what a node may spend of the budgets that its fleet shares. It is pure: time is passed in, and what
// is to be told to others is returned.
//
// Each budget has so much for each of its windows, and every seat of the fleet a share of that which needs nobody's word. A
// node spends only rights that it holds: its seat's share, less what it has lent, and what others have lent to it. Rights are
// for windows by their number, so that what is spent in a window is at most the budget whatever is lost, doubled, late or cut
// off, and whatever clocks say; why it is built so stands in docs/design/onefleet.md.
package rights

import (
	"errors"
	"fmt"
	"math/bits"
	"time"

	"github.com/cespare/xxhash/v2"
)

// Bounds of what a node holds for one budget.
const (
	LoansMost   = 64   // loans out, and as many in
	WindowsMost = 4096 // ahead of the present one, in which something may be spent already
	AmountMost  = int64(1) << 53
)

// Budget is what the fleet may spend of something in each window. It never changes once complete.
type Budget struct {
	Name      string
	Amount    int64         // in each window
	Overdraft int64         // beyond it, which the configuration puts up with; shared like the amount
	Window    time.Duration // windows are counted from Unix time 0
	Ahead     int           // windows after the present one in which something may be spent now
	Loan      int           // windows for which rights are lent at the most, the present one included
	Weights   []int64       // of the seats; a seat without any has no share of its own

	sum  int64
	rest int64 // of the amount, that does not divide evenly
	over int64 // likewise of the overdraft
	def  uint64
}

// Complete checks a budget and works out the rest. The error names the key.
func (b *Budget) Complete() error {
	switch {
	case b.Name == "":
		return errors.New("name: missing")
	case b.Amount < 0 || b.Amount > AmountMost:
		return fmt.Errorf("amount: %d is not from 0 to %d", b.Amount, AmountMost)
	case b.Overdraft < 0 || b.Overdraft > AmountMost:
		return fmt.Errorf("overdraft: %d is not from 0 to %d", b.Overdraft, AmountMost)
	case b.Window < 10*time.Millisecond || b.Window > 366*24*time.Hour:
		return fmt.Errorf("window: %v is not from 10ms to a year", b.Window)
	case b.Ahead < 0 || b.Ahead >= WindowsMost:
		return fmt.Errorf("ahead: %d is not from 0 to %d windows", b.Ahead, WindowsMost-1)
	case b.Loan < 1 || b.Loan > WindowsMost:
		return fmt.Errorf("loan: %d is not from 1 to %d windows", b.Loan, WindowsMost)
	case len(b.Weights) == 0 || len(b.Weights) > 1<<16:
		return fmt.Errorf("%d seats; it takes 1 to 65,536", len(b.Weights))
	}
	b.sum = 0
	for i, w := range b.Weights {
		if w < 0 || w > 1<<20 {
			return fmt.Errorf("seat[%d].weight: %d is not from 0 to %d", i, w, 1<<20)
		}
		b.sum += w
	}
	if b.sum == 0 {
		return errors.New("no seat has a weight")
	}
	b.rest, b.over = b.Amount, b.Overdraft
	for i := range b.Weights {
		b.rest -= b.part(b.Amount, i)
		b.over -= b.part(b.Overdraft, i)
	}
	h := xxhash.New()
	fmt.Fprint(h, b.Name, "\x00", b.Amount, b.Overdraft, b.Window, b.Ahead, b.Loan, b.Weights)
	b.def = h.Sum64()
	return nil
}

// Definition is the same at all nodes that mean the same budget. Between those that do not nothing is lent.
func (b *Budget) Definition() uint64 { return b.def }

// At is the window of a time.
func (b *Budget) At(now int64) int64 { return now / int64(b.Window) }

// Begins is when a window begins.
func (b *Budget) Begins(window int64) int64 { return window * int64(b.Window) }

// part is a seat's even part of an amount, rounded down.
func (b *Budget) part(amount int64, seat int) int64 {
	hi, lo := bits.Mul64(uint64(amount), uint64(b.Weights[seat]))
	q, _ := bits.Div64(hi, lo, uint64(b.sum))
	return int64(q)
}

// turn tells whether it is a seat's turn, in a window, for one more of what does not divide evenly. Turns go round, so that a
// budget smaller than the number of seats is everybody's in turn.
func (b *Budget) turn(rest int64, seat int, window int64) int64 {
	n := int64(len(b.Weights))
	if rest == 0 {
		return 0
	}
	if place := ((int64(seat)-window*rest)%n + n) % n; place < rest {
		return 1
	}
	return 0
}

// Share is what a seat may spend in a window without anybody's word. The shares of all seats are the amount.
func (b *Budget) Share(seat int, window int64) int64 {
	if seat < 0 || seat >= len(b.Weights) {
		return 0
	}
	return b.part(b.Amount, seat) + b.turn(b.rest, seat, window)
}

// Grace is a seat's share of the overdraft in a window.
func (b *Budget) Grace(seat int, window int64) int64 {
	if seat < 0 || seat >= len(b.Weights) {
		return 0
	}
	return b.part(b.Overdraft, seat) + b.turn(b.over, seat, window)
}
