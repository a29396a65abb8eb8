package daemon

import (
	"net/http"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/collectors"
	"github.com/prometheus/client_golang/prometheus/promhttp"

	"pebbleloom/internal/clientlimit"
	"pebbleloom/internal/errs"
)

// Meter is the registry of the Prometheus metrics that a program exports at /metrics. All label values come from fixed
// lists, so the number of time series is bounded.
type Meter struct {
	registry *prometheus.Registry
	rejected *prometheus.CounterVec
}

func newMeter() *Meter {
	m := &Meter{registry: prometheus.NewRegistry()}
	m.registry.MustRegister(collectors.NewGoCollector(), collectors.NewProcessCollector(collectors.ProcessCollectorOpts{}))
	m.rejected = prometheus.NewCounterVec(prometheus.CounterOpts{Name: "pebbleloom_denied_total", Help: "requests rejected, by kind"}, []string{"kind"})
	m.registry.MustRegister(m.rejected)
	return m
}

// Gauge registers a gauge, which may go up and down. Its value is read by calling read at each scrape.
//
// Example: process.Meter.Gauge("pebbleloom_inflight", "requests in flight", func() float64 { return n })
func (m *Meter) Gauge(name, help string, read func() float64) {
	m.registry.MustRegister(prometheus.NewGaugeFunc(prometheus.GaugeOpts{Name: name, Help: help}, read))
}

// Counter registers a counter, which never decreases. Its value is read by calling read at each scrape.
//
// Example: process.Meter.Counter("pebbleloom_sealed_total", "responses sealed", func() float64 { return n })
func (m *Meter) Counter(name, help string, read func() float64) {
	m.registry.MustRegister(prometheus.NewCounterFunc(prometheus.CounterOpts{Name: name, Help: help}, read))
}

// Clients registers the metrics of what the clients of a listener take, and of what was refused to them. The name of the
// listener is the value of their label.
//
// Example: process.Meter.Clients("operators", listener, budget)
func (m *Meter) Clients(name string, listener *clientlimit.Listener, budget *clientlimit.Budget) {
	labels := prometheus.Labels{"listener": name}
	gauge := func(name, help string, read func() float64) {
		m.registry.MustRegister(prometheus.NewGaugeFunc(prometheus.GaugeOpts{Name: name, Help: help, ConstLabels: labels}, read))
	}
	counter := func(name, help string, read func() int64) {
		value := func() float64 { return float64(read()) }
		m.registry.MustRegister(prometheus.NewCounterFunc(prometheus.CounterOpts{Name: name, Help: help, ConstLabels: labels}, value))
	}
	gauge("pebbleloom_client_connections", "open connections of clients", func() float64 { return float64(listener.Connections()) })
	gauge("pebbleloom_request_bytes", "memory that requests in flight have reserved", func() float64 { return float64(budget.Reserved()) })
	counter("pebbleloom_client_refused_total", "connections, headers and bodies of clients that were refused at a limit", listener.Refused)
	counter("pebbleloom_client_evicted_total", "connections that waited for their client and were closed for new ones", listener.Evicted)
	counter("pebbleloom_request_memory_refused_total", "reservations of memory for requests that were refused", budget.Refused)
	counter("pebbleloom_request_stalled_total", "requests that were ended because their clients stalled while memory was short", budget.Aborted)
}

// Rejected increments the counter of rejected requests for a kind of error.
//
// Example: process.Meter.Rejected(errs.NotExecuted)
func (m *Meter) Rejected(kind *errs.Kind) { m.rejected.WithLabelValues(kind.Name).Inc() }

func (m *Meter) handler() http.Handler {
	return promhttp.HandlerFor(m.registry, promhttp.HandlerOpts{})
}
