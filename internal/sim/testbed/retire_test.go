package testbed

import (
	"bytes"
	"context"
	"encoding/json"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"pebbleloom/internal/cli"
	"pebbleloom/internal/control/retire"
)

// retireByCommandLine retires a site's base model by the pebblectl's commands alone, with their exit codes. In the
// middle somebody holds it up, which trouble brings about and a runbook ends.
func retireByCommandLine(t *testing.T, f *Fleet, node string, trouble func(held string)) {
	t.Helper()
	do := func(want int, args ...string) string {
		t.Helper()
		var out, bad bytes.Buffer
		if code := cli.Main(append([]string{"--node", node}, args...), strings.NewReader(""), &out, &bad); code != want {
			t.Fatalf("pebblectl %v: exit %d, want %d: %s%s", args, code, want, out.String(), bad.String())
		}
		return out.String() + bad.String()
	}
	lm := f.Site.Traffic.Model
	service, file := lm+"-main", filepath.Join(t.TempDir(), "spring.json")
	r := retire.Retirement{Name: "spring", Service: service, OldBase: lm, NewBase: nextBuild(lm), Replacements: map[string]string{}, TrafficPercents: []int{50, 100}, MaxConcurrent: 6}
	write := func() {
		t.Helper()
		raw, err := json.Marshal(r)
		if err == nil {
			err = os.WriteFile(file, raw, 0o644)
		}
		if err != nil {
			t.Fatal(err)
		}
	}
	write()
	if body := do(2, "retire", "plan", "--file", file, "--dry-run"); !strings.Contains(body, "has no replacement") {
		t.Errorf("a plan without replacements: %s", body)
	}
	for _, k := range f.Site.Traffic.Kinds[:2] {
		r.Replacements[k.Name] = nextBuild(k.Name)
	}
	write()
	do(0, "retire", "plan", "--file", file, "--dry-run")
	do(4, "retire", "start", "--service", service, "--name", "spring") // a dry run writes nothing
	do(0, "retire", "plan", "--file", file)
	do(5, "retire", "plan", "--file", file) // it is there
	one := func(verb string) { t.Helper(); do(0, "retire", verb, "--service", service, "--name", "spring") }
	one("start")
	one("start")
	one("pause")
	one("pause")
	if body := do(1, "retire", "status"); !strings.Contains(body, "by an operator") {
		t.Errorf("%s", body)
	}
	one("resume")
	trouble(`"retirement-held"`)
	var l struct{ Retirements []retire.Retirement }
	ctx, end := context.WithTimeout(context.Background(), 2*time.Minute)
	defer end()
	for len(l.Retirements) != 1 || l.Retirements[0].State != retire.StateDone {
		var out, bad bytes.Buffer
		if code := cli.Main([]string{"--node", node, "retire", "status", "--json"}, strings.NewReader(""), &out, &bad); code > 1 {
			t.Fatalf("exit %d: %s", code, bad.String())
		}
		if err := json.Unmarshal(out.Bytes(), &l); err != nil || ctx.Err() != nil {
			t.Fatalf("%v %v: %s", err, ctx.Err(), out.String())
		}
	}
	do(5, "retire", "abort", "--service", service, "--name", "spring")
	if body := do(0, "retire", "history", "--name", "spring"); !strings.Contains(body, "running barrier") || !strings.Contains(body, "done") {
		t.Errorf("history: %s", body)
	}
	do(4, "retire", "status", "--name", "summer")
}
