package handover

import (
	"fmt"
	"os"
	"sync"
	"testing"

	"github.com/stretchr/testify/require"
)

// Two processes change the record at the same time: no change may be lost. A reader must always find a complete record,
// never one that is older than the one before, and must not get the same change reported twice.
func TestConcurrentRecordUpdates(t *testing.T) {
	dir := t.TempDir()
	var channels []*Channel
	for pid := range 3 {
		channel, err := open(dir, "n", pid)
		require.NoError(t, err)
		channels = append(channels, channel)
	}
	record, changed, err := channels[2].ReadRecord()
	require.NoError(t, err)
	require.False(t, changed)
	require.Empty(t, record.DisabledAt)
	const updates = 100
	var writing sync.WaitGroup
	for writer := range 2 {
		writing.Go(func() {
			for i := range updates {
				_, err := channels[writer].UpdateRecord(func(r *Record) { r.DisabledAt[fmt.Sprint(writer, "-", i)] = 1 })
				require.NoError(t, err)
			}
		})
	}
	seen := 0
	for seen < 2*updates {
		record, changed, err := channels[2].ReadRecord()
		require.NoError(t, err)
		if changed {
			require.GreaterOrEqual(t, len(record.DisabledAt), seen)
			seen = len(record.DisabledAt)
		}
	}
	writing.Wait()
	_, changed, err = channels[2].ReadRecord()
	require.NoError(t, err)
	require.False(t, changed)
}

// An invalid record must be reported as an error, and be replaced by the next change.
func TestUnusableRecordIsReplaced(t *testing.T) {
	channel, err := open(t.TempDir(), "n", 1)
	require.NoError(t, err)
	for _, bad := range []string{"", "{", `{"version":2}`, `{"version":1,"down":{"":1}}`, `{"version":1,"seen":[7]}`} {
		require.NoError(t, os.WriteFile(channel.recordPath(), []byte(bad), 0o600))
		_, changed, err := channel.ReadRecord()
		require.Error(t, err, bad)
		require.False(t, changed)
	}
	_, err = channel.UpdateRecord(func(r *Record) { r.DisabledAt["s"] = 1 })
	require.NoError(t, err)
	record, changed, err := channel.ReadRecord()
	require.NoError(t, err)
	require.True(t, changed)
	require.Equal(t, map[string]int64{"s": 1}, record.DisabledAt)
}
