package ledger

import (
	"fmt"
	"slices"

	"standpoint/internal/fleet/invariant"
)

// MaxRanges is the maximum number of ranges of sequence numbers per source in an index. An entry that would exceed it
// is not added, and has to be fetched again.
const MaxRanges = 64

// Index holds the sequence numbers of the known entries, and the totals of the entries by tenant. It is not safe for
// concurrent use.
type Index struct {
	invariants *invariant.Monitor
	sources    map[Source][]Range // known sequence numbers by source; the ranges are sorted and do not adjoin
	totals     map[string]*Totals // totals by tenant
	count      int64              // number of known entries
}

// NewIndex returns an empty index. Verify reports totals that do not match the entries to invariants.
func NewIndex(invariants *invariant.Monitor) *Index {
	return &Index{invariants: invariants, sources: map[Source][]Range{}, totals: map[string]*Totals{}}
}

// Add counts an entry and returns true. It returns false, and changes nothing, if the entry is already known, invalid
// or would exceed MaxRanges.
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

// Contains reports whether the entry of a source with a sequence number is known.
func (x *Index) Contains(source Source, sequence uint64) bool {
	return len(uncovered(x.sources[source], Range{First: sequence, Last: sequence})) == 0
}

// Verify reports whether the number of known sequence numbers equals the number of entries in the totals of all
// tenants. It reports a mismatch to the monitor as a violation.
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

// Digest lists the sequence numbers that an index knows, sorted by source.
type Digest []SourceRanges

// SourceRanges are ranges of sequence numbers of one source.
type SourceRanges struct {
	Source Source  `cbor:"1,keyasint" json:"source"`
	Ranges []Range `cbor:"2,keyasint" json:"ranges"`
}

// Digest returns the sequence numbers that the index knows.
func (x *Index) Digest() Digest {
	var digest Digest
	for source, ranges := range x.sources {
		digest = append(digest, SourceRanges{Source: source, Ranges: slices.Clone(ranges)})
	}
	slices.SortFunc(digest, func(a, b SourceRanges) int { return a.Source.Compare(b.Source) })
	return digest
}

// Missing returns the sequence numbers that are in the digest of another index and not in this one, in the order of the
// digest and up to maxRanges ranges.
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

// Totals returns the usage of each tenant according to the known entries.
func (x *Index) Totals() map[string]Totals {
	totals := map[string]Totals{}
	for tenant, sums := range x.totals {
		totals[tenant] = *sums
	}
	return totals
}

// Count returns the number of known entries.
func (x *Index) Count() int64 { return x.count }
