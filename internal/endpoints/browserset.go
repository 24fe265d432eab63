package endpoints

import (
	"context"
	"slices"
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
	notify func(node.EndpointList)

	mu      sync.Mutex
	all     []*running
	context context.Context // of Run; nil before
	open    bool            // told before, or waited long enough
	actors  sync.WaitGroup
}

// running is a browser and what it last told.
type running struct {
	*Browser
	part []node.Endpoint
	has  bool // it has told, or the store has had its part
	own  bool // it has told
	stop context.CancelFunc
}

// NewBrowsers makes the actor of several.
func NewBrowsers(news func(node.EndpointList), all ...*Browser) *Browsers {
	b := &Browsers{notify: news}
	for _, one := range all {
		b.all = append(b.all, &running{Browser: one})
	}
	return b
}

// Restore hands in the list that the store has, before Run: each source's part stands until the source itself tells.
func (b *Browsers) Restore(l node.EndpointList) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for _, one := range b.all {
		for _, e := range l.Endpoints {
			if e.Source == one.Key {
				one.part, one.has = append(one.part, e), true
			}
		}
	}
}

// Watch does nothing: the records are looked up all the time.
func (b *Browsers) Watch() {}

// Run runs all browsers until ctx ends.
func (b *Browsers) Run(ctx context.Context) {
	b.mu.Lock()
	b.context = ctx
	for _, one := range b.all {
		b.begin(one)
	}
	b.mu.Unlock()
	timer := time.AfterFunc(firstWait, func() {
		b.mu.Lock()
		defer b.mu.Unlock()
		some := slices.ContainsFunc(b.all, func(r *running) bool { return r.own })
		if !b.open && some {
			b.tell()
		}
		b.open = true
	})
	defer timer.Stop()
	<-ctx.Done()
	b.actors.Wait()
}

// begin starts one browser, the lock held.
func (b *Browsers) begin(one *running) {
	var ctx context.Context
	ctx, one.stop = context.WithCancel(b.context)
	one.Notify = func(l node.EndpointList) {
		b.mu.Lock()
		defer b.mu.Unlock()
		if !slices.Contains(b.all, one) {
			return // taken away a moment ago
		}
		one.part, one.has, one.own = l.Endpoints, true, true
		if b.open || !slices.ContainsFunc(b.all, func(r *running) bool { return !r.own }) {
			b.tell()
		}
	}
	b.actors.Go(func() { one.Run(ctx) })
}

// Replace takes on another set of browsers while it runs. Those that were told the same go on as they are, with all
// they know; of those whose settings alone are others the boxes stay until the new browser has told; the boxes of those
// that go are withdrawn; those that are new tell when they can.
func (b *Browsers) Replace(all []*Browser) {
	b.mu.Lock()
	defer b.mu.Unlock()
	var next []*running
	gone := false
	for _, old := range b.all {
		i := slices.IndexFunc(all, func(n *Browser) bool { return n.Key == old.Key })
		gone = gone || i < 0 && len(old.part) > 0
		if (i < 0 || all[i].Config != old.Config) && old.stop != nil {
			old.stop()
		}
	}
	for _, n := range all {
		one := &running{Browser: n}
		if i := slices.IndexFunc(b.all, func(r *running) bool { return r.Key == n.Key }); i >= 0 {
			if old := b.all[i]; old.Config == n.Config {
				next = append(next, old)
				continue
			} else if old.Suffix == n.Suffix {
				one.part, one.has = old.part, old.has
			} else {
				gone = true
			}
		}
		next = append(next, one)
		if b.context != nil && b.context.Err() == nil {
			b.begin(one)
		}
	}
	b.all = next
	if gone && b.open {
		b.tell()
	}
}

// tell tells the whole list. Lists go out one after the other, the lock held, so that an older one never comes last.
func (b *Browsers) tell() {
	b.open = true
	l := node.EndpointList{Kind: standpoint.ListFull}
	for _, one := range b.all {
		l.Endpoints = append(l.Endpoints, one.part...)
	}
	b.notify(l)
}

// Origins are all instances of all services, those that are left out too.
func (b *Browsers) Origins() []Origin {
	b.mu.Lock()
	defer b.mu.Unlock()
	var all []Origin
	for _, one := range b.all {
		if one.own || !one.has {
			all = append(all, one.Browser.Origins()...)
			continue
		}
		for _, e := range one.part { // as the store had them
			o := Describe(e)
			o.Server, o.Mechanism = one.FinderOptions.Server, "store"
			all = append(all, o)
		}
	}
	return all
}

// ExpiryTimes is when each entry's records come to the end of their time, by the entry's name.
func (b *Browsers) ExpiryTimes() map[string]time.Time {
	until := map[string]time.Time{}
	for _, o := range b.Origins() {
		if !o.ExpiresAt.IsZero() {
			until[o.Name] = o.ExpiresAt
		}
	}
	return until
}
