package daemon

import (
	"context"
	"fmt"
	"net/http"
	"path/filepath"
	"reflect"
	"strings"
	"time"

	"go.uber.org/zap"

	"standpoint"
	"standpoint/internal/backend"
	"standpoint/internal/batch"
	"standpoint/internal/config"
	"standpoint/internal/datagram"
	"standpoint/internal/edge"
	"standpoint/internal/endpoints"
	"standpoint/internal/node"
	"standpoint/internal/store"
)

const (
	uploadTimeout     = 2 * time.Minute       // of a batch file
	minPushedInterval = 20 * time.Millisecond // between two calls to a discovery that pushes, and does not answer
)

func memoryStoreComponent(a *assembly) (component, error) {
	a.store = store.NewMemory()
	return component{name: "store", stop: a.store.Close}, nil
}

func storeComponent(a *assembly) (component, error) {
	s := a.operator.Store
	if s.Kind == config.StoreMemory {
		return memoryStoreComponent(a)
	}
	o := store.RaftOptions{ID: s.ID, Dir: s.Dir, HeartbeatTimeout: time.Duration(s.HeartbeatTimeout)}
	if o.Dir != "" {
		o.Dir = a.operator.ResolvePath(a.baseDirectory, o.Dir)
	}
	for _, m := range s.Members {
		o.Members = append(o.Members, store.Member{ID: m.ID, Address: m.Address, DialAddress: m.DialAddress})
		if m.ID == s.ID {
			o.ListenAddress = m.Address
		}
	}
	keys, err := store.OpenRaft(o)
	if err != nil {
		return component{}, err
	}
	a.store = keys
	return component{name: "store", stop: keys.Close}, nil
}

// requestSettings is what both kinds of deployment say about requests.
func (d deployment) requestSettings() (standpoint.Settings, config.Names, int64) {
	if d.platform != nil {
		return d.platform.Settings, d.platform.Names, d.platform.Seed
	}
	return d.operator.Settings, d.operator.Names, d.operator.Seed
}

func backendsComponent(a *assembly) (component, error) {
	_, names, _ := a.requestSettings()
	o := backend.Options{DialTimeout: names.DialTimeout, ConnIdle: names.IdleTimeout, MaxIdle: a.limits.MaxIdleConnections(), MaxLinks: a.limits.MaxRequests(), Wrote: a.counters.CountAttempt, Log: a.log}
	if a.operator != nil {
		b := a.operator.BatchBackend
		o.Batch = backend.BatchOptions{Gather: time.Duration(b.GatherDelay), Lines: b.MaxLines, Poll: time.Duration(b.PollInterval),
			Lost: time.Duration(b.LostTimeout)}
	}
	a.backends = backend.New(o)
	return component{name: "backends", reload: func(next deployment) {
		_, names, _ := next.requestSettings()
		a.backends.Adjust(names.DialTimeout, names.IdleTimeout, next.limits.MaxIdleConnections(), next.limits.MaxRequests())
	}}, nil
}

func platformEndpointsComponent(a *assembly) (component, error) {
	cfg := a.platform
	names := endpoints.Names{Zones: cfg.Names.Zones, Kinds: cfg.Names.Kinds}
	var seq int64
	known := node.List{Kind: standpoint.ListFull}
	if len(cfg.KnownEndpoints) > 0 {
		var faults []error
		var err error
		if seq, known, faults, err = endpoints.Decode(cfg.KnownEndpoints, names); err != nil {
			return component{}, fmt.Errorf("known: %w", err)
		}
		if len(faults) > 0 {
			a.log.Warn("known: endpoints that cannot be used", zap.Errors("faults", faults))
		}
	}
	a.createEndpointCache()
	a.endpointsReceived = make(chan struct{})
	watcher := endpoints.NewWatcher(cfg.Discovery, names, seq, func(l node.List) {
		a.updateEndpoints(l)
		a.firstEndpoints.Do(func() { close(a.endpointsReceived) })
	}, a.log)
	if !cfg.Settings.AskDiscovery { // what comes back with discovery counts at once, and is to be heard well within the grace
		watcher.Pushed = max(minPushedInterval, time.Duration(cfg.Settings.DrainGrace)/2)
	}
	watcher.Nodes = cfg.Settings.Balancers
	watcher.Knows(known)
	watcher.Watch()         // at once: whatever else this process does first, its list is old
	if a.siblingCount > 0 { // who serves meanwhile knows a newer one than what this process was started with
		watcher.Anew()
	}
	a.endpointSource, a.discoveryFailing = watcher, watcher.Failing
	start := func(context.Context) { a.updateEndpoints(known) } // what this node last held; it may be old, and the first watch puts it right
	return component{name: "endpoints", start: start, run: runTogether(a.endpointCache.Run, watcher.Run), reload: func(next deployment) {
		if was, now := a.current.platform, next.platform; now.Discovery != was.Discovery || !reflect.DeepEqual(now.Names, was.Names) {
			watcher.Move(now.Discovery, endpoints.Names{Zones: now.Names.Zones, Kinds: now.Names.Kinds})
		}
	}}, nil
}

