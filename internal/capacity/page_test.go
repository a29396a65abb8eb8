package capacity

import (
	"os"
	"path/filepath"
	"regexp"
	"strings"
	"testing"
)

const docs = "../../docs"

// read reads a file in the folder docs.
func read(t *testing.T, name string) []byte {
	t.Helper()
	raw, err := os.ReadFile(filepath.Join(docs, name))
	if err != nil {
		t.Fatal(err)
	}
	return raw
}

// The page is what is generated from the files beside it.
func TestThePageIsWhatTheFilesGive(t *testing.T) {
	want, err := Page(docs)
	if err != nil {
		t.Fatal(err)
	}
	if d := Differs(string(read(t, pageFile)), want); d != "" {
		t.Errorf("docs/%s: %s (remedy: bin/testbed capacity --part page)", pageFile, d)
	}
}

var number = regexp.MustCompile(`[0-9][0-9,.]*`)

// A change of any number on the page is detected.
func TestAPlantedDifferenceIsSeen(t *testing.T) {
	want, err := Page(docs)
	if err != nil {
		t.Fatal(err)
	}
	all := number.FindAllStringIndex(want, -1)
	if len(all) < 300 {
		t.Fatalf("%d numbers: that isn't the complete page", len(all))
	}
	for _, at := range all {
		digit := "7"
		if want[at[0]] == '7' {
			digit = "3"
		}
		if Differs(want[:at[0]]+digit+want[at[0]+1:], want) == "" {
			t.Errorf("%q at byte %d may be anything", want[at[0]:at[1]], at[0])
		}
	}
	if Differs(want, want) != "" || Differs(want+"\n", want) == "" || Differs(strings.TrimSuffix(want, "\n"), want) == "" {
		t.Error("the same page differs, or a longer or shorter one doesn't")
	}
}

// A change of any measured series, or of any size of the fleet, shows on the page.
func TestWhatIsMeasuredShowsOnThePage(t *testing.T) {
	rawModel, text := read(t, modelFile), string(read(t, textFile))
	measured, err := Read(read(t, measuredFile))
	if err != nil {
		t.Fatal(err)
	}
	was, err := render(rawModel, measured, text)
	if err != nil {
		t.Fatal(err)
	}
	for i := range measured.Series {
		for j := range measured.Series[i].Points {
			measured.Series[i].Points[j].Value *= 1.5
		}
		now, err := render(rawModel, measured, text)
		if err == nil && now == was && measured.Series[i].Points[0].Value != 0 {
			t.Errorf("series %s half as large again: the page stays", measured.Series[i].Name)
		}
		for j := range measured.Series[i].Points {
			measured.Series[i].Points[j].Value /= 1.5
		}
	}
	s, err := computeSheet(rawModel, measured)
	if err != nil {
		t.Fatal(err)
	}
	for _, x := range s.Sizes {
		changed := strings.Replace(string(rawModel), `"`+x.ID+`", "value": `, `"`+x.ID+`", "value": 1`, 1)
		if now, err := render([]byte(changed), measured, text); changed == string(rawModel) || err == nil && now == was {
			t.Errorf("size %s larger: the page stays", x.ID)
		}
	}
}

// Every size in the model is used by a formula or shown on the page, and every figure is in a table.
func TestNothingIsWorkedOutForNothing(t *testing.T) {
	m, err := Read(read(t, measuredFile))
	if err != nil {
		t.Fatal(err)
	}
	s, err := computeSheet(read(t, modelFile), m)
	if err != nil {
		t.Fatal(err)
	}
	page, text := string(read(t, pageFile)), string(read(t, textFile))
	for _, f := range s.Figures {
		if !strings.Contains(page, "(`"+f.ID+"`)") {
			t.Errorf("figure %s is in no table", f.ID)
		}
	}
	for _, x := range s.Sizes {
		used := strings.Contains(text, `"`+x.ID+`"`)
		for _, f := range s.Figures {
			used = used || f.Limit == x.ID || regexp.MustCompile(`\b`+x.ID+`\b`).MatchString(f.Formula)
		}
		if !used {
			t.Errorf("size %s isn't used", x.ID)
		}
	}
}

func series(name string, points ...Point) Series {
	return Series{Name: name, Unit: "µs", Factor: "nodes", Points: points}
}

