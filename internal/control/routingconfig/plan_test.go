package routingconfig

import (
	"fmt"
	"math"
	"strings"
	"testing"
	"time"

	"pebbleloom/internal/errs"
)

// newRoute returns a valid route to a service named s.
func newRoute(name, host, prefix string) Route {
	return Route{Name: name, Host: host, Prefix: prefix, Timeout: time.Second, Split: []WeightedService{{"s", 1}}}
}

// newPlan returns a routing configuration with the given routes and two services, named s and u.
func newPlan(routes ...Route) *Plan {
	return &Plan{Version: 1, Routes: routes, Services: []Service{{Name: "s"}, {Name: "u"}}}
}

func TestLongestPrefixWins(t *testing.T) {
	plan := newPlan(newRoute("a", "one.example", "/a/"), newRoute("ab", "one.example", "/a/b/"), newRoute("abc", "one.example", "/a/b/c/d/"),
		newRoute("root", "two.example", "/"), newRoute("bare", "two.example", "/x"), newRoute("bare2", "two.example", "/x/yy"), newRoute("x", "two.example", "/x/"),
		newRoute("big", "Three.Example:80", "/A/")).BuildIndex()
	for _, test := range []struct{ host, path, name string }{
		{"one.example", "/a/", "a"}, {"one.example", "/a/1", "a"}, {"one.example", "/a", ""}, {"one.example", "/", ""}, {"one.example", "", ""},
		{"one.example", "/a/b", "a"}, {"one.example", "/a/b/", "ab"}, {"one.example", "/a/b/c/d", "ab"}, {"one.example", "/a/b/c/d/e/f", "abc"},
		{"one.example", "/A/", ""}, {"one.example", "/b/a/", ""}, {"one.example", "//a/", ""}, {"one.example", "/a//b/", "a"},
		{"one.example:8080", "/a/1", "a"}, {"ONE.example", "/a/1", "a"}, {"one.example.", "/a/1", ""}, {"x.one.example", "/a/1", ""}, {"", "/a/1", ""},
		{"two.example", "/", "root"}, {"two.example", "/q/r/s", "root"}, {"two.example", "/xy", "bare"}, {"two.example", "/x/", "x"},
		{"two.example", "/x/y", "x"}, {"two.example", "/x/yyy", "bare2"}, {"two.example", "", ""}, {"two.example", "*", ""},
		{"three.example", "/A/b", "big"}, {"three.example:81", "/a/b", ""},
	} {
		route, ok := plan.MatchRoute(test.host, test.path)
		if ok != (test.name != "") || ok && route.Name != test.name {
			t.Errorf("MatchRoute for host %q and path %q: route %v, want the one named %q (empty: none)", test.host, test.path, route, test.name)
		}
	}
	if _, ok := newPlan(newRoute("a", "one.example", "/a/")).MatchRoute("one.example", "/a/"); ok {
		t.Error("MatchRoute before BuildIndex found a route, want none")
	}
}

// For many combinations of prefixes, MatchRoute returns the same route as a linear scan over all routes.
func TestLookupMatchesLinearScan(t *testing.T) {
	parts := []string{"/", "a", "/b", "/a/", "b/"}
	var all []string
	for _, first := range parts {
		for _, second := range parts {
			for _, third := range append(parts, "") {
				all = append(all, first+second+third)
			}
		}
	}
	for seed := range 200 {
		plan := newPlan()
		used := map[string]bool{}
		for i := range 12 {
			if prefix := all[(seed*31+i*i*7+i*13)%len(all)]; !used[prefix] {
				used[prefix] = true
				plan.Routes = append(plan.Routes, newRoute(prefix, "h", prefix))
			}
		}
		plan.BuildIndex()
		for _, path := range all {
			want := ""
			for _, route := range plan.Routes {
				if strings.HasPrefix(path, route.Prefix) && len(route.Prefix) > len(want) {
					want = route.Prefix
				}
			}
			if route, ok := plan.MatchRoute("h", path); ok != (want != "") || ok && route.Prefix != want {
				t.Fatalf("MatchRoute of path %q among routes with the prefixes %v: route %v, want the one with prefix %q (empty: none)", path, used, route, want)
			}
		}
	}
}

func TestTenantAndServiceLookup(t *testing.T) {
	plan := newPlan()
	plan.Tenants = []Tenant{{Name: "one", Keys: []string{"k1", "k2", ""}}, {Name: "two", Keys: []string{"k3"}}}
	plan.Services = append(plan.Services, Service{Name: "s", HealthPath: "/last"})
	plan.BuildIndex()
	for key, want := range map[string]string{"k1": "one", "k2": "one", "k3": "two", "k": "", "": ""} {
		if tenant, ok := plan.TenantByKey(key); ok != (want != "") || ok && tenant.Name != want {
			t.Errorf("TenantByKey(%q): tenant %v, want the one named %q (empty: none)", key, tenant, want)
		}
	}
	if service, ok := plan.ServiceByName("s"); !ok || service.HealthPath != "/last" {
		t.Errorf("ServiceByName with two services of the same name: %v, want the last one, with health path /last", service)
	}
	if _, ok := plan.ServiceByName("none"); ok {
		t.Error("ServiceByName of an unknown name found a service, want none")
	}
	if plan.BuildIndex() != plan || len(plan.routesByHost) != 0 {
		t.Error("second BuildIndex returned another plan or changed the lookup tables, want the same plan unchanged")
	}
}

