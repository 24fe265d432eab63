package daemon

import (
	"errors"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/collectors"

	"standpoint/internal/metrics"
)

// counterCollector shows the figures, read where the console reads them.
type counterCollector struct{ *metrics.Counters }

var (
	requestsDesc = prometheus.NewDesc("standpoint_requests_total", "Requests that ended, by class and end.", []string{"class", "end"}, nil)
	attemptsDesc = prometheus.NewDesc("standpoint_attempts_total", "Attempts written whole to backends.", nil, nil)
	listedDesc   = prometheus.NewDesc("standpoint_real_servers_listed", "Backends in the list.", nil, nil)
	avoidedDesc  = prometheus.NewDesc("standpoint_real_servers_avoided", "Listed backends that the module avoids.", nil, nil)
)

// Describe implements prometheus.Collector.
func (c counterCollector) Describe(to chan<- *prometheus.Desc) {
	for _, d := range []*prometheus.Desc{requestsDesc, attemptsDesc, listedDesc, avoidedDesc} {
		to <- d
	}
}

// Collect implements prometheus.Collector.
func (c counterCollector) Collect(to chan<- prometheus.Metric) {
	for _, class := range c.Classes() {
		for e, word := range metrics.OutcomeNames {
			to <- prometheus.MustNewConstMetric(requestsDesc, prometheus.CounterValue, float64(class.Count(metrics.Outcome(e))), class.Name, word)
		}
	}
	to <- prometheus.MustNewConstMetric(attemptsDesc, prometheus.CounterValue, float64(c.Attempts()))
	to <- prometheus.MustNewConstMetric(listedDesc, prometheus.GaugeValue, float64(c.Listed()))
	to <- prometheus.MustNewConstMetric(avoidedDesc, prometheus.GaugeValue, float64(c.Avoided()))
}

// newRegistry has what the daemon says of itself.
func newRegistry(a *assembly) (*prometheus.Registry, error) {
	r := prometheus.NewRegistry()
	gauge := func(name, help string, value func() float64) prometheus.Collector {
		return prometheus.NewGaugeFunc(prometheus.GaugeOpts{Name: "standpoint_" + name, Help: help}, value)
	}
	return r, errors.Join(
		r.Register(collectors.NewGoCollector()),
		r.Register(collectors.NewProcessCollector(collectors.ProcessCollectorOpts{})),
		r.Register(gauge("open_flows", "Flows that wait for their answer.", func() float64 { return float64(a.core.Open()) })),
		r.Register(gauge("service_entries", "Endpoints in use.", func() float64 { return float64(len(a.endpointCache.Current())) })),
		r.Register(counterCollector{a.counters}),
		r.Register(gauge("nodes", "Nodes by which the module divides.", func() float64 { return float64(max(1, a.nodeCount.Load())) })),
	)
}
