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

func TestGoldenNumbers(t *testing.T) {
	golden.Bytes(t, "numbers.txt", fmt.Appendf(nil, "well %d\nfault %d\npath %d\nservers %d\nsources of a server %d\npieces of a node %d\n",
		Healthy, BackendFault, Unreachable, MaxBackends, MaxSourcesPerBackend, MaxEvidencePerNode))
}
