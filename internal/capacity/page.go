package capacity

import (
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"text/template"

	"pebbleloom/internal/errs"
)

// The page and the files that it is generated from, in the folder docs.
const (
	pageFile     = "CAPACITY.md"
	modelFile    = "capacity/model.json"
	measuredFile = "capacity/measured.json"
	textFile     = "capacity/page.tmpl"
)

// Page generates the text of docs/CAPACITY.md from the model, the measured series and the template in a folder.
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

// WritePage generates and writes the page in a folder; empty: docs.
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

// Differs describes the first line of a page that differs from the generated page; "" if there is none.
//
// Example: if d := capacity.Differs(page, want); d != "" { … }
func Differs(page, want string) string {
	pageLines, wantLines := strings.Split(page, "\n"), strings.Split(want, "\n")
	for i := range max(len(pageLines), len(wantLines)) {
		var actual, expected string
		if i < len(pageLines) {
			actual = pageLines[i]
		}
		if i < len(wantLines) {
			expected = wantLines[i]
		}
		if actual != expected || i >= len(pageLines) || i >= len(wantLines) {
			return fmt.Sprintf("line %d: the page has %q, generated is %q", i+1, actual, expected)
		}
	}
	return ""
}

// render executes the page's template with the computed model.
func render(rawModel []byte, measured *Measured, text string) (string, error) {
	computed, err := computeSheet(rawModel, measured)
	if err != nil {
		return "", err
	}
	page, err := template.New("page").Option("missingkey=error").Funcs(template.FuncMap{"v": computed.v, "of": computed.of, "series": computed.series, "sizes": computed.sizeTable, "role": computed.role, "machine": func() string { return measured.Machine }}).Parse(text)
	if err != nil {
		return "", errs.WrapAs(err, errs.BadInput, "template of the page")
	}
	var out strings.Builder
	if err := page.Execute(&out, nil); err != nil {
		return "", errs.WrapAs(err, errs.BadInput, "template of the page")
	}
	return out.String(), nil
}

// v formats a size or figure with its unit.
func (s *sheet) v(id string) (string, error) {
	x, ok := s.values[id]
	if !ok {
		return "", errs.New(errs.BadInput, "%q: unknown size or figure", id)
	}
	return formatValue(x, s.units[id]), nil
}

// of formats a figure as a multiple of its limit.
func (s *sheet) of(id, limit string) (string, error) {
	a, ok := s.values[id]
	b, ok2 := s.values[limit]
	if !ok || !ok2 || b == 0 {
		return "", errs.New(errs.BadInput, "%q of %q: unknown sizes or figures, or a limit of 0", id, limit)
	}
	return digits(a/b) + " ×", nil
}

// series formats the table of the measured series.
func (s *sheet) series() string {
	var table strings.Builder
	table.WriteString("| series | grows with | slope (runs alone) | base | off the line | between runs | medians at sizes |\n|---|---|---|---|---|---|---|\n")
	for _, entry := range s.measured.Series {
		fitted := s.lines[entry.Name]
		var medians []string
		for i, n := range fitted.Sizes {
			medians = append(medians, fmt.Sprintf("%s: %s", digits(n), formatValue(fitted.Medians[i], entry.Unit)))
		}
		slope, base := fmt.Sprintf("%s (%s to %s)", formatValue(fitted.Slope, entry.Unit), formatValue(fitted.Low, entry.Unit), formatValue(fitted.High, entry.Unit)), formatValue(fitted.Base, entry.Unit)
		if fitted.Bent {
			slope, base = "**bent**", "–"
		}
		fmt.Fprintf(&table, "| `%s` | %s | %s | %s | %.1f %% | %.1f %% | %s |\n", entry.Name, entry.Factor, slope, base, 100*fitted.Residual, 100*fitted.Spread, strings.Join(medians, ", "))
	}
	return table.String()
}

// sizeTable formats the table of the sizes.
func (s *sheet) sizeTable() string {
	var table strings.Builder
	table.WriteString("| name | size | from | |\n|---|---|---|---|\n")
	for _, item := range s.Sizes {
		fmt.Fprintf(&table, "| `%s` | %s | %s | %s |\n", item.ID, formatValue(item.Value, item.Unit), item.From, item.Remark)
	}
	return table.String()
}

// role formats the table of a role's figures.
func (s *sheet) role(name string) (string, error) {
	var table strings.Builder
	table.WriteString("| figure | at the letter's size | limit | formula |\n|---|---|---|---|\n")
	rows := 0
	for _, item := range s.Figures {
		if item.Role != name {
			continue
		}
		rows++
		value, limit := formatValue(s.values[item.ID], item.Unit), ""
		if item.IsLowerBound {
			value = "at least " + value
		}
		if item.Limit != "" {
			limit = formatValue(s.values[item.Limit], s.units[item.Limit])
			if s.values[item.ID] > s.values[item.Limit] {
				limit += fmt.Sprintf(", **over: %s ×**", digits(s.values[item.ID]/s.values[item.Limit]))
			}
		}
		fmt.Fprintf(&table, "| %s (`%s`) | %s | %s | `%s` |\n", item.What, item.ID, value, limit, item.Formula)
	}
	if rows == 0 {
		return "", errs.New(errs.BadInput, "role %q: no figures", name)
	}
	return table.String(), nil
}
