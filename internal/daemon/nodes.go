package daemon

import (
	"context"
	"errors"
	"net/http"
	"sync/atomic"
	"time"

	"go.uber.org/zap"

	"standpoint/internal/control"
	"standpoint/internal/dnssd/browser"
	"standpoint/internal/dnssd/record"
	"standpoint/internal/peers"
)

// deregisterTimeout bounds how long the exit waits for the withdrawal of the node's DNS record.
const deregisterTimeout = 3 * time.Second

var errNotDeregistered = errors.New("node record not withdrawn in time; it expires with its lease")

// nodesResponse is the response to GET /v1/nodes.
type nodesResponse struct {
	Count int          `json:"reckoned"` // number of nodes that the decision module assumes
	Nodes []peers.Node `json:"nodes"`
}

// nodesComponent discovers the nodes of the installation, and passes their number to the core.
func nodesComponent(a *assembly) (component, error) {
	if a.operator.Nodes.Server == "" {
		return component{}, nil
	}
	registry := peers.New(a.peersOptions())
	a.nodeCount.Store(int64(a.operator.Module.Nodes))
	a.routes = append(a.routes, control.Route{
		Pattern: "GET /v1/nodes",
		Handle: func(*http.Request, []byte) (any, error) {
			nodes, count := registry.Nodes()
			return nodesResponse{Count: count, Nodes: append([]peers.Node{}, nodes...)}, nil
		},
	})
	var started atomic.Bool
	finished := make(chan struct{})
	return component{
		name:  "nodes",
		start: func(context.Context) { started.Store(true) },
		run: func(ctx context.Context) {
			defer close(finished)
			registry.Run(ctx)
		},
		stop: func() error { // run withdraws the node's record before it returns
			if !started.Load() {
				return nil
			}
			select {
			case <-finished:
				return nil
			case <-time.After(deregisterTimeout):
				return errNotDeregistered
			}
		},
	}, nil
}

func (a *assembly) peersOptions() peers.Options {
	cfg := &a.operator.Nodes
	times := &a.operator.Endpoints
	log := a.log.With(zap.String("domain", cfg.Domain))
	return peers.Options{
		Name:     a.name,
		Address:  a.listen,
		Publish:  cfg.Publish,
		Lease:    time.Duration(cfg.Lease),
		HoldTime: time.Duration(cfg.ShrinkDelay),
		MinNodes: a.operator.Module.Nodes,
		BrowserOptions: browser.Options{
			Service:         record.Service{Type: cfg.Service, Domain: cfg.Domain},
			Server:          cfg.Server,
			Mechanism:       browser.Poll,
			PollInterval:    time.Duration(times.PollInterval),
			RefreshInterval: time.Duration(times.RefreshInterval),
			Metrics:         a.discoveryMetrics,
			Log:             log,
		},
		OnCountChanged: func(count int) {
			a.nodeCount.Store(int64(count))
			a.adjustCore(nil)
		},
		Log: log,
	}
}
