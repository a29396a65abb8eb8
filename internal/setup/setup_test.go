package setup

import (
	"fmt"
	"strings"
	"testing"

	"github.com/cockroachdb/datadriven"

	"pebbleloom/internal/errs"
)

// testdata/setups: what is read, merged and refused, and in which words.
func TestSetups(t *testing.T) {
	var have []byte
	datadriven.RunTest(t, "testdata/setups", func(_ *testing.T, d *datadriven.TestData) string {
		part := []byte(d.Input)
		old := have
		if d.Cmd == "apply" {
			old = nil
		}
		b, err := Merge(old, part)
		if err != nil {
			return fmt.Sprintf("%s: %s\n", errs.KindOf(err).Name, strings.ReplaceAll(err.Error(), "; ", "\n  "))
		}
		have = b
		return string(b) + "\n"
	})
}

// One setup has one kept form, whatever order its maps are walked in.
func TestOneForm(t *testing.T) {
	s := &Setup{Models: map[string]Model{}}
	for i := range 20 {
		s.Models[fmt.Sprint("m", i)] = Model{Weights: 1<<63 + uint64(i)}
	}
	a, err := Write(s)
	if err != nil {
		t.Fatal(err)
	}
	for range 20 {
		if b, err := Write(s); err != nil || string(a) != string(b) {
			t.Fatalf("%s\n%s\n%v", a, b, err)
		}
	}
	if !strings.Contains(string(a), "9223372036854775827") {
		t.Errorf("a large epoch lost digits: %s", a)
	}
}
