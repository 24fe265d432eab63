package browser

import (
	"sync"
	"time"

	"github.com/prometheus/client_golang/prometheus"
)

// Metrics collects the metrics of all browsers in a process. Its methods may be called concurrently. The methods that
// record values may be called on nil, where they do nothing.
type Metrics struct {
	WithdrawalDelay prometheus.Histogram   // delay in seconds
	SessionsEnded   *prometheus.CounterVec // labelled by service and domain
	PushedChanges   *prometheus.CounterVec // labelled by service and domain

	mu       sync.Mutex // guards browsers
	browsers map[*Browser]bool

	contactAge        *prometheus.Desc
	queries           *prometheus.Desc
	retries           *prometheus.Desc
	failures          *prometheus.Desc
	rejectedResponses *prometheus.Desc
	pushActive        *prometheus.Desc
}

var _ prometheus.Collector = (*Metrics)(nil)

// NewMetrics returns the metrics, registered with registerer.
func NewMetrics(registerer prometheus.Registerer) (*Metrics, error) {
	const prefix = "standpoint_discovery_"
	labels := []string{"service", "domain"}
	newDesc := func(name, help string) *prometheus.Desc {
		return prometheus.NewDesc(prefix+name, help, labels, nil)
	}
	newCounter := func(name, help string) *prometheus.CounterVec {
		return prometheus.NewCounterVec(prometheus.CounterOpts{Name: prefix + name, Help: help}, labels)
	}
	m := &Metrics{
		browsers: map[*Browser]bool{},
		WithdrawalDelay: prometheus.NewHistogram(prometheus.HistogramOpts{
			Name: prefix + "withdrawal_delay_seconds",
			Help: "Seconds between the last confirmation that an instance was listed and the discovery of its " +
				"withdrawal: an upper bound of the delay.",
			Buckets: []float64{.01, .025, .05, .1, .15, .2, .3, .4, .5, 1, 2, 5, 10},
		}),
		SessionsEnded: newCounter("push_sessions_ended_total", "Number of active push sessions that ended."),
		PushedChanges: newCounter("push_changes_total", "Number of record changes received in PUSH messages."),
		contactAge:    newDesc("news_age_seconds", "Seconds since the last valid response; -1 before the first."),
		queries:       newDesc("lookups_total", "Number of queries sent, including retries."),
		retries:       newDesc("lookups_repeated_total", "Number of queries sent again after a failed attempt."),
		failures:      newDesc("lookups_failed_total", "Number of queries that ended without a valid response."),
		rejectedResponses: newDesc("answers_refused_total",
			"Number of datagrams dropped because of a wrong id, name or format."),
		pushActive: newDesc("push", "1 if the last valid response came over a push session, else 0."),
	}
	for _, c := range []prometheus.Collector{m, m.WithdrawalDelay, m.SessionsEnded, m.PushedChanges} {
		if err := registerer.Register(c); err != nil {
			return nil, err
		}
	}
	return m, nil
}

// Describe implements prometheus.Collector.
func (m *Metrics) Describe(descriptions chan<- *prometheus.Desc) {
	for _, d := range []*prometheus.Desc{
		m.contactAge, m.queries, m.retries, m.failures, m.rejectedResponses, m.pushActive,
	} {
		descriptions <- d
	}
}

// Collect implements prometheus.Collector.
func (m *Metrics) Collect(metrics chan<- prometheus.Metric) {
	m.mu.Lock()
	defer m.mu.Unlock()
	for b := range m.browsers {
		m.collect(b, metrics)
	}
}

// collect sends the metrics of one browser.
func (m *Metrics) collect(b *Browser, metrics chan<- prometheus.Metric) {
	emit := func(d *prometheus.Desc, kind prometheus.ValueType, value float64) {
		metrics <- prometheus.MustNewConstMetric(d, kind, value, b.Service.Type, b.domain)
	}
	lastContact, mechanism := b.LastContact()
	age := -1.0
	if !lastContact.IsZero() {
		age = time.Since(lastContact).Seconds()
	}
	pushActive := 0.0
	if mechanism == Push {
		pushActive = 1
	}
	emit(m.contactAge, prometheus.GaugeValue, age)
	emit(m.pushActive, prometheus.GaugeValue, pushActive)
	emit(m.queries, prometheus.CounterValue, float64(b.client.Queries.Load()))
	emit(m.retries, prometheus.CounterValue, float64(b.client.Retries.Load()))
	emit(m.failures, prometheus.CounterValue, float64(b.client.Failures.Load()))
	emit(m.rejectedResponses, prometheus.CounterValue, float64(b.client.RejectedResponses.Load()))
}

// register includes a browser in the collection until the returned function is called. A browser replaces an earlier
// one with the same labels, as duplicate labels would make the collection fail.
func (m *Metrics) register(b *Browser) (unregister func()) {
	if m == nil {
		return func() {}
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	for other := range m.browsers {
		if other.Service.Type == b.Service.Type && other.domain == b.domain {
			delete(m.browsers, other)
		}
	}
	m.browsers[b] = true
	return func() {
		m.mu.Lock()
		defer m.mu.Unlock()
		delete(m.browsers, b)
	}
}

// countEndedSession counts the end of a push session that was active.
func (m *Metrics) countEndedSession(b *Browser) {
	if m != nil {
		m.SessionsEnded.WithLabelValues(b.Service.Type, b.domain).Inc()
	}
}

// countPushedChanges counts n record changes received over a push session.
func (m *Metrics) countPushedChanges(b *Browser, n int) {
	if m != nil {
		m.PushedChanges.WithLabelValues(b.Service.Type, b.domain).Add(float64(n))
	}
}

// ObserveWithdrawal records the withdrawal of an instance. sinceListed is the time since the instance was last
// confirmed as listed.
func (m *Metrics) ObserveWithdrawal(sinceListed time.Duration) {
	if m != nil {
		m.WithdrawalDelay.Observe(sinceListed.Seconds())
	}
}
