package node

import "sync"

// TenantLimiter bounds what requests take of something that a node has a fixed amount of: open requests, or bytes of
// bodies. If there are several tenants, none gets more than half, so one that holds on to what it has cannot shut the
// others out. It is safe for concurrent use.
type TenantLimiter struct {
	mu       sync.Mutex // guards all below
	capacity int
	divided  bool // among several tenants
	inUse    int
	byTenant map[int]int
}

// NewTenantLimiter creates a limiter of a capacity that a number of tenants share.
func NewTenantLimiter(capacity, tenants int) *TenantLimiter {
	l := &TenantLimiter{byTenant: map[int]int{}}
	l.SetCapacity(capacity, tenants)
	return l
}

// SetCapacity changes the capacity. What is acquired stays so.
func (l *TenantLimiter) SetCapacity(capacity, tenants int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.capacity = capacity
	l.divided = tenants > 1
}

// Acquire takes n for a tenant. If it is false, nothing was taken.
func (l *TenantLimiter) Acquire(tenant, n int) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.inUse+n > l.capacity {
		return false
	}
	if l.divided && l.byTenant[tenant]+n > max(1, l.capacity/2) {
		return false
	}
	l.inUse += n
	l.byTenant[tenant] += n
	return true
}

// Release returns what a tenant acquired.
func (l *TenantLimiter) Release(tenant, n int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.inUse -= n
	l.byTenant[tenant] -= n
	if l.byTenant[tenant] == 0 {
		delete(l.byTenant, tenant)
	}
}

// InUse is what all tenants have together.
func (l *TenantLimiter) InUse() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.inUse
}
