package settings

import (
	"strings"
	"testing"

	"pebbleloom/internal/errs"
)

func TestEveryFaultIsListedAtOnce(t *testing.T) {
	var faults errs.Batch
	process := Process{Bounds: DefaultBounds()}
	Decode([]byte(`{"name":"edge 1","listen":"localhost:80","seeds":["127.0.0.1:1"],"colour":"red","bounds":{"setup_ms":1,"leave":3},"core":7}`), "x.json", &process, &faults)
	Validate(&process, Required{Seeds: true, Core: true, Data: true}, "x.json", &faults)
	all := strings.Join(faults.Lines(), "\n")
	for _, want := range []string{"x.json: name", "x.json: district", "x.json: listen", "x.json: seeds: 1 given", "x.json: colour: unknown field", "x.json: bounds.setup_ms",
		"x.json: bounds.leave: unknown field", "x.json: core: wrong type", "x.json: core: 0 given", "x.json: data"} {
		if !strings.Contains(all, want) {
			t.Errorf("no error for the invalid settings file contains %q; errors:\n%s", want, all)
		}
	}
	if errs.KindOf(faults.Err()) != errs.BadInput {
		t.Errorf("the combined error for the invalid settings file is of kind %s, want %s", errs.KindOf(faults.Err()).Name, errs.BadInput.Name)
	}
}

// Running sites have settings files with these keys, so each must stay valid and set its field.
func TestEveryKeyIsAccepted(t *testing.T) {
	var faults errs.Batch
	process := Process{Bounds: DefaultBounds()}
	Decode([]byte(completeFile), "x.json", &process, &faults)
	Validate(&process, Required{true, true, true, true, true, true, true}, "x.json", &faults)
	if err := faults.Err(); err != nil {
		t.Fatalf("settings file with every key is rejected: %v", err)
	}
	if process.NodeAgent != "127.0.0.1:8" || process.WorkerList != "127.0.0.1:9" || process.AdvertisedAddr() != "127.0.0.1:2" || process.Option("k", "") != "v" {
		t.Errorf("settings file with every key: decoded %+v, want the node agent, worker list, advertised address and option of the file", process)
	}
	want := Bounds{ConfigMs: 2001, KeyRevocationMs: 5001, LeaveMs: 3001, WeightsMs: 20001, RecoveryMs: 12001, RetryPercent: 21, RetryWindowMs: 10001,
		RetryAllowance: 11, RequestIDRetentionMs: 1800001, MaxBodyKB: 513, MaxConcurrentRequests: 257, MaxIndexEntries: 60001}
	if process.Bounds != want {
		t.Errorf("bounds decoded from the settings file: %+v, want %+v", process.Bounds, want)
	}
}

func TestFlagsOverrideTheFile(t *testing.T) {
	process, err := Read("runner", "", []string{"--name", "edge-1", "--district", "d", "--listen", "127.0.0.1:1", "--seeds", "127.0.0.1:1,127.0.0.1:2,127.0.0.1:3", "--extra", "slots=4,kv=9"}, Required{Seeds: true})
	if err != nil {
		t.Fatalf("read valid flags: %v", err)
	}
	if len(process.Seeds) != 3 || process.Option("kv", "") != "9" || process.Option("none", "x") != "x" || process.Bounds.ConfigMs != 2000 {
		t.Errorf("settings read from flags: %+v; want 3 seeds, the option kv=9 and the default bounds", process)
	}
	for _, args := range [][]string{{"--nmae", "edge-1"}, {"--name"}, {"start"}, {"--name", "x", "y"}} {
		if _, err := Read("runner", "", args, Required{}); errs.KindOf(err) != errs.BadInput || !strings.Contains(err.Error(), "flags") {
			t.Errorf("command-line arguments %q: error %v, want one of kind %s that mentions the flags", args, err, errs.BadInput.Name)
		}
	}
	if _, err := Read("runner", "", []string{"--settings", "/nowhere"}, Required{}); errs.KindOf(err) != errs.BadInput {
		t.Errorf("settings file that does not exist: error %v, want one of kind %s", err, errs.BadInput.Name)
	}
}
