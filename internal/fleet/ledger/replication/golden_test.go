package replication

import (
	"testing"

	"standpoint/internal/fleet/ledger"
	"standpoint/internal/testpeer/golden"
)

// roundTrip compares a message with its golden files, as CBOR and as JSON.
func roundTrip[T any](t *testing.T, name string, value T) {
	t.Helper()
	golden.JSON(t, name+".json", value)
	golden.CBOR(t, name+".cbor", value)
}

// The encodings of the replication messages and of the status do not change: other versions and clients read them.
func TestGoldenMessages(t *testing.T) {
	source := ledger.Source{Slot: "node-1", Incarnation: 3}
	roundTrip(t, "digest_ask", DigestRequest{After: source})
	roundTrip(t, "digest_answer", DigestResponse{
		Sources: ledger.Digest{{Source: source, Ranges: []ledger.Range{{First: 1, Last: 4}}}},
		More:    true,
	})
	roundTrip(t, "fetch_ask", FetchRequest{Source: source, Sequences: ledger.Range{First: 5, Last: 9}})
	entry := &ledger.Entry{
		Slot:         "node-1",
		Incarnation:  3,
		Sequence:     4,
		At:           1796121600000000005,
		Tenant:       "acme",
		Class:        "chat",
		Session:      6,
		InputTokens:  70,
		CachedTokens: 80,
		OutputTokens: 90,
		Outcome:      ledger.Interrupted,
	}
	roundTrip(t, "fetch_answer", FetchResponse{Entries: []*ledger.Entry{entry}})
	totals := ledger.Totals{Entries: 5, InputTokens: 6, CachedTokens: 7, OutputTokens: 8}
	golden.JSON(t, "status.json", Status{
		Slot:             "node-1",
		Incarnation:      2,
		Entries:          3,
		Bytes:            4,
		Totals:           map[string]ledger.Totals{"acme": totals},
		Sources:          9,
		Charged:          10,
		Received:         11,
		Dropped:          12,
		Queued:           13,
		Unfetched:        14,
		SyncedSecondsAgo: 15.5,
		Consistent:       true,
		Corruptions:      []string{"00000001.ledger, byte 20: a checksum that does not hold"},
	})
}
