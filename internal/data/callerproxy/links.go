package callerproxy

import (
	"math"
	"sync/atomic"
	"time"

	"pebbleloom/internal/contract"
	"pebbleloom/internal/data/updatestream"
)

const (
	// initialBandwidth is taken for every class of links until a fetch was seen, in tokens per second.
	initialBandwidth = 50000
	// bandwidthSmoothing is the weight of a new observation in the moving average.
	bandwidthSmoothing = 0.1
)

// linkClass is a class of links between workers that share one estimate of their bandwidth.
type linkClass string

const (
	nearLinks  linkClass = "near"  // within a zone
	farLinks   linkClass = "far"   // between zones
	storeLinks linkClass = "store" // from a store
)

// linkEstimates are moving averages of the bandwidth at which workers fetch prefixes, in tokens per second.
type bandwidthEstimates struct{ near, far, store atomicFloat }

func (l *bandwidthEstimates) reset() {
	l.near.Store(initialBandwidth)
	l.far.Store(initialBandwidth)
	l.store.Store(initialBandwidth)
}

func (l *bandwidthEstimates) forClass(class linkClass) *atomicFloat {
	switch class {
	case nearLinks:
		return &l.near
	case storeLinks:
		return &l.store
	}
	return &l.far
}

// learnBandwidth takes what a worker has reported of a fetch into the estimates, and into the next report.
func (p *Proxy) recordFetch(table *trafficTable, snapshot *updatestream.Snapshot, lastChunk *contract.Chunk, workerZone string) {
	class := linkClassBetween(snapshot, lastChunk.FetchAddr, workerZone)
	duration := time.Duration(lastChunk.FetchUs) * time.Microsecond
	table.recordTransfer(class, lastChunk.FetchedTokens, duration)
	estimate := p.bandwidths.forClass(class)
	observed := float64(lastChunk.FetchedTokens) / duration.Seconds()
	estimate.Store((1-bandwidthSmoothing)*estimate.Load() + bandwidthSmoothing*observed)
}

// classOf returns the class of the links from an address to a zone.
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

// atomicFloat is a float64 for concurrent use.
type atomicFloat struct{ bits atomic.Uint64 }

// Load returns the value.
//
// Example: bandwidth := links.near.Load()
func (f *atomicFloat) Load() float64 { return math.Float64frombits(f.bits.Load()) }

// Store sets the value.
//
// Example: links.near.Store(50000)
func (f *atomicFloat) Store(value float64) { f.bits.Store(math.Float64bits(value)) }
