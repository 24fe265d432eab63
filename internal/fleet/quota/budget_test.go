package quota

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

const second = int64(time.Second)

func completeBudget(t require.TestingT, budget Budget) *Budget {
	require.NoError(t, budget.Complete())
	return &budget
}

// The base quotas of all slots sum to the amount in every window, and the units of the remainder rotate evenly over the
// slots.
func TestBaseQuotasSumToTheBudget(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		budget := Budget{
			Name:            "b",
			Window:          time.Second,
			TransferWindows: 1,
			Amount:          rapid.Int64Range(0, 1000).Draw(t, "amount"),
			Overdraft:       rapid.Int64Range(0, 10).Draw(t, "overdraft"),
			Weights:         rapid.SliceOfN(rapid.Int64Range(0, 5), 1, 20).Draw(t, "weights"),
		}
		if budget.Complete() != nil {
			return // no slot has a weight
		}
		slots := int64(len(budget.Weights))
		turns := make([]int64, slots)
		firstWindow := rapid.Int64Range(0, 1000).Draw(t, "window")
		for window := firstWindow; window < firstWindow+slots; window++ {
			sum, overdraft := int64(0), int64(0)
			for slot := range budget.Weights {
				base := budget.BaseQuota(slot, window)
				sum += base
				overdraft += budget.OverdraftQuota(slot, window)
				turns[slot] += base - budget.evenShare(budget.Amount, slot)
			}
			if sum != budget.Amount || overdraft != budget.Overdraft {
				t.Fatalf("window %d: base quotas sum to %d, amount %d; overdraft quotas sum to %d, overdraft %d",
					window, sum, budget.Amount, overdraft, budget.Overdraft)
			}
		}
		for slot := range turns {
			if turns[slot] != budget.amountRemainder {
				t.Fatalf("slot %d has %d units of the remainder, want %d", slot, turns[slot], budget.amountRemainder)
			}
		}
	})
}

func TestCompleteRejectsInvalidBudgets(t *testing.T) {
	valid := Budget{Name: "b", Amount: 1, Window: time.Second, TransferWindows: 1, Weights: []int64{1}}
	require.NoError(t, valid.Complete())
	for message, edit := range map[string]func(*Budget){
		"name: missing":        func(b *Budget) { b.Name = "" },
		"amount: -1":           func(b *Budget) { b.Amount = -1 },
		"overdraft: -1":        func(b *Budget) { b.Overdraft = -1 },
		"window: 0s":           func(b *Budget) { b.Window = 0 },
		"ahead: 4096":          func(b *Budget) { b.WindowsAhead = MaxWindows },
		"loan: 0":              func(b *Budget) { b.TransferWindows = 0 },
		"0 seats":              func(b *Budget) { b.Weights = nil },
		"seat[0].weight: -1":   func(b *Budget) { b.Weights = []int64{-1} },
		"no seat has a weight": func(b *Budget) { b.Weights = []int64{0, 0} },
	} {
		budget := valid
		edit(&budget)
		err := budget.Complete()
		require.ErrorContains(t, err, message)
		var invalid *BudgetError
		require.ErrorAs(t, err, &invalid)
	}
}
