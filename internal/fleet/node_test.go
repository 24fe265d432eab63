package fleet

import (
	"context"
	"net"
	"path/filepath"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"go.uber.org/zap"

	"standpoint/internal/fleet/connectivity"
	"standpoint/internal/fleet/invariant"
	"standpoint/internal/fleet/member"
	"standpoint/internal/fleet/outlier"
	"standpoint/internal/fleet/quota"
	"standpoint/internal/store"
)

// startNode opens and runs the node of a slot until the test ends. It has a store of its own, which it leads, unless
// edits change that.
func startNode(t *testing.T, name string, slots []SlotAddress, edits ...func(*Options)) *Fleet {
	t.Helper()
	budget := &quota.Budget{
		Name:            "tokens/acme",
		Amount:          100,
		Window:          time.Second,
		TransferWindows: 2,
		Weights:         slices.Repeat([]int64{1}, len(slots)),
	}
	require.NoError(t, budget.Complete())
	options := Options{
		MemberConfig: member.Config{
			Slots:            make([]member.Slot, len(slots)),
			Budgets:          []*quota.Budget{budget},
			MaxRates:         []int64{10, 10, 10},
			GossipInterval:   50 * time.Millisecond,
			GossipFanout:     2,
			HeartbeatTimeout: time.Second,
			ConnectivityTiming: connectivity.Timing{
				JoinTimeout:  time.Second,
				SettleTime:   time.Second,
				RecoveryRamp: time.Second,
			},
			ClockError:      100 * time.Millisecond,
			RequestInterval: time.Second,
			OutlierLimits: outlier.Limits{
				MinSources:          2,
				EvidenceLifetime:    int64(5 * time.Second),
				OwnEvidenceLifetime: int64(time.Second),
				MaxEjectedShare:     0.5,
				IsolationShare:      0.6,
			},
		},
		SlotName:      name,
		Listen:        slots[slices.IndexFunc(slots, func(s SlotAddress) bool { return s.Name == name })].Address,
		Dir:           filepath.Join(t.TempDir(), "fleet"),
		Slots:         slots,
		LeaseDuration: time.Minute,
		RetryBudget:   -1,
		Store:         store.NewMemory(),
		Invariants:    &invariant.Monitor{},
		Log:           zap.NewNop(),
	}
	for _, edit := range edits {
		edit(&options)
	}
	f, err := Open(options)
	require.NoError(t, err)
	run(t, f)
	return f
}

// run runs a node until the test ends.
func run(t *testing.T, f *Fleet) {
	t.Helper()
	ctx, cancel := context.WithCancel(t.Context())
	stopped := make(chan struct{})
	go func() {
		defer close(stopped)
		f.Run(ctx)
	}()
	t.Cleanup(func() {
		cancel()
		<-stopped
		_ = f.Close() // fails if no other node acknowledged in time that this one leaves
	})
}

// freeSlots returns slots with the given names, each with the address of an unused port.
func freeSlots(t *testing.T, names ...string) (slots []SlotAddress) {
	t.Helper()
	for _, name := range names {
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		require.NoError(t, err)
		slots = append(slots, SlotAddress{Name: name, Address: listener.Addr().String()})
		require.NoError(t, listener.Close())
	}
	return slots
}
