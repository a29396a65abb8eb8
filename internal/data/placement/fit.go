package placement

import (
	"math"

	"gonum.org/v1/gonum/mat"

	"pebbleloom/internal/errs"
)

// Sample is one measured prefill.
type Sample struct {
	Tokens int
	Micros float64
}

// Fit fits a polynomial to measured prefills by least squares, offline.
//
// Example: curve, err := placement.Fit(samples, 2)
func Fit(l []Sample, degree int) (Curve, error) {
	if len(l) <= degree+1 {
		return Curve{}, errs.New(errs.BadInput, "%d samples for degree %d: measure more", len(l), degree)
	}
	const unit = 1000.0 // thousands of tokens keep the columns of one size
	a, y := mat.NewDense(len(l), degree+1, nil), mat.NewVecDense(len(l), nil)
	for i, s := range l {
		x := 1.0
		for j := range degree + 1 {
			a.Set(i, j, x)
			x *= float64(s.Tokens) / unit
		}
		y.SetVec(i, s.Micros)
	}
	var v mat.VecDense
	if err := v.SolveVec(a, y); err != nil {
		return Curve{}, errs.WrapAs(err, errs.BadInput, "fit: measure prompts of more different lengths")
	}
	c := Curve{Samples: len(l)}
	for j := range degree + 1 {
		c.Coefficients = append(c.Coefficients, v.AtVec(j)/math.Pow(unit, float64(j)))
	}
	sum := 0.0
	for _, s := range l {
		d := math.Abs(c.At(float64(s.Tokens)) - s.Micros)
		sum += d * d
		c.MaxErrorMicros = max(c.MaxErrorMicros, d)
	}
	c.RMSErrorMicros = math.Sqrt(sum / float64(len(l)))
	return c, nil
}
