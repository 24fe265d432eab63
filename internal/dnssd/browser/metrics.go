package browser

import (
	"sync"
	"time"

	"github.com/prometheus/client_golang/prometheus"
)

// Metrics of all finders. The methods take a nil receiver, which measures nothing.
type Metrics struct {
	Withdrawn prometheus.Histogram // seconds from the last word that an instance stands to the word that it is gone
	Sessions  *prometheus.CounterVec
	Pushed    *prometheus.CounterVec

	mu  sync.Mutex
	all map[*Browser]bool

	age, asked, again, failed, spoofed, push *prometheus.Desc
}

// NewMetrics makes them and puts them into a registry.
func NewMetrics(to prometheus.Registerer) (*Metrics, error) {
	labels := []string{"service", "domain"}
	desc := func(name, help string) *prometheus.Desc {
		return prometheus.NewDesc("standpoint_discovery_"+name, help, labels, nil)
	}
	m := &Metrics{all: map[*Browser]bool{},
		Withdrawn: prometheus.NewHistogram(prometheus.HistogramOpts{Name: "standpoint_discovery_withdrawal_delay_seconds",
			Help:    "Time between the last word that an instance stands and the word that it is gone: the delay's upper bound.",
			Buckets: []float64{.01, .025, .05, .1, .15, .2, .3, .4, .5, 1, 2, 5, 10}}),
		Sessions: prometheus.NewCounterVec(prometheus.CounterOpts{Name: "standpoint_discovery_push_sessions_ended_total", Help: "Push sessions that ended."}, labels),
		Pushed:   prometheus.NewCounterVec(prometheus.CounterOpts{Name: "standpoint_discovery_push_changes_total", Help: "Changes told by push."}, labels),
		age:      desc("news_age_seconds", "Time since the server last answered; -1 before its first answer."),
		asked:    desc("lookups_total", "Questions sent, repeated ones among them."),
		again:    desc("lookups_repeated_total", "Questions sent again after no answer."),
		failed:   desc("lookups_failed_total", "Questions that were given up without an answer."),
		spoofed:  desc("answers_refused_total", "Datagrams that were no answer to what was asked: a wrong id, name or form."),
		push:     desc("push", "1 while news comes by a push session, else 0."),
	}
	for _, c := range []prometheus.Collector{m, m.Withdrawn, m.Sessions, m.Pushed} {
		if err := to.Register(c); err != nil {
			return nil, err
		}
	}
	return m, nil
}

// Describe implements prometheus.Collector.
func (m *Metrics) Describe(to chan<- *prometheus.Desc) {
	for _, d := range []*prometheus.Desc{m.age, m.asked, m.again, m.failed, m.spoofed, m.push} {
		to <- d
	}
}

// Collect implements prometheus.Collector.
func (m *Metrics) Collect(to chan<- prometheus.Metric) {
	m.mu.Lock()
	defer m.mu.Unlock()
	for f := range m.all {
		gauge := func(d *prometheus.Desc, kind prometheus.ValueType, v float64) {
			to <- prometheus.MustNewConstMetric(d, kind, v, f.Service.Type, f.domain)
		}
		heard, way := f.LastContact()
		age, push := -1.0, 0.0
		if !heard.IsZero() {
			age = time.Since(heard).Seconds()
		}
		if way == Push {
			push = 1
		}
		gauge(m.age, prometheus.GaugeValue, age)
		gauge(m.push, prometheus.GaugeValue, push)
		gauge(m.asked, prometheus.CounterValue, float64(f.client.Asked.Load()))
		gauge(m.again, prometheus.CounterValue, float64(f.client.Again.Load()))
		gauge(m.failed, prometheus.CounterValue, float64(f.client.Failed.Load()))
		gauge(m.spoofed, prometheus.CounterValue, float64(f.client.Spoofed.Load()))
	}
}

func (m *Metrics) watch(f *Browser) func() {
	if m == nil {
		return func() {}
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	for other := range m.all { // two with the same labels would break the collection; the newer stays
		if other.Service.Type == f.Service.Type && other.domain == f.domain {
			delete(m.all, other)
		}
	}
	m.all[f] = true
	return func() {
		m.mu.Lock()
		defer m.mu.Unlock()
		delete(m.all, f)
	}
}

func (m *Metrics) ended(f *Browser) {
	if m != nil {
		m.Sessions.WithLabelValues(f.Service.Type, f.domain).Inc()
	}
}

func (m *Metrics) pushed(f *Browser, n int) {
	if m != nil {
		m.Pushed.WithLabelValues(f.Service.Type, f.domain).Add(float64(n))
	}
}

// Removed notes that an instance is gone, which was last told to stand so long ago.
func (m *Metrics) Removed(ago time.Duration) {
	if m != nil {
		m.Withdrawn.Observe(ago.Seconds())
	}
}
