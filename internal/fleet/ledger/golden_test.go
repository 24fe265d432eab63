package ledger

import (
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"standpoint/internal/testpeer/golden"
)

// roundTrip compares a value with its golden files, as CBOR and as JSON.
func roundTrip[T any](t *testing.T, name string, value T) {
	t.Helper()
	golden.CBOR(t, name+".cbor", value)
	golden.JSON(t, name+".json", value)
}

// goldenEntry has all fields set, each to a value of its own.
func goldenEntry(number uint64, outcome Outcome) *Entry {
	return &Entry{
		Slot:         "node-1",
		Incarnation:  3,
		Sequence:     number,
		At:           1796121600000000005,
		Tenant:       "acme",
		Class:        "chat",
		Session:      6,
		InputTokens:  70,
		CachedTokens: 80,
		OutputTokens: 90,
		Outcome:      outcome,
	}
}

func TestGoldenMessages(t *testing.T) {
	roundTrip(t, "entry", goldenEntry(4, Interrupted))
	roundTrip(t, "digest", Digest{
		{Source: Source{Slot: "node-1", Incarnation: 3}, Ranges: []Range{{First: 1, Last: 4}, {First: 7, Last: 9}}},
	})
	golden.JSON(t, "sum.json", Totals{
		Entries:      1,
		InputTokens:  2,
		CachedTokens: 3,
		OutputTokens: 4,
	})
	require.Equal(t, []Outcome{0, 1, 2}, []Outcome{Served, Paused, Interrupted})
}

// A segment as it lies on the disk: its name, its head and its records. What an earlier build wrote is read, and gone
// on with.
func TestGoldenSegment(t *testing.T) {
	entries := []*Entry{goldenEntry(1, Served), goldenEntry(2, Paused), goldenEntry(3, Interrupted)}
	write := func() []byte {
		dir := t.TempDir()
		f, _, _ := open(t, dir)
		require.NoError(t, f.Append(entries))
		require.NoError(t, f.Close())
		raw, err := os.ReadFile(filepath.Join(dir, "00000001.ledger"))
		require.NoError(t, err)
		return raw
	}
	golden.Bytes(t, "00000001.ledger", write())

	dir := t.TempDir()
	content := golden.Read(t, "00000001.ledger", nil)
	require.NoError(t, os.WriteFile(filepath.Join(dir, "00000001.ledger"), content, 0o600))
	var read []*Entry
	f, damages, err := Open(dir, 1<<20, func(e *Entry) { read = append(read, e) })
	require.NoError(t, err)
	require.Empty(t, damages)
	require.Equal(t, entries, read)
	found, err := f.Read(Source{Slot: "node-1", Incarnation: 3}, Range{First: 2, Last: 3}, 10)
	require.NoError(t, err)
	require.Equal(t, entries[1:], found)
	require.NoError(t, f.startSegment())
	require.NoError(t, f.Append([]*Entry{goldenEntry(4, Served)}))
	require.NoError(t, f.Close())
	_, err = os.Stat(filepath.Join(dir, "00000002.ledger"))
	require.NoError(t, err)
}

// Texts that operators get.
func TestGoldenErrorTexts(t *testing.T) {
	var lines []string
	add := func(err error) {
		t.Helper()
		require.Error(t, err)
		lines = append(lines, err.Error())
	}
	for _, spoil := range []func(*Entry){
		func(e *Entry) { e.Slot = "" },
		func(e *Entry) { e.Incarnation = 0 },
		func(e *Entry) { e.OutputTokens = -1 },
		func(e *Entry) { e.Outcome = 9 },
	} {
		e := goldenEntry(4, Served)
		spoil(e)
		add(e.Check())
	}
	add(&CorruptionError{File: "00000001.ledger", Offset: 20, Reason: "a record that is not whole", Torn: true})
	content := golden.Read(t, "00000001.ledger", nil)
	for _, raw := range [][]byte{
		content[:10],
		append([]byte("another"), content[7:]...),
		content[:len(content)-1],
		append(append([]byte{}, content[:len(content)-1]...), 0),
		append(append([]byte{}, content...), 0xff, 0, 0, 0, 0, 0, 0, 0),
	} {
		dir := t.TempDir()
		require.NoError(t, os.WriteFile(filepath.Join(dir, "00000001.ledger"), raw, 0o600))
		damages, err := Inspect(dir, func(*Entry) {})
		require.NoError(t, err)
		require.Len(t, damages, 1)
		add(damages[0])
	}
	f, _, _ := open(t, t.TempDir())
	f.MaxBytes = 10
	add(f.Append([]*Entry{goldenEntry(1, Served)}))
	f.MaxBytes = 1 << 20
	long := goldenEntry(1, Served)
	long.Class = strings.Repeat("x", maxRecordBytes)
	add(f.Append([]*Entry{long}))
	require.NoError(t, f.Close())
	golden.Bytes(t, "errors.txt", []byte(strings.Join(lines, "\n")+"\n"))
}
