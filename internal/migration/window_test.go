package migration

import (
	"testing"

	"github.com/stretchr/testify/require"
)

// A node that has lost sight of the boxes must not speak for the others, and the colder view of their warmth holds.
func TestWindowsOfSeveralNodesAreMerged(t *testing.T) {
	seen, cold, blind := Health{
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
	for _, order := range [][]Health{{seen, cold, blind}, {blind, cold, seen}, {cold, blind, seen}} {
		var s PoolWindow
		for _, h := range order {
			s = s.Add(PoolWindow{Health: h})
		}
		require.Equal(t, Health{Backends: 4, Ready: 4, Capacity: 4, WarmCapacity: 2}, s.Health)
	}
	require.Zero(t, PoolWindow{}.Add(PoolWindow{Health: Health{Backends: 2}}).Health.Ready)
}
