package metrics

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"
)

// TestSetClasses checks that a class keeps its counts across a reload that changes its index, that invalid indexes are
// ignored, and that the number of exposed classes is bounded.
func TestSetClasses(t *testing.T) {
	c := New([]string{"chat", "import"}, func() int { return 0 })
	c.CountRequest(1, Succeeded)
	c.SetClasses([]string{"import", "night"})
	c.CountRequest(0, Succeeded)
	c.CountRequest(1, Failed)
	c.CountRequest(2, Failed)
	c.CountRequest(-1, Failed)
	require.EqualValues(t, 3, c.RequestTotal(), "indexes that are not classes are ignored")
	classes := c.Classes()
	require.Len(t, classes, 3)
	require.Equal(t, "import", classes[1].Name)
	require.EqualValues(t, 2, classes[1].Count(Succeeded))
	for i := range 2 * maxClasses {
		c.SetClasses([]string{fmt.Sprint("class-", i)})
		c.CountRequest(0, Rejected)
	}
	require.Len(t, c.Classes(), maxClasses)
}

// TestNilCounters checks that counting on a nil *Counters does not panic.
func TestNilCounters(t *testing.T) {
	var c *Counters
	require.NotPanics(t, func() {
		c.CountRequest(0, Succeeded)
		c.CountAttempt()
		c.CountFailedUnsent(Malformed)
		c.CountSilentClose(Stopping)
		c.SetBackends(1, 2)
	})
}
