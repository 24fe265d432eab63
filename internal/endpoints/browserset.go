package endpoints

import (
	"context"
	"slices"
	"sync"
	"time"

	"standpoint"
	"standpoint/internal/node"
)

// maxFirstWait is how long the first list waits for services that do not answer.
const maxFirstWait = 2 * time.Second

// Browsers combines the lists of several browsers, of one service or domain each. A service that does not answer
// affects its own endpoints alone: changes of the others are passed on. Its methods are safe for concurrent use.
type Browsers struct {
	notify func(node.EndpointList) // called with mu held

	mu      sync.Mutex // guards all below, and the fields of the browsers' runs
	all     []*browserRun
	context context.Context // Run's, for browsers that Replace starts; nil before Run
	open    bool            // the first list was passed on, or has waited for maxFirstWait

	runs sync.WaitGroup // the goroutines of all browsers; Run waits for them
}

// browserRun is a browser and its part of the list.
type browserRun struct {
	*Browser
	listing   []node.Endpoint
	hasList   bool // of its own, or of the persisted list
	confirmed bool // the listing is the browser's own
	stop      context.CancelFunc
}

// NewBrowsers combines browsers. Lists are passed to notify, which the browsers wait for.
func NewBrowsers(notify func(node.EndpointList), all ...*Browser) *Browsers {
	b := &Browsers{notify: notify}
	for _, browser := range all {
		b.all = append(b.all, &browserRun{Browser: browser})
	}
	return b
}

// Restore hands in the persisted list: each browser's part of it stands until the browser has its own. It must be
// called before Run.
func (b *Browsers) Restore(list node.EndpointList) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for _, run := range b.all {
		for _, endpoint := range list.Endpoints {
			if endpoint.Source == run.Key {
				run.listing = append(run.listing, endpoint)
				run.hasList = true
			}
		}
	}
}

// Watch implements node.EndpointWatcher. It does nothing: the services are browsed all the time.
func (b *Browsers) Watch() {}

// Run runs all browsers until ctx ends, and waits for them. It may be called once.
func (b *Browsers) Run(ctx context.Context) {
	b.mu.Lock()
	b.context = ctx
	for _, run := range b.all {
		b.start(run)
	}
	b.mu.Unlock()
	timer := time.AfterFunc(maxFirstWait, b.endFirstWait)
	defer timer.Stop()
	<-ctx.Done()
	b.runs.Wait()
}

// endFirstWait passes on what there is, without the services that have not answered.
func (b *Browsers) endFirstWait() {
	b.mu.Lock()
	defer b.mu.Unlock()
	if !b.open && slices.ContainsFunc(b.all, func(run *browserRun) bool { return run.confirmed }) {
		b.publish()
	}
	b.open = true
}

// start starts one browser. The caller holds mu.
func (b *Browsers) start(run *browserRun) {
	var ctx context.Context
	ctx, run.stop = context.WithCancel(b.context)
	run.Notify = func(list node.EndpointList) { b.update(run, list) }
	b.runs.Go(func() { run.Run(ctx) })
}

// update takes one browser's list.
func (b *Browsers) update(run *browserRun, list node.EndpointList) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if !slices.Contains(b.all, run) {
		return // replaced a moment ago
	}
	run.listing = list.Endpoints
	run.hasList = true
	run.confirmed = true
	if b.open || !slices.ContainsFunc(b.all, func(other *browserRun) bool { return !other.confirmed }) {
		b.publish()
	}
}

// Replace changes to another set of browsers. One whose Key and Config stay the same continues with all that it
// knows. If its Config alone differs, its endpoints stay until the new browser has its own list. The endpoints of
// those that are removed are withdrawn.
func (b *Browsers) Replace(all []*Browser) {
	b.mu.Lock()
	defer b.mu.Unlock()
	withdrawn := b.stopReplaced(all)
	var next []*browserRun
	for _, browser := range all {
		run := &browserRun{Browser: browser}
		old := b.find(browser.Key)
		switch {
		case old == nil:
		case old.Config == browser.Config:
			next = append(next, old)
			continue
		case old.Suffix == browser.Suffix:
			run.listing = old.listing
			run.hasList = old.hasList
		default: // its endpoints have other names from now on
			withdrawn = true
		}
		next = append(next, run)
		if b.context != nil && b.context.Err() == nil {
			b.start(run)
		}
	}
	b.all = next
	if withdrawn && b.open {
		b.publish()
	}
}

// stopReplaced stops the browsers that are not, or not with the same configuration, among the next ones. It returns
// whether there are endpoints of browsers that are removed. The caller holds mu.
func (b *Browsers) stopReplaced(next []*Browser) (withdrawn bool) {
	for _, old := range b.all {
		i := slices.IndexFunc(next, func(browser *Browser) bool { return browser.Key == old.Key })
		removed := i < 0
		if removed && len(old.listing) > 0 {
			withdrawn = true
		}
		if (removed || next[i].Config != old.Config) && old.stop != nil {
			old.stop()
		}
	}
	return withdrawn
}

// find returns the browser with a key; nil if there is none. The caller holds mu.
func (b *Browsers) find(key string) *browserRun {
	i := slices.IndexFunc(b.all, func(run *browserRun) bool { return run.Key == key })
	if i < 0 {
		return nil
	}
	return b.all[i]
}

// publish passes on the combined list. The caller holds mu, so that an older list never follows a newer one.
func (b *Browsers) publish() {
	b.open = true
	list := node.EndpointList{Kind: standpoint.ListFull}
	for _, run := range b.all {
		list.Endpoints = append(list.Endpoints, run.listing...)
	}
	b.notify(list)
}

// Origins returns all instances of all services, unused ones included.
func (b *Browsers) Origins() []Origin {
	b.mu.Lock()
	defer b.mu.Unlock()
	var all []Origin
	for _, run := range b.all {
		if run.confirmed || !run.hasList {
			all = append(all, run.Browser.Origins()...)
			continue
		}
		for _, endpoint := range run.listing { // from the persisted list
			origin := Describe(endpoint)
			origin.Server = run.FinderOptions.Server
			origin.Mechanism = MechanismStore
			all = append(all, origin)
		}
	}
	return all
}

// ExpiryTimes returns when the endpoints' records expire, by the endpoints' names.
func (b *Browsers) ExpiryTimes() map[string]time.Time {
	times := map[string]time.Time{}
	for _, origin := range b.Origins() {
		if !origin.ExpiresAt.IsZero() {
			times[origin.Name] = origin.ExpiresAt
		}
	}
	return times
}
