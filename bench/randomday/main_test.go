package main

import (
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/BurntSushi/toml"
)

const smallSite = `length_s = 30.0
[[day]]
name = "trouble-1"
slot = "trouble"
traffic = [
  { zone = "north", per_s = 3.0 },
]
[[day]]
name = "scale-1"
slot = "scale"
traffic = [
  { zone = "south", per_s = 4.0 },
]
`

type entry struct {
	At   float64
	Kind string
}

type written struct {
	Day []struct {
		Name, Slot   string
		Seed         uint64
		Plan, Faults []entry
		Traffic      []struct{ Zone string }
	}
}

// A random scenario is valid TOML, is identical for the same seed, and its entries start within its length. Each
// kind of operation and fault is drawn at least once in 400 seeds.
func TestDaysAreDrawnFromTheSeed(t *testing.T) {
	path := filepath.Join(t.TempDir(), "site.toml")
	if err := os.WriteFile(path, []byte(smallSite), 0o600); err != nil {
		t.Fatalf("write site file: %v", err)
	}
	seen := map[string]bool{}
	for seed := range uint64(400) {
		text, err := randomDay(path, "scale-1", seed)
		if err != nil {
			t.Fatalf("draw a random test scenario (a day) with seed %d: %v", seed, err)
		}
		if again, err := randomDay(path, "scale-1", seed); err != nil || again != text {
			t.Fatalf("two calls with seed %d returned different random test scenarios (days), want identical ones; error %v", seed, err)
		}
		w := written{}
		if _, err := toml.Decode(text, &w); err != nil {
			t.Fatalf("decode the random test scenario (a day) of seed %d: %v\n%s", seed, err, text)
		}
		day := w.Day[0]
		if len(w.Day) != 1 || day.Seed != seed || day.Slot != "scale" || day.Traffic[0].Zone != "south" || len(day.Plan) < 3 || len(day.Faults) < 4 {
			t.Fatalf("seed %d: decoded %d random test scenarios (days), the first %+v; want one with this seed, with the slot \"scale\" and the traffic in zone south of the site file's day \"scale-1\", and with at least 3 planned operations and 4 faults", seed, len(w.Day), day)
		}
		for _, e := range append(day.Plan, day.Faults...) {
			seen[e.Kind] = true
			if e.At < 1 || e.At > 25 {
				t.Fatalf("seed %d: entry %s of a test scenario (a day) of 30 s starts at %v s, want 1 to 25 s", seed, e.Kind, e.At)
			}
		}
	}
	for _, x := range append(plans, faults...) {
		if !seen[x.kind] {
			t.Errorf("kind %s was not drawn for any of 400 seeds, want at least once", x.kind)
		}
	}
	if _, err := randomDay(path, "none", 1); err == nil || !strings.Contains(err.Error(), "no day") {
		t.Errorf("copy the traffic of a day that doesn't exist: error %v, want one that contains \"no day\"", err)
	}
}
