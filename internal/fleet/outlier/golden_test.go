package outlier

import (
	"fmt"
	"testing"

	"github.com/fxamacker/cbor/v2"

	"standpoint/internal/testpeer/golden"
)

func TestGoldenEvidence(t *testing.T) {
	golden.RoundTrip(t, "evidence.cbor", Evidence{BackendHash: 1, StartedAt: 2, Kind: Unreachable, ObservedAt: 4},
		func(v Evidence) ([]byte, error) { return cbor.Marshal(v) },
		func(b []byte) (v Evidence, err error) { return v, cbor.Unmarshal(b, &v) })
}

func TestGoldenKindsAndBounds(t *testing.T) {
	numbers := fmt.Appendf(nil, "well %d\nfault %d\npath %d\n", Healthy, BackendFault, Unreachable)
	numbers = fmt.Appendf(numbers, "servers %d\nsources of a server %d\npieces of a node %d\n",
		MaxBackends, MaxSourcesPerBackend, MaxEvidencePerNode)
	golden.Bytes(t, "numbers.txt", numbers)
}