func TestSplitFollowsWeights(t *testing.T) {
	for _, test := range []struct {
		split []WeightedService
		want  map[string]float64
	}{
		{[]WeightedService{{"s", 3}}, map[string]float64{"s": 1}},
		{[]WeightedService{{"s", 90}, {"u", 10}}, map[string]float64{"s": 0.9, "u": 0.1}},
		{[]WeightedService{{"s", 50}, {"u", 25}, {"s", 25}}, map[string]float64{"s": 0.75, "u": 0.25}},
		{[]WeightedService{{"u", 0}, {"s", 1}, {"u", 0}}, map[string]float64{"s": 1}},
		{[]WeightedService{{"u", -5}, {"s", 1}}, map[string]float64{"s": 1}},
		{nil, map[string]float64{"": 1}},
	} {
		route := Route{Split: test.split}
		got := map[string]float64{}
		const n = 40000
		for i := range n {
			id := fmt.Sprintf("%016x", i)
			name := route.SelectService(id)
			if route.SelectService(id) != name {
				t.Fatalf("SelectService for attempt ID %s: got %s and then another service, want the same one", id, name)
			}
			got[name] += 1.0 / n
		}
		if len(got) != len(test.want) {
			t.Errorf("SelectService with weights %v: shares of attempts by service %v, want %v", test.split, got, test.want)
		}
		for name, share := range test.want {
			if math.Abs(got[name]-share) > 0.01 {
				t.Errorf("SelectService with weights %v: service %s gets %.3f of the attempts, want %.3f", test.split, name, got[name], share)
			}
		}
	}
}

func TestCheckRejectsInvalidPlans(t *testing.T) {
	for name, test := range map[string]struct {
		change func(p *Plan)
		want   string // expected substring of the error of Check; empty if the plan is valid
	}{
		"unchanged valid plan":                                        {func(*Plan) {}, ""},
		"version 0":                                                   {func(p *Plan) { p.Version = 0 }, "version"},
		"route to an unknown service":                                 {func(p *Plan) { p.Routes[1].Split[0].Service = "gone" }, `route "b": service "gone"`},
		"route to an unknown service of weight 0":                     {func(p *Plan) { p.Routes[1].Split = []WeightedService{{"s", 1}, {"gone", 0}} }, `route "b": service "gone"`},
		"route without services":                                      {func(p *Plan) { p.Routes[0].Split = nil }, `route "a": its weights`},
		"all weights of a route are 0":                                {func(p *Plan) { p.Routes[0].Split = []WeightedService{{"s", 0}, {"u", 0}} }, `route "a": its weights`},
		"one of two weights of a route is 0":                          {func(p *Plan) { p.Routes[0].Split = []WeightedService{{"s", 0}, {"u", 1}} }, ""},
		"route with a timeout of 0":                                   {func(p *Plan) { p.Routes[1].Timeout = 0 }, `route "b": timeout`},
		"two routes with the same host and prefix":                    {func(p *Plan) { p.Routes[1].Prefix = "/a/" }, `already used by route "a"`},
		"two routes with the same prefix and host, one in upper case": {func(p *Plan) { p.Routes[1].Prefix, p.Routes[1].Host = "/a/", "H" }, `already used by route "a"`},
		"two routes with the same prefix and different hosts":         {func(p *Plan) { p.Routes[1].Prefix, p.Routes[1].Host = "/a/", "g" }, ""},
		"API key shared by two tenants":                               {func(p *Plan) { p.Tenants[1].Keys = []string{"k9", "k1"} }, `tenant "two": shares a key with tenant "one"`},
		"API key listed twice for one tenant":                         {func(p *Plan) { p.Tenants[0].Keys = []string{"k1", "k1"} }, ""},
		"two routes of the same name":                                 {func(p *Plan) { p.Routes[1].Name = "a" }, ""},
		"two services of the same name":                               {func(p *Plan) { p.Services[1].Name = "s" }, ""},
		"route prefix without a slash":                                {func(p *Plan) { p.Routes[1].Prefix = "b" }, ""},
		"no tenants":                                                  {func(p *Plan) { p.Tenants = nil }, ""},
		"no routes and no services":                                   {func(p *Plan) { *p = Plan{Version: 3} }, ""},
	} {
		plan := newPlan(newRoute("a", "h", "/a/"), newRoute("b", "h", "/b/"))
		plan.Tenants = []Tenant{{Name: "one", Keys: []string{"k1", "k2"}}, {Name: "two", Keys: []string{"k3"}}}
		test.change(plan)
		err := Check(plan)
		if (err != nil) != (test.want != "") {
			t.Errorf("Check of a routing configuration, case %q: error %v, want one that contains %q (empty: no error)", name, err, test.want)
		}
		if err != nil && (errs.KindOf(err) != errs.BadInput || !strings.Contains(err.Error(), test.want)) {
			t.Errorf("Check of a routing configuration, case %q: error %v, want one of kind %s that contains %q", name, err, errs.BadInput.Name, test.want)
		}
	}
}

