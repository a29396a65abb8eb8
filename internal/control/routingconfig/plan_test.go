package routingconfig

import (
	"fmt"
	"math"
	"strings"
	"testing"
	"time"

	"pebbleloom/internal/errs"
)

// newRoute is a valid route to a service named s.
func newRoute(name, host, prefix string) Route {
	return Route{Name: name, Host: host, Prefix: prefix, Timeout: time.Second, Split: []WeightedService{{"s", 1}}}
}

// newPlan is a plan of these routes to the services s and u.
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
			t.Errorf("%s%s: %v, want %q", test.host, test.path, route, test.name)
		}
	}
	if _, ok := newPlan(newRoute("a", "one.example", "/a/")).MatchRoute("one.example", "/a/"); ok {
		t.Error("a plan without its index finds a route")
	}
}

// A lookup finds what a linear scan over all routes finds.
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
				t.Fatalf("%s among %v: %v, want %q", path, used, route, want)
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
			t.Errorf("key %q: %v", key, tenant)
		}
	}
	if service, ok := plan.ServiceByName("s"); !ok || service.HealthPath != "/last" {
		t.Errorf("of two services with one name: %v", service)
	}
	if _, ok := plan.ServiceByName("none"); ok {
		t.Error("an unknown service was found")
	}
	if plan.BuildIndex() != plan || len(plan.routesByHost) != 0 {
		t.Error("the index was built twice")
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
				t.Fatal("one ID, two services")
			}
			got[name] += 1.0 / n
		}
		if len(got) != len(test.want) {
			t.Errorf("%v: %v", test.split, got)
		}
		for name, share := range test.want {
			if math.Abs(got[name]-share) > 0.01 {
				t.Errorf("%v: %s gets %.3f, want %.3f", test.split, name, got[name], share)
			}
		}
	}
}

func TestCheckRejectsInvalidPlans(t *testing.T) {
	for name, test := range map[string]struct {
		change func(p *Plan)
		want   string // in the error; none: it is valid
	}{
		"as it is":                      {func(*Plan) {}, ""},
		"no version":                    {func(p *Plan) { p.Version = 0 }, "version"},
		"unknown service":               {func(p *Plan) { p.Routes[1].Split[0].Service = "gone" }, `route "b": service "gone"`},
		"unknown service of weight 0":   {func(p *Plan) { p.Routes[1].Split = []WeightedService{{"s", 1}, {"gone", 0}} }, `route "b": service "gone"`},
		"no service at all":             {func(p *Plan) { p.Routes[0].Split = nil }, `route "a": its weights`},
		"weights of 0":                  {func(p *Plan) { p.Routes[0].Split = []WeightedService{{"s", 0}, {"u", 0}} }, `route "a": its weights`},
		"one weight of 0":               {func(p *Plan) { p.Routes[0].Split = []WeightedService{{"s", 0}, {"u", 1}} }, ""},
		"no timeout":                    {func(p *Plan) { p.Routes[1].Timeout = 0 }, `route "b": timeout`},
		"same host and prefix":          {func(p *Plan) { p.Routes[1].Prefix = "/a/" }, `those of route "a"`},
		"same host in capitals":         {func(p *Plan) { p.Routes[1].Prefix, p.Routes[1].Host = "/a/", "H" }, `those of route "a"`},
		"same prefix, another host":     {func(p *Plan) { p.Routes[1].Prefix, p.Routes[1].Host = "/a/", "g" }, ""},
		"two tenants, one key":          {func(p *Plan) { p.Tenants[1].Keys = []string{"k9", "k1"} }, `tenant "two": shares a key with tenant "one"`},
		"a key twice at one tenant":     {func(p *Plan) { p.Tenants[0].Keys = []string{"k1", "k1"} }, ""},
		"routes of one name":            {func(p *Plan) { p.Routes[1].Name = "a" }, ""},
		"services of one name":          {func(p *Plan) { p.Services[1].Name = "s" }, ""},
		"a prefix without its slash":    {func(p *Plan) { p.Routes[1].Prefix = "b" }, ""},
		"no tenants":                    {func(p *Plan) { p.Tenants = nil }, ""},
		"no routes, no services at all": {func(p *Plan) { *p = Plan{Version: 3} }, ""},
	} {
		plan := newPlan(newRoute("a", "h", "/a/"), newRoute("b", "h", "/b/"))
		plan.Tenants = []Tenant{{Name: "one", Keys: []string{"k1", "k2"}}, {Name: "two", Keys: []string{"k3"}}}
		test.change(plan)
		err := Check(plan)
		if (err != nil) != (test.want != "") {
			t.Errorf("%s: %v", name, err)
		}
		if err != nil && (errs.KindOf(err) != errs.BadInput || !strings.Contains(err.Error(), test.want)) {
			t.Errorf("%s: %v", name, err)
		}
	}
}

func TestCheckReportsEveryFault(t *testing.T) {
	plan := newPlan(newRoute("a", "h", "/a/"), newRoute("b", "h", "/a/"))
	plan.Version, plan.Routes[0].Timeout, plan.Routes[1].Split[0].Service = 0, 0, "gone"
	err := Check(plan)
	for _, want := range []string{"4 faults", "version", `route "a": timeout`, `route "b": service "gone"`, `host "h" and prefix "/a/"`} {
		if err == nil || !strings.Contains(err.Error(), want) {
			t.Errorf("%v: doesn't name %s", err, want)
		}
	}
}

func TestVersionMustIncrease(t *testing.T) {
	for _, test := range []struct {
		inForce, next uint64
		ok            bool
	}{{0, 0, false}, {0, 1, true}, {7, 7, false}, {7, 6, false}, {7, 8, true}, {7, 100, true}} {
		if err := CheckSuccessor(test.inForce, test.next); (err == nil) != test.ok || err != nil && errs.KindOf(err) != errs.BadInput {
			t.Errorf("%d after %d: %v", test.next, test.inForce, err)
		}
	}
}

// newLargePlan is a plan of n routes at five hosts.
func newLargePlan(n int) *Plan {
	plan := newPlan()
	for i := range n {
		plan.Routes = append(plan.Routes, newRoute(fmt.Sprint("r", i), fmt.Sprintf("h%d.example", i%5), fmt.Sprintf("/p%d/", i)))
	}
	return plan
}

// A lookup allocates nothing, and takes as long among thousands of routes as among a few.
func TestLookupDoesNotAllocate(t *testing.T) {
	plan := newLargePlan(3500).BuildIndex()
	path := "/p3000/" + strings.Repeat("a/", 8000) // no slash beyond the longest prefix is looked at
	if n := testing.AllocsPerRun(100, func() {
		if route, ok := plan.MatchRoute("h0.example:8080", path); !ok || route.Name != "r3000" {
			t.Fatal(route)
		}
	}); n != 0 {
		t.Errorf("%v allocations in a lookup", n)
	}
}

func BenchmarkRoute(b *testing.B) {
	for _, n := range []int{10, 350, 3500} {
		plan := newLargePlan(n).BuildIndex()
		last := plan.Routes[n-1]
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			for b.Loop() {
				if _, ok := plan.MatchRoute(last.Host, last.Prefix+"some/thing"); !ok {
					b.Fatal("not found")
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
