package ledger

import (
	"math/rand/v2"
	"os"
	"path/filepath"
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"standpoint/internal/fleet/invariant"
)

func entry(seat string, life, number uint64) *Entry {
	return &Entry{Slot: seat, Incarnation: life, Sequence: number, At: int64(number), Tenant: "t" + seat, Class: "chat", InputTokens: int64(number), OutputTokens: int64(2 * number)}
}

// Entries come in any order, as often as they may: each counts once, and what is lacking is what the other has.
func TestBook(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		g := &invariant.Monitor{}
		a, b := NewIndex(g), NewIndex(g)
		want := map[string]Totals{}
		known := map[[3]uint64]bool{}
		for range rapid.IntRange(0, 300).Draw(t, "entries") {
			e := entry(string(rune('a'+rapid.IntRange(0, 1).Draw(t, "seat"))), rapid.Uint64Range(1, 2).Draw(t, "life"), rapid.Uint64Range(1, 40).Draw(t, "number"))
			key := [3]uint64{uint64(e.Slot[0]), e.Incarnation, e.Sequence}
			if a.Add(e) == known[key] {
				t.Fatal("counted twice, or not at all")
			}
			if !known[key] {
				s := want[e.Tenant]
				s.add(e)
				want[e.Tenant] = s
			}
			known[key] = true
			if rapid.Bool().Draw(t, "both") {
				b.Add(e)
			}
		}
		for {
			lacks := b.Missing(a.Digest(), 3)
			if len(lacks) == 0 {
				break
			}
			for _, h := range lacks {
				for _, r := range h.Ranges {
					for n := r.First; n <= r.Last; n++ {
						if !b.Add(entry(h.Source.Slot, h.Source.Incarnation, n)) {
							t.Fatal("not lacking")
						}
					}
				}
			}
		}
		for _, book := range []*Index{a, b} {
			if got := book.Totals(); len(got) != len(want) || !book.Verify() {
				t.Fatalf("%v, not %v", got, want)
			} else {
				for tenant, s := range want {
					if got[tenant] != s {
						t.Fatalf("%s: %v, not %v", tenant, got[tenant], s)
					}
				}
			}
		}
		if len(g.Violations()) > 0 {
			t.Fatal(g.Violations())
		}
	})
}

func open(t *testing.T, dir string) (*SegmentedLog, *Index, []*CorruptionError) {
	b := NewIndex(nil)
	f, damages, err := Open(dir, 1<<30, func(e *Entry) { b.Add(e) })
	require.NoError(t, err)
	return f, b, damages
}

// Wherever a write is torn, what was whole is there at the next start, the rest is cut off, and writing goes on behind it.
func TestTornTails(t *testing.T) {
	dir := t.TempDir()
	f, _, _ := open(t, dir)
	for n := uint64(1); n <= 20; n++ {
		require.NoError(t, f.Append([]*Entry{entry("a", 1, n)}))
	}
	require.NoError(t, f.Close())
	path := filepath.Join(dir, segmentName(1))
	whole, err := os.ReadFile(path)
	require.NoError(t, err)
	last := -1
	for cut := len(whole); cut >= len(magic); cut -= 1 + cut%3 {
		require.NoError(t, os.WriteFile(path, whole[:cut], 0o600))
		f, b, damages := open(t, dir)
		for _, d := range damages {
			require.True(t, d.Torn)
		}
		if last >= 0 {
			require.LessOrEqual(t, int(b.Count()), last)
		}
		last = int(b.Count())
		require.NoError(t, f.Append([]*Entry{entry("b", 1, 1)}))
		require.NoError(t, f.Close())
		f, b, damages = open(t, dir)
		require.Empty(t, damages)
		require.EqualValues(t, last+1, b.Count())
		require.NoError(t, f.Close())
	}
	require.Zero(t, last)
}

// A flipped bit is found and named; what stands before it, and in other segments, is used.
func TestFlippedBits(t *testing.T) {
	rng := rand.New(rand.NewPCG(1, 1))
	for range 50 {
		dir := t.TempDir()
		f, _, _ := open(t, dir)
		for n := uint64(1); n <= 20; n++ {
			require.NoError(t, f.Append([]*Entry{entry("a", 1, n)}))
			if n == 10 {
				require.NoError(t, f.startSegment())
			}
		}
		require.NoError(t, f.Close())
		path := filepath.Join(dir, segmentName(1))
		raw, err := os.ReadFile(path)
		require.NoError(t, err)
		raw[rng.IntN(len(raw))] ^= 1 << rng.IntN(8)
		require.NoError(t, os.WriteFile(path, raw, 0o600))
		f, b, damages := open(t, dir)
		require.Len(t, damages, 1)
		require.Equal(t, segmentName(1), damages[0].File)
		require.False(t, damages[0].Torn)
		require.GreaterOrEqual(t, b.Count(), int64(10), "the other segment")
		require.Less(t, b.Count(), int64(20))
		require.NoError(t, f.Close())
	}
}

func TestReadAndBounds(t *testing.T) {
	f, _, _ := open(t, t.TempDir())
	defer f.Close()
	var all []*Entry
	for n := uint64(1); n <= 1000; n++ {
		all = append(all, entry("a", 1, n))
	}
	require.NoError(t, f.Append(all[:300]))
	require.NoError(t, f.Append([]*Entry{entry("b", 7, 5)}))
	require.NoError(t, f.Append(all[300:]))
	got, err := f.Read(Source{"a", 1}, Range{250, 700}, 400)
	require.NoError(t, err)
	require.Len(t, got, 400)
	for i, e := range got {
		require.Equal(t, all[249+i], e)
	}
	f.MaxBytes = f.totalBytes + 10
	require.ErrorIs(t, f.Append(all[:1]), ErrFull)
	for _, bad := range []*Entry{{}, {Slot: "a", Incarnation: 1}, {Slot: "a", Incarnation: 1, Sequence: 1, InputTokens: -1}, {Slot: "a", Incarnation: 1, Sequence: 1, Outcome: 9}} {
		require.Error(t, bad.Check())
		require.False(t, NewIndex(nil).Add(bad))
	}
}

func BenchmarkAppend(b *testing.B) {
	f, _, err := Open(b.TempDir(), 1<<40, func(*Entry) {})
	if err != nil {
		b.Fatal(err)
	}
	defer f.Close()
	n := uint64(0)
	for b.Loop() {
		var batch []*Entry
		for range 64 {
			n++
			batch = append(batch, entry("a", 1, n))
		}
		if err := f.Append(batch); err != nil {
			b.Fatal(err)
		}
	}
}
