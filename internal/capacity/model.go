package capacity

import (
	"encoding/json"
	"fmt"
	"go/ast"
	"go/parser"
	"go/token"
	"math"
	"strconv"
	"strings"

	"pebbleloom/internal/errs"
)

// size is one thing that figures are worked out for.
type size struct {
	ID    string  `json:"id"`
	Value float64 `json:"value"`
	Unit  string  `json:"unit"`
	From  string  `json:"from"` // letter, assumed or code
	Note  string  `json:"note"`
}

// figure is one number of the page, worked out by its formula from sizes, series and earlier figures.
type figure struct {
	ID      string `json:"id"`
	Role    string `json:"role"`
	What    string `json:"what"`
	Unit    string `json:"unit"`
	Formula string `json:"formula"`
	Limit   string `json:"limit,omitempty"` // the size or figure that it may not exceed
	AtLeast bool   `json:"at_least,omitempty"`
}

// model is the fleet that the page is about, and the formulas.
type model struct {
	Sizes   []size   `json:"sizes"`
	Figures []figure `json:"figures"`
}

// sheet is a model worked out over what was measured.
type sheet struct {
	*model
	m      *Measured
	lines  map[string]*line
	units  map[string]string
	values map[string]float64
	used   map[string]bool // series that some formula used
}

func computeSheet(rawModel []byte, m *Measured) (*sheet, error) {
	s := &sheet{model: &model{}, m: m, lines: map[string]*line{}, units: map[string]string{}, values: map[string]float64{}, used: map[string]bool{}}
	if err := json.Unmarshal(rawModel, s.model); err != nil {
		return nil, errs.WrapAs(err, errs.BadInput, "model")
	}
	for i := range m.Series {
		x := fit(&m.Series[i])
		s.lines[m.Series[i].Name] = &x
	}
	var b errs.Batch
	set := func(id, unit string, v float64) {
		if _, dup := s.values[id]; dup {
			b.Addf(errs.BadInput, "%s: named twice", id)
		}
		s.values[id], s.units[id] = v, unit
	}
	for _, x := range s.Sizes {
		set(x.ID, x.Unit, x.Value)
	}
	for _, f := range s.Figures {
		v, err := s.formula(f.Formula)
		b.Add("figure "+f.ID, err)
		set(f.ID, f.Unit, v)
		if _, ok := s.values[f.Limit]; f.Limit != "" && !ok {
			b.Addf(errs.BadInput, "figure %s: limit %q: no such size", f.ID, f.Limit)
		}
	}
	return s, b.Err()
}

// formula works one out: + - * / and parentheses, numbers, sizes, earlier figures, and slope, base,
// at (a size) and last (the largest measured) of a series.
func (s *sheet) formula(text string) (float64, error) {
	e, err := parser.ParseExpr(text)
	if err != nil {
		return 0, errs.WrapAs(err, errs.BadInput, text)
	}
	return s.eval(e)
}

func (s *sheet) eval(e ast.Expr) (float64, error) {
	switch x := e.(type) {
	case *ast.ParenExpr:
		return s.eval(x.X)
	case *ast.BasicLit:
		v, err := strconv.ParseFloat(x.Value, 64)
		return v, errs.WrapAs(err, errs.BadInput, x.Value)
	case *ast.Ident:
		if v, ok := s.values[x.Name]; ok {
			return v, nil
		}
		return 0, errs.New(errs.BadInput, "%s: no such size, nor an earlier figure", x.Name)
	case *ast.BinaryExpr:
		a, err := s.eval(x.X)
		if err != nil {
			return 0, err
		}
		b, err := s.eval(x.Y)
		if err != nil {
			return 0, err
		}
		switch x.Op {
		case token.ADD:
			return a + b, nil
		case token.SUB:
			return a - b, nil
		case token.MUL:
			return a * b, nil
		case token.QUO:
			return a / b, nil
		}
	case *ast.CallExpr:
		return s.call(x)
	}
	return 0, errs.New(errs.BadInput, "a formula holds + - * / ( ), numbers, names and calls alone")
}

