package ledger

import (
	"math/rand/v2"
	"os"
	"path/filepath"
	"testing"

	"github.com/stretchr/testify/require"
)

// open opens a log with its index.
func open(t *testing.T, dir string) (*SegmentedLog, *Index, []*CorruptionError) {
	t.Helper()
	index := NewIndex(nil)
	log, corruptions, err := Open(dir, 1<<30, func(e *Entry) { index.Add(e) })
	require.NoError(t, err)
	return log, index, corruptions
}

// If the process ends during a write, wherever the file ends, the next start uses the complete records, reports and
// truncates the rest as an unfinished write, and appends after them.
func TestTornTails(t *testing.T) {
	dir := t.TempDir()
	log, _, _ := open(t, dir)
	for sequence := uint64(1); sequence <= 20; sequence++ {
		require.NoError(t, log.Append([]*Entry{entry("a", 1, sequence)}))
	}
	require.NoError(t, log.Close())
	path := filepath.Join(dir, segmentName(1))
	content, err := os.ReadFile(path)
	require.NoError(t, err)
	lastCount := -1
	for cut := len(content); cut >= len(segmentMagic); cut -= 1 + cut%3 {
		require.NoError(t, os.WriteFile(path, content[:cut], 0o600))
		log, index, corruptions := open(t, dir)
		for _, corruption := range corruptions {
			require.True(t, corruption.Torn)
		}
		if lastCount >= 0 {
			require.LessOrEqual(t, int(index.Count()), lastCount)
		}
		lastCount = int(index.Count())
		require.NoError(t, log.Append([]*Entry{entry("b", 1, 1)}))
		require.NoError(t, log.Close())
		log, index, corruptions = open(t, dir)
		require.Empty(t, corruptions)
		require.EqualValues(t, lastCount+1, index.Count())
		require.NoError(t, log.Close())
	}
	require.Zero(t, lastCount)
}

// A flipped bit is reported as corruption of its segment. The entries before it and those in other segments are used.
func TestFlippedBits(t *testing.T) {
	rng := rand.New(rand.NewPCG(1, 1))
	for range 50 {
		dir := t.TempDir()
		log, _, _ := open(t, dir)
		for sequence := uint64(1); sequence <= 20; sequence++ {
			require.NoError(t, log.Append([]*Entry{entry("a", 1, sequence)}))
			if sequence == 10 {
				require.NoError(t, log.startSegment())
			}
		}
		require.NoError(t, log.Close())
		path := filepath.Join(dir, segmentName(1))
		content, err := os.ReadFile(path)
		require.NoError(t, err)
		content[rng.IntN(len(content))] ^= 1 << rng.IntN(8)
		require.NoError(t, os.WriteFile(path, content, 0o600))
		log, index, corruptions := open(t, dir)
		require.Len(t, corruptions, 1)
		require.Equal(t, segmentName(1), corruptions[0].File)
		require.False(t, corruptions[0].Torn)
		require.GreaterOrEqual(t, index.Count(), int64(10), "entries of the other segment")
		require.Less(t, index.Count(), int64(20))
		require.NoError(t, log.Close())
	}
}

// Read returns the entries of a source in their order even if entries of other sources are between them, and no more
// than requested. Append fails with ErrFull beyond the maximum size.
func TestReadAndBounds(t *testing.T) {
	log, _, _ := open(t, t.TempDir())
	t.Cleanup(func() { require.NoError(t, log.Close()) })
	var entries []*Entry
	for sequence := uint64(1); sequence <= 1000; sequence++ {
		entries = append(entries, entry("a", 1, sequence))
	}
	require.NoError(t, log.Append(entries[:300]))
	require.NoError(t, log.Append([]*Entry{entry("b", 7, 5)}))
	require.NoError(t, log.Append(entries[300:]))
	got, err := log.Read(Source{Slot: "a", Incarnation: 1}, Range{First: 250, Last: 700}, 400)
	require.NoError(t, err)
	require.Len(t, got, 400)
	for i, e := range got {
		require.Equal(t, entries[249+i], e)
	}
	log.MaxBytes = log.Bytes() + 10
	require.ErrorIs(t, log.Append(entries[:1]), ErrFull)
}

func BenchmarkAppend(b *testing.B) {
	log, _, err := Open(b.TempDir(), 1<<40, func(*Entry) {})
	if err != nil {
		b.Fatal(err)
	}
	b.Cleanup(func() { _ = log.Close() })
	sequence := uint64(0)
	for b.Loop() {
		var batch []*Entry
		for range 64 {
			sequence++
			batch = append(batch, entry("a", 1, sequence))
		}
		if err := log.Append(batch); err != nil {
			b.Fatal(err)
		}
	}
}
