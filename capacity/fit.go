// Package capacity fits lines to measurements at several sizes and extrapolates from them.
package capacity

import (
	"cmp"
	"math"

	"github.com/juju/errors"
)

// minSizes is the minimum number of distinct sizes for a line fit.
const minSizes = 4

// Point is the value measured at one size.
type Point struct {
	Size  float64
	Value float64
}

// Fit is a line fitted to measurements: Value = Intercept + Slope * Size.
type Fit struct {
	Intercept float64
	Slope     float64
	// RSquared is the coefficient of determination: the share of the variance that the line explains.
	RSquared float64
	// Residuals are the measured values minus the fitted ones, in the order of the points.
	Residuals []float64
}

// FitLine fits a line by least squares. It returns an error for fewer than minSizes distinct sizes.
func FitLine(points []Point) (Fit, error) {
	sizes := make(map[float64]bool)
	for _, p := range points {
		sizes[p.Size] = true
	}
	if len(sizes) < minSizes {
		return Fit{}, errors.Errorf("got %d distinct sizes; a line fit needs at least %d", len(sizes), minSizes)
	}
	return leastSquares(points), nil
}

func leastSquares(points []Point) Fit {
	meanSize, meanValue := 0.0, 0.0
	for _, p := range points {
		meanSize += p.Size / float64(len(points))
		meanValue += p.Value / float64(len(points))
	}
	covariance, variance, total := 0.0, 0.0, 0.0
	for _, p := range points {
		covariance += (p.Size - meanSize) * (p.Value - meanValue)
		variance += (p.Size - meanSize) * (p.Size - meanSize)
		total += (p.Value - meanValue) * (p.Value - meanValue)
	}
	fit := Fit{Slope: covariance / variance, RSquared: 1}
	fit.Intercept = meanValue - fit.Slope*meanSize
	unexplained := 0.0
	for _, p := range points {
		residual := p.Value - fit.ValueAt(p.Size)
		fit.Residuals = append(fit.Residuals, residual)
		unexplained += residual * residual
	}
	if total > 0 {
		fit.RSquared = 1 - unexplained/total
	}
	return fit
}

// ValueAt returns the value of the line at size.
func (f Fit) ValueAt(size float64) float64 {
	return f.Intercept + f.Slope*size
}

// LargestResidual returns the largest absolute residual.
func (f Fit) LargestResidual() float64 {
	largest := 0.0
	for _, r := range f.Residuals {
		largest = max(largest, math.Abs(r))
	}
	return largest
}

// SizeAt returns the size at which a rising line reaches limit, and false if the line does not rise.
func (f Fit) SizeAt(limit float64) (float64, bool) {
	if f.Slope <= 0 {
		return 0, false
	}
	return (limit - f.Intercept) / f.Slope, true
}

// sizeRange returns the smallest and the largest size of the points. Sizes must not be negative.
func sizeRange(points []Point) (smallest, largest float64) {
	for i, p := range points {
		if i == 0 || cmp.Less(p.Size, smallest) {
			smallest = p.Size
		}
		largest = max(largest, p.Size)
	}
	return smallest, largest
}
