// Package ledger records what a fleet's tenants have used: an entry for each final outcome of a request. The node
// that gave the outcome writes the entry durably before it counts as charged; nodes pass entries on to each other, in
// any order and as often as need be, until all have them. An entry counts once: its slot, the incarnation that held
// the slot and its sequence number identify it.
package ledger

import (
	"cmp"
	"fmt"
)

// Outcome is how a request ended.
type Outcome uint8

// Outcomes that are charged.
const (
	Served      Outcome = iota
	Paused              // at a tool call; what follows is charged by the nodes that resume the session
	Interrupted         // after a part of its answer
)

// Entry is what one final outcome used.
type Entry struct {
	Slot        string `cbor:"1,keyasint" json:"Seat"`
	Incarnation uint64 `cbor:"2,keyasint" json:"Life"`
	Sequence    uint64 `cbor:"3,keyasint" json:"Number"` // within the incarnation, from 1
	At          int64  `cbor:"4,keyasint" json:"At"`     // Unix nanoseconds, by that node's clock
	Tenant      string `cbor:"5,keyasint" json:"Tenant"`
	Class       string `cbor:"6,keyasint" json:"Class"`
	Session     uint64 `cbor:"7,keyasint" json:"Session"`
	// InputTokens are those of the prompt that no earlier entry charged.
	InputTokens  int64   `cbor:"8,keyasint" json:"In"`
	CachedTokens int64   `cbor:"9,keyasint" json:"Kept"` // of the prompt, that the backend had cached
	OutputTokens int64   `cbor:"10,keyasint" json:"Out"`
	Outcome      Outcome `cbor:"11,keyasint" json:"Outcome"`
}

// Source is one incarnation of a member. It numbers its entries.
type Source struct {
	Slot        string `cbor:"1,keyasint" json:"seat"`
	Incarnation uint64 `cbor:"2,keyasint" json:"life"`
}

// Compare orders sources by slot, then by incarnation.
func (s Source) Compare(other Source) int {
	return cmp.Or(cmp.Compare(s.Slot, other.Slot), cmp.Compare(s.Incarnation, other.Incarnation))
}

// Source returns who numbered the entry.
func (e *Entry) Source() Source { return Source{Slot: e.Slot, Incarnation: e.Incarnation} }

// Bounds of an entry that is accepted.
const (
	maxTokens    = int64(1) << 40
	maxNameBytes = 128
)

// Check returns why an entry is not valid, nil where it is.
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
