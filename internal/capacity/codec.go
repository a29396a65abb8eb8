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

// benchCodec is a codec for plans like the platform's: it has as many fields with names about as long, and decodes them
// with the same library into the same plan.
type benchCodec struct{}

// encodePlan encodes a plan as benchCodec reads it.
func encodePlan(plan *routingconfig.Plan) []byte {
	type object = map[string]any
	var routes, services, tenants []object
	for _, route := range plan.Routes {
		var split []object
		for _, service := range route.Split {
			split = append(split, object{"takingService": service.Service, "weight": service.Weight})
		}
		routes = append(routes, object{"name": route.Name, "hostname": route.Host, "prefixOfPath": route.Prefix, "kindOfRoute": int(route.Kind), "longestMs": route.Timeout.Milliseconds(),
			"latencyWantedMs": route.LatencyTarget.Milliseconds(), "gapWantedMs": route.MaxEventGap.Milliseconds(), "priority": route.Priority, "mostTries": route.MaxAttempts, "public": route.Public, "sessionDrawn": route.CarriesPromptPartIDs, "resumable": route.Resumable, "split": split})
	}
	for _, service := range plan.Services {
		services = append(services, object{"name": service.Name, "healthAt": service.HealthPath, "mostConnections": service.MaxConns, "slots": service.Engine.Slots, "room": service.Engine.CapacityTokens, "tokenBytes": service.Engine.TokenBytes, "models": service.Engine.Models})
	}
	for _, tenant := range plan.Tenants {
		tenants = append(tenants, object{"name": tenant.Name, "keysHeld": tenant.Keys, "priority": tenant.Priority, "isolated": tenant.Isolated})
	}
	raw, err := json.Marshal(object{"versionOfPlan": plan.Version, "routes": routes, "services": services, "tenants": tenants})
	if err != nil {
		return nil
	}
	return raw
}

func decodeObject(decoder *jx.Decoder, field func(decoder *jx.Decoder, key string) error) error {
	return decoder.ObjBytes(func(decoder *jx.Decoder, key []byte) error { return field(decoder, string(key)) })
}

func decodeArray[T any](decoder *jx.Decoder, to *[]T, one func(*jx.Decoder, *T) error) error {
	if decoder.Next() == jx.Null {
		return decoder.Null()
	}
	return decoder.Arr(func(decoder *jx.Decoder) error {
		var x T
		err := one(decoder, &x)
		*to = append(*to, x)
		return err
	})
}

func decodeText(decoder *jx.Decoder, to *string) (err error) { *to, err = decoder.Str(); return err }
func decodeInt(decoder *jx.Decoder, to *int) (err error)     { *to, err = decoder.Int(); return err }
func decodeBool(decoder *jx.Decoder, to *bool) (err error)   { *to, err = decoder.Bool(); return err }

func decodeMillis(decoder *jx.Decoder, to *time.Duration) error {
	n, err := decoder.Int()
	*to = time.Duration(n) * time.Millisecond
	return err
}

// Read decodes, checks and indexes a plan. It fails with errs.BadInput for an invalid plan.
//
// Example: plan, err := benchCodec{}.Read(body)
func (benchCodec) Read(body []byte) (*routingconfig.Plan, error) {
	plan := &routingconfig.Plan{}
	err := decodeObject(jx.DecodeBytes(body), func(decoder *jx.Decoder, key string) (err error) {
		switch key {
		case "versionOfPlan":
			plan.Version, err = decoder.UInt64()
			return err
		case "routes":
			return decodeArray(decoder, &plan.Routes, decodeRoute)
		case "services":
			return decodeArray(decoder, &plan.Services, decodeService)
		case "tenants":
			return decodeArray(decoder, &plan.Tenants, decodeTenant)
		}
		return decoder.Skip()
	})
	if err == nil {
		err = routingconfig.Check(plan)
	}
	if err != nil {
		return nil, errs.WrapAs(err, errs.BadInput, "plan")
	}
	return plan.BuildIndex(), nil
}

func decodeRoute(decoder *jx.Decoder, route *routingconfig.Route) error {
	return decodeObject(decoder, func(decoder *jx.Decoder, key string) error {
		switch key {
		case "name":
			return decodeText(decoder, &route.Name)
		case "hostname":
			return decodeText(decoder, &route.Host)
		case "prefixOfPath":
			return decodeText(decoder, &route.Prefix)
		case "kindOfRoute":
			return decodeInt(decoder, (*int)(&route.Kind))
		case "longestMs":
			return decodeMillis(decoder, &route.Timeout)
		case "latencyWantedMs":
			return decodeMillis(decoder, &route.LatencyTarget)
		case "gapWantedMs":
			return decodeMillis(decoder, &route.MaxEventGap)
		case "priority":
			return decodeInt(decoder, &route.Priority)
		case "mostTries":
			return decodeInt(decoder, &route.MaxAttempts)
		case "public":
			return decodeBool(decoder, &route.Public)
		case "sessionDrawn":
			return decodeBool(decoder, &route.CarriesPromptPartIDs)
		case "resumable":
			return decodeBool(decoder, &route.Resumable)
		case "split":
			return decodeArray(decoder, &route.Split, func(decoder *jx.Decoder, s *routingconfig.WeightedService) error {
				return decodeObject(decoder, func(decoder *jx.Decoder, key string) error {
					if key == "weight" {
						return decodeInt(decoder, &s.Weight)
					}
					return decodeText(decoder, &s.Service)
				})
			})
		}
		return decoder.Skip()
	})
}