// exchange carries the module's messages between the nodes, where the platform permits them; else it is nil.
func (a *assembly) exchange() *datagram.Exchange {
	if a.platform == nil || !a.platform.Settings.Peers || a.platform.PeerListen == "" {
		return nil
	}
	return datagram.New(a.platform.PeerListen, a.platform.Peers, a.log)
}

func coreComponent(a *assembly) (component, error) {
	settings, _, seed := a.requestSettings()
	o := node.Options{Settings: settings, Seed: seed, MaxRequests: a.limits.MaxRequests(), Servers: a.backends,
		Entries: a.endpointSource, Pools: a.pools, Metrics: a.counters, Log: a.log}
	if a.fleet != nil {
		o.Fleet = a.fleet
	}
	exchange := a.exchange()
	if exchange == nil {
		a.core = node.New(o)
		a.coreDeployment = a.deployment
		return component{name: "core", run: a.core.Run, reload: func(next deployment) { a.adjustCore(&next) }}, nil
	}
	o.Peers = exchange
	a.core = node.New(o)
	a.coreDeployment = a.deployment
	carry := func(ctx context.Context) { exchange.Run(ctx, a.core.Heard) }
	return component{name: "core", run: runTogether(a.core.Run, carry), reload: func(next deployment) {
		exchange.SetPeers(next.platform.Peers)
		a.adjustCore(&next)
	}}, nil
}

func edgeComponent(a *assembly) (component, error) {
	_, names, _ := a.requestSettings()
	a.front = &edge.Front{Core: a.core, Names: names, Life: a.lifecycle, Bodies: node.NewShares(a.limits.MaxBodyBytes(), len(names.Tenants)), Metrics: a.counters,
		Sessions: a.sessions, Log: a.log}
	return component{name: "edge", reload: func(next deployment) {
		_, names, _ := next.requestSettings()
		a.front.Rename(names)
		a.front.Bodies.Set(next.limits.MaxBodyBytes(), len(names.Tenants))
	}}, nil
}

func batchComponent(a *assembly) (component, error) {
	cfg := a.operator
	if !cfg.Batch.Enabled {
		return component{}, nil
	}
	members := map[string]string{}
	for _, m := range cfg.Store.Members {
		members[m.ID] = m.FrontAddress
	}
	files := batch.New(batch.Options{Core: a.core, Store: a.store, Log: a.log, Classes: cfg.Names.Classes,
		Tenants: cfg.Names.Tenants, Fields: batch.RequestFields(cfg.Batch.Fields), Defaults: batch.RequestFields(cfg.Batch.Defaults),
		MaxConcurrentLines: cfg.Batch.MaxConcurrentLines, LineTimeout: time.Duration(cfg.Batch.LineTimeout), MaxAttempts: cfg.Batch.MaxAttempts,
		MaxFileBytes: cfg.Batch.MaxFileMB << 20, MaxTotalFileBytes: a.limits.MaxFileBytes(), MemberAddresses: members})
	handler := files.Handler()
	a.handlers = append(a.handlers, prefixHandler{[]string{"/v1/files", "/v1/batches"},
		http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			// A file may take longer than a single request may.
			_ = http.NewResponseController(w).SetReadDeadline(time.Now().Add(uploadTimeout))
			handler.ServeHTTP(w, r)
		})})
	return component{name: "batch", run: files.Run}, nil
}

func memberSettingsComponent(a *assembly) (component, error) {
	if !a.operator.Batch.Enabled {
		return component{}, nil
	}
	return component{name: "agreement", run: maintainMemberSettings(a.store, *a.operator, a.log)}, nil
}

// handler is all fronts in one.
func (a *assembly) handler() http.Handler {
	single := a.front.Handler()
	if len(a.handlers) == 0 {
		return single
	}
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		for _, h := range a.handlers {
			for _, prefix := range h.prefixes {
				if strings.HasPrefix(r.URL.Path, prefix) {
					h.handler.ServeHTTP(w, r)
					return
				}
			}
		}
		single.ServeHTTP(w, r)
	})
}

// listedEndpoints are the endpoints that an operator's file lists by hand.
func listedEndpoints(cfg *config.OperatorFile) node.List {
	l := node.List{Kind: standpoint.ListFull}
	index := func(names []string, name string) int {
		for i, n := range names {
			if n == name {
				return i
			}
		}
		return 0
	}
	for _, s := range cfg.Backends {
		l.Entries = append(l.Entries, node.Endpoint{Address: s.Address, Batch: s.Mode == config.BackendBatch, Labels: s.Labels,
			Engine: standpoint.Engine{Name: s.Name, Size: s.Capacity, Zone: index(cfg.Names.Zones, s.Zone),
				Kind: index(cfg.Names.Kinds, s.Kind), State: s.State(), ReadyAt: s.ReadyAt()}})
	}
	return l
}

func directoryOf(path string) string { return filepath.Dir(path) }

func cutUnixPrefix(address string) (path string, ok bool) { return strings.CutPrefix(address, "unix:") }
