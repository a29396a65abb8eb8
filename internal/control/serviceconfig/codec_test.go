package serviceconfig

import (
	"fmt"
	"strings"
	"testing"

	"github.com/cockroachdb/datadriven"

	"pebbleloom/internal/errs"
)

// Each case in testdata/setups replaces a service configuration (apply) or merges a patch into it (patch). The case
// holds the expected configuration, or the expected error with all faults.
func TestConfigs(t *testing.T) {
	var inForce []byte
	datadriven.RunTest(t, "testdata/setups", func(_ *testing.T, data *datadriven.TestData) string {
		document := inForce
		if data.Cmd == "apply" {
			document = nil
		}
		merged, err := Merge(document, []byte(data.Input))
		if err != nil {
			return fmt.Sprintf("%s: %s\n", errs.KindOf(err).Name, strings.ReplaceAll(err.Error(), "; ", "\n  "))
		}
		inForce = merged
		return string(merged) + "\n"
	})
}

// A service configuration always has the same encoding, although Go iterates over maps in random order, and large
// numbers keep all their digits.
func TestEncodingIsCanonical(t *testing.T) {
	config := &Config{Models: map[string]Model{}}
	for i := range 20 {
		config.Models[fmt.Sprint("m", i)] = Model{Weights: 1<<63 + uint64(i)}
	}
	first, err := Encode(config)
	if err != nil {
		t.Fatal(err)
	}
	for range 20 {
		if again, err := Encode(config); err != nil || string(first) != string(again) {
			t.Fatalf("Encode of the same configuration: first %s, then %s, error %v; want equal encodings", first, again, err)
		}
	}
	if !strings.Contains(string(first), "9223372036854775827") {
		t.Errorf("Encode of weights versions from 2^63: %s, want it to contain 9223372036854775827", first)
	}
}

// The version of a model's weights must not decrease, even if the whole service configuration is replaced.
func TestWeightsVersionNeverDecreases(t *testing.T) {
	withWeights := func(version string) []byte {
		return []byte(`{"models":{"m":{"weights":` + version + `}},"services":{"s":{"model":"m"}}}`)
	}
	for _, test := range []struct {
		inForce, next []byte
		ok            bool
	}{
		{nil, withWeights("3"), true},
		{withWeights("3"), withWeights("3"), true},
		{withWeights("3"), withWeights("4"), true},
		{withWeights("3"), withWeights("2"), false},
		{[]byte(`{}`), withWeights("1"), true},
	} {
		err := CheckSuccessor(test.inForce, test.next)
		if (err == nil) != test.ok || err != nil && errs.KindOf(err) != errs.BadInput {
			t.Errorf("CheckSuccessor of service configuration %s with %q in force: error %v, want success: %v", test.next, test.inForce, err, test.ok)
		}
	}
}
