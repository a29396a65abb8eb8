package capacity

import (
	"math"
	"slices"
)

// maxResidual is how far a median may be off the line, as a share of itself, before the series counts as bent. The limit
// is half the spread of the runs where that is more.
const maxResidual = 0.12

// line is the linear model of a series, slope × size + base, unless the series is bent.
type line struct {
	Slope, Base    float64
	Low, High      float64 // range of the slopes of the single repeats
	Residual       float64 // largest distance of a median from the line, as a share of the median
	Spread         float64 // widest range of the runs of one size, as a share of their median
	Bent           bool    // the medians are not on a line
	Sizes, Medians []float64
}

// fit fits a line to the medians of a series. Each is weighted by its own size, so that small ones count as much as
// large ones.
func fit(series *Series) line {
	valuesBySize := map[float64][]float64{}
	for _, point := range series.Points {
		valuesBySize[point.Size] = append(valuesBySize[point.Size], point.Value)
	}
	var fitted line
	for size := range valuesBySize {
		fitted.Sizes = append(fitted.Sizes, size)
	}
	slices.Sort(fitted.Sizes)
	runs := math.MaxInt
	for _, size := range fitted.Sizes {
		values := valuesBySize[size]
		runs = min(runs, len(values))
		fitted.addMedian(values)
	}
	if len(fitted.Sizes) < 2 {
		return fitted
	}
	fitted.Slope, fitted.Base = weightedRegression(fitted.Sizes, fitted.Medians)
	fitted.Low, fitted.High = math.Inf(1), math.Inf(-1)
	for run := range runs {
		var values []float64
		for _, size := range fitted.Sizes {
			values = append(values, valuesBySize[size][run])
		}
		slope, _ := weightedRegression(fitted.Sizes, values)
		fitted.Low, fitted.High = min(fitted.Low, slope), max(fitted.High, slope)
	}
	for i, size := range fitted.Sizes {
		if median := fitted.Medians[i]; median != 0 {
			fitted.Residual = max(fitted.Residual, math.Abs(fitted.onLine(size)-median)/math.Abs(median))
		}
	}
	fitted.Bent = fitted.Residual > max(maxResidual, fitted.Spread/2)
	return fitted
}

// addMedian adds the median of the runs of the next size, and their spread.
func (l *line) addMedian(values []float64) {
	sorted := slices.Sorted(slices.Values(values))
	median := sorted[len(sorted)/2]
	l.Medians = append(l.Medians, median)
	if median != 0 {
		l.Spread = max(l.Spread, (sorted[len(sorted)-1]-sorted[0])/math.Abs(median))
	}
}

// weightedRegression returns the line with the least sum of squared relative errors. Each product is rounded by an explicit
// conversion, because a compiler may otherwise fuse it with the addition behind it on some processors (arm64), and the same
// series would give other figures there.
func weightedRegression(sizes, values []float64) (slope, base float64) {
	var sums struct{ weight, size, value, sizeSquared, product float64 } // weighted sums over the points
	for i, size := range sizes {
		weight, value := 1.0, values[i]
		if value != 0 {
			weight = 1 / (value * value)
		}
		sums.weight += weight
		sums.size += float64(weight * size)
		sums.value += float64(weight * value)
		sums.sizeSquared += float64(weight * size * size)
		sums.product += float64(weight * size * value)
	}
	determinant := float64(sums.weight*sums.sizeSquared) - float64(sums.size*sums.size)
	if determinant == 0 {
		return 0, sums.value / sums.weight
	}
	slope = (float64(sums.weight*sums.product) - float64(sums.size*sums.value)) / determinant
	return slope, (sums.value - float64(slope*sums.size)) / sums.weight
}

// onLine returns the value of the line at a size, with the product rounded as in weightedRegression.
func (l *line) onLine(size float64) float64 {
	return float64(l.Slope*size) + l.Base
}

// at returns the value at a size: on the line, or interpolated between the measured sizes of a bent series. It reports
// false for a size outside the measured range of a bent series.
func (l *line) at(size float64) (float64, bool) {
	if !l.Bent {
		return l.onLine(size), true
	}
	for i := 1; i < len(l.Sizes); i++ {
		if a, b := l.Sizes[i-1], l.Sizes[i]; size >= a && size <= b {
			return l.Medians[i-1] + float64((l.Medians[i]-l.Medians[i-1])*(size-a)/(b-a)), true
		}
	}
	return 0, false
}