func decodeService(decoder *jx.Decoder, service *routingconfig.Service) error {
	service.Engine = &routingconfig.Engine{}
	return decodeObject(decoder, func(decoder *jx.Decoder, key string) error {
		switch key {
		case "name":
			return decodeText(decoder, &service.Name)
		case "healthAt":
			return decodeText(decoder, &service.HealthPath)
		case "mostConnections":
			return decodeInt(decoder, &service.MaxConns)
		case "slots":
			return decodeInt(decoder, &service.Engine.Slots)
		case "room":
			return decodeInt(decoder, &service.Engine.CapacityTokens)
		case "tokenBytes":
			return decodeInt(decoder, &service.Engine.TokenBytes)
		case "models":
			return decodeArray(decoder, &service.Engine.Models, decodeText)
		}
		return decoder.Skip()
	})
}

func decodeTenant(decoder *jx.Decoder, tenant *routingconfig.Tenant) error {
	return decodeObject(decoder, func(decoder *jx.Decoder, key string) error {
		switch key {
		case "name":
			return decodeText(decoder, &tenant.Name)
		case "keysHeld":
			return decodeArray(decoder, &tenant.Keys, decodeText)
		case "priority":
			return decodeInt(decoder, &tenant.Priority)
		case "isolated":
			return decodeBool(decoder, &tenant.Isolated)
		}
		return decoder.Skip()
	})
}

// Merge returns the plan that was sent, which has to be complete, and its version.
//
// Example: plan, version, err := benchCodec{}.Merge(nil, body, false)
func (benchCodec) Merge(_, sent []byte, _ bool) ([]byte, uint64, error) {
	plan, err := benchCodec{}.Read(sent)
	if err != nil {
		return nil, 0, err
	}
	return sent, plan.Version, nil
}

// Tenants decodes the tenants of a plan.
//
// Example: tenants, err := benchCodec{}.Tenants(body)
func (benchCodec) Tenants(body []byte) ([]routingconfig.Tenant, error) {
	plan, err := benchCodec{}.Read(body)
	if err != nil {
		return nil, err
	}
	return plan.Tenants, nil
}

// randomText returns random characters, which compress badly, like real names and keys.
func randomText(random *rand.Rand, length int) string {
	text := make([]byte, length)
	for i := range text {
		text[i] = "abcdefghijklmnopqrstuvwxyz0123456789"[random.IntN(36)]
	}
	return string(text)
}

// samplePlan returns a plan with a number of routes and tenants, and a service for each model.
func samplePlan(number uint64, routes, tenants int) *routingconfig.Plan {
	plan, random := &routingconfig.Plan{Version: number}, rand.New(rand.NewPCG(7, 11))
	hosts := make([]string, 23)
	for i := range hosts {
		hosts[i] = randomText(random, 6) + ".example"
	}
	for i := range modelCount {
		plan.Services = append(plan.Services, routingconfig.Service{Name: serviceName(i), HealthPath: "/health", MaxConns: 630, Engine: &routingconfig.Engine{Slots: 128, CapacityTokens: 320000, TokenBytes: 18432, Models: []string{modelName(i)}}})
	}
	for i := range routes {
		plan.Routes = append(plan.Routes, routingconfig.Route{Name: "r-" + randomText(random, 7), Host: hosts[i%len(hosts)], Prefix: fmt.Sprintf("/%s%d/", randomText(random, 6), i), Kind: routingconfig.EventStream,
			Timeout: 8 * time.Second, LatencyTarget: 600 * time.Millisecond, MaxEventGap: 250 * time.Millisecond, Priority: i % 3, MaxAttempts: 2, CarriesPromptPartIDs: true, Resumable: true, Split: []routingconfig.WeightedService{{Service: serviceName(i % modelCount), Weight: 100}}})
	}
	for i := range tenants {
		plan.Tenants = append(plan.Tenants, routingconfig.Tenant{Name: fmt.Sprintf("%s%d", randomText(random, 5), i), Keys: []string{randomText(random, 20)}, Priority: i % 3, Isolated: i%4 == 0})
	}
	return plan
}
