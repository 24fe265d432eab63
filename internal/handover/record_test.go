package handover

import (
	"encoding/json"
	"os"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"standpoint/internal/clock"
)

// A record says the same to every process of the machine, whatever the wall clock shows to each; one of another run
// of the machine, or in wall times, counts as decided now.
func TestRecordTimesAcrossClocks(t *testing.T) {
	s, err := Open(t.TempDir(), "n")
	require.NoError(t, err)
	defer func() { _ = s.Close() }()
	at := clock.Now() - int64(2*time.Second)
	_, err = s.UpdateRecord(func(r *Record) { r.RestoredAt["a"], r.DownSince["b"] = at, at })
	require.NoError(t, err)
	raw, err := os.ReadFile(s.recordPath())
	require.NoError(t, err)
	var written Record
	require.NoError(t, json.Unmarshal(raw, &written))
	require.Equal(t, clock.StampOf(at), clock.Stamp{Boot: written.Boot, Monotonic: written.RestoredAt["a"]},
		"the machine's clock, not this process's")
	defer clock.StepWall(time.Hour)()
	r, changed, err := s.ReadRecord()
	require.NoError(t, err)
	require.True(t, changed)
	require.Equal(t, map[string]int64{"a": at}, r.RestoredAt)
	for _, boot := range []string{"another", ""} {
		written.Boot = boot
		raw, err := json.Marshal(written)
		require.NoError(t, err)
		require.NoError(t, os.WriteFile(s.recordPath(), raw, 0o600))
		began := clock.Now()
		r, err := s.loadRecord()
		require.NoError(t, err)
		require.GreaterOrEqual(t, r.RestoredAt["a"], began)
	}
}

func FuzzDecodeRecord(f *testing.F) {
	for _, seed := range []string{
		`{"version":1,"down":{"s":1},"back":{"t":2},"seen":["s","t"]}`,
		`{"version":1}`,
		`{"version":1,"down":null}`,
		"[]",
	} {
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

// A record that cannot be used is told from a file that cannot be read by its type.
func TestRecordError(t *testing.T) {
	_, err := DecodeRecord([]byte(`{"version":2}`))
	var unusable *RecordError
	require.ErrorAs(t, err, &unusable)
	require.NoError(t, unusable.Err)
	_, err = DecodeRecord([]byte("{"))
	require.ErrorAs(t, err, &unusable)
	var syntax *json.SyntaxError
	require.ErrorAs(t, err, &syntax)
}
