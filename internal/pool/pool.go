package pool

import (
	"encoding/binary"
	"fmt"
	"math"

	"github.com/cespare/xxhash/v2"
)

// Most is how many pools there may be.
const Most = 64

// Definition is a pool as the operator's file has it.
type Definition struct {
	Name   string
	Select Selector
	Share  float64 // of the flows, where no move has changed it
}

// Set is all pools, in the file's order. Pools are numbered from 1; 0 stands for none.
type Set struct{ pools []Definition }

// NewSet checks the definitions' names and shares. Where no pool has a share, the first has all.
func NewSet(pools []Definition) (*Set, error) {
	s := &Set{pools: append([]Definition(nil), pools...)}
	if len(pools) > Most {
		return nil, fmt.Errorf("pool: %d pools are more than %d", len(pools), Most)
	}
	sum := 0.0
	for i, p := range s.pools {
		if p.Name == "" {
			return nil, fmt.Errorf("pool[%d].name: missing", i)
		}
		if s.Number(p.Name) != i+1 {
			return nil, fmt.Errorf("pool[%d].name: %q is the name of another pool", i, p.Name)
		}
		if !(p.Share >= 0 && p.Share <= 1) {
			return nil, fmt.Errorf("pool[%d].share: %g is not from 0 to 1", i, p.Share)
		}
		sum += p.Share
	}
	if sum == 0 && len(s.pools) > 0 {
		s.pools[0].Share, sum = 1, 1
	}
	if len(s.pools) > 0 && math.Abs(sum-1) > 1e-6 {
		return nil, fmt.Errorf("pool[%d].share: the shares of all pools add up to %g, not to 1", len(s.pools)-1, sum)
	}
	return s, nil
}

// Len is the number of pools.
func (s *Set) Len() int { return len(s.pools) }

// Name is a pool's name; "" for none.
func (s *Set) Name(number int) string {
	if number < 1 || number > len(s.pools) {
		return ""
	}
	return s.pools[number-1].Name
}

// Number finds a pool by its name; 0: there is none.
func (s *Set) Number(name string) int {
	for i, p := range s.pools {
		if p.Name == name {
			return i + 1
		}
	}
	return 0
}

// Place is the pool of a box: the first whose selector takes it. also names the others that would.
func (s *Set) Place(b Box) (number int, also []string) {
	for i, p := range s.pools {
		switch {
		case !p.Select.Match(b):
		case number == 0:
			number = i + 1
		default:
			also = append(also, p.Name)
		}
	}
	return number, also
}

// Shares say how flows are divided. They are kept by name, so that they hold at every node whatever the order in
// its file, and apply to a Set by Bind.
type Shares struct {
	// Moved has, for a pool that finished moves have emptied, the pool that took its flows over.
	Moved map[string]string `json:"moved,omitempty"`
	// From and To are the pools of the move under way, or of one that was halted; To has the part Share of the
	// flows that would be From's.
	From  string  `json:"from,omitempty"`
	To    string  `json:"to,omitempty"`
	Share float64 `json:"share"`
}

// Finish has To take all of From's flows for good. A pool that had been moved to From goes to To as well.
func (s Shares) Finish() Shares {
	moved := map[string]string{}
	for p, to := range s.Moved {
		moved[p] = to
	}
	// To's own flows stay where they are: an earlier move away from To is over once To is wanted again.
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

// Withdraw ends a move without effect.
func (s Shares) Withdraw() Shares { return Shares{Moved: s.Moved} }

// Table assigns flows to pools. It never changes, and may be read from anywhere.
type Table struct {
	upTo     []float64 // upper bounds of the pools' parts of the hash, in order
	moved    []int     // by number
	from, to int
	share    float64
}

// Bind makes the table of a set of pools under shares. Pools that the set does not have are left out of account.
func (s *Set) Bind(shares Shares) *Table {
	t := &Table{moved: make([]int, len(s.pools)+1), share: shares.Share}
	sum := 0.0
	for i, p := range s.pools {
		sum += p.Share
		t.upTo = append(t.upTo, sum)
		t.moved[i+1] = i + 1
		if to := s.Number(shares.Moved[p.Name]); to != 0 {
			t.moved[i+1] = to
		}
	}
	t.from, t.to = s.Number(shares.From), s.Number(shares.To)
	if t.from == 0 || t.to == 0 {
		t.from, t.to = 0, 0
	}
	return t
}

// Two hashes: one divides flows among the pools as the file does, the other orders those of a pool for moves, so
// that a greater share only ever adds flows to the pool that is moved to.
const (
	partSalt  = 0x5bd1e9955bd1e995
	orderSalt = 0x27d4eb2f165667c5
)

func hash(key, salt uint64) float64 {
	var b [16]byte
	binary.LittleEndian.PutUint64(b[:8], key)
	binary.LittleEndian.PutUint64(b[8:], salt)
	return float64(xxhash.Sum64(b[:])>>11) / (1 << 53)
}

// Assign is the pool of a flow: by its session, or else its shared beginning, or else by itself. The same key has
// the same pool at every node. 0: there are no pools.
func (t *Table) Assign(session, prefix, id uint64) int {
	if len(t.upTo) == 0 {
		return 0
	}
	key := session
	if key == 0 {
		key = prefix
	}
	if key == 0 {
		key = id
	}
	part, number := hash(key, partSalt), len(t.upTo)
	for i, upTo := range t.upTo {
		if part < upTo {
			number = i + 1
			break
		}
	}
	number = t.moved[number]
	if number == t.from && t.to != 0 && hash(key, orderSalt) < t.share {
		return t.to
	}
	return number
}

// Definitions are the pools as the file has them.
func (s *Set) Definitions() []Definition { return s.pools }
