package retire

import (
	"strings"
	"testing"

	"pebbleloom/internal/control/serviceconfig"
	"pebbleloom/internal/errs"
)

// Each fault of a plan is an error of the kind errs.BadInput that names the item and the remedy.
func TestValidationNamesEachFault(t *testing.T) {
	for name, test := range map[string]struct {
		patch  string
		change func(*Retirement)
		want   string
	}{
		"a valid plan":                      {`{}`, nil, ""},
		"an adapter without a replacement":  {`{}`, func(r *Retirement) { delete(r.Replacements, "rare") }, `replace.rare: adapter rare depends on base model old and has no replacement: name the adapter that replaces it on new`},
		"an unknown replacement":            {`{}`, func(r *Retirement) { r.Replacements["rare"] = "gone" }, `replace.rare: replacement "gone" is not configured`},
		"a replacement on a third base":     {`{"models":{"third":{"weights":1}},"adapters":{"rare-2":{"base":"third"}}}`, nil, `rare-2 was built for base model third: name an adapter that was built for new`},
		"one replacement for two adapters":  {`{}`, func(r *Retirement) { r.Replacements["fare"] = "rare-2" }, `already replaces adapter`},
		"a replacement workers don't load":  {`{"adapters":{"rare-2":{"services":null}}}`, nil, `rare-2 is not loaded by workers of service s`},
		"a replacement for fewer tenants":   {`{"tenants":{"t":{},"u":{}},"adapters":{"rare-2":{"tenants":["u"]}}}`, nil, `rare-2 does not allow tenant t`},
		"no worker memory configured":       {`{"services":{"s":{"room":null}}}`, nil, `services.s.room: workers have 0 MB for weights, but the old and the new weight set together take 120 MB`},
		"not enough memory for both sets":   {`{"services":{"s":{"room":119}}}`, nil, `workers have 119 MB for weights, but the old and the new weight set together take 120 MB: provide workers with enough memory`},
		"no base model memory configured":   {`{"models":{"new":{"room":null}}}`, nil, `models.new.room: missing`},
		"no adapter memory configured":      {`{"adapters":{"rare-2":{"room":null}}}`, nil, `adapters.rare-2.room: missing`},
		"not the service's base model":      {`{}`, func(r *Retirement) { r.OldBase, r.NewBase = "new", "old" }, `from: service s has base model old`},
		"an unknown new base model":         {`{}`, func(r *Retirement) { r.NewBase = "newest" }, `to: base model "newest" is not configured`},
		"an unknown service":                {`{}`, func(r *Retirement) { r.Service = "x" }, `service: service "x" is not configured`},
		"a base model of two services":      {`{"services":{"s2":{"model":"old"}}}`, nil, `service s2 also has base model old: move that service to another base model first`},
		"an adapter that no worker loads":   {`{"adapters":{"odd":{"base":"old","build":1,"room":1}}}`, nil, `adapter odd depends on base model old, but workers of service s do not load it`},
		"a route left with no target":       {`{"adapters":{"last":{"base":"old","build":1,"room":1,"services":["s"]}},"ways":{"last":{"service":"s"}}}`, nil, `ways.last: route would be left with no target`},
		"a route of another service":        {`{"models":{"x":{"weights":1}},"services":{"s2":{"model":"x"}},"adapters":{"fare":{"services":["s","s2"]}},"ways":{"far":{"service":"s2","use":"fare"}}}`, nil, `ways.far: route is served by fare at service s2`},
		"a route that is being handed over": {`{"services":{"s2":{"model":"old"}},"ways":{"old":{"next":"s2","share":10}}}`, nil, `ways.old: route is being handed over to service s2`},
	} {
		t.Run(name, func(t *testing.T) {
			body, err := serviceconfig.Merge(initialConfig, []byte(test.patch))
			if err != nil {
				t.Fatal(err)
			}
			config, err := serviceconfig.Decode(body)
			if err != nil {
				t.Fatal(err)
			}
			retirement := newPlan()
			if test.change != nil {
				test.change(retirement)
			}
			var batch errs.Batch
			retirement.Validate(&batch)
			retirement.ValidateConfig(config, &batch)
			err = batch.Err()
			if (err == nil) != (test.want == "") || err != nil && (!strings.Contains(err.Error(), test.want) || errs.KindOf(err) != errs.BadInput) {
				t.Errorf("validation error:\n%v\nwant an error of the kind BadInput that contains %q (empty: no error)", err, test.want)
			}
		})
	}
}

// A plan with seven faults gets an error for each of them, not only for the first.
func TestValidateRecordsAllFaults(t *testing.T) {
	var batch errs.Batch
	retirement := &Retirement{Name: "a b", Service: "s", OldBase: "x", NewBase: "x", TrafficPercents: []int{5, 4}, SoakSeconds: -1, MaxConcurrent: -1, AbortFailureRatio: 2}
	retirement.Validate(&batch)
	if n := len(batch.Lines()); n != 7 {
		t.Errorf("Retirement.Validate recorded %d faults, want 7: %v", n, batch.Lines())
	}
}

// Two active retirements that share a base model conflict, and the error names both. A retirement that is
// done conflicts with none.
func TestCheckConflicts(t *testing.T) {
	first, other := newPlan(), newPlan()
	other.Name, other.Service, other.State = "other", "s9", StateRunning
	err := first.CheckConflicts([]*Retirement{other})
	if errs.KindOf(err) != errs.Conflict || !strings.Contains(err.Error(), `"spring"`) || !strings.Contains(err.Error(), `"other"`) {
		t.Errorf("two active retirements of one base model: got error %v, want a Conflict that names both", err)
	}
	if other.State = StateDone; first.CheckConflicts([]*Retirement{other}) != nil {
		t.Error("CheckConflicts reports a conflict with a retirement that is done")
	}
}
