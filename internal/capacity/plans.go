package capacity

import (
	"runtime"

	"github.com/go-faster/jx"

	"pebbleloom/internal/control/routingconfig"
	"pebbleloom/internal/fleet"
	"pebbleloom/internal/wire"
)

// measurePlans measures what grows with routes and with tenants: the plan's bytes, its reading, its memory,
// and a request's look-up in it.
func measurePlans(b *bench) error {
	for _, f := range []struct {
		name, factor string
		sizes        []float64
		make         func(n int) *routingconfig.Plan
	}{
		{"route", "routes", b.sizes(100, 400, 1600), func(n int) *routingconfig.Plan { return samplePlan(1, n, 0) }},
		{"tenant", "tenants", b.sizes(725, 1450, 2900), func(n int) *routingconfig.Plan { return samplePlan(1, 0, n) }},
	} {
		if err := b.vary("plans", f.factor, f.sizes, []kind{
			{f.name + "-bytes", "B", "a plan's document"},
			{f.name + "-told", "B", "the same as it is told to nodes, packed"},
			{f.name + "-pack", "µs", "processor time of a member to pack it, once"},
			{f.name + "-read", "µs", "processor time to unpack, read, check and index it, as each agent does at each change"},
			{f.name + "-memory", "B", "heap of the plan in use"},
			{f.name + "-lookup", "µs", "processor time of a request's look-ups in it"},
		}, func(n float64) ([]float64, error) {
			body := encodePlan(f.make(int(n)))
			was := heap()
			p, err := benchCodec{}.Read(body)
			if err != nil {
				return nil, err
			}
			memory := heap() - was
			doc := &wire.Document{Key: routingconfig.DocumentKey, Body: body, Version: 1}
			packed := fleet.Compress(doc)
			pack := b.spend(func() { fleet.Compress(doc) })
			read := b.spend(func() {
				if d, err := fleet.Decompress(packed); err == nil {
					_, _ = benchCodec{}.Read(d.Body)
				}
			})
			i := 0
			look := b.spend(func() {
				i++
				if len(p.Routes) > 0 {
					r := &p.Routes[i%len(p.Routes)]
					p.MatchRoute(r.Host, r.Prefix+"some/more/path")
				} else {
					p.TenantByKey(p.Tenants[i%len(p.Tenants)].Keys[0])
				}
			})
			runtime.KeepAlive(p)
			return []float64{float64(len(body)), float64(len(packed.Body)), pack, read, max(1, memory), look}, nil
		}); err != nil {
			return err
		}
	}
	return nil
}

// readChanges reads what a worker kept and dropped, each change a short list as workers tell them.
func readChanges(body []byte) (n int, err error) {
	var number int
	var a [4]string
	err = jx.DecodeBytes(body).Arr(func(d *jx.Decoder) error {
		i := 0
		n++
		return d.Arr(func(d *jx.Decoder) error {
			defer func() { i++ }()
			if d.Next() == jx.Number {
				return decodeInt(d, &number)
			}
			return decodeText(d, &a[i&3])
		})
	})
	return n, err
}
