package backend

import (
	"encoding/json"
	"testing"
	"time"

	"standpoint"
	"standpoint/internal/clock"
	"standpoint/internal/testpeer/golden"
)

// goldenStream returns a stream as processes of versions before the present one pass it.
func goldenStream() Stream {
	return Stream{
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
	}
}

// The JSON form of a stream that one process hands over to another, as other builds read and write it. The tenant's
// index is not part of it.
func TestGoldenStream(t *testing.T) {
	encode := func(s Stream) ([]byte, error) { return json.MarshalIndent(s, "", "  ") }
	golden.RoundTrip(t, "stream.json", goldenStream(), encode, DecodeStream, "Tenant", "Sent", "LastEvent",
		"LastReceived", "LongestPause", "Events", "MaxTokens", "ClientResumes")
	present, resumes := goldenStream(), true
	present.Sent = clock.Stamp{Boot: "boot-1", Monotonic: 11}
	present.LastEvent = clock.Stamp{Boot: "boot-1", Monotonic: 12}
	present.LastReceived = clock.Stamp{Boot: "boot-1", Monotonic: 13}
	present.LongestPause = 600 * time.Millisecond
	present.Events = 9
	present.MaxTokens = 800
	present.ClientResumes = &resumes
	golden.RoundTrip(t, "stream-with-times.json", present, encode, DecodeStream, "Tenant")
}
