package daemon

import (
	"context"

	"standpoint"
	"standpoint/internal/datagram"
	"standpoint/internal/node"
)

// coreComponent runs the core, which decides about requests.
func coreComponent(a *assembly) (component, error) {
	settings, _, seed := a.requestSettings()
	options := node.Options{
		Settings:    settings,
		Seed:        seed,
		MaxRequests: a.limits.MaxRequests(),
		Backends:    a.backends,
		Watcher:     a.endpointSource,
		Pools:       a.pools,
		Metrics:     a.counters,
		Log:         a.log,
	}
	if a.fleet != nil { // else a nil *fleet.Fleet would make a non-nil interface
		options.Fleet = a.fleet
	}
	exchange := a.newExchange()
	if exchange != nil {
		options.Peers = exchange
	}
	a.core = node.New(options)
	a.coreDeployment = a.deployment
	if exchange == nil {
		return component{name: "core", run: a.core.Run, reload: func(next deployment) { a.adjustCore(&next) }}, nil
	}
	runExchange := func(ctx context.Context) { exchange.Run(ctx, a.core.ReceivePeerMessage) }
	reload := func(next deployment) {
		exchange.SetPeers(next.platform.Peers)
		a.adjustCore(&next)
	}
	return component{name: "core", run: runTogether(a.core.Run, runExchange), reload: reload}, nil
}

// newExchange returns what carries the decision module's messages between nodes; nil where the platform permits none.
func (a *assembly) newExchange() *datagram.Exchange {
	if a.platform == nil || !a.platform.Settings.Peers || a.platform.PeerListen == "" {
		return nil
	}
	return datagram.New(a.platform.PeerListen, a.platform.Peers, a.log)
}

// adjustCore gives the core new settings: those of the next deployment, or, where that is nil, those of the deployment
// that the core goes by with the number of nodes as it is now.
func (a *assembly) adjustCore(next *deployment) {
	a.coreMutex.Lock()
	defer a.coreMutex.Unlock()
	if next != nil {
		a.coreDeployment = *next
	}
	a.core.UpdateSettings(a.coreSettings(a.coreDeployment), a.coreDeployment.limits.MaxRequests())
}

// coreSettings is a deployment's settings with the number of nodes that was found.
func (a *assembly) coreSettings(d deployment) standpoint.Settings {
	settings, _, _ := d.requestSettings()
	settings.Gateways = max(settings.Gateways, int(a.nodeCount.Load()))
	return settings
}
