package fleet

import (
	"testing"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/stretchr/testify/require"
	"go.uber.org/zap"

	"standpoint"
	"standpoint/internal/fleet/invariant"
	"standpoint/internal/fleet/judge"
	"standpoint/internal/fleet/ledger"
	"standpoint/internal/fleet/member"
	"standpoint/internal/fleet/mode"
	"standpoint/internal/fleet/rights"
	"standpoint/internal/fleet/site"
	"standpoint/internal/node"
)

// inside is an actor's inside, of one seat of three, that nothing is sent from.
func inside(t testing.TB, amount, overdraft int64, lease bool) *Fleet {
	b := &rights.Budget{Name: "tokens/acme", Amount: 3 * amount, Overdraft: 3 * overdraft, Window: time.Hour, Loan: 2, Weights: []int64{1, 1, 1}}
	places := &rights.Budget{Name: "places/", Amount: 3 * 2, Window: time.Hour, Ahead: 3, Loan: 2, Weights: []int64{1, 1, 1}}
	require.NoError(t, b.Complete())
	require.NoError(t, places.Complete())
	f := &Fleet{Options: Options{Name: "a", Seats: []Reach{{Name: "a"}, {Name: "b"}, {Name: "c"}}, Tenants: []int{0, -1}, Names: []string{"acme", "free"}, Classes: []string{"chat", "import"}, Further: -1,
		Places: []PlaceBudget{{1, -1}}, Log: zap.NewNop(), Guard: &invariant.Guard{}}, errs: map[string]int{}, names: map[uint64]string{}, starts: map[string]int64{}, zoneOf: map[string]int{}}
	f.Member = member.Config{Own: rights.Owner{Seat: 0, Inc: 1}, Seats: make([]member.Seat, 3), Budgets: []*rights.Budget{b, places}, Most: []int64{10, 10, 10, 10}, Silence: time.Second,
		Mode: mode.Limits{Join: time.Second, Settle: time.Second, Heal: time.Second}, Judge: judge.Limits{Sources: 2, Lasts: int64(5 * time.Second), Own: int64(time.Second), Most: 0.5, Many: 0.6}}
	f.m = member.New(f.Member, f.Now(), f.Guard)
	if lease {
		f.m.Lease(rights.Lease{Epoch: 1, First: 0, Until: 1 << 62})
	}
	return f
}

func ask(prompt, most float64) *standpoint.Request {
	return &standpoint.Request{PromptTokens: prompt, MaxTokens: most}
}

// A request is taken on by rights that the node holds, what it did not need goes back, and its outcome is an entry; what was
// never served costs nothing. Without rights, or where the ledger takes nothing more, it is refused with when to come back.
func TestAdmission(t *testing.T) {
	f := inside(t, 100, 0, true)
	var entries []ledger.Entry
	f.Charge = func(e ledger.Entry) bool { entries = append(entries, e); return true }
	full := false
	f.Full = func() bool { return full }
	served := func(out float64) node.Answer {
		return node.Answer{Kind: node.Served, Usage: node.Usage{Known: true, Begun: true, Kept: 3, Out: out}}
	}
	c, _, ok := f.Admit(ask(20, 60))
	require.True(t, ok)
	_, wait, ok := f.Admit(ask(20, 10))
	require.False(t, ok)
	require.Positive(t, wait)
	f.Settle(ask(20, 60), c, served(10))
	require.EqualValues(t, 30, f.m.Purses[0].Spent(f.m.Purses[0].Window()))
	c, _, ok = f.Admit(ask(20, 50))
	require.True(t, ok, "what was not needed is there again")
	c.Fresh = 5 // the rest of the prompt was charged with an earlier part
	f.Settle(ask(20, 50), c, node.Answer{Kind: node.Served, Usage: node.Usage{Known: true, Paused: true, Out: 7}})
	c, _, ok = f.Admit(ask(20, 38))
	require.True(t, ok)
	f.Settle(ask(20, 38), c, node.Answer{Kind: node.Rejected})
	require.EqualValues(t, 42, f.m.Purses[0].Spent(f.m.Purses[0].Window()))
	c, _, ok = f.Admit(ask(20, 38))
	require.True(t, ok)
	f.Settle(ask(20, 38), c, node.Answer{Kind: node.Broken, Usage: node.Usage{Begun: true}})
	require.EqualValues(t, 100, f.m.Purses[0].Spent(f.m.Purses[0].Window()), "what it was is not known")
	require.Equal(t, []ledger.Entry{{Tenant: "acme", Class: "chat", In: 20, Kept: 3, Out: 10}, {Tenant: "acme", Class: "chat", In: 5, Out: 7, Outcome: ledger.Paused},
		{Tenant: "acme", Class: "chat", In: 20, Outcome: ledger.Broken}}, entries)
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
func TestAdmissionApart(t *testing.T) {
	_, _, ok := inside(t, 100, 0, false).Admit(ask(1, 1))
	require.False(t, ok)
	f := inside(t, 100, 50, true)
	f.Overdraws = []bool{true, false}
	f.Halls, f.site = []string{"b"}, site.New(site.Limits{}, f.Now(), nil)
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
func TestPlaces(t *testing.T) {
	f := inside(t, 1, 0, true)
	one, ok := f.Hold(0, 90*time.Minute)
	require.True(t, ok)
	_, ok = f.Hold(0, time.Minute)
	require.True(t, ok)
	_, ok = f.Hold(0, time.Minute)
	require.False(t, ok)
	one()
	_, ok = f.Hold(0, 90*time.Minute)
	require.True(t, ok)
}

// What others have seen of a server becomes advice; a sign of life here, or a new start of the server, outweighs it.
func TestAdviceFromOthers(t *testing.T) {
	f := inside(t, 1, 0, true)
	list := node.List{Kind: standpoint.ListFull}
	for _, name := range []string{"p", "q", "r", "s"} {
		list.Entries = append(list.Entries, node.Endpoint{Engine: standpoint.Engine{Name: name, ReadyAt: 7}})
	}
	f.Listed(list)
	for seat := 1; seat < 3; seat++ {
		f.m.Bench.Hear(rights.Owner{Seat: seat, Inc: 1}, 0, judge.Evidence{Server: xxhash.Sum64String("p"), Start: 7, Kind: judge.Fault, At: f.Now()}, f.Now())
	}
	doubts := f.advice().Doubts
	require.Len(t, doubts, 1)
	require.Equal(t, "p", doubts[0].Engine)
	f.Ended(node.Observation{Server: "p", Result: node.Result{Code: standpoint.Served}})
	require.Empty(t, f.advice().Doubts)
	f.Ended(node.Observation{Server: "q", Result: node.Result{Code: standpoint.ServerError}})
	require.Empty(t, f.m.Bench.Tell(f.Now())[1:], "one error may be the request's")
	list.Entries[0].ReadyAt = 8
	f.Listed(list)
	require.Empty(t, f.advice().Doubts)
}

func BenchmarkRequest(b *testing.B) {
	f := inside(b, 1<<50, 0, true)
	r := ask(100, 50)
	a := node.Answer{Kind: node.Served, Usage: node.Usage{Known: true, Out: 20}}
	f.Charge = func(ledger.Entry) bool { return true }
	b.ReportAllocs()
	for b.Loop() {
		c, _, _ := f.Admit(r)
		f.Settle(r, c, a)
	}
}
