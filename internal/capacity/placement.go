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

// recomputations are how many times in a row a placement is looked at in one run.
const recomputations = 200

// measurePlacements measures one service's placement by how many hot parts there are: a look's cost, its
// document, and the share of looks that change it while the same parts stay as popular as they are
// and only chance moves the counts. Once with links as fast as today's, and once with links so slow
// that much has to be everywhere.
func measurePlacements(b *bench) error {
	if err := measureHotPrefixes(b, "place", "links as fast as today's", 370000); err != nil {
		return err
	}
	return measureHotPrefixes(b, "tight", "links of 100 Mbit/s", 100)
}

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

// measurePlacementChurn looks at one service's placement again and again.
func measurePlacementChurn(d *rand.Rand, n int, mbps float64) ([]float64, error) {
	weight, total := make([]float64, n), 0.0
	for i := range weight {
		weight[i] = math.Pow(float64(i+1), -0.3)
		total += weight[i]
	}
	hot := make([]*wire.HotPrefix, n)
	for i := range hot {
		k := promptindex.PartKey(cacheText, partName(i))
		hot[i] = &wire.HotPrefix{Key: k[:], Hotness: 30 * rate * weight[i] / total, Tokens: 8000, Head: true}
	}
	var ws []string
	for _, w := range workerList(20, 1) {
		ws = append(ws, w.ID)
	}
	const span = 1000.0
	tokens := mbps * 1e6 / 8 / float64(engine().TokenBytes)
	f := placementcontroller.Inputs{Service: serviceName(0), Mode: "hrcs", FetchTolerance: 1, Workers: ws, CapacityTokens: 320000, HotEntries: hot, PrefillCurve: placement.Default(),
		Links: []*wire.LinkThroughput{{Class: "plan", Tokens: tokens * span, ElapsedNs: span * 1e9}}}
	p := placementcontroller.Compute(f, nil)
	changed := 0
	at := cpu()
	for i := range recomputations {
		for j := range hot { // three seconds pass between two looks
			hot[j].Hotness = hot[j].Hotness*math.Exp(-0.1) + float64(poisson(d, 3*rate*weight[j]/total))
		}
		var next *placement.Placement
		var moved bool
		if i%4 == 3 { // the whole is computed once in four looks
			next = placementcontroller.Compute(f, p)
			moved = !slices.Equal(next.Replicated, p.Replicated) || next.Mode != p.Mode || math.Abs(next.AdmissionFloor-p.AdmissionFloor) > 0.25*p.AdmissionFloor+0.05
		} else {
			next, moved = placementcontroller.SwapInBurst(p, hot)
		}
		if p = next; moved {
			changed++
		}
	}
	spent := (cpu() - at) / recomputations
	body, err := json.Marshal(p)
	packed := fleet.Compress(&wire.Document{Key: fleet.PlacementKey + p.Service, Body: body, Version: 1})
	return []float64{spent, float64(len(body)), float64(len(packed.Body)), float64(changed) / recomputations}, err
}

// rate is how many accesses a service's hot parts get a second: 5,700 requests over 35 models.
const rate = 5700.0 / models

func poisson(d *rand.Rand, mean float64) int {
	if mean > 30 {
		return max(0, int(math.Round(mean+math.Sqrt(mean)*d.NormFloat64())))
	}
	n, p, low := 0, d.Float64(), math.Exp(-mean)
	for p > low {
		p *= d.Float64()
		n++
	}
	return n
}
