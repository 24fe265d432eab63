package quota

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// Quota that is lent belongs to the borrower alone until the end of its transfer, and to the lender again when that
// end has passed by every clock, or when the borrower returns it.
func TestTransferredQuotaComesBack(t *testing.T) {
	s := newSimulation(t, 2, Budget{Name: "b", Amount: 20, Window: time.Second, TransferWindows: 3})
	s.advance(second)
	lender, borrower := s.nodes[0], s.nodes[1]
	window := lender.CurrentWindow()
	transfer, ok := lender.Lend(borrower.Owner, 4, window, 2)
	require.True(t, ok)
	require.True(t, borrower.Accept(transfer))
	require.False(t, borrower.Accept(transfer), "a transfer is accepted once")
	require.EqualValues(t, []int64{6, 14}, []int64{lender.Quota(window), borrower.Quota(window)})
	require.EqualValues(t, 10, borrower.Quota(window+2))
	s.advance(2 * second)
	require.EqualValues(t, 6, lender.Quota(window+2), "the transfer may not have ended by another clock")
	s.advance(clockError)
	require.EqualValues(t, 10, lender.Quota(window+2))
	transfer, _ = lender.Lend(borrower.Owner, 4, window+2, 3)
	require.True(t, borrower.Accept(transfer))
	returned := borrower.ReturnUnneeded()
	require.Len(t, returned, 1)
	require.EqualValues(t, 10, borrower.Quota(window+3))
	lender.AcceptReturn(borrower.Owner, returned[0].Number, returned[0].LastWindow)
	require.EqualValues(t, []int64{6, 10}, []int64{lender.Quota(window + 2), lender.Quota(window + 3)})
	require.False(t, borrower.Accept(transfer), "a returned transfer is not accepted again")
	s.advance(second)
	require.False(t, borrower.Accept(transfer), "a returned transfer is not accepted before its original end")
	other := transfer
	other.Number = 99
	other.Borrower.Incarnation = borrower.Owner.Incarnation + 1
	require.False(t, borrower.Accept(other), "a transfer to another incarnation is not accepted")
}

// The number of transfers is bounded: a lender with MaxTransfers lends no more, and a borrower with as many accepts no
// more.
func TestTransfersAreBounded(t *testing.T) {
	s := newSimulation(t, 2, Budget{Name: "b", Amount: 1 << 40, Window: time.Second, TransferWindows: 2})
	s.advance(second)
	for range 3 * MaxTransfers {
		s.lend(0, 1, 1, 0, 2)
	}
	require.Len(t, s.messages, MaxTransfers)
	lender, borrower := s.nodes[0], s.nodes[1]
	for i := range 3 * MaxTransfers {
		borrower.Accept(Transfer{
			Lender:      Owner{0, 9},
			Number:      uint64(i),
			Borrower:    borrower.Owner,
			Amount:      1,
			FirstWindow: borrower.CurrentWindow(),
			LastWindow:  borrower.CurrentWindow(),
		})
	}
	require.Len(t, borrower.borrowed, MaxTransfers)
	s.advance(5 * second)
	require.Empty(t, borrower.borrowed)
	require.Empty(t, lender.lent)
}
