package daemon

import (
	"context"
	"crypto/tls"
	"crypto/x509"
	"errors"
	"fmt"
	"maps"
	"net"
	"net/http"
	"slices"
	"strings"
	"sync/atomic"
	"time"

	"github.com/prometheus/client_golang/prometheus/promhttp"
	"go.uber.org/zap"

	"standpoint/internal/clock"
	"standpoint/internal/config"
	"standpoint/internal/control"
	"standpoint/internal/endpoints"
	"standpoint/internal/find/discovery"
	"standpoint/internal/find/dnssd"
	"standpoint/internal/node"
	"standpoint/internal/peers"
	"standpoint/internal/transient"
)

func operatorEndpointsComponent(a *assembly) (component, error) {
	a.createEndpointCache()
	var browsers *endpoints.Browsers
	if a.operator.Endpoints.Source == config.SourceDNSSD {
		all, err := a.browsers(a.operator)
		if err != nil {
			return component{}, err
		}
		browsers = endpoints.NewBrowsers(a.updateEndpoints, all...)
		a.endpointSource, a.endpointCache.Ages = browsers, browsers.Until
	} else {
		a.endpointSource = endpoints.Fixed{List: listedEndpoints(a.operator), News: a.updateEndpoints}
	}
	a.routes = append(a.routes, control.Route{Pattern: "GET /v1/entries", Handle: func(*http.Request, []byte) (any, error) {
		if browsers != nil {
			return append([]endpoints.Origin{}, browsers.Origins()...), nil
		}
		all := []endpoints.Origin{}
		for _, e := range a.endpointCache.Current() {
			all = append(all, endpoints.Describe(e))
		}
		return all, nil
	}})
	p := component{name: "endpoints", run: runTogether(a.endpointCache.Run, a.endpointSource.Run)}
	if browsers == nil {
		replaced := map[string]int64{} // when a name that tells no start was given another address; as many as were listed
		p.reload = func(next deployment) {
			l := listedEndpoints(next.operator)
			was := map[string]node.Endpoint{}
			for _, e := range a.endpointCache.Current() {
				was[e.Name] = e
			}
			for i := range l.Entries {
				e := &l.Entries[i]
				if old, known := was[e.Name]; known && old.Address != e.Address {
					replaced[e.Name] = clock.Now()
				}
				if e.ReadyAt == 0 { // another machine under the same name: nothing of the old one holds for it, and it is cold
					e.ReadyAt = replaced[e.Name]
				}
			}
			maps.DeleteFunc(replaced, func(name string, _ int64) bool {
				return !slices.ContainsFunc(l.Entries, func(e node.Endpoint) bool { return e.Name == name })
			})
			a.updateEndpoints(l)
		}
		return p, nil
	}
	p.start = func(context.Context) {
		if known, ok := a.endpointCache.Known(time.Now()); ok {
			browsers.Known(known)
			a.updateEndpoints(known)
		}
	}
	var next []*endpoints.Browser
	p.check = func(to deployment) (err error) {
		next, err = a.browsers(to.operator)
		return err
	}
	p.reload = func(deployment) { browsers.Replace(next) }
	return p, nil
}

// browsers are the actors of all services that a file has browsed.
func (a *assembly) browsers(cfg *config.OperatorFile) ([]*endpoints.Browser, error) {
	var all []*endpoints.Browser
	e := &cfg.Endpoints
	for i, b := range e.Browses {
		roots, err := cfg.RootCertificates(a.baseDirectory, i)
		if err != nil {
			return nil, err
		}
		log := a.log.With(zap.String("domain", b.Domain))
		find := discovery.Options{Service: dnssd.Service{Type: b.Service, Subtype: b.Subtype, Domain: b.Domain}, Server: b.Server,
			Way: discovery.Way(b.Updates), Every: time.Duration(e.PollInterval), Refresh: time.Duration(e.RefreshInterval), PushAddress: b.PushAddress,
			TLS: pushTLS(roots, b.PushServerName), Metrics: a.discoveryMetrics, Log: log}
		if find.Way == discovery.MDNS {
			server := b.Server
			find.Dial = func() (discovery.Transport, error) { return discovery.DialUnicast(server) }
		}
		one := &endpoints.Browser{Find: find, Key: b.Key(), Config: browseConfig(e, b), Site: b.Site,
			Guard:  dnssd.Guard{Part: e.GuardFraction, Hold: int64(e.GuardHold)},
			Damper: dnssd.Damper{Half: int64(*e.FlapHalfLife), Most: e.MaxFlaps},
			Names:  endpoints.Names{Zones: cfg.Names.Zones, Kinds: cfg.Names.Kinds}, Log: log}
		if len(e.Browses) > 1 { // the same name in two halls is two boxes
			one.Suffix = "@" + strings.TrimSuffix(b.Domain, ".")
		}
		all = append(all, one)
	}
	return all, nil
}

