package settings

import (
	"strings"
	"testing"

	"pebbleloom/internal/errs"
)

func TestEveryFaultIsListedAtOnce(t *testing.T) {
	var b errs.Batch
	p := Process{Bounds: DefaultBounds()}
	Decode([]byte(`{"name":"edge 1","listen":"localhost:80","seeds":["127.0.0.1:1"],"colour":"red","bounds":{"setup_ms":1,"leave":3},"core":7}`), "x.json", &p, &b)
	Validate(&p, Required{Seeds: true, Core: true, Data: true}, "x.json", &b)
	all := strings.Join(b.Lines(), "\n")
	for _, w := range []string{"x.json: name", "x.json: district", "x.json: listen", "x.json: seeds: 1 given", "x.json: colour: unknown field", "x.json: bounds.setup_ms",
		"x.json: bounds.leave: unknown field", "x.json: core: wrong type", "x.json: core: 0 given", "x.json: data"} {
		if !strings.Contains(all, w) {
			t.Errorf("%q isn't among the faults:\n%s", w, all)
		}
	}
	if errs.KindOf(b.Err()) != errs.BadInput {
		t.Errorf("kind %s", errs.KindOf(b.Err()).Name)
	}
}

func TestFlagsGoBeforeTheFile(t *testing.T) {
	p, err := Read("runner", "", []string{"--name", "edge-1", "--district", "d", "--listen", "127.0.0.1:1", "--seeds", "127.0.0.1:1,127.0.0.1:2,127.0.0.1:3", "--extra", "slots=4,kv=9"}, Required{Seeds: true})
	if err != nil {
		t.Fatal(err)
	}
	if len(p.Seeds) != 3 || p.Option("kv", "") != "9" || p.Option("none", "x") != "x" || p.Bounds.ConfigMs != 2000 {
		t.Errorf("%+v", p)
	}
	for _, args := range [][]string{{"--nmae", "edge-1"}, {"--name"}, {"start"}, {"--name", "x", "y"}} {
		if _, err := Read("runner", "", args, Required{}); errs.KindOf(err) != errs.BadInput || !strings.Contains(err.Error(), "flags") {
			t.Errorf("%v: %v", args, err)
		}
	}
	if _, err := Read("runner", "", []string{"--settings", "/nowhere"}, Required{}); errs.KindOf(err) != errs.BadInput {
		t.Errorf("a missing file: %v", err)
	}
}
