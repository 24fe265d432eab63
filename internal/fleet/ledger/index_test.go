package ledger

import (
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"standpoint/internal/fleet/invariant"
)

// entry returns an entry whose numbers depend on its sequence number.
func entry(slot string, incarnation, sequence uint64) *Entry {
	return &Entry{
		Slot:         slot,
		Incarnation:  incarnation,
		Sequence:     sequence,
		At:           int64(sequence),
		Tenant:       "t" + slot,
		Class:        "chat",
		InputTokens:  int64(sequence),
		OutputTokens: int64(2 * sequence),
	}
}

// Entries that arrive in any order and repeatedly count once each, and fetching what Missing returns makes an index
// equal to the other.
func TestIndexCountsEachEntryOnce(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		monitor := &invariant.Monitor{}
		a, b := NewIndex(monitor), NewIndex(monitor)
		want := map[string]Totals{}
		known := map[[3]uint64]bool{}
		for range rapid.IntRange(0, 300).Draw(t, "entries") {
			slot := string(rune('a' + rapid.IntRange(0, 1).Draw(t, "slot")))
			e := entry(slot,
				rapid.Uint64Range(1, 2).Draw(t, "incarnation"), rapid.Uint64Range(1, 40).Draw(t, "sequence"))
			key := [3]uint64{uint64(e.Slot[0]), e.Incarnation, e.Sequence}
			if a.Add(e) == known[key] {
				t.Fatal("an entry was counted twice or not at all")
			}
			if !known[key] {
				totals := want[e.Tenant]
				totals.add(e)
				want[e.Tenant] = totals
			}
			known[key] = true
			if rapid.Bool().Draw(t, "both") {
				b.Add(e)
			}
		}
		addMissing(t, b, a)
		for _, index := range []*Index{a, b} {
			got := index.Totals()
			if len(got) != len(want) || !index.Verify() {
				t.Fatalf("totals are %v, want %v", got, want)
			}
			for tenant, totals := range want {
				if got[tenant] != totals {
					t.Fatalf("totals of tenant %s are %v, want %v", tenant, got[tenant], totals)
				}
			}
		}
		if len(monitor.Violations()) > 0 {
			t.Fatal(monitor.Violations())
		}
	})
}

// addMissing adds to index the entries of other that it misses, a few ranges at a time.
func addMissing(t *rapid.T, index, other *Index) {
	for {
		missing := index.Missing(other.Digest(), 3)
		if len(missing) == 0 {
			return
		}
		for _, sourceRanges := range missing {
			for _, sequences := range sourceRanges.Ranges {
				for sequence := sequences.First; sequence <= sequences.Last; sequence++ {
					if index.Contains(sourceRanges.Source, sequence) {
						t.Fatal("a known entry is reported as missing")
					}
					if !index.Add(entry(sourceRanges.Source.Slot, sourceRanges.Source.Incarnation, sequence)) {
						t.Fatal("an entry reported as missing was not added")
					}
				}
			}
		}
	}
}

func TestInvalidEntriesAreNotAdded(t *testing.T) {
	for name, invalid := range map[string]*Entry{
		"empty":         {},
		"no sequence":   {Slot: "a", Incarnation: 1},
		"tokens":        {Slot: "a", Incarnation: 1, Sequence: 1, InputTokens: -1},
		"other outcome": {Slot: "a", Incarnation: 1, Sequence: 1, Outcome: 9},
	} {
		require.Error(t, invalid.Check(), name)
		require.False(t, NewIndex(nil).Add(invalid), name)
	}
}
