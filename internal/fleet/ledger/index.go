package ledger

import (
	"fmt"
	"slices"

	"standpoint/internal/fleet/invariant"
)

// MaxRanges is how many ranges of one source's numbers an index holds. An entry that would make more is not added,
// and has to be fetched again.
const MaxRanges = 64

// Index tells which entries are known, and their totals by tenant. It is not safe for concurrent use.
type Index struct {
	invariants *invariant.Monitor
	sources    map[Source][]Range // sorted, with a gap between each two
	totals     map[string]*Totals // by tenant
	count      int64
}

// NewIndex returns an empty index, which reports totals that do not match its entries to invariants.
func NewIndex(invariants *invariant.Monitor) *Index {
	return &Index{invariants: invariants, sources: map[Source][]Range{}, totals: map[string]*Totals{}}
}

// Add counts an entry. It returns false for one that is known already, is not valid, or would make too many ranges.
func (x *Index) Add(e *Entry) bool {
	if e.Check() != nil {
		return false
	}
	source := e.Source()
	ranges, added := insert(x.sources[source], e.Sequence)
	if !added || len(ranges) > MaxRanges {
		return false
	}
	x.sources[source] = ranges
	totals := x.totals[e.Tenant]
	if totals == nil {
		totals = &Totals{}
		x.totals[e.Tenant] = totals
	}
	totals.add(e)
	x.count++
	return true
}

// Contains reports whether an entry's number is known.
func (x *Index) Contains(source Source, sequence uint64) bool {
	return len(uncovered(x.sources[source], Range{First: sequence, Last: sequence})) == 0
}

// Verify reports whether each known number is one entry in some tenant's totals. Where it is not, the violation is
// reported to the monitor.
func (x *Index) Verify() bool {
	known := uint64(0)
	for _, ranges := range x.sources {
		for _, r := range ranges {
			known += r.Len()
		}
	}
	summed := int64(0)
	for _, totals := range x.totals {
		summed += totals.Entries
	}
	if known != uint64(summed) || summed != x.count {
		detail := fmt.Sprintf("%d numbers, %d entries summed, %d counted", known, summed, x.count)
		x.invariants.RecordViolation(invariant.LedgerSums, detail)
		return false
	}
	return true
}

// Digest is which numbers of each source an index knows, sorted by source.
type Digest []SourceRanges

// SourceRanges are numbers of one source.
type SourceRanges struct {
	Source Source  `cbor:"1,keyasint" json:"source"`
	Ranges []Range `cbor:"2,keyasint" json:"ranges"`
}

// Digest returns which numbers this index knows.
func (x *Index) Digest() Digest {
	var digest Digest
	for source, ranges := range x.sources {
		digest = append(digest, SourceRanges{Source: source, Ranges: slices.Clone(ranges)})
	}
	slices.SortFunc(digest, func(a, b SourceRanges) int { return a.Source.Compare(b.Source) })
	return digest
}

// Missing returns what another index knows and this one does not, in that one's order and up to maxRanges ranges.
func (x *Index) Missing(other Digest, maxRanges int) Digest {
	var missing Digest
	count := 0
	for _, known := range other {
		var ranges []Range
		for _, r := range known.Ranges {
			gaps := uncovered(x.sources[known.Source], r)
			gaps = gaps[:min(len(gaps), maxRanges-count)]
			ranges = append(ranges, gaps...)
			count += len(gaps)
		}
		if len(ranges) > 0 {
			missing = append(missing, SourceRanges{Source: known.Source, Ranges: ranges})
		}
	}
	return missing
}

// Totals returns what each tenant has used, as far as known here.
func (x *Index) Totals() map[string]Totals {
	totals := map[string]Totals{}
	for tenant, sums := range x.totals {
		totals[tenant] = *sums
	}
	return totals
}

// Count returns how many entries are known.
func (x *Index) Count() int64 { return x.count }
