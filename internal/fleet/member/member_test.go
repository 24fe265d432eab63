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

const (
	second       = int64(time.Second)
	tickInterval = 100 * time.Millisecond
	tick         = int64(tickInterval)
	settleTime   = 300 * time.Millisecond
)

// newFleet returns the members of a fleet with one budget, each with a lease of its slot.
func newFleet(t require.TestingT, slots int, monitor *invariant.Monitor) []*Member {
	budget := &quota.Budget{Name: "b", Amount: 900, Window: time.Second, TransferWindows: 4}
	for range slots {
		budget.Weights = append(budget.Weights, 1)
	}
	require.NoError(t, budget.Complete())
	var members []*Member
	for slot := range slots {
		m := New(Config{
			Owner:            quota.Owner{Slot: slot, Incarnation: 1},
			Slots:            make([]Slot, slots),
			Budgets:          []*quota.Budget{budget},
			MaxRates:         []int64{100},
			GossipInterval:   tickInterval,
			GossipFanout:     2,
			HeartbeatTimeout: time.Second,
			ConnectivityTiming: connectivity.Timing{
				JoinTimeout:  2 * time.Second,
				SettleTime:   settleTime,
				RecoveryRamp: settleTime,
			},
			OutlierLimits: outlier.Limits{
				MinSources:          2,
				EvidenceLifetime:    5 * second,
				OwnEvidenceLifetime: second,
				MaxEjectedShare:     0.5,
				IsolationShare:      0.34,
			},
			ClockError:      100 * time.Millisecond,
			RequestInterval: 50 * time.Millisecond,
			Seed:            1,
		}, 100*second, monitor)
		m.SetLease(quota.Lease{FencingToken: 1, ValidFrom: 100 * second, ExpiresAt: 1000 * second})
		members = append(members, m)
	}
	return members
}

// run ticks the members, and delivers their packets at once if the destination is reachable. If reaches is nil, all
// members reach each other.
func run(members []*Member, from, to int64, reaches func(from, to int) bool) {
	for now := from; now < to; now += tick {
		for _, m := range members {
			packets := m.Tick(now, nil)
			for len(packets) > 0 {
				next := packets[0]
				packets = packets[1:]
				if reaches == nil || reaches(next.Packet.From.Slot, next.To) {
					packets = append(packets, members[next.To].Receive(now, next.Packet)...)
				}
			}
		}
	}
}

// One node demands a whole budget and the others nothing, so it is lent nearly all of it. Isolated from the others it
// has its base quota, and borrowed quota until the transfers end. After it has recovered it is lent nearly all again.
func TestQuotaMovesToWhereItIsDemanded(t *testing.T) {
	monitor := &invariant.Monitor{}
	members := newFleet(t, 3, monitor)
	demand := func(from, to int64, reaches func(from, to int) bool) (lastWindow int64) {
		for now := from; now < to; now += tick {
			run(members, now, now+1, reaches)
			allocation := members[0].Allocations[0]
			allocation.Advance(now)
			for allocation.Spend(10, 0) {
			}
			if now%second == second-tick {
				lastWindow = allocation.Spent(allocation.CurrentWindow())
			}
		}
		return lastWindow
	}
	require.GreaterOrEqual(t, demand(100*second, 115*second, nil), int64(850))
	cut := func(from, to int) bool { return from != 0 && to != 0 }
	require.EqualValues(t, 300, demand(115*second, 125*second, cut))
	state, _ := members[0].Connectivity.Current()
	require.Equal(t, connectivity.Isolated, state)
	require.Zero(t, members[0].Connectivity.RateFactor(125*second))
	demand(125*second, 125*second+second/2, nil)
	state, _ = members[0].Connectivity.Current()
	require.Equal(t, connectivity.Recovering, state)
	require.GreaterOrEqual(t, demand(126*second, 140*second, nil), int64(850))
	require.Empty(t, monitor.Violations())
}

// Nodes whose definitions of a budget differ lend each other nothing of it.
func TestNoTransferBetweenDifferentDefinitions(t *testing.T) {
	members := newFleet(t, 2, nil)
	other := &quota.Budget{Name: "b", Amount: 901, Window: time.Second, TransferWindows: 4, Weights: []int64{1, 1}}
	require.NoError(t, other.Complete())
	run(members, 100*second, 103*second, nil)
	same := members[1].Budgets[0]
	for hash, lends := range map[uint64]bool{other.DefinitionHash(): false, same.DefinitionHash(): true} {
		request := QuotaMessage{
			Kind:        RequestQuota,
			BudgetHash:  hash,
			To:          quota.Owner{Slot: 1},
			Amount:      10,
			FirstWindow: 103,
			LastWindow:  104,
		}
		packet := Packet{From: members[0].Owner, QuotaMessages: []QuotaMessage{request}}
		replies := members[1].Receive(103*second, packet)
		require.Equal(t, lends, len(replies) > 0)
	}
}

