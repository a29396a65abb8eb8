package tabletop

import (
	"strings"
	"testing"

	"pebbleloom/internal/yard"
)

func scenario(t *testing.T, name string) yard.Scenario {
	t.Helper()
	l, err := yard.Scenarios()
	if err != nil {
		t.Fatal(err)
	}
	for _, sc := range l {
		if sc.Name == name {
			sc.Rate = 10
			return sc
		}
	}
	t.Fatalf("no scenario %s", name)
	return yard.Scenario{}
}

// Whole retirements under live traffic, with the programs as they are. Beside the first stands the same
// traffic without one: nobody waits past their bound because of it.
func TestRetirementsUnderTraffic(t *testing.T) {
	late := func(r *yard.Report) int { return r.Sum.Requests - r.Sum.Sealed }
	for _, name := range []string{"retire-calm", "retire-troubles", "retire-abort"} {
		sc := scenario(t, name)
		r := play(t, sc, sc.Site, 1, func(s *yard.Site) *Table { return New(1, s) })
		t.Log(yard.Line(r))
		if len(r.Faults) > 0 {
			t.Errorf("%s:\n%s\n%s", name, strings.Join(r.Faults, "\n"), strings.Join(r.Steps, "\n"))
		}
		if name != "retire-calm" {
			continue
		}
		last := sc.Steps[len(sc.Steps)-1].At
		sc.Steps, sc.TailMs = nil, 40000+last
		o := play(t, sc, sc.Site, 1, func(s *yard.Site) *Table { return New(1, s) })
		t.Log(yard.Line(o))
		if a, b := late(r), late(o); a > b {
			t.Errorf("%d of %d requests weren't answered in time with a retirement, %d of %d without", a, r.Sum.Requests, b, o.Sum.Requests)
		}
	}
}

// Planted faults that only the programs can show: a worker that boasts of adapters holds the barrier, so
// the old base stays; and one that answers under the wrong weights is seen by its callers.
func TestPlantedFaultsOfARetirement(t *testing.T) {
	step := func(at int, do, who, to string) yard.Step { return yard.Step{At: at, Do: do, Who: who, To: to} }
	for _, x := range []struct {
		point, want, state string
		every              int
		tamper             func([]byte) []byte
	}{
		{"a worker boasts", "its proof failed", "done", 18, nil},
		{"an answer is another adapter's", "isn't what", "move", 0, swap(`"adapter":"appraise"`, `"adapter":"appraisf"`)},
	} {
		sc := yard.Scenario{Name: "planted", Retire: true, Rate: 10, HealMs: 1000, TailMs: 2000,
			Steps: []yard.Step{step(1000, "retire", "spring", `{"shares":[100],"at_once":6}`), step(2000, "retired", "spring", x.state)}}
		r := play(t, sc, "paramo", 3, func(s *yard.Site) *Table {
			if x.every > 0 {
				lie(s, "boasts", x.every)
			}
			table := New(3, s)
			table.tamper = x.tamper
			return table
		})
		if all := strings.Join(r.Faults, "\n"); !strings.Contains(all, x.want) {
			t.Errorf("%s: %q isn't among the faults:\n%.1500s", x.point, x.want, all)
		}
	}
}
