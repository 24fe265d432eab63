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

// goldenEntry returns an entry with a distinct value in each field.
func goldenEntry(sequence uint64, outcome Outcome) *Entry {
	return &Entry{
		Slot:         "node-1",
		Incarnation:  3,
		Sequence:     sequence,
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

// The encodings of entries, digests and totals do not change: other versions and clients read them.
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

// The file name and format of a segment do not change, and a segment written by an earlier version can be read and
// appended to.
func TestGoldenSegment(t *testing.T) {
	entries := []*Entry{goldenEntry(1, Served), goldenEntry(2, Paused), goldenEntry(3, Interrupted)}
	write := func() []byte {
		dir := t.TempDir()
		log, _, _ := open(t, dir)
		require.NoError(t, log.Append(entries))
		require.NoError(t, log.Close())
		raw, err := os.ReadFile(filepath.Join(dir, "00000001.ledger"))
		require.NoError(t, err)
		return raw
	}
	golden.Bytes(t, "00000001.ledger", write())

	dir := t.TempDir()
	content := golden.Read(t, "00000001.ledger", nil)
	require.NoError(t, os.WriteFile(filepath.Join(dir, "00000001.ledger"), content, 0o600))
	var read []*Entry
	log, corruptions, err := Open(dir, 1<<20, func(e *Entry) { read = append(read, e) })
	require.NoError(t, err)
	require.Empty(t, corruptions)
	require.Equal(t, entries, read)
	found, err := log.Read(Source{Slot: "node-1", Incarnation: 3}, Range{First: 2, Last: 3}, 10)
	require.NoError(t, err)
	require.Equal(t, entries[1:], found)
	require.NoError(t, log.startSegment())
	require.NoError(t, log.Append([]*Entry{goldenEntry(4, Served)}))
	require.NoError(t, log.Close())
	_, err = os.Stat(filepath.Join(dir, "00000002.ledger"))
	require.NoError(t, err)
}

// The texts of errors that operators see.
func TestGoldenErrorTexts(t *testing.T) {
	var lines []string
	add := func(err error) {
		t.Helper()
		require.Error(t, err)
		lines = append(lines, err.Error())
	}
	for _, invalidate := range []func(*Entry){
		func(e *Entry) { e.Slot = "" },
		func(e *Entry) { e.Incarnation = 0 },
		func(e *Entry) { e.OutputTokens = -1 },
		func(e *Entry) { e.Outcome = 9 },
	} {
		invalid := goldenEntry(4, Served)
		invalidate(invalid)
		add(invalid.Check())
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
		corruptions, err := Inspect(dir, func(*Entry) {})
		require.NoError(t, err)
		require.Len(t, corruptions, 1)
		add(corruptions[0])
	}
	log, _, _ := open(t, t.TempDir())
	log.MaxBytes = 10
	add(log.Append([]*Entry{goldenEntry(1, Served)}))
	log.MaxBytes = 1 << 20
	long := goldenEntry(1, Served)
	long.Class = strings.Repeat("x", maxRecordBytes)
	add(log.Append([]*Entry{long}))
	require.NoError(t, log.Close())
	golden.Bytes(t, "errors.txt", []byte(strings.Join(lines, "\n")+"\n"))
}