// packetGenerator draws packets that are well-formed CBOR with arbitrary values.
type packetGenerator struct {
	number *rapid.Generator[int64]
	owner  *rapid.Generator[quota.Owner]
	budget uint64
}

func newPacketGenerator(budget uint64) packetGenerator {
	return packetGenerator{
		number: rapid.OneOf(
			rapid.Int64(),
			rapid.Int64Range(90, 120),
			rapid.Just(int64(math.MaxInt64)),
			rapid.Just(int64(math.MinInt64)),
		),
		owner: rapid.Custom(func(t *rapid.T) quota.Owner {
			return quota.Owner{
				Slot:        rapid.IntRange(-1, 4).Draw(t, "slot"),
				Incarnation: rapid.Uint64Range(0, 3).Draw(t, "incarnation"),
			}
		}),
		budget: budget,
	}
}

func (g packetGenerator) packet(t *rapid.T) Packet {
	packet := Packet{
		From:          g.owner.Draw(t, "from"),
		HeartbeatAges: rapid.SliceOfN(rapid.Byte(), 0, 5).Draw(t, "ages"),
		AgeUnit:       g.number.Draw(t, "unit"),
		FirstSlot:     rapid.IntRange(-1, 3).Draw(t, "first slot"),
	}
	for range rapid.IntRange(0, 6).Draw(t, "updates") {
		packet.Updates = append(packet.Updates, g.update(t))
	}
	for range rapid.IntRange(0, 20).Draw(t, "quota messages") {
		packet.QuotaMessages = append(packet.QuotaMessages, g.quotaMessage(t))
	}
	return packet
}

func (g packetGenerator) update(t *rapid.T) Update {
	return Update{
		Counters: counter.Snapshot{
			Owner:  g.owner.Draw(t, "of"),
			At:     g.number.Draw(t, "at"),
			Counts: []int64{g.number.Draw(t, "count")},
		},
		Surpluses: []Surplus{{rapid.IntRange(-1, 2).Draw(t, "budget"), g.number.Draw(t, "surplus")}},
		Evidence: []outlier.Evidence{{
			BackendHash: 1,
			Kind:        outlier.Kind(rapid.IntRange(0, 9).Draw(t, "kind")),
			ObservedAt:  g.number.Draw(t, "observed"),
		}},
	}
}

func (g packetGenerator) quotaMessage(t *rapid.T) QuotaMessage {
	return QuotaMessage{
		Kind:        QuotaMessageKind(rapid.IntRange(0, 4).Draw(t, "kind")),
		BudgetHash:  g.budget,
		To:          g.owner.Draw(t, "to"),
		Number:      rapid.Uint64Range(0, 5).Draw(t, "number"),
		Amount:      g.number.Draw(t, "amount"),
		FirstWindow: g.number.Draw(t, "first"),
		LastWindow:  g.number.Draw(t, "last"),
	}
}

// Packets with arbitrary values from a faulty peer cause no overspending, and no packet larger than 4096 bytes.
func TestMalformedPacketsDoNoHarm(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		monitor := &invariant.Monitor{}
		m := newFleet(t, 3, monitor)[0]
		generator := newPacketGenerator(m.Budgets[0].DefinitionHash())
		now := 100 * second
		for range rapid.IntRange(1, 60).Draw(t, "packets") {
			now += rapid.Int64Range(0, second).Draw(t, "by")
			raw, err := cbor.Marshal(generator.packet(t))
			if err != nil {
				t.Fatal(err)
			}
			var packet Packet
			if err := cbor.Unmarshal(raw, &packet); err != nil {
				t.Fatal(err)
			}
			m.Receive(now, packet)
			for _, outgoing := range m.Tick(now, nil) {
				if raw, _ := cbor.Marshal(outgoing.Packet); len(raw) > 4096 {
					t.Fatalf("packet has %d bytes, maximum 4096", len(raw))
				}
			}
			available := m.Allocations[0].Quota(m.Allocations[0].CurrentWindow())
			if available < 0 || len(monitor.Violations()) > 0 {
				t.Fatal(available, monitor.Violations())
			}
		}
	})
}
