package retire

import (
	"strings"
	"testing"

	"pebbleloom/internal/control/serviceconfig"
	"pebbleloom/internal/errs"
)

// Each fault of a plan is a typed error that names the item and the remedy.
func TestValidationNamesEachFault(t *testing.T) {
	for name, test := range map[string]struct {
		patch  string
		change func(*Retirement)
		want   string
	}{
		"nothing wrong":                      {`{}`, nil, ""},
		"an adapter without a replacement":   {`{}`, func(r *Retirement) { delete(r.Replacements, "rare") }, `replace.rare: adapter rare depends on old and has no replacement: name the adapter that was built for new`},
		"a replacement that isn't there":     {`{}`, func(r *Retirement) { r.Replacements["rare"] = "gone" }, `replace.rare: "gone" is not among adapters`},
		"a replacement for another base":     {`{"models":{"third":{"weights":1}},"adapters":{"rare-2":{"base":"third"}}}`, nil, `rare-2 was built for third: name one that was built for new`},
		"one replacement for two":            {`{}`, func(r *Retirement) { r.Replacements["fare"] = "rare-2" }, `replaces`},
		"a replacement not loaded there":     {`{"adapters":{"rare-2":{"services":null}}}`, nil, `rare-2 isn't held by service s`},
		"a replacement for fewer tenants":    {`{"tenants":{"t":{},"u":{}},"adapters":{"rare-2":{"tenants":["u"]}}}`, nil, `rare-2 isn't for tenant t`},
		"no memory configured":               {`{"services":{"s":{"room":null}}}`, nil, `services.s.room: 0 MB a worker, and both sets take 120`},
		"no memory for both sets":            {`{"services":{"s":{"room":119}}}`, nil, `119 MB a worker, and both sets take 120: give workers with that room`},
		"a base's memory not configured":     {`{"models":{"new":{"room":null}}}`, nil, `models.new.room: missing`},
		"an adapter's memory not configured": {`{"adapters":{"rare-2":{"room":null}}}`, nil, `adapters.rare-2.room: missing`},
		"another base than the service's":    {`{}`, func(r *Retirement) { r.OldBase, r.NewBase = "new", "old" }, `from: service s has base model old`},
		"an unknown base":                    {`{}`, func(r *Retirement) { r.NewBase = "newest" }, `to: "newest" is not among models`},
		"an unknown service":                 {`{}`, func(r *Retirement) { r.Service = "x" }, `service: "x" is not among services`},
		"a base that serves elsewhere":       {`{"services":{"s2":{"model":"old"}}}`, nil, `service s2 has base model old as well: hand it over first`},
		"an adapter that no worker loads":    {`{"adapters":{"odd":{"base":"old","build":1,"room":1}}}`, nil, `adapter odd depends on old and is held by no worker of s`},
		"a route left with no model":         {`{"adapters":{"last":{"base":"old","build":1,"room":1,"services":["s"]}},"ways":{"last":{"service":"s"}}}`, nil, `ways.last: it would be left with no model`},
		"a route of another service":         {`{"models":{"x":{"weights":1}},"services":{"s2":{"model":"x"}},"adapters":{"fare":{"services":["s","s2"]}},"ways":{"far":{"service":"s2","use":"fare"}}}`, nil, `ways.far: it is answered by fare at service s2`},
		"a route that is being handed over":  {`{"services":{"s2":{"model":"old"}},"ways":{"old":{"next":"s2","share":10}}}`, nil, `ways.old: it is being handed over to service s2`},
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
				t.Errorf("%v\nwant %q", err, test.want)
			}
		})
	}
}

func TestValidateRecordsAllFaults(t *testing.T) {
	var batch errs.Batch
	retirement := &Retirement{Name: "a b", Service: "s", OldBase: "x", NewBase: "x", TrafficPercents: []int{5, 4}, SoakSeconds: -1, MaxConcurrent: -1, AbortFailureRatio: 2}
	retirement.Validate(&batch)
	if n := len(batch.Lines()); n != 7 {
		t.Errorf("%d faults: %v", n, batch.Lines())
	}
}

func TestCheckConflicts(t *testing.T) {
	first, other := newPlan(), newPlan()
	other.Name, other.Service, other.State = "other", "s9", StateRunning
	err := first.CheckConflicts([]*Retirement{other})
	if errs.KindOf(err) != errs.Conflict || !strings.Contains(err.Error(), `"spring"`) || !strings.Contains(err.Error(), `"other"`) {
		t.Errorf("two retirements of one base: %v", err)
	}
	if other.State = StateDone; first.CheckConflicts([]*Retirement{other}) != nil {
		t.Error("conflicts with one that has ended")
	}
}
