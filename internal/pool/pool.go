// Package pool divides backends into pools, and flows among the pools. It has no clock and does no I/O.
package pool

import (
	"fmt"
	"math"
)

// MaxPools bounds the pools of a Set.
const MaxPools = 64

// Definition is a pool as configured.
type Definition struct {
	Name   string
	Select Selector
	Share  float64 // of the flows, 0 to 1, where no migration has changed it
}

// Set is all pools in the order of the configuration. Pools are numbered from 1; 0 stands for none. A Set never
// changes.
type Set struct{ pools []Definition }

// shareTolerance is how far the sum of all shares may be from 1.
const shareTolerance = 1e-6

// NewSet checks the definitions' names and shares. Where no pool has a share, the first has all. Errors name the key.
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
			return nil, fmt.Errorf("pool[%d].name: %q is the name of another pool", i, p.Name)
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

// Len is the number of pools.
func (s *Set) Len() int { return len(s.pools) }

// Name is the name of a pool by its number; "" for none.
func (s *Set) Name(number int) string {
	if number < 1 || number > len(s.pools) {
		return ""
	}
	return s.pools[number-1].Name
}

// Number is the number of a pool by its name; 0 if there is none.
func (s *Set) Number(name string) int {
	for i, p := range s.pools {
		if p.Name == name {
			return i + 1
		}
	}
	return 0
}

// PoolOf is the number of the first pool whose selector matches, 0 if none does. also are the names of the further
// pools that match.
func (s *Set) PoolOf(b Backend) (number int, also []string) {
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

// Definitions are the pools as configured. The caller must not change them.
func (s *Set) Definitions() []Definition { return s.pools }
