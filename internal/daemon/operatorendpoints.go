package daemon

import (
	"context"
	"crypto/tls"
	"crypto/x509"
	"fmt"
	"maps"
	"net/http"
	"slices"
	"strings"
	"time"

	"go.uber.org/zap"

	"standpoint"
	"standpoint/internal/clock"
	"standpoint/internal/config"
	"standpoint/internal/control"
	"standpoint/internal/dnssd/browser"
	"standpoint/internal/dnssd/record"
	"standpoint/internal/endpoints"
	"standpoint/internal/node"
)

// operatorEndpointsComponent provides the endpoint list, from the operator's file or from the DNS-SD services that the
// file browses.
func operatorEndpointsComponent(a *assembly) (component, error) {
	a.createEndpointCache()
	if a.operator.Endpoints.Source == config.SourceDNSSD {
		return browsedEndpointsComponent(a)
	}
	return listedEndpointsComponent(a)
}

// listedEndpointsComponent provides the endpoint list from the operator's file.
func listedEndpointsComponent(a *assembly) (component, error) {
	a.endpointSource = endpoints.Fixed{List: listedEndpoints(a.operator), Notify: a.updateEndpoints}
	a.addEntriesRoute(func() []endpoints.Origin {
		origins := []endpoints.Origin{}
		for _, e := range a.endpointCache.Current() {
			origins = append(origins, endpoints.Describe(e))
		}
		return origins
	})
	replaced := replacedBackends{}
	return component{
		name: "endpoints",
		run:  runTogether(a.endpointCache.Run, a.endpointSource.Run),
		reload: func(next deployment) {
			list := listedEndpoints(next.operator)
			replaced.apply(&list, a.endpointCache.Current())
			a.updateEndpoints(list)
		},
	}, nil
}

// addEntriesRoute adds the control route that lists the endpoints with their origins.
func (a *assembly) addEntriesRoute(origins func() []endpoints.Origin) {
	a.routes = append(a.routes, control.Route{
		Pattern: "GET /v1/entries",
		Handle:  func(*http.Request, []byte) (any, error) { return origins(), nil },
	})
}

// listedEndpoints returns the endpoint list of an operator's file.
func listedEndpoints(cfg *config.OperatorFile) node.EndpointList {
	list := node.EndpointList{Kind: standpoint.ListFull}
	for _, b := range cfg.Backends {
		list.Endpoints = append(list.Endpoints, node.Endpoint{
			Address: b.Address,
			Batch:   b.Mode == config.BackendBatch,
			Labels:  b.Labels,
			Engine: standpoint.Engine{
				Name:      b.Name,
				Size:      b.Capacity,
				Zone:      max(0, slices.Index(cfg.Names.Zones, b.Zone)),
				Kind:      max(0, slices.Index(cfg.Names.Kinds, b.Kind)),
				State:     b.State(),
				StartedAt: b.StartTime(),
			},
		})
	}
	return list
}

// replacedBackends records, by name, when the address of a listed backend changed, as an instant of internal/clock. A
// new address means another backend, which starts cold: nothing that was learned about the old one applies to it. The
// recorded time serves as its start unless the file states one.
type replacedBackends map[string]int64

// apply compares the list with the previous endpoints and sets the start times of replaced backends. It forgets names
// that are not in the list.
func (r replacedBackends) apply(list *node.EndpointList, previous []node.Endpoint) {
	addresses := map[string]string{}
	for _, e := range previous {
		addresses[e.Name] = e.Address
	}
	for i := range list.Endpoints {
		e := &list.Endpoints[i]
		if address, known := addresses[e.Name]; known && address != e.Address {
			r[e.Name] = clock.Now()
		}
		if e.StartedAt == 0 {
			e.StartedAt = r[e.Name]
		}
	}
	maps.DeleteFunc(r, func(name string, _ int64) bool {
		return !slices.ContainsFunc(list.Endpoints, func(e node.Endpoint) bool { return e.Name == name })
	})
}

