package lab

import (
	"math"
	"slices"
	"time"
)

// Fit is a least-squares line through measured points.
type Fit struct {
	Slope     float64
	Intercept float64
	// R2 is the share of the variance that the line explains.
	R2 float64
}

// fit returns the least-squares line. There must be at least two different x.
func fit(x, y []float64) Fit {
	n := float64(len(x))
	var sx, sy, sxx, sxy, syy float64
	for i := range x {
		sx, sy = sx+x[i], sy+y[i]
		sxx, sxy, syy = sxx+x[i]*x[i], sxy+x[i]*y[i], syy+y[i]*y[i]
	}
	f := Fit{Slope: (n*sxy - sx*sy) / (n*sxx - sx*sx)}
	f.Intercept = (sy - f.Slope*sx) / n
	varY := n*syy - sy*sy
	if varY <= 0 {
		f.R2 = 1
		return f
	}
	r := (n*sxy - sx*sy) / math.Sqrt((n*sxx-sx*sx)*varY)
	f.R2 = r * r
	return f
}

// jain returns Jain's fairness index: 1 when all values are equal.
func jain(values []float64) float64 {
	var sum, squares float64
	for _, v := range values {
		sum += v
		squares += v * v
	}
	if squares == 0 {
		return 1
	}
	return sum * sum / (float64(len(values)) * squares)
}

// percentile returns the value below which the fraction p of the values lies, or 0
// without values.
func percentile(values []time.Duration, p float64) time.Duration {
	if len(values) == 0 {
		return 0
	}
	sorted := slices.Sorted(slices.Values(values))
	return sorted[min(len(sorted)-1, int(p*float64(len(sorted))))]
}

// ratio returns a/b, or 0 if b is 0.
func ratio(a, b float64) float64 {
	if b == 0 {
		return 0
	}
	return a / b
}
