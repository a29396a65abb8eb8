package settings

import (
	"strings"
	"testing"

	"pebbleloom/internal/programs"
)

// Flags that were renamed set the same by their first names.
func TestFirstNamesOfFlagsSetTheSame(t *testing.T) {
	values := map[string]string{"zone": "d", "node-agent": "127.0.0.1:8", "worker-list": "127.0.0.1:9", "options": "k=v,l=w"}
	present, first := []string{"--name", "edge-1"}, []string{"--name", "edge-1"}
	for _, flag := range programs.Flags() {
		if value := values[flag.Name]; value != "" {
			present = append(present, "--"+flag.Name, value)
			first = append(first, "--"+flag.First, value)
			delete(values, flag.Name)
		}
	}
	if len(values) > 0 {
		t.Fatalf("%v weren't renamed", values)
	}
	byPresent, err := parseFlags("node-agent", "", present)
	if err != nil {
		t.Fatal(err)
	}
	byFirst, err := parseFlags("node-agent", "", first)
	if err != nil {
		t.Fatal(err)
	}
	var a, b Process
	byPresent.override(&a)
	byFirst.override(&b)
	if a.Zone != "d" || a.NodeAgent != "127.0.0.1:8" || a.WorkerList != "127.0.0.1:9" || strings.Join(a.Options, ",") != "k=v,l=w" {
		t.Errorf("present names set %+v", a)
	}
	if b.Zone != a.Zone || b.NodeAgent != a.NodeAgent || b.WorkerList != a.WorkerList || strings.Join(b.Options, ",") != strings.Join(a.Options, ",") {
		t.Errorf("first names set %+v, present ones %+v", b, a)
	}
}
