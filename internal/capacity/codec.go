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

// benchCodec is a stand-in for the form in which operators write plans: as many fields as theirs, names
// about as long, and read by the same library into the same plan.
type benchCodec struct{}

// encodePlan is a plan in that form.
func encodePlan(plan *routingconfig.Plan) []byte {
	type m = map[string]any
	var routes, services, tenants []m
	for _, route := range plan.Routes {
		var split []m
		for _, service := range route.Split {
			split = append(split, m{"takingService": service.Service, "weight": service.Weight})
		}
		routes = append(routes, m{"name": route.Name, "hostname": route.Host, "prefixOfPath": route.Prefix, "kindOfRoute": int(route.Kind), "longestMs": route.Timeout.Milliseconds(),
			"latencyWantedMs": route.LatencyTarget.Milliseconds(), "gapWantedMs": route.MaxEventGap.Milliseconds(), "priority": route.Priority, "mostTries": route.MaxAttempts, "public": route.Public, "sessionDrawn": route.NamesPromptParts, "resumable": route.Resumable, "split": split})
	}
	for _, service := range plan.Services {
		services = append(services, m{"name": service.Name, "healthAt": service.HealthPath, "mostConnections": service.MaxConns, "slots": service.Engine.Slots, "room": service.Engine.CapacityTokens, "tokenBytes": service.Engine.TokenBytes, "models": service.Engine.Models})
	}
	for _, tenant := range plan.Tenants {
		tenants = append(tenants, m{"name": tenant.Name, "keysHeld": tenant.Keys, "priority": tenant.Priority, "isolated": tenant.Isolated})
	}
	raw, err := json.Marshal(m{"versionOfPlan": plan.Version, "routes": routes, "services": services, "tenants": tenants})
	if err != nil {
		return nil
	}
	return raw
}

func decodeObject(d *jx.Decoder, field func(d *jx.Decoder, key string) error) error {
	return d.ObjBytes(func(d *jx.Decoder, key []byte) error { return field(d, string(key)) })
}

