package pool

import (
	"encoding/binary"

	"github.com/cespare/xxhash/v2"
)

// Shares say how migrations have changed the division of flows. They name pools, so that they hold at every node
// whatever the order in its configuration; Bind applies them to a Set. The zero value changes nothing.
type Shares struct {
	// Moved has, by the name of a pool that finished migrations have emptied, the pool that took its flows over.
	Moved map[string]string `json:"moved,omitempty"`
	// From and To are the pools of the migration under way, or of one that was halted; To has the part Share, from 0 to
	// 1, of the flows that would be From's.
	From  string  `json:"from,omitempty"`
	To    string  `json:"to,omitempty"`
	Share float64 `json:"share"`
}

// Finish has To take all of From's flows for good, those that had been moved to From included.
func (s Shares) Finish() Shares {
	moved := map[string]string{}
	for p, to := range s.Moved {
		moved[p] = to
	}
	// To's own flows stay where they are: an earlier migration from To to From is undone by this one.
	if back, ok := moved[s.To]; ok && back == s.From {
		delete(moved, s.To)
	}
	for p, to := range moved {
		if to == s.From {
			moved[p] = s.To
		}
	}
	moved[s.From] = s.To
	return Shares{Moved: moved}
}

// Withdraw ends a migration without effect.
func (s Shares) Withdraw() Shares { return Shares{Moved: s.Moved} }

// Table assigns flows to pools. It never changes, so that it is safe for concurrent use.
type Table struct {
	upperBounds []float64 // of the pools' parts of the hash, in order
	moved       []int     // by number: the pool that has the flows now, at first itself
	// The migration under way: to has the part share of from's flows. Both are 0 if there is none.
	from  int
	to    int
	share float64
}

// Bind makes the table of a set of pools under shares. Pools that the set does not have are ignored.
func (s *Set) Bind(shares Shares) *Table {
	t := &Table{moved: make([]int, len(s.pools)+1), share: shares.Share}
	sum := 0.0
	for i, p := range s.pools {
		sum += p.Share
		t.upperBounds = append(t.upperBounds, sum)
		t.moved[i+1] = i + 1
		if to := s.Number(shares.Moved[p.Name]); to != 0 {
			t.moved[i+1] = to
		}
	}
	from := s.Number(shares.From)
	to := s.Number(shares.To)
	if from != 0 && to != 0 {
		t.from = from
		t.to = to
	}
	return t
}

// The salts of two hashes: one divides flows among the pools as configured, the other orders those of a pool for
// migrations, so that a greater share only ever adds flows to the pool that is migrated to.
const (
	poolSalt  = 0x5bd1e9955bd1e995
	orderSalt = 0x27d4eb2f165667c5
)

// hash maps a key to a number from 0 up to 1.
func hash(key, salt uint64) float64 {
	var input [16]byte
	binary.LittleEndian.PutUint64(input[:8], key)
	binary.LittleEndian.PutUint64(input[8:], salt)
	return float64(xxhash.Sum64(input[:])>>11) / (1 << 53)
}

// Assign is the number of a flow's pool: by its session, or else its shared prefix, or else its own id. The same key
// has the same pool at every node. 0: there are no pools.
func (t *Table) Assign(session, prefix, id uint64) int {
	if len(t.upperBounds) == 0 {
		return 0
	}
	key := session
	if key == 0 {
		key = prefix
	}
	if key == 0 {
		key = id
	}
	number := t.moved[t.configured(key)]
	if number == t.from && t.to != 0 && hash(key, orderSalt) < t.share {
		return t.to
	}
	return number
}

// configured is the number of a key's pool where no migration has changed it. The last pool takes what rounding leaves.
func (t *Table) configured(key uint64) int {
	position := hash(key, poolSalt)
	for i, bound := range t.upperBounds {
		if position < bound {
			return i + 1
		}
	}
	return len(t.upperBounds)
}
