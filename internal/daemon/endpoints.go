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
	// minPushedPause is the minimum of endpoints.Watcher.MaxPushedPause, which bounds the pause after a failed poll of
	// a discovery server that pushes lists.
	minPushedPause = 20 * time.Millisecond

	// endpointsPollInterval is the interval at which the start checks whether to wait any longer for the first list.
	endpointsPollInterval = 10 * time.Millisecond
	// pushedListWait is the minimum wait for the first list if the discovery server pushes lists, or if the process was
	// started without one.
	pushedListWait = 1500 * time.Millisecond
	// maxEndpointsWait bounds the wait for the first list: a new process has to report that it serves within 6 s of its
	// start.
	maxEndpointsWait = 4 * time.Second
)

// createEndpointCache creates the cache, which persists the endpoint list in the store, and the overrides, which pass
// lists on to the core.
func (a *assembly) createEndpointCache() {
	_, names, _ := a.requestSettings()
	a.endpointCache = endpoints.NewCache(a.store, a.log)
	a.endpointCache.Names = endpointNames(names)
	update := func(l node.EndpointList) { a.core.UpdateEndpoints(l) } // a.core is set later
	a.overrides = endpoints.NewOverrides(a.endpointCache, update, a.siblings, a.log)
	a.updateEndpoints = a.overrides.Update
}

func endpointNames(names config.Names) endpoints.Names {
	return endpoints.Names{Zones: names.Zones, Kinds: names.Kinds}
}

// platformEndpointsComponent receives the endpoint list from the platform's discovery server.
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
	// A pushed change applies at once, so this node has to learn of it well within the grace time for drains.
	if !cfg.Settings.SubscribeDiscovery {
		watcher.MaxPushedPause = max(minPushedPause, time.Duration(cfg.Settings.DrainGrace)/2)
	}
	watcher.Memory = a.memory
	watcher.Nodes = cfg.Settings.Gateways
	watcher.Restore(known)
	watcher.Watch() // before the start waits for anything else, since the known list is old
	if a.siblingCount > 0 {
		watcher.RequestFullList() // a serving sibling has a newer list than the one this process was started with
	}
	a.endpointSource = watcher
	a.discoveryFailing = watcher.Failing
	return component{
		name:  "endpoints",
		start: func(context.Context) { a.updateEndpoints(known) }, // in force until the watch delivers the current list
		run:   runTogether(a.endpointCache.Run, watcher.Run),
		reload: func(next deployment) {
			old, now := a.current.platform, next.platform
			if now.Discovery != old.Discovery || !reflect.DeepEqual(now.Names, old.Names) {
				watcher.SetDiscovery(now.Discovery, endpointNames(now.Names))
			}
		},
	}, nil
}

// knownEndpoints decodes the endpoint list that the process was started with, and its sequence number.
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
// process was started with is old, and some of its backends may have started to drain in the meantime.
func (a *assembly) awaitEndpoints(stop context.Context) {
	if a.endpointsReceived == nil {
		return
	}
	started := time.Now()
	ticker := time.NewTicker(endpointsPollInterval)
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

// awaitedLongEnough reports whether to serve although the source has not delivered a list. The wait ends after
// maxEndpointsWait, or earlier if the discovery server rejects calls or cannot be reached, and no sibling serves; while
// one serves, no client waits for this process. It ends early at once if lists are requested and the process was
// started with one: no call of this process is queued at the server, and the process has 6 s to learn the list.
// Otherwise it lasts for at least pushedListWait, since a pushed list applies from the moment that it is sent.
func (a *assembly) awaitedLongEnough(waited time.Duration) bool {
	if waited >= maxEndpointsWait {
		return true
	}
	mayUseKnownList := len(a.platform.KnownEndpoints) > 0 && a.platform.Settings.SubscribeDiscovery
	if waited < pushedListWait && !mayUseKnownList {
		return false
	}
	alone := a.siblings == nil || a.siblings.SiblingCount() == 0
	return alone && a.discoveryFailing()
}