func decodeArray[T any](d *jx.Decoder, to *[]T, one func(*jx.Decoder, *T) error) error {
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

func decodeText(d *jx.Decoder, to *string) (err error) { *to, err = d.Str(); return err }
func decodeInt(d *jx.Decoder, to *int) (err error)     { *to, err = d.Int(); return err }
func decodeBool(d *jx.Decoder, to *bool) (err error)   { *to, err = d.Bool(); return err }

func decodeMillis(d *jx.Decoder, to *time.Duration) error {
	n, err := d.Int()
	*to = time.Duration(n) * time.Millisecond
	return err
}

// Read takes a whole plan, checks it and makes it ready.
//
// Example: p, err := form{}.Read(body)
func (benchCodec) Read(body []byte) (*routingconfig.Plan, error) {
	p := &routingconfig.Plan{}
	err := decodeObject(jx.DecodeBytes(body), func(d *jx.Decoder, key string) (err error) {
		switch key {
		case "versionOfPlan":
			p.Version, err = d.UInt64()
			return err
		case "routes":
			return decodeArray(d, &p.Routes, decodeRoute)
		case "services":
			return decodeArray(d, &p.Services, decodeService)
		case "tenants":
			return decodeArray(d, &p.Tenants, decodeTenant)
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

func decodeRoute(d *jx.Decoder, route *routingconfig.Route) error {
	return decodeObject(d, func(d *jx.Decoder, key string) error {
		switch key {
		case "name":
			return decodeText(d, &route.Name)
		case "hostname":
			return decodeText(d, &route.Host)
		case "prefixOfPath":
			return decodeText(d, &route.Prefix)
		case "kindOfRoute":
			return decodeInt(d, (*int)(&route.Kind))
		case "longestMs":
			return decodeMillis(d, &route.Timeout)
		case "latencyWantedMs":
			return decodeMillis(d, &route.LatencyTarget)
		case "gapWantedMs":
			return decodeMillis(d, &route.MaxEventGap)
		case "priority":
			return decodeInt(d, &route.Priority)
		case "mostTries":
			return decodeInt(d, &route.MaxAttempts)
		case "public":
			return decodeBool(d, &route.Public)
		case "sessionDrawn":
			return decodeBool(d, &route.NamesPromptParts)
		case "resumable":
			return decodeBool(d, &route.Resumable)
		case "split":
			return decodeArray(d, &route.Split, func(d *jx.Decoder, s *routingconfig.WeightedService) error {
				return decodeObject(d, func(d *jx.Decoder, key string) error {
					if key == "weight" {
						return decodeInt(d, &s.Weight)
					}
					return decodeText(d, &s.Service)
				})
			})
		}
		return d.Skip()
	})
}

func decodeService(d *jx.Decoder, service *routingconfig.Service) error {
	service.Engine = &routingconfig.Engine{}
	return decodeObject(d, func(d *jx.Decoder, key string) error {
		switch key {
		case "name":
			return decodeText(d, &service.Name)
		case "healthAt":
			return decodeText(d, &service.HealthPath)
		case "mostConnections":
			return decodeInt(d, &service.MaxConns)
		case "slots":
			return decodeInt(d, &service.Engine.Slots)
		case "room":
			return decodeInt(d, &service.Engine.CapacityTokens)
		case "tokenBytes":
			return decodeInt(d, &service.Engine.TokenBytes)
		case "models":
			return decodeArray(d, &service.Engine.Models, decodeText)
		}
		return d.Skip()
	})
}

func decodeTenant(d *jx.Decoder, tenant *routingconfig.Tenant) error {
	return decodeObject(d, func(d *jx.Decoder, key string) error {
		switch key {
		case "name":
			return decodeText(d, &tenant.Name)
		case "keysHeld":
			return decodeArray(d, &tenant.Keys, decodeText)
		case "priority":
			return decodeInt(d, &tenant.Priority)
		case "isolated":
			return decodeBool(d, &tenant.Isolated)
		}
		return d.Skip()
	})
}

// Merge takes whole plans alone.
//
// Example: kept, version, err := form{}.Merge(nil, body, false)
func (benchCodec) Merge(_, sent []byte, _ bool) ([]byte, uint64, error) {
	p, err := benchCodec{}.Read(sent)
	if err != nil {
		return nil, 0, err
	}
	return sent, p.Version, nil
}

// randomText are as many by chance: names and keys say nothing, and pack badly.
func randomText(d *rand.Rand, n int) string {
	l := make([]byte, n)
	for i := range l {
		l[i] = "abcdefghijklmnopqrstuvwxyz0123456789"[d.IntN(36)]
	}
	return string(l)
}

// samplePlan is a plan of so many routes and tenants, over the services of all models.
func samplePlan(number uint64, routes, tenants int) *routingconfig.Plan {
	plan, random := &routingconfig.Plan{Version: number}, rand.New(rand.NewPCG(7, 11))
	hosts := make([]string, 23)
	for i := range hosts {
		hosts[i] = randomText(random, 6) + ".example"
	}
	for i := range models {
		plan.Services = append(plan.Services, routingconfig.Service{Name: serviceName(i), HealthPath: "/health", MaxConns: 630, Engine: &routingconfig.Engine{Slots: 128, CapacityTokens: 320000, TokenBytes: 18432, Models: []string{modelName(i)}}})
	}
	for i := range routes {
		plan.Routes = append(plan.Routes, routingconfig.Route{Name: "r-" + randomText(random, 7), Host: hosts[i%len(hosts)], Prefix: fmt.Sprintf("/%s%d/", randomText(random, 6), i), Kind: routingconfig.EventStream,
			Timeout: 8 * time.Second, LatencyTarget: 600 * time.Millisecond, MaxEventGap: 250 * time.Millisecond, Priority: i % 3, MaxAttempts: 2, NamesPromptParts: true, Resumable: true, Split: []routingconfig.WeightedService{{Service: serviceName(i % models), Weight: 100}}})
	}
	for i := range tenants {
		plan.Tenants = append(plan.Tenants, routingconfig.Tenant{Name: fmt.Sprintf("%s%d", randomText(random, 5), i), Keys: []string{randomText(random, 20)}, Priority: i % 3, Isolated: i%4 == 0})
	}
	return plan
}
