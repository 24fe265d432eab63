package clock

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// A step of the wall clock changes what Wall returns, and no instant.
func TestWallStepChangesNoInstant(t *testing.T) {
	for _, by := range []time.Duration{time.Hour, -time.Hour, 5 * time.Second} {
		started := Now()
		wall := Wall()
		restore := StepWall(by)
		require.InDelta(t, by.Seconds(), Wall().Sub(wall).Seconds(), 1)
		require.InDelta(t, 0, time.Duration(Now()-started).Seconds(), 1)
		restore()
	}
	at := time.Now()
	require.Equal(t, Of(at), Of(Time(Of(at))))
	require.WithinDuration(t, at, Time(Of(at)), 0)
}

// A stamp is valid until the machine reboots.
func TestStampIsValidUntilReboot(t *testing.T) {
	now := Now()
	stamp := StampOf(now)
	got, ok := stamp.Instant()
	require.True(t, ok)
	require.Equal(t, now, got)
	stamp.Boot = "another"
	_, ok = stamp.Instant()
	require.False(t, ok)
	_, ok = Stamp{}.Instant()
	require.False(t, ok)
}
