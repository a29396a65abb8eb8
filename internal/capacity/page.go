package capacity

import (
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"text/template"

	"pebbleloom/internal/errs"
)

// The files beside the page, in the folder docs.
const (
	pageFile     = "CAPACITY.md"
	modelFile    = "capacity/model.json"
	measuredFile = "capacity/measured.json"
	textFile     = "capacity/page.tmpl"
)

// Page works docs/CAPACITY.md out from the files beside it.
//
// Example: text, err := capacity.Page("docs")
func Page(folder string) (string, error) {
	var b errs.Batch
	read := func(name string) []byte {
		raw, err := os.ReadFile(filepath.Join(folder, name))
		b.Add(name, errs.WrapAs(err, errs.NotFound, "read"))
		return raw
	}
	rawModel, rawMeasured, text := read(modelFile), read(measuredFile), read(textFile)
	if err := b.Err(); err != nil {
		return "", err
	}
	m, err := Read(rawMeasured)
	if err != nil {
		return "", err
	}
	return render(rawModel, m, string(text))
}

// WritePage writes it.
//
// Example: err := capacity.WritePage("docs")
func WritePage(folder string) error {
	if folder == "" {
		folder = "docs"
	}
	text, err := Page(folder)
	if err != nil {
		return err
	}
	return errs.WrapAs(os.WriteFile(filepath.Join(folder, pageFile), []byte(text), 0o644), errs.BadInput, "write the page")
}

// Differs tells the first line of a page that isn't what is worked out; "": none.
//
// Example: if d := capacity.Differs(page, want); d != "" { … }
func Differs(page, want string) string {
	p, w := strings.Split(page, "\n"), strings.Split(want, "\n")
	for i := range max(len(p), len(w)) {
		var a, b string
		if i < len(p) {
			a = p[i]
		}
		if i < len(w) {
			b = w[i]
		}
		if a != b || i >= len(p) || i >= len(w) {
			return fmt.Sprintf("line %d: the page has %q, worked out is %q", i+1, a, b)
		}
	}
	return ""
}

func render(rawModel []byte, m *Measured, text string) (string, error) {
	s, err := computeSheet(rawModel, m)
	if err != nil {
		return "", err
	}
	t, err := template.New("page").Option("missingkey=error").Funcs(template.FuncMap{"v": s.v, "of": s.of, "series": s.series, "sizes": s.sizeTable, "role": s.role, "machine": func() string { return m.Machine }}).Parse(text)
	if err != nil {
		return "", errs.WrapAs(err, errs.BadInput, "text of the page")
	}
	var out strings.Builder
	if err := t.Execute(&out, nil); err != nil {
		return "", errs.WrapAs(err, errs.BadInput, "text of the page")
	}
	return out.String(), nil
}

// v is a size or figure with its unit.
func (s *sheet) v(id string) (string, error) {
	x, ok := s.values[id]
	if !ok {
		return "", errs.New(errs.BadInput, "%q: no such size or figure", id)
	}
	return formatValue(x, s.units[id]), nil
}

// of is a figure as a multiple of its limit.
func (s *sheet) of(id, limit string) (string, error) {
	a, ok := s.values[id]
	b, ok2 := s.values[limit]
	if !ok || !ok2 || b == 0 {
		return "", errs.New(errs.BadInput, "%q of %q: no such sizes or figures", id, limit)
	}
	return digits(a/b) + " ×", nil
}

// series is the table of what was measured.
func (s *sheet) series() string {
	var t strings.Builder
	t.WriteString("| series | grows with | slope (runs alone) | base | off the line | between runs | medians at sizes |\n|---|---|---|---|---|---|---|\n")
	for _, x := range s.m.Series {
		l := s.lines[x.Name]
		var at []string
		for i, n := range l.Sizes {
			at = append(at, fmt.Sprintf("%s: %s", digits(n), formatValue(l.Medians[i], x.Unit)))
		}
		slope, base := fmt.Sprintf("%s (%s to %s)", formatValue(l.Slope, x.Unit), formatValue(l.Low, x.Unit), formatValue(l.High, x.Unit)), formatValue(l.Base, x.Unit)
		if l.Bent {
			slope, base = "**bent**", "–"
		}
		fmt.Fprintf(&t, "| `%s` | %s | %s | %s | %.1f %% | %.1f %% | %s |\n", x.Name, x.Factor, slope, base, 100*l.Residual, 100*l.Spread, strings.Join(at, ", "))
	}
	return t.String()
}

func (s *sheet) sizeTable() string {
	var t strings.Builder
	t.WriteString("| name | size | from | |\n|---|---|---|---|\n")
	for _, x := range s.Sizes {
		fmt.Fprintf(&t, "| `%s` | %s | %s | %s |\n", x.ID, formatValue(x.Value, x.Unit), x.From, x.Note)
	}
	return t.String()
}

// role is the table of one role's figures.
func (s *sheet) role(name string) (string, error) {
	var t strings.Builder
	t.WriteString("| figure | at the letter's size | limit | formula |\n|---|---|---|---|\n")
	n := 0
	for _, f := range s.Figures {
		if f.Role != name {
			continue
		}
		n++
		v, limit := formatValue(s.values[f.ID], f.Unit), ""
		if f.AtLeast {
			v = "at least " + v
		}
		if f.Limit != "" {
			limit = formatValue(s.values[f.Limit], s.units[f.Limit])
			if s.values[f.ID] > s.values[f.Limit] {
				limit += fmt.Sprintf(", **over: %s ×**", digits(s.values[f.ID]/s.values[f.Limit]))
			}
		}
		fmt.Fprintf(&t, "| %s (`%s`) | %s | %s | `%s` |\n", f.What, f.ID, v, limit, f.Formula)
	}
	if n == 0 {
		return "", errs.New(errs.BadInput, "role %q: no figures", name)
	}
	return t.String(), nil
}
