package replication

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
	of := ledger.Source{Slot: "node-1", Incarnation: 3}
	roundTrip(t, "digest_ask", DigestRequest{After: of})
	roundTrip(t, "digest_answer", DigestResponse{Sources: ledger.Digest{{Source: of, Ranges: []ledger.Range{{First: 1, Last: 4}}}}, More: true})
	roundTrip(t, "fetch_ask", FetchRequest{Source: of, Sequences: ledger.Range{First: 5, Last: 9}})
	roundTrip(t, "fetch_answer", FetchResponse{Entries: []*ledger.Entry{{Slot: "node-1", Incarnation: 3, Sequence: 4, At: 1796121600000000005, Tenant: "acme", Class: "chat", Session: 6,
		InputTokens: 70, CachedTokens: 80, OutputTokens: 90, Outcome: ledger.Interrupted}}})
	roundTripJSON(t, "status", Status{Slot: "node-1", Incarnation: 2, Entries: 3, Bytes: 4, Totals: map[string]ledger.Totals{"acme": {Entries: 5, InputTokens: 6, CachedTokens: 7, OutputTokens: 8}}, Sources: 9, Charged: 10,
		Received: 11, Dropped: 12, Queued: 13, Missing: 14, SyncedSecondsAgo: 15.5, Consistent: true, Corruptions: []string{"00000001.ledger, byte 20: a checksum that does not hold"}})
}
