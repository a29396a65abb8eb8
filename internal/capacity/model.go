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

// size is a size of the fleet that figures are computed from.
type size struct {
	ID     string  `json:"id"`
	Value  float64 `json:"value"`
	Unit   string  `json:"unit"`
	From   string  `json:"from"` // letter, assumed or code
	Remark string  `json:"note"`
}

// figure is a number on the page, computed by its formula from sizes, series and earlier figures.
type figure struct {
	ID           string `json:"id"`
	Role         string `json:"role"`
	What         string `json:"what"`
	Unit         string `json:"unit"`
	Formula      string `json:"formula"`
	Limit        string `json:"limit,omitempty"` // id of a size or figure that it may not exceed
	IsLowerBound bool   `json:"at_least,omitempty"`
}

// model is the fleet that the page describes, and the formulas.
type model struct {
	Sizes   []size   `json:"sizes"`
	Figures []figure `json:"figures"`
}

// sheet is a model with its figures computed from the measured series.
type sheet struct {
	*model
	measured *Measured
	lines    map[string]*line
	units    map[string]string
	values   map[string]float64
	used     map[string]bool // series that a formula has used
}

// computeSheet computes the figures of a model. It fails with errs.BadInput for an invalid model.
func computeSheet(rawModel []byte, measured *Measured) (*sheet, error) {
	computed := &sheet{model: &model{}, measured: measured, lines: map[string]*line{}, units: map[string]string{}, values: map[string]float64{}, used: map[string]bool{}}
	if err := json.Unmarshal(rawModel, computed.model); err != nil {
		return nil, errs.WrapAs(err, errs.BadInput, "model")
	}
	for i := range measured.Series {
		item := fit(&measured.Series[i])
		computed.lines[measured.Series[i].Name] = &item
	}
	var batch errs.Batch
	set := func(id, unit string, value float64) {
		if _, dup := computed.values[id]; dup {
			batch.Addf(errs.BadInput, "%s: defined twice", id)
		}
		computed.values[id], computed.units[id] = value, unit
	}
	for _, item := range computed.Sizes {
		set(item.ID, item.Unit, item.Value)
	}
	for _, item := range computed.Figures {
		value, err := computed.formula(item.Formula)
		batch.Add("figure "+item.ID, err)
		set(item.ID, item.Unit, value)
		if _, ok := computed.values[item.Limit]; item.Limit != "" && !ok {
			batch.Addf(errs.BadInput, "figure %s: unknown limit %q", item.ID, item.Limit)
		}
	}
	return computed, batch.Err()
}

// formula evaluates a formula: + - * / and parentheses, numbers, sizes, earlier figures, max and ceil, and the functions
// of a series: slope, base, at (a size), last (the value at the largest measured size) and lastSize.
func (s *sheet) formula(text string) (float64, error) {
	e, err := parser.ParseExpr(text)
	if err != nil {
		return 0, errs.WrapAs(err, errs.BadInput, text)
	}
	return s.eval(e)
}

func (s *sheet) eval(e ast.Expr) (float64, error) {
	switch node := e.(type) {
	case *ast.ParenExpr:
		return s.eval(node.X)
	case *ast.BasicLit:
		value, err := strconv.ParseFloat(node.Value, 64)
		return value, errs.WrapAs(err, errs.BadInput, node.Value)
	case *ast.Ident:
		if value, ok := s.values[node.Name]; ok {
			return value, nil
		}
		return 0, errs.New(errs.BadInput, "%s: unknown size or earlier figure", node.Name)
	case *ast.BinaryExpr:
		left, err := s.eval(node.X)
		if err != nil {
			return 0, err
		}
		right, err := s.eval(node.Y)
		if err != nil {
			return 0, err
		}
		switch node.Op {
		case token.ADD:
			return left + right, nil
		case token.SUB:
			return left - right, nil
		case token.MUL:
			return left * right, nil
		case token.QUO:
			return left / right, nil
		}
	case *ast.CallExpr:
		return s.call(node)
	}
	return 0, errs.New(errs.BadInput, "a formula may contain + - * / ( ), numbers, names and calls only")
}

