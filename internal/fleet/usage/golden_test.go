package usage

import (
	"encoding/json"
	"testing"

	"github.com/fxamacker/cbor/v2"

	"standpoint/internal/fleet/ledger"
	"standpoint/internal/testpeer/golden"
)

func roundTripJSON[T any](t *testing.T, name string, value T) {
	t.Helper()
	golden.RoundTrip(t, name+".json", value, func(v T) ([]byte, error) { return json.Marshal(v) }, func(raw []byte) (v T, err error) {
		return v, json.Unmarshal(raw, &v)
	})
}

// roundTrip compares a message with its golden files, as CBOR and as JSON.
func roundTrip[T any](t *testing.T, name string, value T) {
	t.Helper()
	roundTripJSON(t, name, value)
	golden.RoundTrip(t, name+".cbor", value, func(v T) ([]byte, error) { return cbor.Marshal(v) }, func(raw []byte) (v T, err error) {
		return v, cbor.Unmarshal(raw, &v)
	})
}

// What nodes exchange about their ledgers, and what a node shows of its own.
func TestGoldenMessages(t *testing.T) {
	of := ledger.Source{Seat: "node-1", Life: 3}
	roundTrip(t, "digest_ask", DigestAsk{After: of})
	roundTrip(t, "digest_answer", DigestAnswer{Have: ledger.Digest{{Source: of, Ranges: []ledger.Range{{First: 1, Last: 4}}}}, More: true})
	roundTrip(t, "fetch_ask", FetchAsk{Source: of, Numbers: ledger.Range{First: 5, Last: 9}})
	roundTrip(t, "fetch_answer", FetchAnswer{Entries: []*ledger.Entry{{Seat: "node-1", Life: 3, Number: 4, At: 1796121600000000005, Tenant: "acme", Class: "chat", Session: 6,
		In: 70, Kept: 80, Out: 90, Outcome: ledger.Broken}}})
	roundTripJSON(t, "status", Status{Seat: "node-1", Life: 2, Entries: 3, Bytes: 4, Sums: map[string]ledger.Sum{"acme": {Entries: 5, In: 6, Kept: 7, Out: 8}}, Sources: 9, Charged: 10,
		Taken: 11, Lost: 12, Waiting: 13, Lacking: 14, Agreed: 15.5, Holds: true, Damages: []string{"00000001.ledger, byte 20: a checksum that does not hold"}})
}
