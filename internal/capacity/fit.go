package capacity

import (
	"math"
	"slices"
)

// bendMost is how far a median may lie off the line, as a share of itself, before the series counts
// as bent; a series whose runs are further apart than that is given as much more.
const bendMost = 0.12

// line is what a series has shown: slope × size + base, unless it is bent.
type line struct {
	Slope, Base    float64
	Low, High      float64 // the slopes of the repeats, taken alone
	Residual       float64 // the worst, of a median, as a share of it
	Spread         float64 // the widest, between the runs of one size, as a share of their median
	Bent           bool
	Sizes, Medians []float64
}

// fit lays a line through the medians, each weighed by its own size, so that small ones count as
// much as large ones.
func fit(s *Series) line {
	by := map[float64][]float64{}
	for _, p := range s.Points {
		by[p.Size] = append(by[p.Size], p.Value)
	}
	var x line
	for n := range by {
		x.Sizes = append(x.Sizes, n)
	}
	slices.Sort(x.Sizes)
	runs := math.MaxInt
	for _, n := range x.Sizes {
		l := by[n]
		runs = min(runs, len(l))
		sorted := slices.Sorted(slices.Values(l))
		m := sorted[len(sorted)/2]
		x.Medians = append(x.Medians, m)
		if m != 0 {
			x.Spread = max(x.Spread, (sorted[len(sorted)-1]-sorted[0])/math.Abs(m))
		}
	}
	if len(x.Sizes) < 2 {
		return x
	}
	x.Slope, x.Base = least(x.Sizes, x.Medians)
	x.Low, x.High = math.Inf(1), math.Inf(-1)
	for i := range runs {
		var l []float64
		for _, n := range x.Sizes {
			l = append(l, by[n][i])
		}
		k, _ := least(x.Sizes, l)
		x.Low, x.High = min(x.Low, k), max(x.High, k)
	}
	for i, n := range x.Sizes {
		if m := x.Medians[i]; m != 0 {
			x.Residual = max(x.Residual, math.Abs(x.Slope*n+x.Base-m)/math.Abs(m))
		}
	}
	x.Bent = x.Residual > max(bendMost, x.Spread/2)
	return x
}

// least is the line of least squared shares.
func least(x, y []float64) (slope, base float64) {
	var w, wx, wy, wxx, wxy float64
	for i := range x {
		g := 1.0
		if y[i] != 0 {
			g = 1 / (y[i] * y[i])
		}
		w, wx, wy, wxx, wxy = w+g, wx+g*x[i], wy+g*y[i], wxx+g*x[i]*x[i], wxy+g*x[i]*y[i]
	}
	d := w*wxx - wx*wx
	if d == 0 {
		return 0, wy / w
	}
	slope = (w*wxy - wx*wy) / d
	return slope, (wy - slope*wx) / w
}

// at is the value at a size: on the line, or between two neighbours of a bent series. Beyond a
// bend nothing is known: false.
func (x *line) at(n float64) (float64, bool) {
	if !x.Bent {
		return x.Slope*n + x.Base, true
	}
	for i := 1; i < len(x.Sizes); i++ {
		if a, b := x.Sizes[i-1], x.Sizes[i]; n >= a && n <= b {
			return x.Medians[i-1] + (x.Medians[i]-x.Medians[i-1])*(n-a)/(b-a), true
		}
	}
	return 0, false
}