// browsedEndpointsComponent provides the endpoint list from DNS-SD.
func browsedEndpointsComponent(a *assembly) (component, error) {
	all, err := a.newServiceSources(a.operator)
	if err != nil {
		return component{}, err
	}
	sources := endpoints.NewServiceSources(a.updateEndpoints, all...)
	a.endpointSource = sources
	a.endpointCache.ExpiryTimes = sources.ExpiryTimes
	a.addEntriesRoute(func() []endpoints.Origin { return append([]endpoints.Origin{}, sources.Origins()...) })
	var next []*endpoints.ServiceSource // created by check for the reload that follows it
	return component{
		name: "endpoints",
		run:  runTogether(a.endpointCache.Run, sources.Run),
		start: func(context.Context) {
			if known, ok := a.endpointCache.Load(time.Now()); ok {
				sources.Restore(known)
				a.updateEndpoints(known)
			}
		},
		check: func(to deployment) (err error) {
			next, err = a.newServiceSources(to.operator)
			return err
		},
		reload: func(deployment) { sources.Replace(next) },
	}, nil
}

// newServiceSources returns a source for each DNS-SD service that the operator's file browses.
func (a *assembly) newServiceSources(cfg *config.OperatorFile) ([]*endpoints.ServiceSource, error) {
	var all []*endpoints.ServiceSource
	for i := range cfg.Endpoints.Browses {
		roots, err := cfg.RootCertificates(a.baseDirectory, i)
		if err != nil {
			return nil, err
		}
		all = append(all, a.newServiceSource(cfg, i, roots))
	}
	return all, nil
}

// newServiceSource returns the source for the i-th browsed service.
func (a *assembly) newServiceSource(cfg *config.OperatorFile, i int, roots *x509.CertPool) *endpoints.ServiceSource {
	section := &cfg.Endpoints
	browse := section.Browses[i]
	log := a.log.With(zap.String("domain", browse.Domain))
	options := browser.Options{
		Service:         record.Service{Type: browse.Service, Subtype: browse.Subtype, Domain: browse.Domain},
		Server:          browse.Server,
		Mechanism:       browser.Mechanism(browse.Updates),
		PollInterval:    time.Duration(section.PollInterval),
		RefreshInterval: time.Duration(section.RefreshInterval),
		PushAddress:     browse.PushAddress,
		TLS:             pushTLS(roots, browse.PushServerName),
		Metrics:         a.discoveryMetrics,
		Log:             log,
	}
	if options.Mechanism == browser.MDNS {
		options.DialMDNS = func() (browser.Transport, error) { return browser.DialUnicast(browse.Server) }
	}
	source := &endpoints.ServiceSource{
		BrowserOptions: options,
		Key:            browse.Key(),
		Config:         serviceSourceConfig(section, browse),
		Site:           browse.Site,
		Guard:          record.Guard{MaxLossFraction: section.GuardFraction, HoldTime: int64(section.GuardHold)},
		Damper:         record.Damper{HalfLife: int64(*section.FlapHalfLife), MaxFlaps: section.MaxFlaps},
		Names:          endpointNames(cfg.Names),
		Log:            log,
	}
	if len(section.Browses) > 1 { // instances with the same name in two domains are two backends
		source.Suffix = "@" + strings.TrimSuffix(browse.Domain, ".")
	}
	return source
}

// serviceSourceConfig returns all settings of a source as text. Two sources with the same text are configured alike, so
// that a reload need not replace the old one.
func serviceSourceConfig(section *config.Endpoints, browse config.Browse) string {
	several := len(section.Browses) > 1
	return fmt.Sprint(browse, section.PollInterval, section.RefreshInterval, section.GuardHold, section.GuardFraction,
		*section.FlapHalfLife, section.MaxFlaps, several)
}

// pushTLS returns the TLS configuration for push sessions, or nil if they are not encrypted.
func pushTLS(roots *x509.CertPool, serverName string) *tls.Config {
	if roots == nil {
		return nil
	}
	return &tls.Config{RootCAs: roots, ServerName: serverName, MinVersion: tls.VersionTLS12}
}

var _ node.EndpointWatcher = (*endpoints.ServiceSources)(nil)
