package handover

import (
	"fmt"
	"os"
	"sync"
	"testing"

	"github.com/stretchr/testify/require"
)

// Two processes change the record at once and nothing is lost. A reader meanwhile finds it whole, and sees each change
// once.
func TestConcurrentRecordUpdates(t *testing.T) {
	dir := t.TempDir()
	var channels []*Channel
	for pid := range 3 {
		c, err := open(dir, "n", pid)
		require.NoError(t, err)
		channels = append(channels, c)
	}
	r, changed, err := channels[2].ReadRecord()
	require.NoError(t, err)
	require.False(t, changed)
	require.Empty(t, r.DownSince)
	const each = 100
	var writing sync.WaitGroup
	for w := range 2 {
		writing.Go(func() {
			for i := range each {
				_, err := channels[w].UpdateRecord(func(r *Record) { r.DownSince[fmt.Sprint(w, "-", i)] = 1 })
				require.NoError(t, err)
			}
		})
	}
	seen := 0
	for seen < 2*each {
		r, changed, err := channels[2].ReadRecord()
		require.NoError(t, err)
		if changed {
			require.GreaterOrEqual(t, len(r.DownSince), seen)
			seen = len(r.DownSince)
		}
	}
	writing.Wait()
	_, changed, err = channels[2].ReadRecord()
	require.NoError(t, err)
	require.False(t, changed)
}

// A record that cannot be used is an error, and the next change replaces it.
func TestUnusableRecordIsReplaced(t *testing.T) {
	s, err := open(t.TempDir(), "n", 1)
	require.NoError(t, err)
	for _, bad := range []string{"", "{", `{"version":2}`, `{"version":1,"down":{"":1}}`, `{"version":1,"seen":[7]}`} {
		require.NoError(t, os.WriteFile(s.recordPath(), []byte(bad), 0o600))
		_, changed, err := s.ReadRecord()
		require.Error(t, err, bad)
		require.False(t, changed)
	}
	_, err = s.UpdateRecord(func(r *Record) { r.DownSince["s"] = 1 })
	require.NoError(t, err)
	r, changed, err := s.ReadRecord()
	require.NoError(t, err)
	require.True(t, changed)
	require.Equal(t, map[string]int64{"s": 1}, r.DownSince)
}
