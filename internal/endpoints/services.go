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

// ServiceSources combines the lists of several sources, of one service or domain each. A service that does not answer
// affects its own endpoints alone: changes of the others are passed on. Its methods are safe for concurrent use.
type ServiceSources struct {
	notify func(node.EndpointList) // called with mu held

	mu      sync.Mutex // guards all below, and the fields of the sources' runs
	all     []*sourceRun
	context context.Context // Run's, for sources that Replace starts; nil before Run
	open    bool            // the first list was passed on, or has waited for maxFirstWait

	runs sync.WaitGroup // the goroutines of all sources; Run waits for them
}

// sourceRun is a source and its part of the list.
type sourceRun struct {
	*ServiceSource
	listing   []node.Endpoint
	hasList   bool // of its own, or of the persisted list
	confirmed bool // the listing is the source's own
	stop      context.CancelFunc
}

// NewServiceSources combines sources. Lists are passed to notify, which the sources wait for.
func NewServiceSources(notify func(node.EndpointList), all ...*ServiceSource) *ServiceSources {
	s := &ServiceSources{notify: notify}
	for _, source := range all {
		s.all = append(s.all, &sourceRun{ServiceSource: source})
	}
	return s
}

// Restore hands in the persisted list: each source's part of it stands until the source has its own. It must be
// called before Run.
func (s *ServiceSources) Restore(list node.EndpointList) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, run := range s.all {
		for _, endpoint := range list.Endpoints {
			if endpoint.Source == run.Key {
				run.listing = append(run.listing, endpoint)
				run.hasList = true
			}
		}
	}
}

// Watch implements node.EndpointWatcher. It does nothing: the services are browsed all the time.
func (s *ServiceSources) Watch() {}

// Run runs all sources until ctx ends, and waits for them. It may be called once.
func (s *ServiceSources) Run(ctx context.Context) {
	s.mu.Lock()
	s.context = ctx
	for _, run := range s.all {
		s.start(run)
	}
	s.mu.Unlock()
	timer := time.AfterFunc(maxFirstWait, s.endFirstWait)
	defer timer.Stop()
	<-ctx.Done()
	s.runs.Wait()
}

// endFirstWait passes on what there is, without the services that have not answered.
func (s *ServiceSources) endFirstWait() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.open && slices.ContainsFunc(s.all, func(run *sourceRun) bool { return run.confirmed }) {
		s.publish()
	}
	s.open = true
}

// start starts one source. The caller holds mu.
func (s *ServiceSources) start(run *sourceRun) {
	var ctx context.Context
	ctx, run.stop = context.WithCancel(s.context)
	run.Notify = func(list node.EndpointList) { s.update(run, list) }
	s.runs.Go(func() { run.Run(ctx) })
}

// update takes one source's list.
func (s *ServiceSources) update(run *sourceRun, list node.EndpointList) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !slices.Contains(s.all, run) {
		return // replaced a moment ago
	}
	run.listing = list.Endpoints
	run.hasList = true
	run.confirmed = true
	if s.open || !slices.ContainsFunc(s.all, func(other *sourceRun) bool { return !other.confirmed }) {
		s.publish()
	}
}

// Replace changes to another set of sources. One whose Key and Config stay the same continues with all that it
// knows. If its Config alone differs, its endpoints stay until the new source has its own list. The endpoints of
// those that are removed are withdrawn.
func (s *ServiceSources) Replace(all []*ServiceSource) {
	s.mu.Lock()
	defer s.mu.Unlock()
	withdrawn := s.stopReplaced(all)
	var next []*sourceRun
	for _, source := range all {
		run := &sourceRun{ServiceSource: source}
		old := s.find(source.Key)
		switch {
		case old == nil:
		case old.Config == source.Config:
			next = append(next, old)
			continue
		case old.Suffix == source.Suffix:
			run.listing = old.listing
			run.hasList = old.hasList
		default: // its endpoints have other names from now on
			withdrawn = true
		}
		next = append(next, run)
		if s.context != nil && s.context.Err() == nil {
			s.start(run)
		}
	}
	s.all = next
	if withdrawn && s.open {
		s.publish()
	}
}

// stopReplaced stops the sources that are not, or not with the same configuration, among the next ones. It returns
// whether there are endpoints of sources that are removed. The caller holds mu.
func (s *ServiceSources) stopReplaced(next []*ServiceSource) (withdrawn bool) {
	for _, old := range s.all {
		i := slices.IndexFunc(next, func(source *ServiceSource) bool { return source.Key == old.Key })
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

// find returns the source with a key; nil if there is none. The caller holds mu.
func (s *ServiceSources) find(key string) *sourceRun {
	i := slices.IndexFunc(s.all, func(run *sourceRun) bool { return run.Key == key })
	if i < 0 {
		return nil
	}
	return s.all[i]
}

// publish passes on the combined list. The caller holds mu, so that an older list never follows a newer one.
func (s *ServiceSources) publish() {
	s.open = true
	list := node.EndpointList{Kind: standpoint.ListFull}
	for _, run := range s.all {
		list.Endpoints = append(list.Endpoints, run.listing...)
	}
	s.notify(list)
}

// Origins returns all instances of all services, unused ones included.
func (s *ServiceSources) Origins() []Origin {
	s.mu.Lock()
	defer s.mu.Unlock()
	var all []Origin
	for _, run := range s.all {
		if run.confirmed || !run.hasList {
			all = append(all, run.ServiceSource.Origins()...)
			continue
		}
		for _, endpoint := range run.listing { // from the persisted list
			origin := Describe(endpoint)
			origin.Server = run.BrowserOptions.Server
			origin.Mechanism = MechanismStore
			all = append(all, origin)
		}
	}
	return all
}

// ExpiryTimes returns when the endpoints' records expire, by the endpoints' names.
func (s *ServiceSources) ExpiryTimes() map[string]time.Time {
	times := map[string]time.Time{}
	for _, origin := range s.Origins() {
		if !origin.ExpiresAt.IsZero() {
			times[origin.Name] = origin.ExpiresAt
		}
	}
	return times
}
