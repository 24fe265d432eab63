package node

import "sync"

// Shares bound what requests take of something that this node has so much of: places, or bytes of bodies. Where there are
// several tenants none has more than half, so that one that holds what it has cannot shut the others out.
type Shares struct {
	mu       sync.Mutex
	most     int
	divided  bool // among several tenants
	taken    int
	byTenant map[int]int
}

// NewShares divides so much among so many tenants.
func NewShares(most, tenants int) *Shares {
	s := &Shares{byTenant: map[int]int{}}
	s.Set(most, tenants)
	return s
}

// Set changes how much there is. What is taken stays taken.
func (s *Shares) Set(most, tenants int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.most, s.divided = most, tenants > 1
}

// Take takes n for a tenant, or nothing.
func (s *Shares) Take(tenant, n int) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.taken+n > s.most || s.divided && s.byTenant[tenant]+n > max(1, s.most/2) {
		return false
	}
	s.taken += n
	s.byTenant[tenant] += n
	return true
}

// Give gives back what was taken.
func (s *Shares) Give(tenant, n int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.taken -= n
	if s.byTenant[tenant] -= n; s.byTenant[tenant] == 0 {
		delete(s.byTenant, tenant)
	}
}

// Taken is how much all have.
func (s *Shares) Taken() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.taken
}
