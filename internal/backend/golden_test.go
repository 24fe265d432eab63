package backend

import (
	"encoding/json"
	"testing"
	"time"

	"standpoint"
	"standpoint/internal/testpeer/golden"
)

// The JSON form of a stream that one process hands over to another, as other builds read and write it. The tenant's
// index is not part of it.
func TestGoldenStream(t *testing.T) {
	golden.RoundTrip(t, "stream.json", Stream{
		Trace:         "t-1",
		Class:         1,
		Backend:       "box-1",
		Partial:       []byte(`data: {"ch`),
		ReceivedBytes: 500,
		CachedTokens:  12.5,
		OutputTokens:  7.5,
		Report:        &standpoint.Report{MemoryUsage: 0.25, PrefillBacklog: 3, SlotUsage: 0.5},
		Done:          true,
		ClientStall:   250 * time.Millisecond,
		Chunks: chunkParser{
			Phase:          inChunkData,
			Size:           100,
			LineBytes:      4,
			SizeEnded:      true,
			HeadEndMatched: 2,
			HeadBytes:      300,
			Informational:  true,
		},
	},
		func(s Stream) ([]byte, error) { return json.MarshalIndent(s, "", "  ") },
		DecodeStream, "Tenant")
}