func (s *sheet) call(expression *ast.CallExpr) (float64, error) {
	function, ok := expression.Fun.(*ast.Ident)
	if !ok || len(expression.Args) == 0 {
		return 0, errs.New(errs.BadInput, "a call needs a function and its arguments")
	}
	var values []float64
	if function.Name == "max" || function.Name == "ceil" {
		for _, argument := range expression.Args {
			value, err := s.eval(argument)
			if err != nil {
				return 0, err
			}
			values = append(values, value)
		}
		if function.Name == "ceil" {
			return math.Ceil(values[0]), nil
		}
		value := values[0]
		for _, size := range values {
			value = max(value, size)
		}
		return value, nil
	}
	lit, ok := expression.Args[0].(*ast.BasicLit)
	if !ok || lit.Kind != token.STRING {
		return 0, errs.New(errs.BadInput, "%s: the first argument must be the name of a series", function.Name)
	}
	name := strings.Trim(lit.Value, `"`)
	fitted := s.lines[name]
	if fitted == nil {
		return 0, errs.New(errs.BadInput, "series %q wasn't measured: run testbed capacity", name)
	}
	s.used[name] = true
	switch {
	case function.Name == "last" && len(expression.Args) == 1:
		return fitted.Medians[len(fitted.Medians)-1], nil
	case function.Name == "lastSize" && len(expression.Args) == 1:
		return fitted.Sizes[len(fitted.Sizes)-1], nil
	case function.Name == "slope" && len(expression.Args) == 1 && !fitted.Bent:
		return fitted.Slope, nil
	case function.Name == "base" && len(expression.Args) == 1 && !fitted.Bent:
		return fitted.Base, nil
	case function.Name == "at" && len(expression.Args) == 2:
		size, err := s.eval(expression.Args[1])
		if err != nil {
			return 0, err
		}
		if value, ok := fitted.at(size); ok {
			return value, nil
		}
		return 0, errs.New(errs.BadInput, "series %q is bent, and %v is outside the measured sizes", name, size)
	}
	return 0, errs.New(errs.BadInput, "%s of series %q: unknown function, or the series is bent (residual %.0f%%)", function.Name, name, 100*fitted.Residual)
}

// formatValue formats a number with its unit, to three digits.
func formatValue(value float64, unit string) string {
	scaled := func(step float64, names ...string) string {
		i := 0
		for i < len(names)-1 && math.Abs(value) >= 1000 {
			value, i = value/step, i+1
		}
		return digits(value) + " " + names[i]
	}
	switch unit {
	case "B":
		return scaled(1000, "B", "KB", "MB", "GB", "TB")
	case "B/s":
		return scaled(1000, "B/s", "KB/s", "MB/s", "GB/s")
	case "µs":
		return scaled(1000, "µs", "ms", "s")
	case "", "1":
		return digits(value)
	case "%":
		return digits(value) + " %"
	}
	return digits(value) + " " + unit
}

// maxExactInteger is the value below which integers are formatted with all their digits.
const maxExactInteger = 1e6

// digits formats a number to three significant digits, with commas between thousands.
func digits(value float64) string {
	if value == 0 || math.IsNaN(value) || math.IsInf(value, 0) {
		return fmt.Sprint(value)
	}
	decimals := 2 - int(math.Floor(math.Log10(math.Abs(value))))
	if value == math.Trunc(value) && math.Abs(value) < maxExactInteger {
		decimals = 0
	}
	if decimals < 0 {
		unit := math.Pow10(-decimals)
		value, decimals = math.Round(value/unit)*unit, 0
	}
	text := strconv.FormatFloat(value, 'f', decimals, 64)
	if strings.Contains(text, ".") {
		text = strings.TrimRight(strings.TrimRight(text, "0"), ".")
	}
	integer, fraction, _ := strings.Cut(text, ".")
	for i := len(integer) - 3; i > 0 && integer[i-1] != '-'; i -= 3 {
		integer = integer[:i] + "," + integer[i:]
	}
	if fraction != "" {
		integer += "." + fraction
	}
	return integer
}
