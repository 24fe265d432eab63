package quota

import (
	"encoding/json"
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/stretchr/testify/require"

	"standpoint/internal/testpeer/golden"
)

func TestGoldenOwner(t *testing.T) {
	golden.RoundTrip(t, "owner.cbor", Owner{Slot: 3, Incarnation: 1_764_590_400_000_000_007},
		func(v Owner) ([]byte, error) { return cbor.Marshal(v) },
		func(b []byte) (v Owner, err error) { return v, cbor.Unmarshal(b, &v) })
}

func TestGoldenUsage(t *testing.T) {
	usage := Usage{
		Budget:            "tokens/acme",
		Window:            1,
		Quota:             2,
		Spent:             3,
		BaseQuota:         4,
		Lent:              5,
		Borrowed:          6,
		Demand:            7.5,
		Debt:              8,
		LentTransfers:     9,
		BorrowedTransfers: 10,
		FencingToken:      11,
		LeaseValidFrom:    12,
		LeaseExpiresAt:    13,
	}
	golden.RoundTrip(t, "use.json", usage,
		func(v Usage) ([]byte, error) { return json.MarshalIndent(v, "", "  ") },
		func(b []byte) (v Usage, err error) { return v, json.Unmarshal(b, &v) })
}

// Nodes lend to each other only if their budgets have the same hash, and every node computes the base quotas itself, so
// neither may change between versions.
func TestGoldenDefinitionsAndBaseQuotas(t *testing.T) {
	var text strings.Builder
	for _, b := range []Budget{
		{Name: "tokens/acme", Amount: 1000, Window: time.Second, TransferWindows: 4, Weights: []int64{1, 1, 1}},
		{
			Name: "tokens/acme", Amount: 1000, Overdraft: 100,
			Window: time.Second, TransferWindows: 4, Weights: []int64{1, 2, 0, 5},
		},
		{
			Name: "places/", Amount: 2, Overdraft: 1,
			Window: 10 * time.Second, WindowsAhead: 7, TransferWindows: 2, Weights: []int64{1, 1, 1},
		},
		{
			Name: "attempts/", Amount: 1 << 53, Overdraft: 1 << 52,
			Window: time.Hour, WindowsAhead: 1, TransferWindows: 1, Weights: []int64{1 << 20, 3},
		},
	} {
		require.NoError(t, b.Complete())
		fmt.Fprintf(&text, "%s: %016x\n", b.Name, b.DefinitionHash())
		for window := int64(100); window < 104; window++ {
			for slot := range b.Weights {
				fmt.Fprintf(&text, "  window %d, seat %d: %d and %d\n",
					window, slot, b.BaseQuota(slot, window), b.OverdraftQuota(slot, window))
			}
		}
	}
	golden.Bytes(t, "definitions.txt", []byte(text.String()))
}

func TestGoldenBudgetErrors(t *testing.T) {
	valid := Budget{Name: "b", Amount: 1, Window: time.Second, TransferWindows: 1, Weights: []int64{1}}
	var text strings.Builder
	for _, edit := range []func(*Budget){
		func(b *Budget) { b.Name = "" },
		func(b *Budget) { b.Amount = -1 },
		func(b *Budget) { b.Amount = MaxAmount + 1 },
		func(b *Budget) { b.Overdraft = -1 },
		func(b *Budget) { b.Window = time.Millisecond },
		func(b *Budget) { b.Window = 367 * 24 * time.Hour },
		func(b *Budget) { b.WindowsAhead = MaxWindows },
		func(b *Budget) { b.TransferWindows = 0 },
		func(b *Budget) { b.Weights = nil },
		func(b *Budget) { b.Weights = []int64{1, -1} },
		func(b *Budget) { b.Weights = []int64{0, 0} },
	} {
		b := valid
		edit(&b)
		err := b.Complete()
		require.Error(t, err)
		fmt.Fprintln(&text, err)
	}
	golden.Bytes(t, "errors.txt", []byte(text.String()))
}

// Messages beyond the bounds are dropped, so the bounds may not differ between nodes.
func TestGoldenBounds(t *testing.T) {
	bounds := fmt.Appendf(nil, "loans %d\nwindows %d\namount %d\n", MaxTransfers, MaxWindows, MaxAmount)
	golden.Bytes(t, "bounds.txt", bounds)
}
