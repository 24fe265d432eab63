package fleetsim

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

func plan(seed uint64, nodes int, fault Fault, loss float64) Plan {
	return Plan{Seed: seed, Nodes: nodes, Duration: 45 * time.Second, Fault: fault, Loss: loss,
		MaxClockError: 200 * time.Millisecond, Window: time.Second, Demand: 0.9,
		DemandingShare: 0.34, Backends: 12, Sharing: true}
}

// Under each fault no budget is exceeded, no invariant is violated, and the same seed gives the same result.
func TestInvariantsHoldUnderFaults(t *testing.T) {
	t.Parallel()
	for _, fault := range Faults {
		for _, nodes := range []int{3, 30} {
			for seed := range uint64(3) {
				r := Run(plan(seed, nodes, fault, 0.1))
				require.LessOrEqual(t, r.Overspent, int64(0), "%s, %d nodes, seed %d", fault, nodes, seed)
				require.Empty(t, r.Violations)
				if seed == 0 {
					require.Equal(t, r, Run(plan(seed, nodes, fault, 0.1)))
				}
				t.Logf("%s %d: %+v", fault, nodes, r)
			}
		}
	}
}
