package fleet

import (
	"testing"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/stretchr/testify/require"
	"go.uber.org/zap"

	"standpoint"
	"standpoint/internal/fleet/connectivity"
	"standpoint/internal/fleet/invariant"
	"standpoint/internal/fleet/ledger"
	"standpoint/internal/fleet/member"
	"standpoint/internal/fleet/outlier"
	"standpoint/internal/fleet/quota"
	"standpoint/internal/fleet/site"
	"standpoint/internal/node"
)

// newTestFleet is an actor's inside, of one seat of three, that nothing is sent from.
func newTestFleet(t testing.TB, amount, overdraft int64, lease bool) *Fleet {
	b := &quota.Budget{Name: "tokens/acme", Amount: 3 * amount, Overdraft: 3 * overdraft, Window: time.Hour, TransferWindows: 2, Weights: []int64{1, 1, 1}}
	places := &quota.Budget{Name: "places/", Amount: 3 * 2, Window: time.Hour, WindowsAhead: 3, TransferWindows: 2, Weights: []int64{1, 1, 1}}
	require.NoError(t, b.Complete())
	require.NoError(t, places.Complete())
	f := &Fleet{Options: Options{SlotName: "a", Slots: []SlotAddress{{Name: "a"}, {Name: "b"}, {Name: "c"}}, TokenBudgets: []int{0, -1}, TenantNames: []string{"acme", "free"}, ClassNames: []string{"chat", "import"}, RetryBudget: -1,
		SessionBudgets: []SessionBudget{{1, -1}}, Log: zap.NewNop(), Invariants: &invariant.Monitor{}}, consecutiveErrors: map[string]int{}, backendNames: map[uint64]string{}, backendStarts: map[string]int64{}, backendZones: map[string]int{}}
	f.MemberConfig = member.Config{Owner: quota.Owner{Slot: 0, Incarnation: 1}, Slots: make([]member.Slot, 3), Budgets: []*quota.Budget{b, places}, MaxRates: []int64{10, 10, 10, 10}, HeartbeatTimeout: time.Second,
		ConnectivityTiming: connectivity.Timing{JoinTimeout: time.Second, SettleTime: time.Second, RecoveryRamp: time.Second}, OutlierLimits: outlier.Limits{MinSources: 2, EvidenceLifetime: int64(5 * time.Second), OwnEvidenceLifetime: int64(time.Second), MaxEjectedShare: 0.5, IsolationShare: 0.6}}
	f.member = member.New(f.MemberConfig, f.Now(), f.Invariants)
	if lease {
		f.member.SetLease(quota.Lease{FencingToken: 1, ValidFrom: 0, ExpiresAt: 1 << 62})
	}
	return f
}

func ask(prompt, most float64) *standpoint.Request {
	return &standpoint.Request{PromptTokens: prompt, MaxTokens: most}
}

// A request is taken on by rights that the node holds, what it did not need goes back, and its outcome is an entry; what was
// never served costs nothing. Without rights, or where the ledger takes nothing more, it is refused with when to come back.
func TestAdmissionSpendsAndRefunds(t *testing.T) {
	f := newTestFleet(t, 100, 0, true)
	var entries []ledger.Entry
	f.RecordUsage = func(e ledger.Entry) bool { entries = append(entries, e); return true }
	full := false
	f.LedgerFull = func() bool { return full }
	served := func(out float64) node.Answer {
		return node.Answer{Kind: node.Served, Usage: node.Usage{Known: true, Begun: true, Kept: 3, Out: out}}
	}
	c, _, ok := f.Admit(ask(20, 60))
	require.True(t, ok)
	_, wait, ok := f.Admit(ask(20, 10))
	require.False(t, ok)
	require.Positive(t, wait)
	f.Settle(ask(20, 60), c, served(10))
	require.EqualValues(t, 30, f.member.Allocations[0].Spent(f.member.Allocations[0].CurrentWindow()))
	c, _, ok = f.Admit(ask(20, 50))
	require.True(t, ok, "what was not needed is there again")
	c.Fresh = 5 // the rest of the prompt was charged with an earlier part
	f.Settle(ask(20, 50), c, node.Answer{Kind: node.Served, Usage: node.Usage{Known: true, Paused: true, Out: 7}})
	c, _, ok = f.Admit(ask(20, 38))
	require.True(t, ok)
	f.Settle(ask(20, 38), c, node.Answer{Kind: node.Rejected})
	require.EqualValues(t, 42, f.member.Allocations[0].Spent(f.member.Allocations[0].CurrentWindow()))
	c, _, ok = f.Admit(ask(20, 38))
	require.True(t, ok)
	f.Settle(ask(20, 38), c, node.Answer{Kind: node.Broken, Usage: node.Usage{Begun: true}})
	require.EqualValues(t, 100, f.member.Allocations[0].Spent(f.member.Allocations[0].CurrentWindow()), "what it was is not known")
	require.Equal(t, []ledger.Entry{{Tenant: "acme", Class: "chat", InputTokens: 20, CachedTokens: 3, OutputTokens: 10}, {Tenant: "acme", Class: "chat", InputTokens: 5, OutputTokens: 7, Outcome: ledger.Paused},
		{Tenant: "acme", Class: "chat", InputTokens: 20, Outcome: ledger.Interrupted}}, entries)
	free := ask(1e6, 1e6)
	free.Tenant = 1
	_, _, ok = f.Admit(free)
	require.True(t, ok, "a tenant without a budget")
	full = true
	_, wait, ok = f.Admit(free)
	require.False(t, ok, "nothing is taken on that could not be charged")
	require.Positive(t, wait)
}

