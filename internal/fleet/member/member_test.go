package member

import (
	"math"
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"standpoint/internal/fleet/connectivity"
	"standpoint/internal/fleet/counter"
	"standpoint/internal/fleet/invariant"
	"standpoint/internal/fleet/outlier"
	"standpoint/internal/fleet/quota"
)

const second = int64(time.Second)

func fleet(t require.TestingT, n int, g *invariant.Monitor) []*Member {
	b := &quota.Budget{Name: "b", Amount: 900, Window: time.Second, TransferWindows: 4}
	for range n {
		b.Weights = append(b.Weights, 1)
	}
	require.NoError(t, b.Complete())
	var all []*Member
	for i := range n {
		m := New(Config{Owner: quota.Owner{Slot: i, Incarnation: 1}, Slots: make([]Slot, n), Budgets: []*quota.Budget{b}, MaxRates: []int64{100}, GossipInterval: 100 * time.Millisecond, GossipFanout: 2,
			HeartbeatTimeout: time.Second, ConnectivityTiming: connectivity.Timing{JoinTimeout: 2 * time.Second, SettleTime: second3, RecoveryRamp: second3}, ClockError: 100 * time.Millisecond, RequestInterval: 50 * time.Millisecond, Seed: 1,
			OutlierLimits: outlier.Limits{MinSources: 2, EvidenceLifetime: 5 * second, OwnEvidenceLifetime: second, MaxEjectedShare: 0.5, IsolationShare: 0.34}}, 100*second, g)
		m.SetLease(quota.Lease{FencingToken: 1, ValidFrom: 100 * second, ExpiresAt: 1000 * second})
		all = append(all, m)
	}
	return all
}

const second3 = 300 * time.Millisecond

func play(all []*Member, from, to int64, reaches func(a, b int) bool) {
	for now := from; now < to; now += 100 * int64(time.Millisecond) {
		for i, m := range all {
			mail := m.Tick(now, nil)
			for len(mail) > 0 {
				s := mail[0]
				mail = mail[1:]
				if reaches == nil || reaches(s.Packet.From.Slot, s.To) {
					mail = append(mail, all[s.To].Receive(now, s.Packet)...)
				}
			}
			_ = i
		}
	}
}

// One node wants all of a budget and the others nothing: it gets nearly all. Cut off from the others it has its floor, and what
// it borrowed until that ends; once they meet again the mode heals by and by, and it gets nearly all again.
func TestQuotaMovesToWhereItIsDemanded(t *testing.T) {
	g := &invariant.Monitor{}
	all := fleet(t, 3, g)
	want := func(from, to int64, reaches func(a, b int) bool) (last int64) {
		for now := from; now < to; now += 100 * int64(time.Millisecond) {
			play(all, now, now+1, reaches)
			p := all[0].Allocations[0]
			p.Advance(now)
			for p.Spend(10, 0) {
			}
			if now%second == 900*int64(time.Millisecond) {
				last = p.Spent(p.CurrentWindow())
			}
		}
		return last
	}
	require.GreaterOrEqual(t, want(100*second, 115*second, nil), int64(850))
	cut := func(a, b int) bool { return a != 0 && b != 0 }
	require.EqualValues(t, 300, want(115*second, 125*second, cut))
	now, _ := all[0].Connectivity.Current()
	require.Equal(t, connectivity.Isolated, now)
	require.Zero(t, all[0].Connectivity.RateFactor(125*second))
	want(125*second, 125*second+second/2, nil)
	now, _ = all[0].Connectivity.Current()
	require.Equal(t, connectivity.Recovering, now)
	require.GreaterOrEqual(t, want(126*second, 140*second, nil), int64(850))
	require.Empty(t, g.Violations())
}

