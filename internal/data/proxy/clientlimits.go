package proxy

import (
	"pebbleloom/internal/clientlimit"
	"pebbleloom/internal/daemon"
)

// registerMemoryMetrics registers the metrics of the memory that requests take, and of what was refused to them.
func registerMemoryMetrics(meter *daemon.Meter, memory *clientlimit.Budget) {
	meter.Gauge("pebbleloom_request_bytes", "memory that requests in flight have reserved", func() float64 { return float64(memory.Reserved()) })
	meter.Counter("pebbleloom_request_memory_refused_total", "reservations of memory for requests that were refused", func() float64 { return float64(memory.Refused()) })
	meter.Counter("pebbleloom_request_stalled_total", "requests that were ended because their clients stalled while memory was short", func() float64 { return float64(memory.Aborted()) })
}
