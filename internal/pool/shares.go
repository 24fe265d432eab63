package pool

import (
	"encoding/binary"

	"github.com/cespare/xxhash/v2"
)

// Shares describes how migrations have changed the assignment of requests to pools. It refers to pools by name, so that
// it applies at every node whatever the order of the node's configuration; Bind applies it to a Set. The zero value
// changes nothing.
type Shares struct {
	// Moved maps the name of a pool that finished migrations have emptied to the pool that gets its requests.
	Moved map[string]string `json:"moved,omitempty"`
	// From and To are the pools of the migration in progress, or of one that was halted. To gets the fraction Share,
	// from 0 to 1, of the requests that would otherwise be From's.
	From  string  `json:"from,omitempty"`
	To    string  `json:"to,omitempty"`
	Share float64 `json:"share"`
}

// Finish returns the shares after the migration has finished: To permanently gets all requests of From, including those
// that earlier migrations moved to From.
func (s Shares) Finish() Shares {
	moved := map[string]string{}
	for p, to := range s.Moved {
		moved[p] = to
	}
	// An earlier migration from To to From is reversed by this one: To gets its own requests back.
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

// WithoutMigration returns the shares without the migration in progress.
func (s Shares) WithoutMigration() Shares { return Shares{Moved: s.Moved} }

// Table assigns requests to pools. It is immutable, and so safe for concurrent use.
type Table struct {
	upperBounds []float64 // upper bounds of the pools' ranges of the hash, in the order of the pools
	moved       []int     // by pool number: the pool that gets its requests; the pool itself unless migrated
	// The migration in progress: to gets the fraction share of from's requests. from and to are 0 if there is none.
	from  int
	to    int
	share float64
}

// Bind returns the table for the set's pools and the given shares. Pools that are not in the set are ignored.
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

// Salts of two independent hashes. poolSalt is for the assignment of requests to pools as configured. orderSalt is for
// the order in which a migration moves the requests of a pool, so that a larger share only adds requests to the new
// pool.
const (
	poolSalt  = 0x5bd1e9955bd1e995
	orderSalt = 0x27d4eb2f165667c5
)

// hash maps a key to a number in [0, 1).
func hash(key, salt uint64) float64 {
	var input [16]byte
	binary.LittleEndian.PutUint64(input[:8], key)
	binary.LittleEndian.PutUint64(input[8:], salt)
	return float64(xxhash.Sum64(input[:])>>11) / (1 << 53)
}

// Assign returns the number of a request's pool, or 0 if there are no pools. The key is the request's session, or its
// shared prefix if it has no session, or its own id if it has neither. The same key has the same pool at every node.
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

// configured returns the number of a key's pool as configured, without migrations. The last pool gets the remainder of
// rounding errors.
func (t *Table) configured(key uint64) int {
	position := hash(key, poolSalt)
	for i, bound := range t.upperBounds {
		if position < bound {
			return i + 1
		}
	}
	return len(t.upperBounds)
}
