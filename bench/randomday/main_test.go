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

// A day can be decoded, is the same for the same seed, and its entries begin within the day.
func TestDaysAreDrawnFromTheSeed(t *testing.T) {
	path := filepath.Join(t.TempDir(), "site.toml")
	if err := os.WriteFile(path, []byte(smallSite), 0o600); err != nil {
		t.Fatal(err)
	}
	seen := map[string]bool{}
	for seed := range uint64(400) {
		text, err := randomDay(path, "scale-1", seed)
		if err != nil {
			t.Fatal(err)
		}
		if again, err := randomDay(path, "scale-1", seed); err != nil || again != text {
			t.Fatalf("seed %d gives different days: %v", seed, err)
		}
		w := written{}
		if _, err := toml.Decode(text, &w); err != nil {
			t.Fatalf("seed %d: %v\n%s", seed, err, text)
		}
		day := w.Day[0]
		if len(w.Day) != 1 || day.Seed != seed || day.Slot != "scale" || day.Traffic[0].Zone != "south" || len(day.Plan) < 3 || len(day.Faults) < 4 {
			t.Fatalf("seed %d: %+v", seed, day)
		}
		for _, e := range append(day.Plan, day.Faults...) {
			seen[e.Kind] = true
			if e.At < 1 || e.At > 25 {
				t.Fatalf("seed %d: %s begins at %v s of a day of 30 s", seed, e.Kind, e.At)
			}
		}
	}
	for _, x := range append(plans, faults...) {
		if !seen[x.kind] {
			t.Errorf("%s was never drawn in 400 days", x.kind)
		}
	}
	if _, err := randomDay(path, "none", 1); err == nil || !strings.Contains(err.Error(), "no day") {
		t.Errorf("an unknown day: %v", err)
	}
}
