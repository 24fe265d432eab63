// Package pool divides backends into pools, and assigns requests to pools. It reads no clock and does no I/O.
package pool

import (
	"fmt"
	"math"
)

// MaxPools is the maximum number of pools in a Set.
const MaxPools = 64

// Definition is the configuration of a pool.
type Definition struct {
	Name     string
	Selector Selector
	Share    float64 // fraction of the requests, from 0 to 1, unless a migration has changed it
}

// Set contains all pools in the order of the configuration. Pools are numbered from 1; 0 stands for none. A Set is
// immutable.
type Set struct{ pools []Definition }

// shareTolerance is the permitted difference between the sum of all shares and 1.
const shareTolerance = 1e-6

// NewSet checks the definitions' names and shares, and returns a set of them. If no pool has a share, the first one
// gets all requests. Errors contain the configuration key.
func NewSet(pools []Definition) (*Set, error) {
	s := &Set{pools: append([]Definition(nil), pools...)}
	if len(pools) > MaxPools {
		return nil, fmt.Errorf("pool: %d pools are more than %d", len(pools), MaxPools)
	}
	sum := 0.0
	for i, p := range s.pools {
		if p.Name == "" {
			return nil, fmt.Errorf("pool[%d].name: missing", i)
		}
		if s.Number(p.Name) != i+1 {
			return nil, fmt.Errorf("pool[%d].name: %q is a duplicate", i, p.Name)
		}
		if !(p.Share >= 0 && p.Share <= 1) {
			return nil, fmt.Errorf("pool[%d].share: %g is not from 0 to 1", i, p.Share)
		}
		sum += p.Share
	}
	if sum == 0 && len(s.pools) > 0 {
		s.pools[0].Share = 1
		sum = 1
	}
	if len(s.pools) > 0 && math.Abs(sum-1) > shareTolerance {
		return nil, fmt.Errorf("pool[%d].share: the shares of all pools add up to %g, not to 1", len(s.pools)-1, sum)
	}
	return s, nil
}

// Len returns the number of pools.
func (s *Set) Len() int { return len(s.pools) }

// Name returns the name of the pool with a number, or an empty string if there is none.
func (s *Set) Name(number int) string {
	if number < 1 || number > len(s.pools) {
		return ""
	}
	return s.pools[number-1].Name
}

// Number returns the number of the pool with a name, or 0 if there is none.
func (s *Set) Number(name string) int {
	for i, p := range s.pools {
		if p.Name == name {
			return i + 1
		}
	}
	return 0
}

// PoolOf returns the number of the first pool whose selector matches a backend, or 0 if none does, and the names of the
// other pools that match it.
func (s *Set) PoolOf(b Backend) (number int, others []string) {
	for i, p := range s.pools {
		switch {
		case !p.Selector.Match(b):
		case number == 0:
			number = i + 1
		default:
			others = append(others, p.Name)
		}
	}
	return number, others
}

// Definitions returns the pools' definitions. The caller must not modify them.
func (s *Set) Definitions() []Definition { return s.pools }
