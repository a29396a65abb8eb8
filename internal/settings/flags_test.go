package settings

import (
	"strings"
	"testing"

	"pebbleloom/internal/programs"
)

// Scripts of running sites use the former names of renamed flags, so these must set the same values as the current names.
func TestFirstNamesOfFlagsSetTheSame(t *testing.T) {
	values := map[string]string{"zone": "d", "node-agent": "127.0.0.1:8", "worker-list": "127.0.0.1:9", "options": "k=v,l=w"}
	current, former := []string{"--name", "edge-1"}, []string{"--name", "edge-1"}
	for _, flag := range programs.Flags() {
		if value := values[flag.Name]; value != "" {
			current = append(current, "--"+flag.Name, value)
			former = append(former, "--"+flag.First, value)
			delete(values, flag.Name)
		}
	}
	if len(values) > 0 {
		t.Fatalf("programs.Flags lacks the former names of these flags: %v", values)
	}
	currentFlags, err := parseFlags("node-agent", "", current)
	if err != nil {
		t.Fatalf("parse current flag names: %v", err)
	}
	formerFlags, err := parseFlags("node-agent", "", former)
	if err != nil {
		t.Fatalf("parse former flag names: %v", err)
	}
	var a, b Process
	currentFlags.override(&a)
	formerFlags.override(&b)
	if a.Zone != "d" || a.NodeAgent != "127.0.0.1:8" || a.WorkerList != "127.0.0.1:9" || strings.Join(a.Options, ",") != "k=v,l=w" {
		t.Errorf("current flag names set zone %q, node agent %q, worker list %q, options %q; want the values of the flags", a.Zone, a.NodeAgent, a.WorkerList, a.Options)
	}
	if b.Zone != a.Zone || b.NodeAgent != a.NodeAgent || b.WorkerList != a.WorkerList || strings.Join(b.Options, ",") != strings.Join(a.Options, ",") {
		t.Errorf("former flag names set %+v; current names set %+v, want the same settings", b, a)
	}
}
