package placement

import (
	_ "embed"
	"encoding/json"
	"math"

	"gonum.org/v1/gonum/mat"

	"pebbleloom/internal/errs"
)

//go:embed curve.json
var curveJSON []byte

// fitUnit scales token counts while fitting, so that the columns of the matrix have similar magnitudes.
const fitUnit = 1000.0

// Curve estimates the duration of a prefill from its number of tokens, as a polynomial that was fitted offline.
type Curve struct {
	Coefficients   []float64 `json:"c"`                  // duration in microseconds for n tokens: c[0] + c[1]·n + c[2]·n² …
	Samples        int       `json:"samples,omitempty"`  // number of samples that the curve was fitted to
	RMSErrorMicros float64   `json:"rms_us,omitempty"`   // root mean square of the residuals at the samples
	MaxErrorMicros float64   `json:"worst_us,omitempty"` // largest absolute residual at the samples
}

// Default returns the embedded curve, which the test bed's `fit` command fitted to measurements of the worker
// simulator.
//
// Example: micros := placement.Default().At(4000)
func Default() Curve {
	var curve Curve
	if err := json.Unmarshal(curveJSON, &curve); err != nil {
		panic("placement: decode embedded curve.json: " + err.Error())
	}
	return curve
}

// At returns the estimated duration, in microseconds, of a prefill of the given number of tokens. It is never
// negative.
//
// Example: micros := curve.At(4000)
func (c Curve) At(tokens float64) float64 {
	value := 0.0
	for i := len(c.Coefficients) - 1; i >= 0; i-- {
		value = value*tokens + c.Coefficients[i]
	}
	return math.Max(0, value)
}

// Sample is the measured duration of one prefill.
type Sample struct {
	Tokens int
	Micros float64
}

// Fit fits a polynomial of the given degree to measured prefills by least squares. It returns an error of kind
// errs.BadInput if there are too few samples, or samples of too few different lengths.
//
// Example: curve, err := placement.Fit(samples, 2)
func Fit(samples []Sample, degree int) (Curve, error) {
	if len(samples) <= degree+1 {
		return Curve{}, errs.New(errs.BadInput, "fit prefill curve of degree %d: got %d samples, need at least %d", degree, len(samples), degree+2)
	}
	powers, durations := mat.NewDense(len(samples), degree+1, nil), mat.NewVecDense(len(samples), nil)
	for i, sample := range samples {
		power := 1.0
		for j := range degree + 1 {
			powers.Set(i, j, power)
			power *= float64(sample.Tokens) / fitUnit
		}
		durations.SetVec(i, sample.Micros)
	}
	var solution mat.VecDense
	if err := solution.SolveVec(powers, durations); err != nil {
		return Curve{}, errs.WrapAs(err, errs.BadInput, "fit prefill curve: the samples have too few different prompt lengths")
	}
	curve := Curve{Samples: len(samples)}
	for j := range degree + 1 {
		curve.Coefficients = append(curve.Coefficients, solution.AtVec(j)/math.Pow(fitUnit, float64(j)))
	}
	curve.measureErrors(samples)
	return curve, nil
}

// measureErrors computes the curve's root mean square and maximum error at the samples that it was fitted to.
func (c *Curve) measureErrors(samples []Sample) {
	sum := 0.0
	for _, sample := range samples {
		residual := math.Abs(c.At(float64(sample.Tokens)) - sample.Micros)
		sum += residual * residual
		c.MaxErrorMicros = max(c.MaxErrorMicros, residual)
	}
	c.RMSErrorMicros = math.Sqrt(sum / float64(len(samples)))
}