// A line is fitted to a straight series only; a bent one is interpolated between its sizes.
func TestALineIsDrawnThroughNoBend(t *testing.T) {
	straight, bent := series("s"), series("b")
	for _, atSize := range []float64{10, 20, 40, 80} {
		for _, d := range []float64{0.99, 1, 1.01} {
			straight.Points = append(straight.Points, Point{atSize, (3*atSize + 5) * d})
			bent.Points = append(bent.Points, Point{atSize, atSize * atSize * d})
		}
	}
	fitted := fit(&straight)
	if fitted.Bent || fitted.Slope < 2.99 || fitted.Slope > 3.01 || fitted.Base < 4.9 || fitted.Base > 5.1 || fitted.Low > 2.98 || fitted.High < 3.02 {
		t.Errorf("a straight one: %+v", fitted)
	}
	if v, ok := fitted.at(1000); !ok || v < 2990 || v > 3020 {
		t.Errorf("far along the line: %v %v", v, ok)
	}
	fitted = fit(&bent)
	if !fitted.Bent || fitted.Residual < 0.3 {
		t.Errorf("a bent one: %+v", fitted)
	}
	if v, ok := fitted.at(60); !ok || v != 4000 {
		t.Errorf("between two sizes: %v %v", v, ok)
	}
	for _, atSize := range []float64{9, 81} {
		if v, ok := fitted.at(atSize); ok {
			t.Errorf("beyond what was measured: %v at %v", v, atSize)
		}
	}
	noisy := series("n", Point{10, 10}, Point{10, 40}, Point{10, 20}, Point{20, 30}, Point{20, 31}, Point{20, 32}, Point{40, 50}, Point{40, 60}, Point{40, 70})
	if fitted := fit(&noisy); fitted.Bent {
		t.Errorf("bent, though its runs are further apart than the line is off: %+v", fitted)
	}
}

// Formulas are evaluated, and invalid ones rejected.
func TestFormulas(t *testing.T) {
	m := &Measured{Series: []Series{series("s", Point{10, 35}, Point{20, 65}, Point{40, 125}), series("b", Point{10, 100}, Point{20, 400}, Point{40, 1600})}}
	of := func(formula string) string {
		return `{"sizes": [{"id": "n", "value": 30, "unit": "nodes"}], "figures": [{"id": "f", "role": "r", "what": "w", "unit": "µs", "formula": ` + formula + `}]}`
	}
	for formula, want := range map[string]float64{`"n * (2 + 3) / 3 - 1"`: 49, `"slope(\"s\") * n + base(\"s\")"`: 95, `"at(\"s\", n)"`: 95, `"at(\"b\", n)"`: 1000,
		`"last(\"b\")"`: 1600, `"lastSize(\"b\")"`: 40, `"max(n, 7)"`: 30, `"ceil(n / 7)"`: 5} {
		if s, err := computeSheet([]byte(of(formula)), m); err != nil || s.values["f"] < want-1e-6 || s.values["f"] > want+1e-6 {
			t.Errorf("%s: %v, want %v", formula, err, want)
		}
	}
	for _, formula := range []string{`"slope(\"b\")"`, `"base(\"b\")"`, `"at(\"b\", 41)"`, `"at(\"none\", 1)"`, `"none"`, `"f"`, `"n +"`, `"n % 2"`, `"slope(n)"`, `"other(\"s\")"`, `"n; 1"`} {
		if _, err := computeSheet([]byte(of(formula)), m); err == nil {
			t.Errorf("%s was computed", formula)
		}
	}
}

func TestNumbersAreShownToThreeDigits(t *testing.T) {
	for _, x := range []struct {
		v          float64
		unit, want string
	}{{0, "B", "0 B"}, {1234, "B", "1.23 KB"}, {999, "B", "999 B"}, {16123456789, "B", "16.1 GB"}, {60000, "parts", "60,000 parts"}, {1234567, "", "1,230,000"}, {0.01234, "%", "0.0123 %"},
		{2.5, "µs", "2.5 µs"}, {2500, "µs", "2.5 ms"}, {13, "s", "13 s"}, {-1500, "B/s", "-1.5 KB/s"}, {100, "1", "100"}, {1024, "polls", "1,024 polls"}, {1024.5, "polls", "1,020 polls"}} {
		if got := formatValue(x.v, x.unit); got != x.want {
			t.Errorf("%v %s: %q, want %q", x.v, x.unit, got, x.want)
		}
	}
}

// Join replaces the series that a later run has measured, and keeps the others.
func TestARunIsLaidOverAnOlderOne(t *testing.T) {
	old := &Measured{Command: "c", Series: []Series{series("a", Point{1, 1}), series("b", Point{1, 2})}}
	raw, err := Join(old, &Measured{Command: "c", Series: []Series{series("b", Point{1, 3}), series("c", Point{1, 4})}}).Write()
	if err != nil {
		t.Fatal(err)
	}
	m, err := Read(raw)
	if err != nil || len(m.Series) != 3 || m.Series[0].Points[0].Value != 1 || m.Series[1].Points[0].Value != 3 || m.Series[2].Points[0].Value != 4 {
		t.Errorf("%v: %+v", err, m)
	}
}
