package member

import (
	"fmt"
	"testing"

	"github.com/fxamacker/cbor/v2"

	"standpoint/internal/fleet/counter"
	"standpoint/internal/fleet/outlier"
	"standpoint/internal/fleet/quota"
	"standpoint/internal/testpeer/golden"
)

func TestGoldenPacket(t *testing.T) {
	packet := Packet{
		From:          quota.Owner{Slot: 1, Incarnation: 2},
		AgeUnit:       3,
		FirstSlot:     4,
		HeartbeatAges: []byte{5, 6, 0xff},
		Updates: []Update{{
			Counters:  counter.Snapshot{Owner: quota.Owner{Slot: 7, Incarnation: 8}, At: 9, Counts: []int64{10, 11}},
			Surpluses: []Surplus{{Budget: 12, Amount: 13}},
			Evidence:  []outlier.Evidence{{BackendHash: 14, StartedAt: 15, Kind: outlier.BackendFault, ObservedAt: 16}},
		}},
		QuotaMessages: []QuotaMessage{{
			Kind:        ReturnTransfer,
			BudgetHash:  17,
			To:          quota.Owner{Slot: 18, Incarnation: 19},
			Number:      20,
			Amount:      21,
			FirstWindow: 22,
			LastWindow:  23,
		}},
	}
	golden.RoundTrip(t, "packet.cbor", packet,
		func(v Packet) ([]byte, error) { return cbor.Marshal(v) },
		func(b []byte) (v Packet, err error) { return v, cbor.Unmarshal(b, &v) })
}

// Empty fields are left out of an encoded packet.
func TestGoldenPacketOmitsEmptyFields(t *testing.T) {
	raw, err := cbor.Marshal(Packet{
		From:          quota.Owner{Slot: 1, Incarnation: 2},
		QuotaMessages: []QuotaMessage{{BudgetHash: 3, To: quota.Owner{Slot: 4}}},
	})
	if err != nil {
		t.Fatal(err)
	}
	golden.Bytes(t, "order.cbor", raw)
}

func TestGoldenMessageKindsAndBounds(t *testing.T) {
	numbers := fmt.Appendf(nil, "ask %d\nlend %d\nreturn %d\n", RequestQuota, GrantTransfer, ReturnTransfer)
	numbers = fmt.Appendf(numbers, "beats %d\nnews %d\norders %d\nspares %d\nno beat %d\n",
		MaxHeartbeats, MaxForwardedUpdates, MaxQuotaMessages, MaxSurpluses, ageUnknown)
	golden.Bytes(t, "numbers.txt", numbers)
}
