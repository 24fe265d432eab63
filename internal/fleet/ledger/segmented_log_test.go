package ledger

import (
	"math/rand/v2"
	"os"
	"path/filepath"
	"testing"

	"github.com/stretchr/testify/require"
)

func open(t *testing.T, dir string) (*SegmentedLog, *Index, []*CorruptionError) {
	t.Helper()
	index := NewIndex(nil)
	log, corruptions, err := Open(dir, 1<<30, func(e *Entry) { index.Add(e) })
	require.NoError(t, err)
	return log, index, corruptions
}

// Wherever a write is torn, what was complete is there at the next start, the rest is cut off, and writing continues
// behind it.
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
	last := -1
	for cut := len(content); cut >= len(segmentMagic); cut -= 1 + cut%3 {
		require.NoError(t, os.WriteFile(path, content[:cut], 0o600))
		log, index, corruptions := open(t, dir)
		for _, corruption := range corruptions {
			require.True(t, corruption.Torn)
		}
		if last >= 0 {
			require.LessOrEqual(t, int(index.Count()), last)
		}
		last = int(index.Count())
		require.NoError(t, log.Append([]*Entry{entry("b", 1, 1)}))
		require.NoError(t, log.Close())
		log, index, corruptions = open(t, dir)
		require.Empty(t, corruptions)
		require.EqualValues(t, last+1, index.Count())
		require.NoError(t, log.Close())
	}
	require.Zero(t, last)
}

// A flipped bit is found and named; what lies before it, and in other segments, is used.
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
		require.GreaterOrEqual(t, index.Count(), int64(10), "the other segment")
		require.Less(t, index.Count(), int64(20))
		require.NoError(t, log.Close())
	}
}

// Read returns a source's entries in their order, though others lie between them, and no more than it is asked for;
// and a log takes no entry beyond its size.
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
