package migration

import (
	"testing"

	"github.com/stretchr/testify/require"
)

// Guards against a node without endpoints that resets the pool's health for all nodes. The colder of
// two views of the warm-up applies.
func TestWindowsOfSeveralNodesAreMerged(t *testing.T) {
	warmView, coldView, emptyView := Health{
		Backends:     4,
		Ready:        4,
		Capacity:     4,
		WarmCapacity: 4,
	}, Health{
		Backends:     3,
		Ready:        3,
		Capacity:     3,
		WarmCapacity: 1.5,
	}, Health{}
	for _, order := range [][]Health{
		{warmView, coldView, emptyView},
		{emptyView, coldView, warmView},
		{coldView, emptyView, warmView},
	} {
		var merged PoolWindow
		for _, h := range order {
			merged = merged.Add(PoolWindow{Health: h})
		}
		require.Equal(t, Health{Backends: 4, Ready: 4, Capacity: 4, WarmCapacity: 2}, merged.Health)
	}
	require.Zero(t, PoolWindow{}.Add(PoolWindow{Health: Health{Backends: 2}}).Health.Ready)
}
