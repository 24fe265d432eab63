package endpoints

import (
	"encoding/json"
	"testing"
	"time"

	"standpoint/internal/testpeer/golden"
)

// The persisted form of an endpoint and the store key of the list must not change.
func TestGoldenPersistedList(t *testing.T) {
	golden.RoundTrip(t, "last.json", []storedEndpoint{{
		Host:   "box-1",
		Dial:   "127.0.0.1:9000",
		Site:   "a",
		Class:  "m",
		Block:  3,
		Health: "ready",
		Share:  1.5,
		BornMS: 1700000000000,
		Mode:   "batch",
		Labels: map[string]string{"tier": "new"},
		Source: "dnssd",
		Until:  time.Date(2026, 11, 1, 10, 0, 0, 0, time.UTC),
	}},
		func(all []storedEndpoint) ([]byte, error) { return json.MarshalIndent(all, "", "  ") },
		func(raw []byte) (all []storedEndpoint, err error) { err = json.Unmarshal(raw, &all); return all, err })
	golden.Bytes(t, "keys.txt", []byte(cacheKey+"\n"))
}

// The names of the states in lists must not change.
func TestGoldenHealthNames(t *testing.T) {
	raw, err := json.Marshal(healthNames)
	if err != nil {
		t.Fatal(err)
	}
	golden.Bytes(t, "health.json", raw)
}
