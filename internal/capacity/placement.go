package capacity

import (
	"encoding/json"
	"math"
	"math/rand/v2"
	"slices"

	"pebbleloom/internal/control/placementcontroller"
	"pebbleloom/internal/data/placement"
	"pebbleloom/internal/data/promptindex"
	"pebbleloom/internal/fleet"
	"pebbleloom/internal/wire"
)

// placementUpdates is how many times a run updates the placement.
const placementUpdates = 200

// measurePlacements measures the placement of one service over the number of hot parts: the cost of an update, the size of
// the document, and the share of updates that change it while the parts keep their popularity and only chance changes
// the counts. It does so with links as fast as today's, and with links so slow that many parts are replicated.
func measurePlacements(b *bench) error {
	if err := measureHotPrefixes(b, "place", "links as fast as today's", 370000); err != nil {
		return err
	}
	return measureHotPrefixes(b, "tight", "links of 100 Mbit/s", 100)
}

// measureHotPrefixes measures the placement at one link speed; name is the prefix of the series.
func measureHotPrefixes(b *bench, name, links string, mbps float64) error {
	seed := uint64(0)
	return b.vary("placement", "hot parts", b.sizes(125, 250, 500, 1000), []kind{
		{name + "-cpu", "µs", "processor time of one look at a service's placement; " + links},
		{name + "-bytes", "B", "a service's placement document; " + links},
		{name + "-told", "B", "the same as it is told to nodes, packed; " + links},
		{name + "-share", "1", "share of looks that change the document under steady traffic: counts fall off by a 30 s window, parts by rank^-0.3, as many accesses as a model gets; " + links},
	}, func(n float64) ([]float64, error) {
		seed++
		return measurePlacementChurn(rand.New(rand.NewPCG(seed, uint64(n))), int(n), mbps)
	})
}

// measurePlacementChurn updates the placement of one service again and again under steady traffic. It returns the
// processor time of an update in µs, the document's bytes, those compressed, and the share of updates that changed it.
func measurePlacementChurn(random *rand.Rand, prefixes int, mbps float64) ([]float64, error) {
	weight, total := make([]float64, prefixes), 0.0
	for i := range weight {
		weight[i] = math.Pow(float64(i+1), -0.3)
		total += weight[i]
	}
	hot := make([]*wire.HotPrefix, prefixes)
	for i := range hot {
		key := promptindex.PartKey(cacheText, partName(i))
		hot[i] = &wire.HotPrefix{Key: key[:], Hotness: 30 * accessesPerSecond * weight[i] / total, Tokens: 8000, Head: true}
	}
	var workers []string
	for _, worker := range workerList(20, 1) {
		workers = append(workers, worker.ID)
	}
	const span = 1000.0
	tokens := mbps * 1e6 / 8 / float64(engine().TokenBytes)
	inputs := placementcontroller.Inputs{Service: serviceName(0), Mode: "hrcs", FetchTolerance: 1, Workers: workers, CapacityTokens: 320000, HotEntries: hot, PrefillCurve: placement.Default(),
		Links: []*wire.LinkThroughput{{Class: "plan", Tokens: tokens * span, ElapsedNs: span * 1e9}}}
	current := placementcontroller.Compute(inputs, nil)
	changed := 0
	cpuBefore := cpu()
	for i := range placementUpdates {
		for j := range hot { // three seconds pass between two updates
			hot[j].Hotness = hot[j].Hotness*math.Exp(-0.1) + float64(poisson(random, 3*accessesPerSecond*weight[j]/total))
		}
		var next *placement.Placement
		var updated bool
		if i%4 == 3 { // every fourth update is a full computation
			next = placementcontroller.Compute(inputs, current)
			updated = !slices.Equal(next.Replicated, current.Replicated) || next.Mode != current.Mode || math.Abs(next.AdmissionFloor-current.AdmissionFloor) > 0.25*current.AdmissionFloor+0.05
		} else {
			next, updated = placementcontroller.SwapInBurst(current, hot)
		}
		if current = next; updated {
			changed++
		}
	}
	spent := (cpu() - cpuBefore) / placementUpdates
	body, err := json.Marshal(current)
	packed := fleet.Compress(&wire.Document{Key: fleet.PlacementKey + current.Service, Body: body, Version: 1})
	return []float64{spent, float64(len(body)), float64(len(packed.Body)), float64(changed) / placementUpdates}, err
}

// accessesPerSecond is the rate of accesses to a service's hot parts: 5,700 requests a second over all models.
const accessesPerSecond = 5700.0 / modelCount

// poisson draws from the Poisson distribution; large means are approximated by the normal distribution.
func poisson(random *rand.Rand, mean float64) int {
	if mean > 30 {
		return max(0, int(math.Round(mean+math.Sqrt(mean)*random.NormFloat64())))
	}
	count, product, low := 0, random.Float64(), math.Exp(-mean)
	for product > low {
		product *= random.Float64()
		count++
	}
	return count
}