func (s *sheet) call(x *ast.CallExpr) (float64, error) {
	f, ok := x.Fun.(*ast.Ident)
	if !ok || len(x.Args) == 0 {
		return 0, errs.New(errs.BadInput, "a call names a function and its arguments")
	}
	var nums []float64
	if f.Name == "max" || f.Name == "ceil" {
		for _, a := range x.Args {
			v, err := s.eval(a)
			if err != nil {
				return 0, err
			}
			nums = append(nums, v)
		}
		if f.Name == "ceil" {
			return math.Ceil(nums[0]), nil
		}
		v := nums[0]
		for _, n := range nums {
			v = max(v, n)
		}
		return v, nil
	}
	lit, ok := x.Args[0].(*ast.BasicLit)
	if !ok || lit.Kind != token.STRING {
		return 0, errs.New(errs.BadInput, "%s: its first argument names a series", f.Name)
	}
	name := strings.Trim(lit.Value, `"`)
	l := s.lines[name]
	if l == nil {
		return 0, errs.New(errs.BadInput, "series %q: it wasn't measured: run testbed capacity", name)
	}
	s.used[name] = true
	switch {
	case f.Name == "last" && len(x.Args) == 1:
		return l.Medians[len(l.Medians)-1], nil
	case f.Name == "lastSize" && len(x.Args) == 1:
		return l.Sizes[len(l.Sizes)-1], nil
	case f.Name == "slope" && len(x.Args) == 1 && !l.Bent:
		return l.Slope, nil
	case f.Name == "base" && len(x.Args) == 1 && !l.Bent:
		return l.Base, nil
	case f.Name == "at" && len(x.Args) == 2:
		n, err := s.eval(x.Args[1])
		if err != nil {
			return 0, err
		}
		if v, ok := l.at(n); ok {
			return v, nil
		}
		return 0, errs.New(errs.BadInput, "series %q is bent, and %v lies beyond what was measured", name, n)
	}
	return 0, errs.New(errs.BadInput, "%s of series %q: no such function, or the series is bent (%.0f%% off a line)", f.Name, name, 100*l.Residual)
}

// formatValue writes a number with its unit, to three digits.
func formatValue(v float64, unit string) string {
	scaled := func(step float64, names ...string) string {
		i := 0
		for i < len(names)-1 && math.Abs(v) >= 1000 {
			v, i = v/step, i+1
		}
		return digits(v) + " " + names[i]
	}
	switch unit {
	case "B":
		return scaled(1000, "B", "KB", "MB", "GB", "TB")
	case "B/s":
		return scaled(1000, "B/s", "KB/s", "MB/s", "GB/s")
	case "µs":
		return scaled(1000, "µs", "ms", "s")
	case "", "1":
		return digits(v)
	case "%":
		return digits(v) + " %"
	}
	return digits(v) + " " + unit
}

// exact is up to where whole numbers are written with all their digits.
const exact = 1e6

// digits writes three of them, and commas between thousands.
func digits(v float64) string {
	if v == 0 || math.IsNaN(v) || math.IsInf(v, 0) {
		return fmt.Sprint(v)
	}
	p := 2 - int(math.Floor(math.Log10(math.Abs(v))))
	if v == math.Trunc(v) && math.Abs(v) < exact {
		p = 0
	}
	if p < 0 {
		k := math.Pow10(-p)
		v, p = math.Round(v/k)*k, 0
	}
	t := strconv.FormatFloat(v, 'f', p, 64)
	if strings.Contains(t, ".") {
		t = strings.TrimRight(strings.TrimRight(t, "0"), ".")
	}
	whole, rest, _ := strings.Cut(t, ".")
	for i := len(whole) - 3; i > 0 && whole[i-1] != '-'; i -= 3 {
		whole = whole[:i] + "," + whole[i:]
	}
	if rest != "" {
		whole += "." + rest
	}
	return whole
}
