package ledger

import "slices"

// Range is the range of sequence numbers from First to Last, inclusive.
type Range struct {
	First uint64 `cbor:"1,keyasint" json:"first"`
	Last  uint64 `cbor:"2,keyasint" json:"last"`
}

// Len returns the number of sequence numbers in the range.
func (r Range) Len() uint64 { return r.Last - r.First + 1 }

// Contains reports whether a sequence number is in the range.
func (r Range) Contains(sequence uint64) bool { return sequence >= r.First && sequence <= r.Last }

// overlaps reports whether two ranges have a number in common.
func (r Range) overlaps(other Range) bool { return r.First <= other.Last && other.First <= r.Last }

// insert adds a sequence number to ranges that are sorted and neither overlap nor adjoin. added is false if the number
// is already in one of them. It modifies ranges in place if the number extends or joins existing ranges.
func insert(ranges []Range, sequence uint64) (result []Range, added bool) {
	i, found := slices.BinarySearchFunc(ranges, sequence, func(r Range, sequence uint64) int {
		switch {
		case r.Last < sequence:
			return -1
		case r.First > sequence:
			return 1
		}
		return 0
	})
	if found {
		return ranges, false
	}
	extendsPrevious := i > 0 && ranges[i-1].Last+1 == sequence
	extendsNext := i < len(ranges) && ranges[i].First == sequence+1
	switch {
	case extendsPrevious && extendsNext:
		ranges[i-1].Last = ranges[i].Last
		return slices.Delete(ranges, i, i+1), true
	case extendsPrevious:
		ranges[i-1].Last = sequence
	case extendsNext:
		ranges[i].First = sequence
	default:
		// The caller may discard a result with too many ranges, so its own slice must not be modified.
		return slices.Insert(slices.Clone(ranges), i, Range{First: sequence, Last: sequence}), true
	}
	return ranges, true
}

// uncovered returns the parts of r that are in none of the sorted ranges.
func uncovered(ranges []Range, r Range) []Range {
	var parts []Range
	first := r.First // first number that the ranges so far do not cover
	for _, covered := range ranges {
		if !covered.overlaps(Range{First: first, Last: r.Last}) {
			continue
		}
		if covered.First > first {
			parts = append(parts, Range{First: first, Last: covered.First - 1})
		}
		if covered.Last >= r.Last {
			return parts
		}
		first = covered.Last + 1
	}
	if first <= r.Last {
		parts = append(parts, Range{First: first, Last: r.Last})
	}
	return parts
}
