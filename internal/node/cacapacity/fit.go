// Package cacapacity measures how the cost of each role of an entry grows with
// its load, and fits a line to the measurements. docs/CAPACITY.md derives its
// figures from the slopes.
package cacapacity

import (
	"math"

	"celeryarch.example/celeryarch/internal/base/cakind"
)

// Point is the cost measured at one size.
type Point struct {
	Size float64
	Cost float64
}

// Line is a linear cost: Base plus Slope times the size. Residual is the largest
// deviation of a point from the line, as a fraction of the largest cost.
type Line struct {
	Base     float64
	Slope    float64
	Residual float64
}

// At returns the cost at a size.
func (l Line) At(size float64) float64 { return l.Base + l.Slope*size }

// Fit returns the least-squares line through the points. It returns an error of
// KindInvalid if the points have fewer than two different sizes.
//
//	(1, 3), (2, 5), (3, 7): base 1, slope 2, residual 0
func Fit(points []Point) (Line, error) {
	var meanSize, meanCost float64
	for _, p := range points {
		meanSize += p.Size / float64(len(points))
		meanCost += p.Cost / float64(len(points))
	}
	var sumSquares, sumProducts float64
	for _, p := range points {
		sumSquares += (p.Size - meanSize) * (p.Size - meanSize)
		sumProducts += (p.Size - meanSize) * (p.Cost - meanCost)
	}
	if sumSquares == 0 {
		return Line{}, cakind.New(cakind.KindInvalid, "%d points have fewer than two different sizes", len(points))
	}
	l := Line{Slope: sumProducts / sumSquares}
	l.Base = meanCost - l.Slope*meanSize
	l.Residual = l.relativeResidual(points)
	return l, nil
}

func (l Line) relativeResidual(points []Point) float64 {
	var maxDeviation, maxCost float64
	for _, p := range points {
		maxDeviation = max(maxDeviation, math.Abs(p.Cost-l.At(p.Size)))
		maxCost = max(maxCost, math.Abs(p.Cost))
	}
	if maxCost == 0 {
		return 0
	}
	return maxDeviation / maxCost
}
