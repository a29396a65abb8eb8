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

func newPlan(routes ...Route) *Plan {
	return &Plan{Version: 1, Routes: routes, Services: []Service{{Name: "s"}, {Name: "u"}}}
}

func TestLongestPrefixWins(t *testing.T) {
	p := newPlan(newRoute("a", "one.example", "/a/"), newRoute("ab", "one.example", "/a/b/"), newRoute("abc", "one.example", "/a/b/c/d/"),
		newRoute("root", "two.example", "/"), newRoute("bare", "two.example", "/x"), newRoute("bare2", "two.example", "/x/yy"), newRoute("x", "two.example", "/x/"),
		newRoute("big", "Three.Example:80", "/A/")).BuildIndex()
	for _, c := range []struct{ host, path, name string }{
		{"one.example", "/a/", "a"}, {"one.example", "/a/1", "a"}, {"one.example", "/a", ""}, {"one.example", "/", ""}, {"one.example", "", ""},
		{"one.example", "/a/b", "a"}, {"one.example", "/a/b/", "ab"}, {"one.example", "/a/b/c/d", "ab"}, {"one.example", "/a/b/c/d/e/f", "abc"},
		{"one.example", "/A/", ""}, {"one.example", "/b/a/", ""}, {"one.example", "//a/", ""}, {"one.example", "/a//b/", "a"},
		{"one.example:8080", "/a/1", "a"}, {"ONE.example", "/a/1", "a"}, {"one.example.", "/a/1", ""}, {"x.one.example", "/a/1", ""}, {"", "/a/1", ""},
		{"two.example", "/", "root"}, {"two.example", "/q/r/s", "root"}, {"two.example", "/xy", "bare"}, {"two.example", "/x/", "x"},
		{"two.example", "/x/y", "x"}, {"two.example", "/x/yyy", "bare2"}, {"two.example", "", ""}, {"two.example", "*", ""},
		{"three.example", "/A/b", "big"}, {"three.example:81", "/a/b", ""},
	} {
		r, ok := p.MatchRoute(c.host, c.path)
		if ok != (c.name != "") || ok && r.Name != c.name {
			t.Errorf("%s%s: %v, want %q", c.host, c.path, r, c.name)
		}
	}
	if _, ok := newPlan(newRoute("a", "one.example", "/a/")).MatchRoute("one.example", "/a/"); ok {
		t.Error("a plan that isn't ready finds a route")
	}
}

// What a look-up finds is what a walk over all routes finds.
func TestLookupMatchesLinearScan(t *testing.T) {
	parts := []string{"/", "a", "/b", "/a/", "b/"}
	var all []string
	for _, x := range parts {
		for _, y := range parts {
			for _, z := range append(parts, "") {
				all = append(all, x+y+z)
			}
		}
	}
	for seed := range 200 {
		p := newPlan()
		taken := map[string]bool{}
		for i := range 12 {
			if x := all[(seed*31+i*i*7+i*13)%len(all)]; !taken[x] {
				taken[x] = true
				p.Routes = append(p.Routes, newRoute(x, "h", x))
			}
		}
		p.BuildIndex()
		for _, path := range all {
			want := ""
			for _, r := range p.Routes {
				if strings.HasPrefix(path, r.Prefix) && len(r.Prefix) > len(want) {
					want = r.Prefix
				}
			}
			if r, ok := p.MatchRoute("h", path); ok != (want != "") || ok && r.Prefix != want {
				t.Fatalf("%s among %v: %v, want %q", path, taken, r, want)
			}
		}
	}
}

func TestTenantAndServiceLookup(t *testing.T) {
	p := newPlan()
	p.Tenants = []Tenant{{Name: "one", Keys: []string{"k1", "k2", ""}}, {Name: "two", Keys: []string{"k3"}}}
	p.Services = append(p.Services, Service{Name: "s", HealthPath: "/last"})
	p.BuildIndex()
	for k, want := range map[string]string{"k1": "one", "k2": "one", "k3": "two", "k": "", "": ""} {
		if x, ok := p.TenantByKey(k); ok != (want != "") || ok && x.Name != want {
			t.Errorf("key %q: %v", k, x)
		}
	}
	if s, ok := p.ServiceByName("s"); !ok || s.HealthPath != "/last" {
		t.Errorf("of two services with one name: %v", s)
	}
	if _, ok := p.ServiceByName("none"); ok {
		t.Error("a service that isn't there was found")
	}
	if p.BuildIndex() != p || len(p.routesByHost) != 0 {
		t.Error("a ready plan was built anew")
	}
}

