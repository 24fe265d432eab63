package endpoints

import (
	"context"
	"slices"
	"sync"
	"time"

	"standpoint"
	"standpoint/internal/node"
)

// maxFirstWait is how long the first combined list is delayed for services that have not responded.
const maxFirstWait = 2 * time.Second

// ServiceSources combines the lists of several sources, each of one service in one domain. A service that does not
// respond affects only its own endpoints: changes of the others are passed on. Its methods are safe for concurrent use.
type ServiceSources struct {
	notify func(node.EndpointList) // called with mu held

	mu            sync.Mutex // guards all and the fields below, and the fields of each sourceRun
	all           []*sourceRun
	context       context.Context // the context of Run, for sources that Replace starts; nil before Run
	firstWaitOver bool            // the first list was passed on, or maxFirstWait has passed

	runs sync.WaitGroup // counts the goroutines of all sources, for which Run waits
}

// sourceRun is a source and its part of the combined list.
type sourceRun struct {
	*ServiceSource
	listing   []node.Endpoint
	hasList   bool // there is a list, from the source or the persisted list
	confirmed bool // listing is from the source, not from the persisted list
	stop      context.CancelFunc
}

// NewServiceSources combines sources. Lists are passed to notify; the sources block until it returns.
func NewServiceSources(notify func(node.EndpointList), all ...*ServiceSource) *ServiceSources {
	s := &ServiceSources{notify: notify}
	for _, source := range all {
		s.all = append(s.all, &sourceRun{ServiceSource: source})
	}
	return s
}

// Restore sets the persisted list. Each source's part of it is used until the source has a list of its own. Restore
// must be called before Run.
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

// Watch implements node.EndpointWatcher. It does nothing, as the services are browsed continuously.
func (s *ServiceSources) Watch() {}

// Run runs all sources until ctx ends, and then waits for them. It may be called once.
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

// endFirstWait passes on the endpoints known so far, without waiting longer for services that have not responded.
func (s *ServiceSources) endFirstWait() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.firstWaitOver && slices.ContainsFunc(s.all, func(run *sourceRun) bool { return run.confirmed }) {
		s.publish()
	}
	s.firstWaitOver = true
}

// start starts one source. The caller must hold mu.
func (s *ServiceSources) start(run *sourceRun) {
	var ctx context.Context
	ctx, run.stop = context.WithCancel(s.context)
	run.Notify = func(list node.EndpointList) { s.update(run, list) }
	s.runs.Go(func() { run.Run(ctx) })
}

// update handles a new list of one source.
func (s *ServiceSources) update(run *sourceRun, list node.EndpointList) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !slices.Contains(s.all, run) {
		return // Replace has removed the source in the meantime
	}
	run.listing = list.Endpoints
	run.hasList = true
	run.confirmed = true
	if s.firstWaitOver || !slices.ContainsFunc(s.all, func(other *sourceRun) bool { return !other.confirmed }) {
		s.publish()
	}
}

// Replace replaces the set of sources. A source whose Key and Config stay the same continues to run with its state. If
// only its Config differs, its endpoints stay until the new source has a list of its own. The endpoints of removed
// sources are withdrawn.
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
		default: // another suffix changes the endpoints' names
			withdrawn = true
		}
		next = append(next, run)
		if s.context != nil && s.context.Err() == nil {
			s.start(run)
		}
	}
	s.all = next
	if withdrawn && s.firstWaitOver {
		s.publish()
	}
}

// stopReplaced stops the sources that are not among the next ones with the same configuration. It reports whether
// sources with endpoints are removed. The caller must hold mu.
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

// find returns the source with a key, or nil if there is none. The caller must hold mu.
func (s *ServiceSources) find(key string) *sourceRun {
	i := slices.IndexFunc(s.all, func(run *sourceRun) bool { return run.Key == key })
	if i < 0 {
		return nil
	}
	return s.all[i]
}

// publish passes on the combined list. The caller must hold mu, so that an older list never follows a newer one.
func (s *ServiceSources) publish() {
	s.firstWaitOver = true
	list := node.EndpointList{Kind: standpoint.ListFull}
	for _, run := range s.all {
		list.Endpoints = append(list.Endpoints, run.listing...)
	}
	s.notify(list)
}

// Origins returns all instances of all services, including unused ones.
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

// ExpiryTimes returns when the endpoints' records expire, by endpoint name.
func (s *ServiceSources) ExpiryTimes() map[string]time.Time {
	times := map[string]time.Time{}
	for _, origin := range s.Origins() {
		if !origin.ExpiresAt.IsZero() {
			times[origin.Name] = origin.ExpiresAt
		}
	}
	return times
}
