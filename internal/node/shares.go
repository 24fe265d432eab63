package node

import "sync"

// TenantLimiter bound what requests take of something that this node has so much of: places, or bytes of bodies. Where there are
// several tenants none has more than half, so that one that holds what it has cannot shut the others out.
type TenantLimiter struct {
	mu       sync.Mutex
	capacity int
	divided  bool // among several tenants
	inUse    int
	byTenant map[int]int
}

// NewTenantLimiter divides so much among so many tenants.
func NewTenantLimiter(most, tenants int) *TenantLimiter {
	s := &TenantLimiter{byTenant: map[int]int{}}
	s.SetCapacity(most, tenants)
	return s
}

// SetCapacity changes how much there is. What is taken stays taken.
func (s *TenantLimiter) SetCapacity(most, tenants int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.capacity, s.divided = most, tenants > 1
}

// Acquire takes n for a tenant, or nothing.
func (s *TenantLimiter) Acquire(tenant, n int) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.inUse+n > s.capacity || s.divided && s.byTenant[tenant]+n > max(1, s.capacity/2) {
		return false
	}
	s.inUse += n
	s.byTenant[tenant] += n
	return true
}

// Release gives back what was taken.
func (s *TenantLimiter) Release(tenant, n int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.inUse -= n
	if s.byTenant[tenant] -= n; s.byTenant[tenant] == 0 {
		delete(s.byTenant, tenant)
	}
}

// InUse is how much all have.
func (s *TenantLimiter) InUse() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.inUse
}
