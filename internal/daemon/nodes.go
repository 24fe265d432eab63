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

// deregisterTimeout is how long the exit waits until the node's record is withdrawn.
const deregisterTimeout = 3 * time.Second

var errNotDeregistered = errors.New("the node's record was not taken back in time; it ends with its lease")

// nodesAnswer is the answer of GET /v1/nodes.
type nodesAnswer struct {
	Count int          `json:"reckoned"` // by which the decision module divides
	Nodes []peers.Node `json:"nodes"`
}

// nodesComponent finds and counts the nodes of the installation, and has the core reckon with their number.
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
			return nodesAnswer{Count: count, Nodes: append([]peers.Node{}, nodes...)}, nil
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
		stop: func() error { // run withdraws the node's record at its end
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
