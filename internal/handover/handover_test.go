package handover

import (
	"encoding/json"
	"fmt"
	"os"
	"sync"
	"testing"

	"github.com/stretchr/testify/require"
)

// Two processes of one node see each other, and not those of another node; the file of one that died is taken away.
func TestWhoLives(t *testing.T) {
	dir := t.TempDir()
	a, err := open(dir, "n", 1)
	require.NoError(t, err)
	other, err := open(dir, "../n", 2)
	require.NoError(t, err)
	require.Zero(t, a.SiblingCount())
	require.Zero(t, other.SiblingCount())
	b, err := open(dir, "n", 3)
	require.NoError(t, err)
	require.Equal(t, 1, a.SiblingCount())
	require.Equal(t, 1, b.SiblingCount())
	require.NoError(t, a.Close())
	require.Zero(t, b.SiblingCount())
	dead := b.pathPrefix + ".4.live"
	require.NoError(t, os.WriteFile(dead, nil, 0o600))
	require.Zero(t, b.SiblingCount())
	require.NoFileExists(t, dead)
	_, err = Open("/proc/none", "n")
	require.Error(t, err)
}

// Both change the record at once and nothing is lost; a reader in between finds it whole, and is told of each change once.
func TestChangesOfBoth(t *testing.T) {
	dir := t.TempDir()
	var shares []*Channel
	for pid := range 3 {
		s, err := open(dir, "n", pid)
		require.NoError(t, err)
		shares = append(shares, s)
	}
	r, changed, err := shares[2].ReadRecord()
	require.NoError(t, err)
	require.False(t, changed)
	require.Empty(t, r.DownSince)
	const each = 100
	var writing sync.WaitGroup
	for w := range 2 {
		writing.Go(func() {
			for i := range each {
				_, err := shares[w].UpdateRecord(func(r *Record) { r.DownSince[fmt.Sprint(w, "-", i)] = 1 })
				require.NoError(t, err)
			}
		})
	}
	most := 0
	for most < 2*each {
		r, changed, err := shares[2].ReadRecord()
		require.NoError(t, err)
		if changed {
			require.GreaterOrEqual(t, len(r.DownSince), most)
			most = len(r.DownSince)
		}
	}
	writing.Wait()
	_, changed, err = shares[2].ReadRecord()
	require.NoError(t, err)
	require.False(t, changed)
}

// A record that does not hold is named and not used; the next change writes a good one.
func TestRecordThatDoesNotHold(t *testing.T) {
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

func FuzzDecode(f *testing.F) {
	for _, seed := range []string{`{"version":1,"down":{"s":1},"back":{"t":2},"seen":["s","t"]}`, `{"version":1}`, `{"version":1,"down":null}`, "[]"} {
		f.Add([]byte(seed))
	}
	f.Fuzz(func(t *testing.T, raw []byte) {
		r, err := DecodeRecord(raw)
		if err != nil {
			require.Equal(t, Record{}, r)
			return
		}
		again, err := json.Marshal(r)
		require.NoError(t, err)
		same, err := DecodeRecord(again)
		require.NoError(t, err)
		require.Equal(t, len(r.Listed), len(same.Listed))
		require.Equal(t, r.DownSince, same.DownSince)
	})
}
