package capacity

import (
	"io"
	"os"
	"strings"
	"testing"
)

func TestMain(m *testing.M) {
	if os.Getenv(HollowVariable) != "" {
		os.Exit(Hollow(os.Stdin, os.Stdout))
	}
	os.Exit(m.Run())
}

// Every part can be measured, and each series has at least three sizes with three runs each.
func TestEveryPartMeasures(t *testing.T) {
	for _, part := range parts {
		m, err := Measure(part.name, true, io.Discard)
		if err != nil {
			t.Fatalf("%s: %v", part.name, err)
		}
		if len(m.Series) == 0 {
			t.Errorf("%s measures nothing", part.name)
		}
		for _, s := range m.Series {
			runs := map[float64]int{}
			for _, x := range s.Points {
				runs[x.Size]++
				if x.Value <= 0 && !strings.HasSuffix(s.Name, "-share") {
					t.Errorf("%s: %v at %v", s.Name, x.Value, x.Size)
				}
			}
			if len(runs) < 3 || s.Name == "" || s.Unit == "" || s.How == "" || s.Part != part.name {
				t.Errorf("%s: %d sizes: %+v", s.Name, len(runs), s)
			}
			for n, k := range runs {
				if k < 3 {
					t.Errorf("%s: %d runs at %v", s.Name, k, n)
				}
			}
		}
	}
}

// An unknown part is an error.
func TestAPartThatIsNone(t *testing.T) {
	if _, err := Measure("none", true, io.Discard); err == nil {
		t.Error("it was measured")
	}
}
