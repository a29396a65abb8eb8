package capacity

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/go-faster/jx"

	"pebbleloom/internal/control/routingconfig"
	"pebbleloom/internal/errs"
)

// form is a stand-in for the form in which operators write plans: as many fields as theirs, names
// about as long, and read by the same library into the same plan.
type form struct{}

// written is a plan in that form.
func written(p *routingconfig.Plan) []byte {
	type m = map[string]any
	var routes, services, tenants []m
	for _, r := range p.Routes {
		var split []m
		for _, s := range r.Split {
			split = append(split, m{"takingService": s.Service, "weight": s.Weight})
		}
		routes = append(routes, m{"name": r.Name, "hostname": r.Host, "prefixOfPath": r.Prefix, "kindOfRoute": int(r.Kind), "longestMs": r.Timeout.Milliseconds(),
			"latencyWantedMs": r.LatencyTarget.Milliseconds(), "gapWantedMs": r.MaxEventGap.Milliseconds(), "priority": r.Priority, "mostTries": r.MaxAttempts, "public": r.Public, "sessionDrawn": r.NamesPromptParts, "resumable": r.Resumable, "split": split})
	}
	for _, s := range p.Services {
		services = append(services, m{"name": s.Name, "healthAt": s.HealthPath, "mostConnections": s.MaxConns, "slots": s.Engine.Slots, "room": s.Engine.CapacityTokens, "tokenBytes": s.Engine.TokenBytes, "models": s.Engine.Models})
	}
	for _, t := range p.Tenants {
		tenants = append(tenants, m{"name": t.Name, "keysHeld": t.Keys, "priority": t.Priority, "isolated": t.Isolated})
	}
	raw, err := json.Marshal(m{"versionOfPlan": p.Version, "routes": routes, "services": services, "tenants": tenants})
	if err != nil {
		return nil
	}
	return raw
}

func object(d *jx.Decoder, field func(d *jx.Decoder, key string) error) error {
	return d.ObjBytes(func(d *jx.Decoder, key []byte) error { return field(d, string(key)) })
}

func each[T any](d *jx.Decoder, to *[]T, one func(*jx.Decoder, *T) error) error {
	if d.Next() == jx.Null {
		return d.Null()
	}
	return d.Arr(func(d *jx.Decoder) error {
		var x T
		err := one(d, &x)
		*to = append(*to, x)
		return err
	})
}

func text(d *jx.Decoder, to *string) (err error) { *to, err = d.Str(); return err }
func whole(d *jx.Decoder, to *int) (err error)   { *to, err = d.Int(); return err }
func flag(d *jx.Decoder, to *bool) (err error)   { *to, err = d.Bool(); return err }

func millis(d *jx.Decoder, to *time.Duration) error {
	n, err := d.Int()
	*to = time.Duration(n) * time.Millisecond
	return err
}

// Read takes a whole plan, checks it and makes it ready.
//
// Example: p, err := form{}.Read(body)
func (form) Read(body []byte) (*routingconfig.Plan, error) {
	p := &routingconfig.Plan{}
	err := object(jx.DecodeBytes(body), func(d *jx.Decoder, key string) (err error) {
		switch key {
		case "versionOfPlan":
			p.Version, err = d.UInt64()
			return err
		case "routes":
			return each(d, &p.Routes, oneRoute)
		case "services":
			return each(d, &p.Services, oneService)
		case "tenants":
			return each(d, &p.Tenants, oneTenant)
		}
		return d.Skip()
	})
	if err == nil {
		err = routingconfig.Check(p)
	}
	if err != nil {
		return nil, errs.WrapAs(err, errs.BadInput, "plan")
	}
	return p.BuildIndex(), nil
}

