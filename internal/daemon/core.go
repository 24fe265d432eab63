package daemon

import (
	"context"

	"standpoint"
	"standpoint/internal/datagram"
	"standpoint/internal/node"
)

// coreComponent runs the core, which schedules requests by means of the decision module.
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
	if a.fleet != nil { // a nil *fleet.Fleet would make the interface non-nil
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

// newExchange returns the datagram exchange for the decision module's messages between nodes; nil if the platform does
// not permit such messages.
func (a *assembly) newExchange() *datagram.Exchange {
	if a.platform == nil || !a.platform.Settings.Peers || a.platform.PeerListen == "" {
		return nil
	}
	return datagram.New(a.platform.PeerListen, a.platform.Peers, a.log)
}

// adjustCore gives the core the settings of the next deployment. If next is nil, it keeps the core's deployment and
// applies only the current number of nodes.
func (a *assembly) adjustCore(next *deployment) {
	a.coreMutex.Lock()
	defer a.coreMutex.Unlock()
	if next != nil {
		a.coreDeployment = *next
	}
	a.core.UpdateSettings(a.coreSettings(a.coreDeployment), a.coreDeployment.limits.MaxRequests())
}

// coreSettings returns the settings of a deployment, with the number of nodes from discovery if that is greater.
func (a *assembly) coreSettings(d deployment) standpoint.Settings {
	settings, _, _ := d.requestSettings()
	settings.Gateways = max(settings.Gateways, int(a.nodeCount.Load()))
	return settings
}