func TestCheckReportsEveryFault(t *testing.T) {
	plan := newPlan(newRoute("a", "h", "/a/"), newRoute("b", "h", "/a/"))
	plan.Version, plan.Routes[0].Timeout, plan.Routes[1].Split[0].Service = 0, 0, "gone"
	err := Check(plan)
	for _, want := range []string{"4 faults", "version", `route "a": timeout`, `route "b": service "gone"`, `host "h" and prefix "/a/"`} {
		if err == nil || !strings.Contains(err.Error(), want) {
			t.Errorf("Check of a routing configuration with four faults: error %v, want one that contains %q", err, want)
		}
	}
}

func TestVersionMustIncrease(t *testing.T) {
	for _, test := range []struct {
		inForce, next uint64
		ok            bool
	}{{0, 0, false}, {0, 1, true}, {7, 7, false}, {7, 6, false}, {7, 8, true}, {7, 100, true}} {
		if err := CheckSuccessor(test.inForce, test.next); (err == nil) != test.ok || err != nil && errs.KindOf(err) != errs.BadInput {
			t.Errorf("CheckSuccessor of routing configuration version %d with version %d in force: error %v, want success: %v", test.next, test.inForce, err, test.ok)
		}
	}
}

// newLargePlan returns a routing configuration with n routes, spread over five hosts.
func newLargePlan(n int) *Plan {
	plan := newPlan()
	for i := range n {
		plan.Routes = append(plan.Routes, newRoute(fmt.Sprint("r", i), fmt.Sprintf("h%d.example", i%5), fmt.Sprintf("/p%d/", i)))
	}
	return plan
}

// MatchRoute does not allocate, even in a routing configuration with thousands of routes and for a long path.
func TestLookupDoesNotAllocate(t *testing.T) {
	plan := newLargePlan(3500).BuildIndex()
	path := "/p3000/" + strings.Repeat("a/", 8000) // a long path with thousands of slashes, of which MatchRoute probes only those within the longest prefix
	if n := testing.AllocsPerRun(100, func() {
		if route, ok := plan.MatchRoute("h0.example:8080", path); !ok || route.Name != "r3000" {
			t.Fatalf("MatchRoute in a routing configuration of 3500 routes: route %v, want the one named r3000", route)
		}
	}); n != 0 {
		t.Errorf("MatchRoute made %v allocations per call, want 0", n)
	}
}

func BenchmarkRoute(b *testing.B) {
	for _, n := range []int{10, 350, 3500} {
		plan := newLargePlan(n).BuildIndex()
		last := plan.Routes[n-1]
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			for b.Loop() {
				if _, ok := plan.MatchRoute(last.Host, last.Prefix+"some/thing"); !ok {
					b.Fatalf("MatchRoute found no route for host %s and prefix %s", last.Host, last.Prefix)
				}
			}
		})
	}
}

func BenchmarkBuildIndex350(b *testing.B) {
	plan := newLargePlan(350)
	for b.Loop() {
		plan.routesByHost = nil
		plan.BuildIndex()
	}
}

func BenchmarkCheck350(b *testing.B) {
	plan := newLargePlan(350)
	for b.Loop() {
		if err := Check(plan); err != nil {
			b.Fatal(err)
		}
	}
}

// A plan whose last tenants were removed was taken for one that never had tenants, so revoked keys were accepted.
func TestWhenAKeyIsRequired(t *testing.T) {
	tenants := []Tenant{{Name: "a", Keys: []string{"key"}}}
	for _, test := range []struct {
		name                     string
		plan                     Plan
		withoutKey, withAKeyOnly bool
	}{
		{"has tenants", Plan{Tenants: tenants, ListsTenants: true, HadTenants: true}, true, true},
		{"has tenants, history not known", Plan{Tenants: tenants, ListsTenants: true}, true, true},
		{"never had tenants", Plan{}, false, false},
		{"never had tenants, empty list", Plan{ListsTenants: true}, false, false},
		{"last tenants removed, empty list", Plan{ListsTenants: true, HadTenants: true}, true, true},
		{"last tenants removed, no list", Plan{HadTenants: true}, false, true},
	} {
		if got := test.plan.RequiresKey(false); got != test.withoutKey {
			t.Errorf("plan that %s: a request without a key requires one: got %v, want %v", test.name, got, test.withoutKey)
		}
		if got := test.plan.RequiresKey(true); got != test.withAKeyOnly {
			t.Errorf("plan that %s: the key of a request is checked: got %v, want %v", test.name, got, test.withAKeyOnly)
		}
	}
}