func oneRoute(d *jx.Decoder, r *routingconfig.Route) error {
	return object(d, func(d *jx.Decoder, key string) error {
		switch key {
		case "name":
			return text(d, &r.Name)
		case "hostname":
			return text(d, &r.Host)
		case "prefixOfPath":
			return text(d, &r.Prefix)
		case "kindOfRoute":
			return whole(d, (*int)(&r.Kind))
		case "longestMs":
			return millis(d, &r.Timeout)
		case "latencyWantedMs":
			return millis(d, &r.LatencyTarget)
		case "gapWantedMs":
			return millis(d, &r.MaxEventGap)
		case "priority":
			return whole(d, &r.Priority)
		case "mostTries":
			return whole(d, &r.MaxAttempts)
		case "public":
			return flag(d, &r.Public)
		case "sessionDrawn":
			return flag(d, &r.NamesPromptParts)
		case "resumable":
			return flag(d, &r.Resumable)
		case "split":
			return each(d, &r.Split, func(d *jx.Decoder, s *routingconfig.WeightedService) error {
				return object(d, func(d *jx.Decoder, key string) error {
					if key == "weight" {
						return whole(d, &s.Weight)
					}
					return text(d, &s.Service)
				})
			})
		}
		return d.Skip()
	})
}

func oneService(d *jx.Decoder, s *routingconfig.Service) error {
	s.Engine = &routingconfig.Engine{}
	return object(d, func(d *jx.Decoder, key string) error {
		switch key {
		case "name":
			return text(d, &s.Name)
		case "healthAt":
			return text(d, &s.HealthPath)
		case "mostConnections":
			return whole(d, &s.MaxConns)
		case "slots":
			return whole(d, &s.Engine.Slots)
		case "room":
			return whole(d, &s.Engine.CapacityTokens)
		case "tokenBytes":
			return whole(d, &s.Engine.TokenBytes)
		case "models":
			return each(d, &s.Engine.Models, text)
		}
		return d.Skip()
	})
}

func oneTenant(d *jx.Decoder, t *routingconfig.Tenant) error {
	return object(d, func(d *jx.Decoder, key string) error {
		switch key {
		case "name":
			return text(d, &t.Name)
		case "keysHeld":
			return each(d, &t.Keys, text)
		case "priority":
			return whole(d, &t.Priority)
		case "isolated":
			return flag(d, &t.Isolated)
		}
		return d.Skip()
	})
}

// Merge takes whole plans alone.
//
// Example: kept, version, err := form{}.Merge(nil, body, false)
func (form) Merge(_, sent []byte, _ bool) ([]byte, uint64, error) {
	p, err := form{}.Read(sent)
	if err != nil {
		return nil, 0, err
	}
	return sent, p.Version, nil
}

// letters are as many by chance: names and keys say nothing, and pack badly.
func letters(d *rand.Rand, n int) string {
	l := make([]byte, n)
	for i := range l {
		l[i] = "abcdefghijklmnopqrstuvwxyz0123456789"[d.IntN(36)]
	}
	return string(l)
}

// sample is a plan of so many routes and tenants, over the services of all models.
func sample(number uint64, routes, tenants int) *routingconfig.Plan {
	p, d := &routingconfig.Plan{Version: number}, rand.New(rand.NewPCG(7, 11))
	hosts := make([]string, 23)
	for i := range hosts {
		hosts[i] = letters(d, 6) + ".example"
	}
	for i := range models {
		p.Services = append(p.Services, routingconfig.Service{Name: serviceName(i), HealthPath: "/health", MaxConns: 630, Engine: &routingconfig.Engine{Slots: 128, CapacityTokens: 320000, TokenBytes: 18432, Models: []string{modelName(i)}}})
	}
	for i := range routes {
		p.Routes = append(p.Routes, routingconfig.Route{Name: "r-" + letters(d, 7), Host: hosts[i%len(hosts)], Prefix: fmt.Sprintf("/%s%d/", letters(d, 6), i), Kind: routingconfig.EventStream,
			Timeout: 8 * time.Second, LatencyTarget: 600 * time.Millisecond, MaxEventGap: 250 * time.Millisecond, Priority: i % 3, MaxAttempts: 2, NamesPromptParts: true, Resumable: true, Split: []routingconfig.WeightedService{{Service: serviceName(i % models), Weight: 100}}})
	}
	for i := range tenants {
		p.Tenants = append(p.Tenants, routingconfig.Tenant{Name: fmt.Sprintf("%s%d", letters(d, 5), i), Keys: []string{letters(d, 20)}, Priority: i % 3, Isolated: i%4 == 0})
	}
	return p
}
