// Package cacapacity measures how the cost of each role grows with its load,
// and fits a line through the figures. docs/CAPACITY.md is worked out from the
// slopes.
package cacapacity

import (
	"math"

	"celeryarch.example/celeryarch/internal/base/cakind"
)

// Point is a cost that was measured at a size.
type Point struct {
	Size float64
	Cost float64
}

// Line is a cost of Base plus Slope for each unit of size. Residual is the
// largest distance of a point from the line, as a fraction of the largest cost.
type Line struct {
	Base     float64
	Slope    float64
	Residual float64
}

// At returns the cost at a size.
func (l Line) At(size float64) float64 { return l.Base + l.Slope*size }

// Fit returns the line of least squares through the points. It needs two
// different sizes, and else returns an error of KindInvalid.
//
//	(1, 3), (2, 5), (3, 7): base 1, slope 2, residual 0
func Fit(points []Point) (Line, error) {
	var size, cost float64
	for _, p := range points {
		size += p.Size / float64(len(points))
		cost += p.Cost / float64(len(points))
	}
	var spread, common float64
	for _, p := range points {
		spread += (p.Size - size) * (p.Size - size)
		common += (p.Size - size) * (p.Cost - cost)
	}
	if spread == 0 {
		return Line{}, cakind.New(cakind.KindInvalid, "%d points have fewer than two sizes", len(points))
	}
	l := Line{Slope: common / spread}
	l.Base = cost - l.Slope*size
	l.Residual = l.residual(points)
	return l, nil
}

func (l Line) residual(points []Point) float64 {
	var off, largest float64
	for _, p := range points {
		off = max(off, math.Abs(p.Cost-l.At(p.Size)))
		largest = max(largest, math.Abs(p.Cost))
	}
	if largest == 0 {
		return 0
	}
	return off / largest
}
