package callerproxy

import (
	"math"
	"sync/atomic"
	"time"

	"pebbleloom/internal/contract"
	"pebbleloom/internal/data/updatestream"
)

const (
	// initialBandwidth is the assumed bandwidth of each link class before the first fetch, in tokens per second.
	initialBandwidth = 50000
	// bandwidthSmoothing is the weight of a new sample in the exponential moving average of bandwidths.
	bandwidthSmoothing = 0.1
)

// linkClass is a class of network links over which workers fetch cached prefixes. All links of a class share one
// bandwidth estimate.
type linkClass string

const (
	nearLinks  linkClass = "near"  // links between workers in the same zone
	farLinks   linkClass = "far"   // links between workers in different zones
	storeLinks linkClass = "store" // links from a cache store to a worker
)

// bandwidthEstimates are moving averages of the bandwidth of prefix fetches, by link class, in tokens per second.
type bandwidthEstimates struct{ near, far, store atomicFloat }

// reset sets the estimates of all link classes to initialBandwidth.
func (l *bandwidthEstimates) reset() {
	l.near.Store(initialBandwidth)
	l.far.Store(initialBandwidth)
	l.store.Store(initialBandwidth)
}

// forClass returns the bandwidth estimate of a link class.
func (l *bandwidthEstimates) forClass(class linkClass) *atomicFloat {
	switch class {
	case nearLinks:
		return &l.near
	case storeLinks:
		return &l.store
	}
	return &l.far
}

// recordFetch updates the bandwidth estimate of a link class with a prefix fetch, as reported by a worker in the last
// chunk of a response. It also adds the fetch to the next report to the node agent.
func (p *Proxy) recordFetch(table *trafficTable, snapshot *updatestream.Snapshot, lastChunk *contract.Chunk, workerZone string) {
	class := linkClassBetween(snapshot, lastChunk.FetchAddr, workerZone)
	duration := time.Duration(lastChunk.FetchUs) * time.Microsecond
	table.recordTransfer(class, lastChunk.FetchedTokens, duration)
	estimate := p.bandwidths.forClass(class)
	observed := float64(lastChunk.FetchedTokens) / duration.Seconds()
	estimate.Store((1-bandwidthSmoothing)*estimate.Load() + bandwidthSmoothing*observed)
}

// linkClassBetween returns the class of the link from a source address to a worker in a zone. A source that is not
// listed counts as being in another zone.
func linkClassBetween(snapshot *updatestream.Snapshot, sourceAddr, workerZone string) linkClass {
	class := farLinks
	for _, worker := range snapshot.Workers {
		if worker.Addr != sourceAddr {
			continue
		}
		if worker.Kind == kindStore {
			class = storeLinks
		} else if worker.Zone == workerZone {
			class = nearLinks
		}
	}
	return class
}

// atomicFloat is a float64 that can be loaded and stored atomically.
type atomicFloat struct{ bits atomic.Uint64 }

// Load returns the current value atomically.
//
// Example: bandwidth := bandwidths.near.Load()
func (f *atomicFloat) Load() float64 { return math.Float64frombits(f.bits.Load()) }

// Store replaces the value atomically.
//
// Example: bandwidths.near.Store(50000)
func (f *atomicFloat) Store(value float64) { f.bits.Store(math.Float64bits(value)) }
