package capacity

import (
	"runtime"

	"github.com/go-faster/jx"

	"pebbleloom/internal/control/routingconfig"
	"pebbleloom/internal/fleet"
	"pebbleloom/internal/wire"
)

// measurePlans measures a plan over the number of routes and of tenants: its bytes, the time to decode it, its memory, and
// the time of a request's look-up in it.
func measurePlans(b *bench) error {
	for _, dimension := range []struct {
		name, factor string
		sizes        []float64
		make         func(count int) *routingconfig.Plan
	}{
		{"route", "routes", b.sizes(100, 400, 1600), func(count int) *routingconfig.Plan { return samplePlan(1, count, 0) }},
		{"tenant", "tenants", b.sizes(725, 1450, 2900), func(count int) *routingconfig.Plan { return samplePlan(1, 0, count) }},
	} {
		if err := b.vary("plans", dimension.factor, dimension.sizes, []kind{
			{dimension.name + "-bytes", "B", "a plan's document"},
			{dimension.name + "-told", "B", "the same as it is told to nodes, packed"},
			{dimension.name + "-pack", "µs", "processor time of a member to pack it, once"},
			{dimension.name + "-read", "µs", "processor time to unpack, read, check and index it, as each agent does at each change"},
			{dimension.name + "-memory", "B", "heap of the plan in use"},
			{dimension.name + "-lookup", "µs", "processor time of a request's look-ups in it"},
		}, func(count float64) ([]float64, error) {
			body := encodePlan(dimension.make(int(count)))
			heapBefore := heap()
			plan, err := benchCodec{}.Read(body)
			if err != nil {
				return nil, err
			}
			memory := heap() - heapBefore
			doc := &wire.Document{Key: routingconfig.DocumentKey, Body: body, Version: 1}
			packed := fleet.Compress(doc)
			pack := b.spend(func() { fleet.Compress(doc) })
			read := b.spend(func() {
				if decompressed, err := fleet.Decompress(packed); err == nil {
					_, _ = benchCodec{}.Read(decompressed.Body)
				}
			})
			i := 0
			lookup := b.spend(func() {
				i++
				if len(plan.Routes) > 0 {
					route := &plan.Routes[i%len(plan.Routes)]
					plan.MatchRoute(route.Host, route.Prefix+"some/more/path")
				} else {
					plan.TenantByKey(plan.Tenants[i%len(plan.Tenants)].Keys[0])
				}
			})
			runtime.KeepAlive(plan)
			return []float64{float64(len(body)), float64(len(packed.Body)), pack, read, max(1, memory), lookup}, nil
		}); err != nil {
			return err
		}
	}
	return nil
}

// readChanges decodes a worker's cache changes, each of which is a short list, and returns their number.
func readChanges(body []byte) (n int, err error) {
	var number int
	var a [4]string
	err = jx.DecodeBytes(body).Arr(func(decoder *jx.Decoder) error {
		i := 0
		n++
		return decoder.Arr(func(decoder *jx.Decoder) error {
			defer func() { i++ }()
			if decoder.Next() == jx.Number {
				return decodeInt(decoder, &number)
			}
			return decodeText(decoder, &a[i&3])
		})
	})
	return n, err
}
