package node

import "sync"

// TenantLimiter limits how much of a fixed capacity, such as open requests or bytes of request bodies, is in use. If
// there are several tenants, none may use more than half, so that a tenant that does not release its part cannot shut
// out the others. It is safe for concurrent use.
type TenantLimiter struct {
	mu       sync.Mutex // guards the fields below
	capacity int
	divided  bool // there are several tenants
	inUse    int
	byTenant map[int]int
}

// NewTenantLimiter creates a limiter for a capacity that the given number of tenants share.
func NewTenantLimiter(capacity, tenants int) *TenantLimiter {
	l := &TenantLimiter{byTenant: map[int]int{}}
	l.SetCapacity(capacity, tenants)
	return l
}

// SetCapacity changes the capacity and the number of tenants. It does not revoke what has been acquired.
func (l *TenantLimiter) SetCapacity(capacity, tenants int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.capacity = capacity
	l.divided = tenants > 1
}

// Acquire acquires n for a tenant, and reports whether the limits allowed it; otherwise it acquires nothing.
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

// AcquireAdmitted acquires n for a tenant whatever the limits, for work that another process of this node has admitted
// and passes to this one: the node as a whole does not use more than before.
func (l *TenantLimiter) AcquireAdmitted(tenant, n int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.inUse += n
	l.byTenant[tenant] += n
}

// Release releases n that a tenant has acquired.
func (l *TenantLimiter) Release(tenant, n int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.inUse -= n
	l.byTenant[tenant] -= n
	if l.byTenant[tenant] == 0 {
		delete(l.byTenant, tenant)
	}
}

// InUse returns the total that all tenants have acquired.
func (l *TenantLimiter) InUse() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.inUse
}
