// Package ledger is what a fleet's tenants have used: an entry for each final outcome, written durably by the node that gave it
// before it counts as charged, and passed on from node to node, in any order and as often as it may be, until all have it. An
// entry counts once: its node, that node's life and a number in that life name it.
package ledger

import (
	"cmp"
	"fmt"
	"slices"

	"standpoint/internal/fleet/invariant"
)

// Outcome is how a request ended.
type Outcome uint8

// Outcomes that are charged.
const (
	Served      Outcome = iota
	Paused              // at a call of a tool: the rest is charged by those who go on
	Interrupted         // in the middle of its answer
)

// Entry is one final outcome.
type Entry struct {
	Slot         string  `cbor:"1,keyasint" json:"Seat"`
	Incarnation  uint64  `cbor:"2,keyasint" json:"Life"`
	Sequence     uint64  `cbor:"3,keyasint" json:"Number"` // in that life, from 1 on
	At           int64   `cbor:"4,keyasint" json:"At"`     // Unix nanoseconds, by that node's clock
	Tenant       string  `cbor:"5,keyasint" json:"Tenant"`
	Class        string  `cbor:"6,keyasint" json:"Class"`
	Session      uint64  `cbor:"7,keyasint" json:"Session"`
	InputTokens  int64   `cbor:"8,keyasint" json:"In"`   // tokens of the prompt that nobody was charged for before
	CachedTokens int64   `cbor:"9,keyasint" json:"Kept"` // tokens of it that the server held
	OutputTokens int64   `cbor:"10,keyasint" json:"Out"`
	Outcome      Outcome `cbor:"11,keyasint" json:"Outcome"`
}

// Source is one life of a node: whose numbers an entry has.
type Source struct {
	Slot        string `cbor:"1,keyasint" json:"seat"`
	Incarnation uint64 `cbor:"2,keyasint" json:"life"`
}

// Range is the numbers from First to Last.
type Range struct {
	First uint64 `cbor:"1,keyasint" json:"first"`
	Last  uint64 `cbor:"2,keyasint" json:"last"`
}

// Totals is what a tenant has used.
type Totals struct {
	Entries      int64 `json:"entries"`
	InputTokens  int64 `json:"in"`
	CachedTokens int64 `json:"kept"`
	OutputTokens int64 `json:"out"`
}

func (s *Totals) add(e *Entry) {
	s.Entries, s.InputTokens, s.CachedTokens, s.OutputTokens = s.Entries+1, s.InputTokens+e.InputTokens, s.CachedTokens+e.CachedTokens, s.OutputTokens+e.OutputTokens
}

// Bounds of what is taken in.
const (
	maxTokens    = int64(1) << 40 // of an entry
	maxNameBytes = 128
	// MaxRanges is how many gaps a source's numbers may have here: what would make more is not taken, and comes again.
	MaxRanges = 64
)

// Check says why an entry cannot be one.
func (e *Entry) Check() error {
	switch {
	case e.Slot == "" || len(e.Slot) > maxNameBytes || len(e.Tenant) > maxNameBytes || len(e.Class) > maxNameBytes:
		return fmt.Errorf("entry of %.20q: a name that cannot be", e.Slot)
	case e.Incarnation == 0 || e.Sequence == 0:
		return fmt.Errorf("entry of %q: it has no life, or no number", e.Slot)
	case e.InputTokens < 0 || e.CachedTokens < 0 || e.OutputTokens < 0 || e.InputTokens > maxTokens || e.CachedTokens > maxTokens || e.OutputTokens > maxTokens:
		return fmt.Errorf("entry %s/%d/%d: tokens that cannot be", e.Slot, e.Incarnation, e.Sequence)
	case e.Outcome > Interrupted:
		return fmt.Errorf("entry %s/%d/%d: outcome %d", e.Slot, e.Incarnation, e.Sequence, e.Outcome)
	}
	return nil
}

// Index is which entries are known, and their sums. It is pure.
type Index struct {
	invariants *invariant.Monitor
	sources    map[Source][]Range // in order, apart from each other by a gap at least
	totals     map[string]*Totals // by tenant
	count      int64
}

