package quota

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"standpoint/internal/fleet/invariant"
)

const clockError = second / 2

// simulation runs nodes that share one budget. Their messages may be lost, duplicated or late, incarnations end, and
// clocks are off.
type simulation struct {
	budget   *Budget
	monitor  *invariant.Monitor
	nodes    []*simulatedNode
	spent    map[int64]int64 // amounts spent by all incarnations, by window
	messages []message
	now      int64
	leases   []Lease
	owners   []Owner
}

type simulatedNode struct {
	*Allocation
	clockOffset int64
}

// message is a message between two nodes: a transferGrant or a transferReturn.
type message interface{ deliver(s *simulation) }

type transferGrant struct{ Transfer }

type transferReturn struct {
	lender   Owner
	borrower Owner
	number   uint64
	last     int64
}

func (m transferGrant) deliver(s *simulation) { s.nodes[m.Borrower.Slot].Accept(m.Transfer) }

func (m transferReturn) deliver(s *simulation) {
	if node := s.nodes[m.lender.Slot]; node.Owner == m.lender {
		node.AcceptReturn(m.borrower, m.number, m.last)
	}
}

func newSimulation(t require.TestingT, slots int, budget Budget) *simulation {
	for range slots {
		budget.Weights = append(budget.Weights, 1)
	}
	s := &simulation{
		budget:  completeBudget(t, budget),
		monitor: &invariant.Monitor{},
		nodes:   make([]*simulatedNode, slots),
		spent:   map[int64]int64{},
		now:     1000 * second,
		leases:  make([]Lease, slots),
		owners:  make([]Owner, slots),
	}
	for slot := range slots {
		s.start(slot, 0, time.Hour, false)
	}
	return s
}

// start starts an incarnation in a slot. If it is the successor of the previous one, in the same directory, it has a
// lease at once, else only if that of the previous one has expired.
func (s *simulation) start(slot int, clockOffset int64, duration time.Duration, successor bool) {
	previous := s.leases[slot]
	now := s.now + clockOffset
	s.owners[slot] = Owner{slot, s.owners[slot].Incarnation + 1}
	s.nodes[slot] = &simulatedNode{NewAllocation(s.budget, s.owners[slot], clockError, now, s.monitor), clockOffset}
	successor = successor && previous.FencingToken != 0
	if previous.FencingToken != 0 && !successor && now <= previous.ExpiresAt+2*clockError {
		return // without a lease, it can only borrow
	}
	s.leases[slot] = Lease{
		FencingToken: previous.FencingToken + 1,
		ValidFrom:    now,
		ExpiresAt:    now + int64(duration),
		Successor:    successor,
	}
	s.nodes[slot].SetLease(s.leases[slot])
}

func (s *simulation) advance(by int64) {
	s.now += by
	for _, node := range s.nodes {
		node.Advance(s.now + node.clockOffset)
	}
}

func (s *simulation) spend(slot int, amount int64, furtherWindows int) bool {
	node := s.nodes[slot]
	if !node.Overdraw(amount, furtherWindows) {
		return false
	}
	for i := range int64(furtherWindows) + 1 {
		s.spent[node.CurrentWindow()+i] += amount
	}
	return true
}

func (s *simulation) lend(from, to int, amount int64, ahead int64, windows int) {
	lender := s.nodes[from]
	if transfer, ok := lender.Lend(s.nodes[to].Owner, amount, lender.CurrentWindow()+ahead, windows); ok {
		s.messages = append(s.messages, transferGrant{transfer})
	}
}

func (s *simulation) returnUnneeded(slot int) {
	node := s.nodes[slot]
	for _, transfer := range node.ReturnUnneeded() {
		s.messages = append(s.messages, transferReturn{
			lender:   transfer.Lender,
			borrower: node.Owner,
			number:   transfer.Number,
			last:     transfer.LastWindow,
		})
	}
}

func (s *simulation) check(t require.TestingT) {
	require.Empty(t, s.monitor.Violations())
	for window, amount := range s.spent {
		require.LessOrEqual(t, amount, s.budget.Amount+s.budget.Overdraft, "window %d", window)
	}
}

// No window is overspent although messages are lost, duplicated or late, nodes restart, and clocks are off by up to
// clockError.
func TestNoWindowIsOverspent(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := newSimulation(t, rapid.IntRange(2, 5).Draw(t, "slots"), Budget{
			Name:            "b",
			Amount:          rapid.Int64Range(0, 60).Draw(t, "amount"),
			Overdraft:       rapid.Int64Range(0, 3).Draw(t, "overdraft"),
			Window:          time.Second,
			WindowsAhead:    3,
			TransferWindows: rapid.IntRange(1, 4).Draw(t, "transfer windows"),
		})
		slot := rapid.IntRange(0, len(s.nodes)-1)
		amount := rapid.Int64Range(1, 20)
		t.Repeat(map[string]func(*rapid.T){
			"advance": func(t *rapid.T) { s.advance(rapid.Int64Range(0, 2*second).Draw(t, "by")) },
			"spend": func(t *rapid.T) {
				s.spend(slot.Draw(t, "slot"), amount.Draw(t, "amount"), rapid.IntRange(0, 3).Draw(t, "further"))
			},
			"spend all": func(*rapid.T) {
				for i := range s.nodes {
					for s.spend(i, 1, 0) {
					}
				}
			},
			"lend": func(t *rapid.T) {
				s.lend(slot.Draw(t, "from"), slot.Draw(t, "to"), amount.Draw(t, "amount"),
					rapid.Int64Range(0, 2).Draw(t, "ahead"), rapid.IntRange(1, 5).Draw(t, "windows"))
			},
			"return": func(t *rapid.T) { s.returnUnneeded(slot.Draw(t, "slot")) },
			"deliver": func(t *rapid.T) { // a message may be delivered again later
				if len(s.messages) > 0 {
					i := rapid.IntRange(0, len(s.messages)-1).Draw(t, "which")
					s.messages[i].deliver(s)
					if rapid.Bool().Draw(t, "last delivery") {
						s.messages = append(s.messages[:i], s.messages[i+1:]...)
					}
				}
			},
			"restart": func(t *rapid.T) {
				restarted := slot.Draw(t, "slot")
				clockOffset := rapid.Int64Range(-clockError, clockError).Draw(t, "clock offset")
				s.start(restarted, clockOffset, time.Minute, rapid.Bool().Draw(t, "successor"))
			},
			"refund": func(t *rapid.T) {
				node := s.nodes[slot.Draw(t, "slot")]
				if window := node.CurrentWindow(); node.Spent(window) > 0 {
					node.Refund(1, window, window)
					s.spent[window]--
				}
			},
			"": func(t *rapid.T) { s.check(t) },
		})
	})
}
