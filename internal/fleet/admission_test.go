package fleet

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"standpoint/internal/fleet/ledger"
	"standpoint/internal/fleet/site"
	"standpoint/internal/node"
)

// A request is charged its maximum cost, the difference to the actual cost is refunded, and its usage is recorded. A
// request that was not served costs nothing. Without quota, or while the ledger is full, requests are rejected with
// a time after which to retry.
func TestAdmissionSpendsAndRefunds(t *testing.T) {
	f := newTestFleet(t, 100, 0, true)
	spent := func() int64 {
		allocation := f.member.Allocations[0]
		return allocation.Spent(allocation.CurrentWindow())
	}
	var entries []ledger.Entry
	f.RecordUsage = func(e ledger.Entry) bool { entries = append(entries, e); return true }
	ledgerFull := false
	f.LedgerFull = func() bool { return ledgerFull }
	served := func(outputTokens float64) node.Answer {
		return node.Answer{
			Kind:  node.Served,
			Usage: node.Usage{Known: true, Started: true, CachedTokens: 3, OutputTokens: outputTokens},
		}
	}
	charge, _, ok := f.Admit(request(20, 60))
	require.True(t, ok)
	_, wait, ok := f.Admit(request(20, 10))
	require.False(t, ok)
	require.Positive(t, wait)
	f.Settle(request(20, 60), charge, served(10))
	require.EqualValues(t, 30, spent())
	charge, _, ok = f.Admit(request(20, 50))
	require.True(t, ok, "unused tokens are refunded")
	charge.UncachedTokens = 5 // the other prompt tokens were charged with an earlier part of the session
	paused := node.Answer{Kind: node.Served, Usage: node.Usage{Known: true, Paused: true, OutputTokens: 7}}
	f.Settle(request(20, 50), charge, paused)
	charge, _, ok = f.Admit(request(20, 38))
	require.True(t, ok)
	f.Settle(request(20, 38), charge, node.Answer{Kind: node.Rejected})
	require.EqualValues(t, 42, spent())
	charge, _, ok = f.Admit(request(20, 38))
	require.True(t, ok)
	f.Settle(request(20, 38), charge, node.Answer{Kind: node.Interrupted, Usage: node.Usage{Started: true}})
	require.EqualValues(t, 100, spent(), "an interrupted request costs its maximum")
	require.Equal(t, []ledger.Entry{
		{Tenant: "acme", Class: "chat", InputTokens: 20, CachedTokens: 3, OutputTokens: 10},
		{Tenant: "acme", Class: "chat", InputTokens: 5, OutputTokens: 7, Outcome: ledger.Paused},
		{Tenant: "acme", Class: "chat", InputTokens: 20, Outcome: ledger.Interrupted},
	}, entries)
	unbudgeted := request(1e6, 1e6)
	unbudgeted.Tenant = 1
	_, _, ok = f.Admit(unbudgeted)
	require.True(t, ok, "a tenant without a budget is not limited")
	ledgerFull = true
	_, wait, ok = f.Admit(unbudgeted)
	require.False(t, ok, "nothing is admitted whose usage cannot be recorded")
	require.Positive(t, wait)
}

// An incarnation without a lease spends nothing. An isolated node uses the overdraft, but only for the classes that
// may.
func TestAdmissionWhileIsolated(t *testing.T) {
	_, _, ok := newTestFleet(t, 100, 0, false).Admit(request(1, 1))
	require.False(t, ok)
	f := newTestFleet(t, 100, 50, true)
	f.OverdraftClasses = []bool{true, false}
	f.CoreSlots = []string{"b"}
	f.siteConnectivity = site.New(site.Timing{}, f.Now(), nil)
	otherClass := request(20, 80)
	otherClass.Class = 1
	_, _, ok = f.Admit(otherClass)
	require.True(t, ok)
	otherClass.MaxTokens = 10
	_, _, ok = f.Admit(otherClass)
	require.False(t, ok, "class 1 may not use the overdraft")
	_, _, ok = f.Admit(request(20, 30))
	require.True(t, ok, "class 0 may use the overdraft")
	_, _, ok = f.Admit(request(1, 1))
	require.False(t, ok, "the overdraft is used up")
}

// A paused session is reserved a unit in each window of its wait, which is free again after release.
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
