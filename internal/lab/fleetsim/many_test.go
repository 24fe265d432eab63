package fleetsim

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

func plan(seed uint64, nodes int, t Trouble, loss float64) Plan {
	return Plan{Seed: seed, Nodes: nodes, Span: 45 * time.Second, Trouble: t, Loss: loss, Clock: 200 * time.Millisecond, Window: time.Second, Wanted: 0.9,
		Few: 0.34, Servers: 12, Sharing: true}
}

// In every trouble: nothing is overspent, no invariant is broken, and the same seed gives the same play.
func TestPlays(t *testing.T) {
	t.Parallel()
	for _, trouble := range Troubles {
		for _, nodes := range []int{3, 30} {
			for seed := range uint64(3) {
				r := Play(plan(seed, nodes, trouble, 0.1))
				require.LessOrEqual(t, r.Overspent, int64(0), "%s, %d nodes, seed %d", trouble, nodes, seed)
				require.Empty(t, r.Broken)
				if seed == 0 {
					require.Equal(t, r, Play(plan(seed, nodes, trouble, 0.1)))
				}
				t.Logf("%s %d: %+v", trouble, nodes, r)
			}
		}
	}
}
