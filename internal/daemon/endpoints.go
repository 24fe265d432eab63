package daemon

import (
	"context"
	"fmt"
	"reflect"
	"sync"
	"time"

	"go.uber.org/zap"

	"standpoint"
	"standpoint/internal/config"
	"standpoint/internal/endpoints"
	"standpoint/internal/node"
)

const (
	minPushedInterval = 20 * time.Millisecond // between two calls to a discovery that pushes, and does not answer

	awaitPollInterval = 10 * time.Millisecond
	awaitPushedList   = 1500 * time.Millisecond // for the first list of a discovery that pushes and gives none
	maxAwait          = 4 * time.Second         // a new process has 6 s from its start to say that it serves
)

// createEndpointCache creates the cache, which keeps the endpoint list in the store, and the overrides, through which
// lists go on to the core.
func (a *assembly) createEndpointCache() {
	_, names, _ := a.requestSettings()
	a.endpointCache = endpoints.NewCache(a.store, a.log)
	a.endpointCache.Names = endpointNames(names)
	update := func(l node.EndpointList) { a.core.UpdateEndpoints(l) } // the core is constructed later
	a.overrides = endpoints.NewOverrides(a.endpointCache, update, a.siblings, a.log)
	a.updateEndpoints = a.overrides.Update
}

func endpointNames(names config.Names) endpoints.Names {
	return endpoints.Names{Zones: names.Zones, Kinds: names.Kinds}
}

// platformEndpointsComponent watches the platform's discovery.
func platformEndpointsComponent(a *assembly) (component, error) {
	cfg := a.platform
	sequence, known, err := a.knownEndpoints()
	if err != nil {
		return component{}, err
	}
	a.createEndpointCache()
	a.endpointsReceived = make(chan struct{})
	var first sync.Once
	update := func(l node.EndpointList) {
		a.updateEndpoints(l)
		first.Do(func() { close(a.endpointsReceived) })
	}
	watcher := endpoints.NewWatcher(cfg.Discovery, endpointNames(cfg.Names), sequence, update, a.log)
	if !cfg.Settings.SubscribeDiscovery { // a change binds at once, so it is to be known well within the grace for drains
		watcher.MaxPushedPause = max(minPushedInterval, time.Duration(cfg.Settings.DrainGrace)/2)
	}
	watcher.Nodes = cfg.Settings.Gateways
	watcher.Restore(known)
	watcher.Watch() // before anything else that the start waits for, since the known list is old
	if a.siblingCount > 0 {
		watcher.RequestFullList() // a serving sibling knows a newer list than the one this process was started with
	}
	a.endpointSource = watcher
	a.discoveryFailing = watcher.Failing
	return component{
		name:  "endpoints",
		start: func(context.Context) { a.updateEndpoints(known) }, // until the watch has the present list
		run:   runTogether(a.endpointCache.Run, watcher.Run),
		reload: func(next deployment) {
			old, now := a.current.platform, next.platform
			if now.Discovery != old.Discovery || !reflect.DeepEqual(now.Names, old.Names) {
				watcher.SetDiscovery(now.Discovery, endpointNames(now.Names))
			}
		},
	}, nil
}

// knownEndpoints decodes the list that the process was started with, and its sequence number.
func (a *assembly) knownEndpoints() (int64, node.EndpointList, error) {
	cfg := a.platform
	if len(cfg.KnownEndpoints) == 0 {
		return 0, node.EndpointList{Kind: standpoint.ListFull}, nil
	}
	sequence, known, faults, err := endpoints.Decode(cfg.KnownEndpoints, endpointNames(cfg.Names))
	if err != nil {
		return 0, node.EndpointList{}, fmt.Errorf("known: %w", err)
	}
	if len(faults) > 0 {
		a.log.Warn("known endpoints skipped", zap.Errors("errors", faults))
	}
	return sequence, known, nil
}

// awaitEndpoints waits, for a bounded time, for the source's first list before clients are accepted: the list that the
// process was started with is old, and backends may have begun to drain since.
func (a *assembly) awaitEndpoints(stop context.Context) {
	if a.endpointsReceived == nil {
		return
	}
	started := time.Now()
	ticker := time.NewTicker(awaitPollInterval)
	defer ticker.Stop()
	for {
		select {
		case <-a.endpointsReceived:
			return
		case <-stop.Done():
			return
		case <-ticker.C:
		}
		if a.awaitedLongEnough(time.Since(started)) {
			return
		}
	}
}

// awaitedLongEnough tells whether to serve by the list that the process was started with. While a sibling serves,
// nobody waits for this process. Else a discovery that refuses, or cannot be reached, is not waited for where lists
// are asked for: no call of this process is queued there, and it has 6 s to learn the list. A pushed list binds from
// its first moment, so it is waited for a little longer.
func (a *assembly) awaitedLongEnough(waited time.Duration) bool {
	if waited >= maxAwait {
		return true
	}
	hasKnownList := len(a.platform.KnownEndpoints) > 0 && a.platform.Settings.SubscribeDiscovery
	if waited < awaitPushedList && !hasKnownList {
		return false
	}
	alone := a.siblings == nil || a.siblings.SiblingCount() == 0
	return alone && a.discoveryFailing()
}
