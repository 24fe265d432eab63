package fleet

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"standpoint/internal/fleet/ledger"
	"standpoint/internal/fleet/site"
	"standpoint/internal/node"
)

// A request is admitted by quota that the node has, what it did not need is refunded, and its outcome is an entry;
// what was never served costs nothing. Without quota, or where the ledger takes nothing more, it is rejected with
// when to come back.
func TestAdmissionSpendsAndRefunds(t *testing.T) {
	f := newTestFleet(t, 100, 0, true)
	spent := func() int64 {
		allocation := f.member.Allocations[0]
		return allocation.Spent(allocation.CurrentWindow())
	}
	var entries []ledger.Entry
	f.RecordUsage = func(e ledger.Entry) bool { entries = append(entries, e); return true }
	full := false
	f.LedgerFull = func() bool { return full }
	served := func(out float64) node.Answer {
		return node.Answer{Kind: node.Served, Usage: node.Usage{Known: true, Begun: true, CachedTokens: 3, OutputTokens: out}}
	}
	charge, _, ok := f.Admit(request(20, 60))
	require.True(t, ok)
	_, wait, ok := f.Admit(request(20, 10))
	require.False(t, ok)
	require.Positive(t, wait)
	f.Settle(request(20, 60), charge, served(10))
	require.EqualValues(t, 30, spent())
	charge, _, ok = f.Admit(request(20, 50))
	require.True(t, ok, "what was not needed is there again")
	charge.UncachedTokens = 5 // the rest of the prompt was charged with an earlier part
	paused := node.Answer{Kind: node.Served, Usage: node.Usage{Known: true, Paused: true, OutputTokens: 7}}
	f.Settle(request(20, 50), charge, paused)
	charge, _, ok = f.Admit(request(20, 38))
	require.True(t, ok)
	f.Settle(request(20, 38), charge, node.Answer{Kind: node.Rejected})
	require.EqualValues(t, 42, spent())
	charge, _, ok = f.Admit(request(20, 38))
	require.True(t, ok)
	f.Settle(request(20, 38), charge, node.Answer{Kind: node.Broken, Usage: node.Usage{Begun: true}})
	require.EqualValues(t, 100, spent(), "what it was is not known")
	require.Equal(t, []ledger.Entry{
		{Tenant: "acme", Class: "chat", InputTokens: 20, CachedTokens: 3, OutputTokens: 10},
		{Tenant: "acme", Class: "chat", InputTokens: 5, OutputTokens: 7, Outcome: ledger.Paused},
		{Tenant: "acme", Class: "chat", InputTokens: 20, Outcome: ledger.Interrupted},
	}, entries)
	free := request(1e6, 1e6)
	free.Tenant = 1
	_, _, ok = f.Admit(free)
	require.True(t, ok, "a tenant without a budget")
	full = true
	_, wait, ok = f.Admit(free)
	require.False(t, ok, "nothing is admitted that could not be charged")
	require.Positive(t, wait)
}

// Safe first: an incarnation without a lease spends nothing, whoever it hears; one that is isolated uses the
// overdraft class by class.
func TestAdmissionWhileIsolated(t *testing.T) {
	_, _, ok := newTestFleet(t, 100, 0, false).Admit(request(1, 1))
	require.False(t, ok)
	f := newTestFleet(t, 100, 50, true)
	f.OverdraftClasses = []bool{true, false}
	f.CoreSlots = []string{"b"}
	f.siteConnectivity = site.New(site.Timing{}, f.Now(), nil)
	other := request(20, 80)
	other.Class = 1
	_, _, ok = f.Admit(other)
	require.True(t, ok)
	other.MaxTokens = 10
	_, _, ok = f.Admit(other)
	require.False(t, ok, "not this class")
	_, _, ok = f.Admit(request(20, 30))
	require.True(t, ok, "this one")
	_, _, ok = f.Admit(request(1, 1))
	require.False(t, ok, "and no more than the overdraft")
}

// Room for paused sessions is reserved in all windows of the wait, and free again once it is released.
func TestSessionReservations(t *testing.T) {
	f := newTestFleet(t, 1, 0, true)
	release, ok := f.ReserveSession(0, 90*time.Minute)
	require.True(t, ok)
	_, ok = f.ReserveSession(0, time.Minute)
	require.True(t, ok)
	_, ok = f.ReserveSession(0, time.Minute)
	require.False(t, ok)
	release()
	_, ok = f.ReserveSession(0, 90*time.Minute)
	require.True(t, ok)
}

func BenchmarkRequest(b *testing.B) {
	f := newTestFleet(b, 1<<50, 0, true)
	r := request(100, 50)
	answer := node.Answer{Kind: node.Served, Usage: node.Usage{Known: true, OutputTokens: 20}}
	f.RecordUsage = func(ledger.Entry) bool { return true }
	b.ReportAllocs()
	for b.Loop() {
		charge, _, _ := f.Admit(r)
		f.Settle(r, charge, answer)
	}
}
