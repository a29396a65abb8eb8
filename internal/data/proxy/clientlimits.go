package proxy

import (
	"pebbleloom/internal/clientlimit"
	"pebbleloom/internal/daemon"
)

// Parts of the process's descriptors. The rest is for connections to other pebbleloom processes, and for files.
const (
	clientDescriptorRatio = 0.4 // connections of clients
	workerDescriptorRatio = 0.4 // connections to workers
)

// registerClientMetrics registers the metrics of what clients take, and of what was refused to them.
func registerClientMetrics(meter *daemon.Meter, listener *clientlimit.Listener, memory *clientlimit.Budget) {
	meter.Gauge("pebbleloom_client_connections", "open connections of clients", func() float64 { return float64(listener.Connections()) })
	meter.Gauge("pebbleloom_request_bytes", "memory that requests in flight have reserved", func() float64 { return float64(memory.Reserved()) })
	meter.Counter("pebbleloom_client_refused_total", "connections of clients that were refused at the limit", func() float64 { return float64(listener.Refused()) })
	meter.Counter("pebbleloom_client_evicted_total", "connections that waited for their client and were closed for new ones", func() float64 { return float64(listener.Evicted()) })
	meter.Counter("pebbleloom_request_memory_refused_total", "reservations of memory for requests that were refused", func() float64 { return float64(memory.Refused()) })
	meter.Counter("pebbleloom_request_stalled_total", "requests that were ended because their clients stalled while memory was short", func() float64 { return float64(memory.Aborted()) })
}
