package quota

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// A clock that is set back does not reopen a window, so that its quota is not spent twice.
func TestClockSetBackReopensNoWindow(t *testing.T) {
	s := newSimulation(t, 1, Budget{Name: "b", Amount: 20, Window: time.Second, TransferWindows: 2})
	s.advance(2 * second)
	node := s.nodes[0]
	require.True(t, s.spend(0, 20, 0))
	window := node.CurrentWindow()
	node.Advance(s.now - second)
	require.Equal(t, window, node.CurrentWindow())
	require.False(t, s.spend(0, 1, 0))
	node.Advance(s.now)
	require.False(t, s.spend(0, 1, 0))
}

// A node that receives no packets has the base quota of its slot while its lease is valid, and nothing more. A
// successor skips the windows of which its predecessor can have spent or lent quota.
func TestBaseQuotaNeedsALeaseAndSuccessorsWait(t *testing.T) {
	s := newSimulation(t, 2, Budget{Name: "b", Amount: 20, Window: time.Second, TransferWindows: 2})
	s.advance(second)
	require.False(t, s.spend(0, 11, 0))
	require.True(t, s.spend(0, 10, 0))
	s.advance(2 * time.Hour.Nanoseconds())
	require.False(t, s.spend(0, 1, 0), "its lease has expired")
	s = newSimulation(t, 2, Budget{Name: "b", Amount: 20, Window: time.Second, TransferWindows: 2})
	s.advance(second)
	s.start(0, 0, time.Minute, true)
	for range 5 {
		require.False(t, s.spend(0, 1, 0))
		s.advance(second)
	}
	s.advance(second)
	require.True(t, s.spend(0, 10, 0))
	s.start(1, 0, time.Minute, false)
	require.False(t, s.spend(1, 1, 0), "the lease of its predecessor is still valid")
	s.lend(0, 1, 5, 1, 2)
	s.messages[0].deliver(s)
	s.advance(second)
	require.True(t, s.spend(1, 5, 0), "it may borrow without a lease")
}

// An overdraft becomes a debt. Each of the next windows repays up to a quarter of its base quota until none is left.
func TestOverdraftIsRepaidFromLaterWindows(t *testing.T) {
	s := newSimulation(t, 1, Budget{Name: "b", Amount: 20, Overdraft: 12, Window: time.Second, TransferWindows: 2})
	s.advance(second)
	node := s.nodes[0]
	require.False(t, node.Spend(21, 0))
	require.True(t, s.spend(0, 32, 0))
	require.False(t, s.spend(0, 1, 0))
	for _, left := range []int64{15, 15, 18, 20} {
		s.advance(second)
		require.Equal(t, left, node.Quota(node.CurrentWindow()))
	}
	s.check(t)
}

func BenchmarkSpend(b *testing.B) {
	node := newSimulation(b, 3, Budget{Name: "b", Amount: 1 << 50, Window: time.Hour, TransferWindows: 4}).nodes[0]
	node.SetLease(Lease{FencingToken: 2, ValidFrom: 0, ExpiresAt: 1 << 62})
	b.ReportAllocs()
	for b.Loop() {
		if !node.Spend(1, 0) {
			b.Fatal("no quota")
		}
	}
}
