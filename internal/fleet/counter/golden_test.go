package counter

import (
	"encoding/json"
	"fmt"
	"testing"

	"github.com/fxamacker/cbor/v2"

	"standpoint/internal/fleet/quota"
	"standpoint/internal/testpeer/golden"
)

func TestGoldenSnapshot(t *testing.T) {
	snapshot := Snapshot{Owner: quota.Owner{Slot: 1, Incarnation: 2}, At: 3, Counts: []int64{4, 5, 6}}
	golden.RoundTrip(t, "row.cbor", snapshot,
		func(v Snapshot) ([]byte, error) { return cbor.Marshal(v) },
		func(b []byte) (v Snapshot, err error) { return v, cbor.Unmarshal(b, &v) })
}

func TestGoldenReading(t *testing.T) {
	golden.RoundTrip(t, "reading.json", Reading{Lower: 1, Upper: 2, Age: 3, Reported: 4, Unreported: 5},
		func(v Reading) ([]byte, error) { return json.MarshalIndent(v, "", "  ") },
		func(b []byte) (v Reading, err error) { return v, json.Unmarshal(b, &v) })
}

func TestGoldenBounds(t *testing.T) {
	golden.Bytes(t, "bounds.txt", fmt.Appendf(nil, "lives %d\n", MaxIncarnations))
}
