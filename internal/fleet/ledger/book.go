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
	Served Outcome = iota
	Paused         // at a call of a tool: the rest is charged by those who go on
	Broken         // in the middle of its answer
)

// Entry is one final outcome.
type Entry struct {
	Seat    string  `cbor:"1,keyasint" json:"Seat"`
	Life    uint64  `cbor:"2,keyasint" json:"Life"`
	Number  uint64  `cbor:"3,keyasint" json:"Number"` // in that life, from 1 on
	At      int64   `cbor:"4,keyasint" json:"At"`     // Unix nanoseconds, by that node's clock
	Tenant  string  `cbor:"5,keyasint" json:"Tenant"`
	Class   string  `cbor:"6,keyasint" json:"Class"`
	Session uint64  `cbor:"7,keyasint" json:"Session"`
	In      int64   `cbor:"8,keyasint" json:"In"`   // tokens of the prompt that nobody was charged for before
	Kept    int64   `cbor:"9,keyasint" json:"Kept"` // tokens of it that the server held
	Out     int64   `cbor:"10,keyasint" json:"Out"`
	Outcome Outcome `cbor:"11,keyasint" json:"Outcome"`
}

// Source is one life of a node: whose numbers an entry has.
type Source struct {
	Seat string `cbor:"1,keyasint" json:"seat"`
	Life uint64 `cbor:"2,keyasint" json:"life"`
}

// Range is the numbers from First to Last.
type Range struct {
	First uint64 `cbor:"1,keyasint" json:"first"`
	Last  uint64 `cbor:"2,keyasint" json:"last"`
}

// Sum is what a tenant has used.
type Sum struct {
	Entries int64 `json:"entries"`
	In      int64 `json:"in"`
	Kept    int64 `json:"kept"`
	Out     int64 `json:"out"`
}

func (s *Sum) add(e *Entry) {
	s.Entries, s.In, s.Kept, s.Out = s.Entries+1, s.In+e.In, s.Kept+e.Kept, s.Out+e.Out
}

// Bounds of what is taken in.
const (
	tokensMost = int64(1) << 40 // of an entry
	namesMost  = 128
	// RangesMost is how many gaps a source's numbers may have here: what would make more is not taken, and comes again.
	RangesMost = 64
)

// Check says why an entry cannot be one.
func (e *Entry) Check() error {
	switch {
	case e.Seat == "" || len(e.Seat) > namesMost || len(e.Tenant) > namesMost || len(e.Class) > namesMost:
		return fmt.Errorf("entry of %.20q: a name that cannot be", e.Seat)
	case e.Life == 0 || e.Number == 0:
		return fmt.Errorf("entry of %q: it has no life, or no number", e.Seat)
	case e.In < 0 || e.Kept < 0 || e.Out < 0 || e.In > tokensMost || e.Kept > tokensMost || e.Out > tokensMost:
		return fmt.Errorf("entry %s/%d/%d: tokens that cannot be", e.Seat, e.Life, e.Number)
	case e.Outcome > Broken:
		return fmt.Errorf("entry %s/%d/%d: outcome %d", e.Seat, e.Life, e.Number, e.Outcome)
	}
	return nil
}

// Book is which entries are known, and their sums. It is pure.
type Book struct {
	Guard   *invariant.Guard
	sources map[Source][]Range // in order, apart from each other by a gap at least
	sums    map[string]*Sum    // by tenant
	entries int64
}

// NewBook is an empty book.
func NewBook(g *invariant.Guard) *Book {
	return &Book{Guard: g, sources: map[Source][]Range{}, sums: map[string]*Sum{}}
}

// Take counts an entry, once. False: it is known, or cannot be kept in mind yet.
func (b *Book) Take(e *Entry) bool {
	if e.Check() != nil {
		return false
	}
	of := Source{e.Seat, e.Life}
	next, ok := insert(b.sources[of], e.Number)
	if !ok || len(next) > RangesMost {
		return false
	}
	b.sources[of] = next
	s := b.sums[e.Tenant]
	if s == nil {
		s = &Sum{}
		b.sums[e.Tenant] = s
	}
	s.add(e)
	b.entries++
	return true
}

// Verify holds the sums against the numbers that are known: each is one entry of some tenant.
func (b *Book) Verify() bool {
	known, summed := uint64(0), int64(0)
	for _, ranges := range b.sources {
		for _, r := range ranges {
			known += r.Last - r.First + 1
		}
	}
	for _, s := range b.sums {
		summed += s.Entries
	}
	if known != uint64(summed) || summed != b.entries {
		b.Guard.Broken(invariant.LedgerSums, fmt.Sprintf("%d numbers, %d entries summed, %d counted", known, summed, b.entries))
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
type Digest []Have

// Have is the numbers of one source.
type Have struct {
	Source Source  `cbor:"1,keyasint" json:"source"`
	Ranges []Range `cbor:"2,keyasint" json:"ranges"`
}

// Digest is what this book has, in order.
func (b *Book) Digest() Digest {
	var d Digest
	for of, ranges := range b.sources {
		d = append(d, Have{of, slices.Clone(ranges)})
	}
	slices.SortFunc(d, func(a, c Have) int {
		return cmp.Or(cmp.Compare(a.Source.Seat, c.Source.Seat), cmp.Compare(a.Source.Life, c.Source.Life))
	})
	return d
}

// Lacks is what another book has and this one has not, in order; at most so many ranges.
func (b *Book) Lacks(theirs Digest, most int) Digest {
	var d Digest
	n := 0
	for _, h := range theirs {
		var some []Range
		for _, r := range h.Ranges {
			for _, gap := range gaps(b.sources[h.Source], r) {
				if n < most {
					some = append(some, gap)
					n++
				}
			}
		}
		if len(some) > 0 {
			d = append(d, Have{h.Source, some})
		}
	}
	return d
}

// gaps are the parts of a range that are not in any of ours.
func gaps(ours []Range, r Range) []Range {
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

// Sums are what each tenant has used, as far as known here.
func (b *Book) Sums() map[string]Sum {
	all := map[string]Sum{}
	for tenant, s := range b.sums {
		all[tenant] = *s
	}
	return all
}

// Entries is how many are known.
func (b *Book) Entries() int64 { return b.entries }
