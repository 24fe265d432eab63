package clock

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// A step of the wall clock must change the time that Wall returns, and no instant.
func TestWallStepChangesNoInstant(t *testing.T) {
	for _, step := range []time.Duration{time.Hour, -time.Hour, 5 * time.Second} {
		started := Now()
		wall := Wall()
		restore := StepWall(step)
		require.InDelta(t, step.Seconds(), Wall().Sub(wall).Seconds(), 1)
		require.InDelta(t, 0, time.Duration(Now()-started).Seconds(), 1)
		restore()
	}
	at := time.Now()
	require.Equal(t, Of(at), Of(Time(Of(at))))
	require.WithinDuration(t, at, Time(Of(at)), 0)
}

// A stamp must be valid until the machine reboots, and the zero value must never be valid.
func TestStampIsValidUntilReboot(t *testing.T) {
	now := Now()
	stamp := StampOf(now)
	instant, ok := stamp.Instant()
	require.True(t, ok)
	require.Equal(t, now, instant)
	stamp.Boot = "another"
	_, ok = stamp.Instant()
	require.False(t, ok)
	_, ok = Stamp{}.Instant()
	require.False(t, ok)
}
