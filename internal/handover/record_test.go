package handover

import (
	"encoding/json"
	"os"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"standpoint/internal/clock"
)

// The times in a record must be the same for every process of the machine, even if the wall clock is stepped. Times
// from another boot of the machine, or of the wall clock, must be read as the present time.
func TestRecordTimesAcrossClocks(t *testing.T) {
	channel, err := Open(t.TempDir(), "n")
	require.NoError(t, err)
	defer func() { _ = channel.Close() }()
	at := clock.Now() - int64(2*time.Second)
	_, err = channel.UpdateRecord(func(r *Record) { r.EnabledAt["a"], r.DisabledAt["b"] = at, at })
	require.NoError(t, err)
	raw, err := os.ReadFile(channel.recordPath())
	require.NoError(t, err)
	var written Record
	require.NoError(t, json.Unmarshal(raw, &written))
	require.Equal(t, clock.StampOf(at), clock.Stamp{Boot: written.Boot, Monotonic: written.EnabledAt["a"]},
		"times must be readings of the machine's clock, not instants of this process")
	defer clock.StepWall(time.Hour)()
	record, changed, err := channel.ReadRecord()
	require.NoError(t, err)
	require.True(t, changed)
	require.Equal(t, map[string]int64{"a": at}, record.EnabledAt)
	for _, boot := range []string{"another", ""} {
		written.Boot = boot
		raw, err := json.Marshal(written)
		require.NoError(t, err)
		require.NoError(t, os.WriteFile(channel.recordPath(), raw, 0o600))
		before := clock.Now()
		loaded, err := channel.loadRecord()
		require.NoError(t, err)
		require.GreaterOrEqual(t, loaded.EnabledAt["a"], before)
	}
}

// A record that decodes must encode to one that decodes to the same, and an error must come with an empty record.
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
		record, err := DecodeRecord(raw)
		if err != nil {
			require.Equal(t, Record{}, record)
			return
		}
		encoded, err := json.Marshal(record)
		require.NoError(t, err)
		decoded, err := DecodeRecord(encoded)
		require.NoError(t, err)
		require.Equal(t, len(record.Listed), len(decoded.Listed))
		require.Equal(t, record.DisabledAt, decoded.DisabledAt)
	})
}

// An invalid record must be distinguishable from a file that cannot be read, by the type of the error.
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
