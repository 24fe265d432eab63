package member

import (
	"fmt"
	"testing"

	"github.com/fxamacker/cbor/v2"

	"standpoint/internal/fleet/judge"
	"standpoint/internal/fleet/rights"
	"standpoint/internal/fleet/tally"
	"standpoint/internal/testpeer/golden"
)

func TestGoldenPacket(t *testing.T) {
	packet := Packet{
		From:          rights.Owner{Slot: 1, Incarnation: 2},
		AgeUnit:       3,
		FirstSlot:     4,
		HeartbeatAges: []byte{5, 6, 0xff},
		Updates: []Update{{
			Counters:  tally.Snapshot{Owner: rights.Owner{Slot: 7, Incarnation: 8}, At: 9, Counts: []int64{10, 11}},
			Surpluses: []Surplus{{Budget: 12, Amount: 13}},
			Evidence:  []judge.Evidence{{BackendHash: 14, StartedAt: 15, Kind: judge.BackendFault, ObservedAt: 16}},
		}},
		QuotaMessages: []QuotaMessage{{Kind: ReturnTransfer, BudgetHash: 17, To: rights.Owner{Slot: 18, Incarnation: 19}, Number: 20, Amount: 21, FirstWindow: 22, LastWindow: 23}},
	}
	golden.RoundTrip(t, "packet.cbor", packet,
		func(v Packet) ([]byte, error) { return cbor.Marshal(v) },
		func(b []byte) (v Packet, err error) { return v, cbor.Unmarshal(b, &v) })
}

// What is empty is left out of a packet.
func TestGoldenPacketOfOneOrder(t *testing.T) {
	raw, err := cbor.Marshal(Packet{From: rights.Owner{Slot: 1, Incarnation: 2}, QuotaMessages: []QuotaMessage{{BudgetHash: 3, To: rights.Owner{Slot: 4}}}})
	if err != nil {
		t.Fatal(err)
	}
	golden.Bytes(t, "order.cbor", raw)
}

func TestGoldenNumbers(t *testing.T) {
	golden.Bytes(t, "numbers.txt", fmt.Appendf(nil, "ask %d\nlend %d\nreturn %d\nbeats %d\nnews %d\norders %d\nspares %d\nno beat %d\n",
		RequestQuota, GrantTransfer, ReturnTransfer, MaxHeartbeats, MaxForwardedUpdates, MaxQuotaMessages, MaxSurpluses, ageUnknown))
}
