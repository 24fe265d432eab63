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
		From:  rights.Owner{Seat: 1, Inc: 2},
		Unit:  3,
		First: 4,
		Beats: []byte{5, 6, 0xff},
		News: []News{{
			Row:    tally.Row{Owner: rights.Owner{Seat: 7, Inc: 8}, At: 9, Counts: []int64{10, 11}},
			Spares: []Spare{{Budget: 12, Amount: 13}},
			Seen:   []judge.Evidence{{Server: 14, Start: 15, Kind: judge.Fault, At: 16}},
		}},
		Orders: []Order{{Kind: Return, Budget: 17, To: rights.Owner{Seat: 18, Inc: 19}, Number: 20, Amount: 21, First: 22, Last: 23}},
	}
	golden.RoundTrip(t, "packet.cbor", packet,
		func(v Packet) ([]byte, error) { return cbor.Marshal(v) },
		func(b []byte) (v Packet, err error) { return v, cbor.Unmarshal(b, &v) })
}

// What is empty is left out of a packet.
func TestGoldenPacketOfOneOrder(t *testing.T) {
	raw, err := cbor.Marshal(Packet{From: rights.Owner{Seat: 1, Inc: 2}, Orders: []Order{{Budget: 3, To: rights.Owner{Seat: 4}}}})
	if err != nil {
		t.Fatal(err)
	}
	golden.Bytes(t, "order.cbor", raw)
}

func TestGoldenNumbers(t *testing.T) {
	golden.Bytes(t, "numbers.txt", fmt.Appendf(nil, "ask %d\nlend %d\nreturn %d\nbeats %d\nnews %d\norders %d\nspares %d\nno beat %d\n",
		Ask, Lend, Return, BeatsMost, NewsMost, OrdersMost, SparesMost, beatNever))
}
