package daemon

import (
	"net/http"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/collectors"
	"github.com/prometheus/client_golang/prometheus/promhttp"

	"pebbleloom/internal/errs"
)

// Meter holds the metrics that a program shows at /metrics. Labels come from fixed lists alone, so the
// number of series is bounded.
type Meter struct {
	reg      *prometheus.Registry
	rejected *prometheus.CounterVec
}

func newMeter() *Meter {
	m := &Meter{reg: prometheus.NewRegistry()}
	m.reg.MustRegister(collectors.NewGoCollector(), collectors.NewProcessCollector(collectors.ProcessCollectorOpts{}))
	m.rejected = prometheus.NewCounterVec(prometheus.CounterOpts{Name: "pebbleloom_denied_total", Help: "requests rejected, by kind"}, []string{"kind"})
	m.reg.MustRegister(m.rejected)
	return m
}

// Gauge registers a value that goes up and down; f is called at every scrape.
//
// Example: process.Meter.Gauge("pebbleloom_inflight", "requests under way", func() float64 { return n })
func (m *Meter) Gauge(name, help string, f func() float64) {
	m.reg.MustRegister(prometheus.NewGaugeFunc(prometheus.GaugeOpts{Name: name, Help: help}, f))
}

// Counter registers a value that only grows.
//
// Example: process.Meter.Count("pebbleloom_sealed_total", "answers sealed", func() float64 { return n })
func (m *Meter) Counter(name, help string, f func() float64) {
	m.reg.MustRegister(prometheus.NewCounterFunc(prometheus.CounterOpts{Name: name, Help: help}, f))
}

// Rejected counts one rejected request under its kind.
//
// Example: process.Meter.Rejected(errs.NotExecuted)
func (m *Meter) Rejected(k *errs.Kind) { m.rejected.WithLabelValues(k.Name).Inc() }

func (m *Meter) handler() http.Handler {
	return promhttp.HandlerFor(m.reg, promhttp.HandlerOpts{})
}
