// Package ledger records the usage of a fleet's tenants, with one entry for each final outcome of a request. The node
// that served the request writes the entry durably before it counts as charged. Nodes exchange entries, in any order
// and repeatedly, until all nodes have all entries. An entry is identified by its member slot, the incarnation that
// occupied the slot and its sequence number, and is counted only once.
package ledger

import (
	"cmp"
	"fmt"
)

// Outcome is the outcome of a request.
type Outcome uint8

// Outcomes that are charged.
const (
	Served      Outcome = iota // the response was complete
	Paused                     // the response paused at a tool call; the nodes that resume it charge for the rest
	Interrupted                // the response broke off after a part of it was sent
)

// Entry is the usage of one request.
type Entry struct {
	Slot        string `cbor:"1,keyasint" json:"Seat"`
	Incarnation uint64 `cbor:"2,keyasint" json:"Life"`
	Sequence    uint64 `cbor:"3,keyasint" json:"Number"` // number within the incarnation, from 1
	At          int64  `cbor:"4,keyasint" json:"At"`     // time in Unix nanoseconds, by the clock of the charging node
	Tenant      string `cbor:"5,keyasint" json:"Tenant"`
	Class       string `cbor:"6,keyasint" json:"Class"`
	Session     uint64 `cbor:"7,keyasint" json:"Session"`
	// InputTokens are the prompt tokens that no earlier entry has charged.
	InputTokens  int64   `cbor:"8,keyasint" json:"In"`
	CachedTokens int64   `cbor:"9,keyasint" json:"Kept"` // prompt tokens that the backend had in its cache
	OutputTokens int64   `cbor:"10,keyasint" json:"Out"`
	Outcome      Outcome `cbor:"11,keyasint" json:"Outcome"`
}

// Source is one incarnation of a member, which numbers its entries consecutively.
type Source struct {
	Slot        string `cbor:"1,keyasint" json:"seat"`
	Incarnation uint64 `cbor:"2,keyasint" json:"life"`
}

// Compare orders sources by slot, then by incarnation.
func (s Source) Compare(other Source) int {
	return cmp.Or(cmp.Compare(s.Slot, other.Slot), cmp.Compare(s.Incarnation, other.Incarnation))
}

// Source returns the incarnation that wrote the entry.
func (e *Entry) Source() Source { return Source{Slot: e.Slot, Incarnation: e.Incarnation} }

// Bounds of a valid entry.
const (
	maxTokens    = int64(1) << 40 // maximum of each token count
	maxNameBytes = 128            // maximum length of the names of slot, tenant and class
)

// Check returns an error if the entry is invalid.
func (e *Entry) Check() error {
	switch {
	case e.Slot == "" || len(e.Slot) > maxNameBytes || len(e.Tenant) > maxNameBytes || len(e.Class) > maxNameBytes:
		return fmt.Errorf("entry of %.20q: a name that cannot be", e.Slot)
	case e.Incarnation == 0 || e.Sequence == 0:
		return fmt.Errorf("entry of %q: it has no life, or no number", e.Slot)
	case !validTokens(e.InputTokens) || !validTokens(e.CachedTokens) || !validTokens(e.OutputTokens):
		return fmt.Errorf("entry %s/%d/%d: tokens that cannot be", e.Slot, e.Incarnation, e.Sequence)
	case e.Outcome > Interrupted:
		return fmt.Errorf("entry %s/%d/%d: outcome %d", e.Slot, e.Incarnation, e.Sequence, e.Outcome)
	}
	return nil
}

func validTokens(n int64) bool { return n >= 0 && n <= maxTokens }

// Totals are sums over entries.
type Totals struct {
	Entries      int64 `json:"entries"`
	InputTokens  int64 `json:"in"`
	CachedTokens int64 `json:"kept"`
	OutputTokens int64 `json:"out"`
}

func (t *Totals) add(e *Entry) {
	t.Entries++
	t.InputTokens += e.InputTokens
	t.CachedTokens += e.CachedTokens
	t.OutputTokens += e.OutputTokens
}