// Safe first: a life without its seat spends nothing, whoever it hears; one that is apart goes into the overdraft class by class.
func TestAdmissionWhileIsolated(t *testing.T) {
	_, _, ok := newTestFleet(t, 100, 0, false).Admit(ask(1, 1))
	require.False(t, ok)
	f := newTestFleet(t, 100, 50, true)
	f.OverdraftClasses = []bool{true, false}
	f.CoreSlots, f.siteConnectivity = []string{"b"}, site.New(site.Timing{}, f.Now(), nil)
	other := ask(20, 80)
	other.Class = 1
	_, _, ok = f.Admit(other)
	require.True(t, ok)
	other.MaxTokens = 10
	_, _, ok = f.Admit(other)
	require.False(t, ok, "not this class")
	_, _, ok = f.Admit(ask(20, 30))
	require.True(t, ok, "this one")
	_, _, ok = f.Admit(ask(1, 1))
	require.False(t, ok, "and no more than the overdraft")
}

// Places for paused sessions are held for all windows of the wait, and free again when they are given back.
func TestSessionReservations(t *testing.T) {
	f := newTestFleet(t, 1, 0, true)
	one, ok := f.ReserveSession(0, 90*time.Minute)
	require.True(t, ok)
	_, ok = f.ReserveSession(0, time.Minute)
	require.True(t, ok)
	_, ok = f.ReserveSession(0, time.Minute)
	require.False(t, ok)
	one()
	_, ok = f.ReserveSession(0, 90*time.Minute)
	require.True(t, ok)
}

// What others have seen of a server becomes advice; a sign of life here, or a new start of the server, outweighs it.
func TestAdviceFromOthers(t *testing.T) {
	f := newTestFleet(t, 1, 0, true)
	list := node.List{Kind: standpoint.ListFull}
	for _, name := range []string{"p", "q", "r", "s"} {
		list.Entries = append(list.Entries, node.Endpoint{Engine: standpoint.Engine{Name: name, ReadyAt: 7}})
	}
	f.Listed(list)
	for seat := 1; seat < 3; seat++ {
		f.member.Detector.Receive(quota.Owner{Slot: seat, Incarnation: 1}, 0, outlier.Evidence{BackendHash: xxhash.Sum64String("p"), StartedAt: 7, Kind: outlier.BackendFault, ObservedAt: f.Now()}, f.Now())
	}
	doubts := f.advice().Doubts
	require.Len(t, doubts, 1)
	require.Equal(t, "p", doubts[0].Engine)
	f.Ended(node.Observation{Server: "p", Result: node.Result{Code: standpoint.Served}})
	require.Empty(t, f.advice().Doubts)
	f.Ended(node.Observation{Server: "q", Result: node.Result{Code: standpoint.ServerError}})
	require.Empty(t, f.member.Detector.EvidenceToPublish(f.Now())[1:], "one error may be the request's")
	list.Entries[0].ReadyAt = 8
	f.Listed(list)
	require.Empty(t, f.advice().Doubts)
}

func BenchmarkRequest(b *testing.B) {
	f := newTestFleet(b, 1<<50, 0, true)
	r := ask(100, 50)
	a := node.Answer{Kind: node.Served, Usage: node.Usage{Known: true, Out: 20}}
	f.RecordUsage = func(ledger.Entry) bool { return true }
	b.ReportAllocs()
	for b.Loop() {
		c, _, _ := f.Admit(r)
		f.Settle(r, c, a)
	}
}
