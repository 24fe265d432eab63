package daemon

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/collectors"
	"github.com/prometheus/client_golang/prometheus/promhttp"
	"go.uber.org/zap"

	"standpoint/internal/dnssd/browser"
	"standpoint/internal/metrics"
	"standpoint/internal/transient"
)

// Limits of the HTTP server for metrics.
const (
	maxMetricsRequests    = 4               // concurrent requests
	metricsTimeout        = 5 * time.Second // for collecting the metrics of one request
	metricsReadTimeout    = 5 * time.Second
	metricsWriteTimeout   = 10 * time.Second
	maxMetricsHeaderBytes = 16 << 10
)

var (
	requestsDesc = prometheus.NewDesc("standpoint_requests_total",
		"Requests that have ended, by class and outcome.", []string{"class", "end"}, nil)
	attemptsDesc = prometheus.NewDesc("standpoint_attempts_total",
		"Attempts that were written in full to backends.", nil, nil)
	listedDesc = prometheus.NewDesc("standpoint_real_servers_listed",
		"Backends in the decision module's endpoint list.", nil, nil)
	avoidedDesc = prometheus.NewDesc("standpoint_real_servers_avoided",
		"Backends in the decision module's endpoint list that it avoids.", nil, nil)
)

// registryComponent creates the registry of metrics, if the operator's file has an address for them. It is constructed
// before the components that register metrics; metricsComponent serves the registry.
func registryComponent(a *assembly) (component, error) {
	if a.operator.Metrics.Listen == "" {
		return component{}, nil
	}
	var err error
	if a.registry, err = newRegistry(a); err != nil {
		return component{}, err
	}
	a.discoveryMetrics, err = browser.NewMetrics(a.registry)
	return component{}, err
}

// newRegistry returns a registry with the metrics of the Go runtime, the process and the daemon.
func newRegistry(a *assembly) (*prometheus.Registry, error) {
	registry := prometheus.NewRegistry()
	gauge := func(name, help string, value func() float64) prometheus.Collector {
		return prometheus.NewGaugeFunc(prometheus.GaugeOpts{Name: "standpoint_" + name, Help: help}, value)
	}
	openRequests := func() float64 { return float64(a.core.OpenRequests()) }
	usedEndpoints := func() float64 { return float64(len(a.endpointCache.Current())) }
	nodes := func() float64 { return float64(max(1, a.nodeCount.Load())) }
	return registry, errors.Join(
		registry.Register(collectors.NewGoCollector()),
		registry.Register(collectors.NewProcessCollector(collectors.ProcessCollectorOpts{})),
		registry.Register(gauge("open_flows", "Requests that were accepted and have not ended.", openRequests)),
		registry.Register(gauge("service_entries", "Endpoints in the endpoint cache.", usedEndpoints)),
		registry.Register(counterCollector{a.counters}),
		registry.Register(gauge("nodes", "Nodes counted by DNS-SD, at least module.nodes; 1 without counting.", nodes)),
	)
}

// counterCollector exports the counters that the console shows as well.
type counterCollector struct{ *metrics.Counters }

// Describe implements prometheus.Collector.
func (c counterCollector) Describe(to chan<- *prometheus.Desc) {
	for _, desc := range []*prometheus.Desc{requestsDesc, attemptsDesc, listedDesc, avoidedDesc} {
		to <- desc
	}
}

// Collect implements prometheus.Collector.
func (c counterCollector) Collect(to chan<- prometheus.Metric) {
	send := func(desc *prometheus.Desc, kind prometheus.ValueType, value float64, labels ...string) {
		to <- prometheus.MustNewConstMetric(desc, kind, value, labels...)
	}
	for _, class := range c.Classes() {
		for outcome, name := range metrics.OutcomeNames {
			count := class.Count(metrics.Outcome(outcome))
			send(requestsDesc, prometheus.CounterValue, float64(count), class.Name, name)
		}
	}
	send(attemptsDesc, prometheus.CounterValue, float64(c.Attempts()))
	send(listedDesc, prometheus.GaugeValue, float64(c.Listed()))
	send(avoidedDesc, prometheus.GaugeValue, float64(c.Avoided()))
}

// metricsComponent serves GET /metrics, if there is a registry.
func metricsComponent(a *assembly) (component, error) {
	if a.registry == nil {
		return component{}, nil
	}
	listener, err := transient.Listen("tcp", a.operator.Metrics.Listen, a.log)
	if err != nil {
		return component{}, fmt.Errorf("metrics.listen: %w", err)
	}
	handlerOptions := promhttp.HandlerOpts{MaxRequestsInFlight: maxMetricsRequests, Timeout: metricsTimeout}
	mux := http.NewServeMux()
	mux.Handle("GET /metrics", promhttp.HandlerFor(a.registry, handlerOptions))
	server := &http.Server{
		Handler:        mux,
		ReadTimeout:    metricsReadTimeout,
		WriteTimeout:   metricsWriteTimeout,
		MaxHeaderBytes: maxMetricsHeaderBytes,
	}
	run := func(ctx context.Context) {
		cancelClose := context.AfterFunc(ctx, func() { server.Close() })
		defer cancelClose()
		if err := server.Serve(listener); err != nil && !errors.Is(err, http.ErrServerClosed) {
			a.log.Error("metrics server failed", zap.Error(err))
		}
	}
	stop := func() error { return errors.Join(server.Close(), closeListener(listener)) }
	return component{name: "metrics", run: run, stop: stop}, nil
}

// closeListener closes a listener. It ignores the error of a listener that its server has already closed.
func closeListener(l net.Listener) error {
	if err := l.Close(); !errors.Is(err, net.ErrClosed) {
		return err
	}
	return nil
}