// What is lent is bound to the budget's definition: nodes that do not mean the same lend each other nothing.
func TestNoTransferBetweenDifferentDefinitions(t *testing.T) {
	all := fleet(t, 2, nil)
	other := &quota.Budget{Name: "b", Amount: 901, Window: time.Second, TransferWindows: 4, Weights: []int64{1, 1}}
	require.NoError(t, other.Complete())
	play(all, 100*second, 103*second, nil)
	for definition, lends := range map[uint64]bool{other.DefinitionHash(): false, all[1].Budgets[0].DefinitionHash(): true} {
		out := all[1].Receive(103*second, Packet{From: all[0].Owner, QuotaMessages: []QuotaMessage{{Kind: RequestQuota, BudgetHash: definition, To: quota.Owner{Slot: 1}, Amount: 10, FirstWindow: 103, LastWindow: 104}}})
		require.Equal(t, lends, len(out) > 0)
	}
}

// Whatever comes from a peer that speaks well-formed nonsense, nothing is overspent and nothing grows beyond its bounds.
func TestMalformedPacketsDoNoHarm(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		g := &invariant.Monitor{}
		all := fleet(t, 3, g)
		m := all[0]
		number := rapid.OneOf(rapid.Int64(), rapid.Int64Range(90, 120), rapid.Just(int64(math.MaxInt64)), rapid.Just(int64(math.MinInt64)))
		owner := rapid.Custom(func(t *rapid.T) quota.Owner {
			return quota.Owner{Slot: rapid.IntRange(-1, 4).Draw(t, "seat"), Incarnation: rapid.Uint64Range(0, 3).Draw(t, "life")}
		})
		now := 100 * second
		lent := int64(0)
		for range rapid.IntRange(1, 60).Draw(t, "packets") {
			now += rapid.Int64Range(0, second).Draw(t, "by")
			p := Packet{From: owner.Draw(t, "from"), HeartbeatAges: rapid.SliceOfN(rapid.Byte(), 0, 5).Draw(t, "beats"), AgeUnit: number.Draw(t, "unit"), FirstSlot: rapid.IntRange(-1, 3).Draw(t, "first")}
			for range rapid.IntRange(0, 6).Draw(t, "news") {
				n := Update{Counters: counter.Snapshot{Owner: owner.Draw(t, "of"), At: number.Draw(t, "at"), Counts: []int64{number.Draw(t, "count")}}}
				n.Surpluses = append(n.Surpluses, Surplus{rapid.IntRange(-1, 2).Draw(t, "budget"), number.Draw(t, "spare")})
				n.Evidence = append(n.Evidence, outlier.Evidence{BackendHash: 1, Kind: outlier.Kind(rapid.IntRange(0, 9).Draw(t, "kind")), ObservedAt: number.Draw(t, "seen")})
				p.Updates = append(p.Updates, n)
			}
			for range rapid.IntRange(0, 20).Draw(t, "orders") {
				p.QuotaMessages = append(p.QuotaMessages, QuotaMessage{Kind: QuotaMessageKind(rapid.IntRange(0, 4).Draw(t, "kind")), BudgetHash: m.Budgets[0].DefinitionHash(), To: owner.Draw(t, "to"),
					Number: rapid.Uint64Range(0, 5).Draw(t, "number"), Amount: number.Draw(t, "amount"), FirstWindow: number.Draw(t, "first"), LastWindow: number.Draw(t, "last")})
			}
			raw, err := cbor.Marshal(p)
			if err != nil {
				t.Fatal(err)
			}
			var back Packet
			if err := cbor.Unmarshal(raw, &back); err != nil {
				t.Fatal(err)
			}
			m.Receive(now, back)
			for _, s := range m.Tick(now, nil) {
				if raw, _ := cbor.Marshal(s.Packet); len(raw) > 4096 {
					t.Fatalf("a packet of %d bytes", len(raw))
				}
			}
			w := m.Allocations[0].CurrentWindow()
			lent = m.Allocations[0].Quota(w)
			if lent < 0 || len(g.Violations()) > 0 {
				t.Fatal(lent, g.Violations())
			}
		}
	})
}