// NewIndex is an empty book.
func NewIndex(g *invariant.Monitor) *Index {
	return &Index{invariants: g, sources: map[Source][]Range{}, totals: map[string]*Totals{}}
}

// Add counts an entry, once. False: it is known, or cannot be kept in mind yet.
func (b *Index) Add(e *Entry) bool {
	if e.Check() != nil {
		return false
	}
	of := Source{e.Slot, e.Incarnation}
	next, ok := insert(b.sources[of], e.Sequence)
	if !ok || len(next) > MaxRanges {
		return false
	}
	b.sources[of] = next
	s := b.totals[e.Tenant]
	if s == nil {
		s = &Totals{}
		b.totals[e.Tenant] = s
	}
	s.add(e)
	b.count++
	return true
}

// Verify holds the sums against the numbers that are known: each is one entry of some tenant.
func (b *Index) Verify() bool {
	known, summed := uint64(0), int64(0)
	for _, ranges := range b.sources {
		for _, r := range ranges {
			known += r.Last - r.First + 1
		}
	}
	for _, s := range b.totals {
		summed += s.Entries
	}
	if known != uint64(summed) || summed != b.count {
		b.invariants.Violated(invariant.LedgerSums, fmt.Sprintf("%d numbers, %d entries summed, %d counted", known, summed, b.count))
		return false
	}
	return true
}

// insert adds a number to ranges. False: it is there.
func insert(all []Range, n uint64) ([]Range, bool) {
	i, found := slices.BinarySearchFunc(all, n, func(r Range, n uint64) int {
		switch {
		case r.Last < n:
			return -1
		case r.First > n:
			return 1
		}
		return 0
	})
	if found {
		return all, false
	}
	before := i > 0 && all[i-1].Last+1 == n
	after := i < len(all) && all[i].First == n+1
	switch {
	case before && after:
		all[i-1].Last = all[i].Last
		return slices.Delete(all, i, i+1), true
	case before:
		all[i-1].Last = n
	case after:
		all[i].First = n
	default:
		return slices.Insert(slices.Clone(all), i, Range{n, n}), true
	}
	return all, true
}

// Digest is what a book has of each source.
type Digest []SourceRanges

// SourceRanges is the numbers of one source.
type SourceRanges struct {
	Source Source  `cbor:"1,keyasint" json:"source"`
	Ranges []Range `cbor:"2,keyasint" json:"ranges"`
}

// Digest is what this book has, in order.
func (b *Index) Digest() Digest {
	var d Digest
	for of, ranges := range b.sources {
		d = append(d, SourceRanges{of, slices.Clone(ranges)})
	}
	slices.SortFunc(d, func(a, c SourceRanges) int {
		return cmp.Or(cmp.Compare(a.Source.Slot, c.Source.Slot), cmp.Compare(a.Source.Incarnation, c.Source.Incarnation))
	})
	return d
}

// Missing is what another book has and this one has not, in order; at most so many ranges.
func (b *Index) Missing(theirs Digest, most int) Digest {
	var d Digest
	n := 0
	for _, h := range theirs {
		var some []Range
		for _, r := range h.Ranges {
			for _, gap := range uncovered(b.sources[h.Source], r) {
				if n < most {
					some = append(some, gap)
					n++
				}
			}
		}
		if len(some) > 0 {
			d = append(d, SourceRanges{h.Source, some})
		}
	}
	return d
}

// uncovered are the parts of a range that are not in any of ours.
func uncovered(ours []Range, r Range) []Range {
	var all []Range
	from := r.First
	for _, o := range ours {
		if o.Last < from || o.First > r.Last {
			continue
		}
		if o.First > from {
			all = append(all, Range{from, o.First - 1})
		}
		if o.Last >= r.Last {
			return all
		}
		from = o.Last + 1
	}
	if from <= r.Last {
		all = append(all, Range{from, r.Last})
	}
	return all
}

// Totals are what each tenant has used, as far as known here.
func (b *Index) Totals() map[string]Totals {
	all := map[string]Totals{}
	for tenant, s := range b.totals {
		all[tenant] = *s
	}
	return all
}

// Count is how many are known.
func (b *Index) Count() int64 { return b.count }