// browseConfig is all that a browser was told, to tell whether another was told the same.
func browseConfig(e *config.Endpoints, b config.Browse) string {
	return fmt.Sprint(b, e.PollInterval, e.RefreshInterval, e.GuardHold, e.GuardFraction, *e.FlapHalfLife, e.MaxFlaps, len(e.Browses) > 1)
}

func pushTLS(roots *x509.CertPool, name string) *tls.Config {
	if roots == nil {
		return nil
	}
	return &tls.Config{RootCAs: roots, ServerName: name, MinVersion: tls.VersionTLS12}
}

// nodesComponent counts the nodes, and has the module reckon by their number.
func nodesComponent(a *assembly) (component, error) {
	p := a.operator.Nodes
	if p.Server == "" {
		return component{}, nil
	}
	e := a.operator.Endpoints
	log := a.log.With(zap.String("domain", p.Domain))
	actor := peers.New(peers.Options{Name: a.name, Address: a.listen, Publish: p.Publish, Lease: time.Duration(p.Lease),
		Hold: time.Duration(p.ShrinkDelay), Least: a.operator.Module.Nodes, Log: log,
		Find: discovery.Options{Service: dnssd.Service{Type: p.Service, Domain: p.Domain}, Server: p.Server, Way: discovery.Poll,
			Every: time.Duration(e.PollInterval), Refresh: time.Duration(e.RefreshInterval), Metrics: a.discoveryMetrics, Log: log},
		Changed: func(n int) {
			a.nodeCount.Store(int64(n))
			a.adjustCore(nil)
		}})
	a.nodeCount.Store(int64(a.operator.Module.Nodes))
	a.routes = append(a.routes, control.Route{Pattern: "GET /v1/nodes", Handle: func(*http.Request, []byte) (any, error) {
		list, n := actor.Nodes()
		return nodesAnswer{Count: n, Nodes: append([]peers.Node{}, list...)}, nil
	}})
	ended := make(chan struct{})
	var began atomic.Bool
	return component{name: "nodes", start: func(context.Context) { began.Store(true) }, run: func(ctx context.Context) {
		defer close(ended)
		actor.Run(ctx)
	}, stop: func() error {
		if !began.Load() {
			return nil
		}
		select { // its record is being taken back
		case <-ended:
			return nil
		case <-time.After(deregisterTimeout):
			return errors.New("the node's record was not taken back in time; it ends with its lease")
		}
	}}, nil
}

const deregisterTimeout = 3 * time.Second

// nodesAnswer is what a daemon knows of the installation's nodes.
type nodesAnswer struct {
	Count int          `json:"reckoned"` // by how many the module divides
	Nodes []peers.Node `json:"nodes"`
}

// metricsComponent serves GET /metrics.
func metricsComponent(a *assembly) (component, error) {
	if a.registry == nil {
		return component{}, nil
	}
	l, err := transient.Listen("tcp", a.operator.Metrics.Listen, a.log)
	if err != nil {
		return component{}, fmt.Errorf("metrics.listen: %w", err)
	}
	mux := http.NewServeMux()
	mux.Handle("GET /metrics", promhttp.HandlerFor(a.registry, promhttp.HandlerOpts{MaxRequestsInFlight: 4, Timeout: 5 * time.Second}))
	server := &http.Server{Handler: mux, ReadTimeout: 5 * time.Second, WriteTimeout: 10 * time.Second, MaxHeaderBytes: 16 << 10}
	return component{name: "metrics", run: func(ctx context.Context) {
		stop := context.AfterFunc(ctx, func() { server.Close() })
		defer stop()
		if err := server.Serve(l); err != nil && !errors.Is(err, http.ErrServerClosed) {
			a.log.Error("the metrics' listener ended", zap.Error(err))
		}
	}, stop: func() error { return errors.Join(server.Close(), closeListener(l)) }}, nil
}

// closeListener closes a listener that may be closed already.
func closeListener(l net.Listener) error {
	if err := l.Close(); !errors.Is(err, net.ErrClosed) {
		return err
	}
	return nil
}

func registryComponent(a *assembly) (component, error) {
	if a.operator.Metrics.Listen == "" {
		return component{}, nil
	}
	var err error
	if a.registry, err = newRegistry(a); err != nil {
		return component{}, err
	}
	a.discoveryMetrics, err = discovery.NewMetrics(a.registry)
	return component{}, err
}

var _ node.Entries = (*endpoints.Browsers)(nil)
