package entries

import (
	"context"
	"sync"
	"time"

	"standpoint"
	"standpoint/internal/node"
)

// firstWait is how long a start waits for services that do not answer, before the others' boxes are told.
const firstWait = 2 * time.Second

// Browsers are several services and domains in one, a hall each, say. What one of them cannot tell costs its own
// boxes alone: the others' news goes on.
type Browsers struct {
	All  []*Browser
	News func(node.List)

	mu    sync.Mutex
	parts map[*Browser][]node.ServiceEntry // as last told by each
	open  bool                             // told before, or waited long enough
}

// Watch does nothing: the records are looked up all the time.
func (b *Browsers) Watch() {}

// Run runs all browsers until ctx ends.
func (b *Browsers) Run(ctx context.Context) {
	b.parts = map[*Browser][]node.ServiceEntry{}
	timer := time.AfterFunc(firstWait, func() {
		b.mu.Lock()
		defer b.mu.Unlock()
		if !b.open && len(b.parts) > 0 {
			b.tell()
		}
		b.open = true
	})
	defer timer.Stop()
	var all sync.WaitGroup
	for _, one := range b.All {
		one.News = func(l node.List) {
			b.mu.Lock()
			defer b.mu.Unlock()
			b.parts[one] = l.Entries
			if b.open || len(b.parts) == len(b.All) {
				b.tell()
			}
		}
		all.Go(func() { one.Run(ctx) })
	}
	all.Wait()
}

// tell tells the whole list. Lists go out one after the other, the lock held, so that an older one never comes last.
func (b *Browsers) tell() {
	b.open = true
	l := node.List{Kind: standpoint.ListFull}
	for _, one := range b.All {
		l.Entries = append(l.Entries, b.parts[one]...)
	}
	b.News(l)
}

// Origins are all instances of all services, those that are left out too.
func (b *Browsers) Origins() []Origin {
	var all []Origin
	for _, one := range b.All {
		all = append(all, one.Origins()...)
	}
	return all
}
