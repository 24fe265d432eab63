package fleet

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"go.uber.org/zap"

	"standpoint"
	"standpoint/internal/fleet/connectivity"
	"standpoint/internal/fleet/invariant"
	"standpoint/internal/fleet/member"
	"standpoint/internal/fleet/outlier"
	"standpoint/internal/fleet/quota"
)

// newTestFleet returns the actor of one slot of three. It has no member list and sends nothing. It has a token
// budget, of which amount and overdraft are the quota of its slot, and a budget of two paused sessions per slot.
func newTestFleet(t testing.TB, amount, overdraft int64, leased bool) *Fleet {
	t.Helper()
	tokens := &quota.Budget{
		Name:            "tokens/acme",
		Amount:          3 * amount,
		Overdraft:       3 * overdraft,
		Window:          time.Hour,
		TransferWindows: 2,
		Weights:         []int64{1, 1, 1},
	}
	sessions := &quota.Budget{
		Name:            "places/",
		Amount:          3 * 2,
		Window:          time.Hour,
		WindowsAhead:    3,
		TransferWindows: 2,
		Weights:         []int64{1, 1, 1},
	}
	require.NoError(t, tokens.Complete())
	require.NoError(t, sessions.Complete())
	f := newFleet(Options{
		MemberConfig: member.Config{
			Owner:            quota.Owner{Slot: 0, Incarnation: 1},
			Slots:            make([]member.Slot, 3),
			Budgets:          []*quota.Budget{tokens, sessions},
			MaxRates:         []int64{10, 10, 10, 10},
			HeartbeatTimeout: time.Second,
			ConnectivityTiming: connectivity.Timing{
				JoinTimeout:  time.Second,
				SettleTime:   time.Second,
				RecoveryRamp: time.Second,
			},
			OutlierLimits: outlier.Limits{
				MinSources:          2,
				EvidenceLifetime:    int64(5 * time.Second),
				OwnEvidenceLifetime: int64(time.Second),
				MaxEjectedShare:     0.5,
				IsolationShare:      0.6,
			},
		},
		SlotName:       "a",
		Slots:          []SlotAddress{{Name: "a"}, {Name: "b"}, {Name: "c"}},
		ClassNames:     []string{"chat", "import"},
		TenantNames:    []string{"acme", "free"},
		TokenBudgets:   []int{0, -1},
		RetryBudget:    -1,
		SessionBudgets: []SessionBudget{{Budget: 1, Tenant: -1}},
		Log:            zap.NewNop(),
		Invariants:     &invariant.Monitor{},
	})
	f.member = member.New(f.MemberConfig, f.Now(), f.Invariants)
	if leased {
		f.member.SetLease(quota.Lease{FencingToken: 1, ValidFrom: 0, ExpiresAt: 1 << 62})
	}
	return f
}

func request(promptTokens, maxTokens float64) *standpoint.Request {
	return &standpoint.Request{PromptTokens: promptTokens, MaxTokens: maxTokens}
}
