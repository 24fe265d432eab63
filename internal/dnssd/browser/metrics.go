package browser

import (
	"sync"
	"time"

	"github.com/prometheus/client_golang/prometheus"
)

// Metrics are those of all browsers of a process. Its methods may be called concurrently, and on nil, where they do
// nothing.
type Metrics struct {
	WithdrawalDelay prometheus.Histogram   // seconds
	SessionsEnded   *prometheus.CounterVec // by service and domain
	PushedChanges   *prometheus.CounterVec // by service and domain

	mu       sync.Mutex // guards browsers
	browsers map[*Browser]bool

	contactAge      *prometheus.Desc
	queries         *prometheus.Desc
	retries         *prometheus.Desc
	failures        *prometheus.Desc
	rejectedAnswers *prometheus.Desc
	pushActive      *prometheus.Desc
}

var _ prometheus.Collector = (*Metrics)(nil)

// NewMetrics makes the metrics and registers them.
func NewMetrics(registerer prometheus.Registerer) (*Metrics, error) {
	const prefix = "standpoint_discovery_"
	labels := []string{"service", "domain"}
	desc := func(name, help string) *prometheus.Desc {
		return prometheus.NewDesc(prefix+name, help, labels, nil)
	}
	counter := func(name, help string) *prometheus.CounterVec {
		return prometheus.NewCounterVec(prometheus.CounterOpts{Name: prefix + name, Help: help}, labels)
	}
	m := &Metrics{
		browsers: map[*Browser]bool{},
		WithdrawalDelay: prometheus.NewHistogram(prometheus.HistogramOpts{
			Name: prefix + "withdrawal_delay_seconds",
			Help: "Time between the last word that an instance stands and the word that it is gone: " +
				"the delay's upper bound.",
			Buckets: []float64{.01, .025, .05, .1, .15, .2, .3, .4, .5, 1, 2, 5, 10},
		}),
		SessionsEnded: counter("push_sessions_ended_total", "Push sessions that ended."),
		PushedChanges: counter("push_changes_total", "Changes told by push."),
		contactAge:    desc("news_age_seconds", "Time since the server last answered; -1 before its first answer."),
		queries:       desc("lookups_total", "Questions sent, repeated ones among them."),
		retries:       desc("lookups_repeated_total", "Questions sent again after no answer."),
		failures:      desc("lookups_failed_total", "Questions that were given up without an answer."),
		rejectedAnswers: desc("answers_refused_total",
			"Datagrams that were no answer to what was asked: a wrong id, name or form."),
		pushActive: desc("push", "1 while news comes by a push session, else 0."),
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
		m.contactAge, m.queries, m.retries, m.failures, m.rejectedAnswers, m.pushActive,
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

// collect reads the metrics of one browser.
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
	emit(m.rejectedAnswers, prometheus.CounterValue, float64(b.client.RejectedAnswers.Load()))
}

// register has a browser collected until the returned function is called. Two browsers with the same labels would break
// the collection: the newer replaces the older.
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

// sessionEnded counts a push session that was active and has ended.
func (m *Metrics) sessionEnded(b *Browser) {
	if m != nil {
		m.SessionsEnded.WithLabelValues(b.Service.Type, b.domain).Inc()
	}
}

// changesPushed counts changes that a push session received.
func (m *Metrics) changesPushed(b *Browser, n int) {
	if m != nil {
		m.PushedChanges.WithLabelValues(b.Service.Type, b.domain).Add(float64(n))
	}
}

// ObserveWithdrawal records that an instance was withdrawn, and how long ago it was last reported as listed.
func (m *Metrics) ObserveWithdrawal(sinceListed time.Duration) {
	if m != nil {
		m.WithdrawalDelay.Observe(sinceListed.Seconds())
	}
}