func TestSplitFollowsWeights(t *testing.T) {
	for _, c := range []struct {
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
		r := Route{Split: c.split}
		got := map[string]float64{}
		const n = 40000
		for i := range n {
			id := fmt.Sprintf("%016x", i)
			name := r.SelectService(id)
			if r.SelectService(id) != name {
				t.Fatal("one id, two services")
			}
			got[name] += 1.0 / n
		}
		if len(got) != len(c.want) {
			t.Errorf("%v: %v", c.split, got)
		}
		for name, share := range c.want {
			if math.Abs(got[name]-share) > 0.01 {
				t.Errorf("%v: %s gets %.3f, want %.3f", c.split, name, got[name], share)
			}
		}
	}
}

func TestCheckRejectsInvalidPlans(t *testing.T) {
	for name, c := range map[string]struct {
		change func(p *Plan)
		says   string // none: it is valid
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
		p := newPlan(newRoute("a", "h", "/a/"), newRoute("b", "h", "/b/"))
		p.Tenants = []Tenant{{Name: "one", Keys: []string{"k1", "k2"}}, {Name: "two", Keys: []string{"k3"}}}
		c.change(p)
		err := Check(p)
		if (err != nil) != (c.says != "") {
			t.Errorf("%s: %v", name, err)
		}
		if err != nil && (errs.KindOf(err) != errs.BadInput || !strings.Contains(err.Error(), c.says)) {
			t.Errorf("%s: %v", name, err)
		}
	}
}

func TestCheckReportsEveryFault(t *testing.T) {
	p := newPlan(newRoute("a", "h", "/a/"), newRoute("b", "h", "/a/"))
	p.Version, p.Routes[0].Timeout, p.Routes[1].Split[0].Service = 0, 0, "gone"
	err := Check(p)
	for _, w := range []string{"4 faults", "version", `route "a": timeout`, `route "b": service "gone"`, `host "h" and prefix "/a/"`} {
		if err == nil || !strings.Contains(err.Error(), w) {
			t.Errorf("%v: doesn't name %s", err, w)
		}
	}
}

func TestVersionMustIncrease(t *testing.T) {
	for _, c := range []struct {
		old, next uint64
		ok        bool
	}{{0, 0, false}, {0, 1, true}, {7, 7, false}, {7, 6, false}, {7, 8, true}, {7, 100, true}} {
		if err := CheckSuccessor(c.old, c.next); (err == nil) != c.ok || err != nil && errs.KindOf(err) != errs.BadInput {
			t.Errorf("%d after %d: %v", c.next, c.old, err)
		}
	}
}

// newLargePlan is a plan of n routes at a handful of hosts.
func newLargePlan(n int) *Plan {
	p := newPlan()
	for i := range n {
		p.Routes = append(p.Routes, newRoute(fmt.Sprint("r", i), fmt.Sprintf("h%d.example", i%5), fmt.Sprintf("/p%d/", i)))
	}
	return p
}

// A look-up takes no memory, and as long among thousands of routes as among a few.
func TestLookupDoesNotAllocate(t *testing.T) {
	p := newLargePlan(3500).BuildIndex()
	path := "/p3000/" + strings.Repeat("a/", 8000) // no slash beyond the longest prefix is looked at
	if n := testing.AllocsPerRun(100, func() {
		if r, ok := p.MatchRoute("h0.example:8080", path); !ok || r.Name != "r3000" {
			t.Fatal(r)
		}
	}); n != 0 {
		t.Errorf("%v allocations in a look-up", n)
	}
}

func BenchmarkRoute(b *testing.B) {
	for _, n := range []int{10, 350, 3500} {
		p := newLargePlan(n).BuildIndex()
		last := p.Routes[n-1]
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			for b.Loop() {
				if _, ok := p.MatchRoute(last.Host, last.Prefix+"some/thing"); !ok {
					b.Fatal("not found")
				}
			}
		})
	}
}

func BenchmarkBuildIndex350(b *testing.B) {
	p := newLargePlan(350)
	for b.Loop() {
		p.routesByHost = nil
		p.BuildIndex()
	}
}

func BenchmarkCheck350(b *testing.B) {
	p := newLargePlan(350)
	for b.Loop() {
		if err := Check(p); err != nil {
			b.Fatal(err)
		}
	}
}
