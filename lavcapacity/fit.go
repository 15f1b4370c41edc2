package lavcapacity

import (
	"fmt"
	"math"
)

// Point is a measured cost at one size.
type Point struct {
	Size float64
	Cost float64
}

// Line is a linear model of a cost that depends on a size.
type Line struct {
	// Intercept is the cost at size 0. Slope is the cost that each unit of size
	// adds.
	Intercept float64
	Slope     float64
	// Error is the largest absolute difference between a measured cost and the
	// line, as a fraction of the largest measured cost.
	Error float64
}

// Fit returns the least-squares line through the points. If all points have the
// same size, the line is constant at their mean cost.
func Fit(points []Point) Line {
	count := float64(len(points))
	var sumX, sumY, sumXX, sumXY, maxCost float64
	for _, p := range points {
		sumX, sumY = sumX+p.Size, sumY+p.Cost
		sumXX, sumXY = sumXX+p.Size*p.Size, sumXY+p.Size*p.Cost
		maxCost = max(maxCost, math.Abs(p.Cost))
	}
	line := Line{Intercept: sumY / count}
	if denominator := count*sumXX - sumX*sumX; denominator > 0 {
		line.Slope = (count*sumXY - sumX*sumY) / denominator
		line.Intercept = (sumY - line.Slope*sumX) / count
	}
	for _, p := range points {
		if maxCost > 0 {
			line.Error = max(line.Error, math.Abs(p.Cost-line.At(p.Size))/maxCost)
		}
	}
	return line
}

// At returns the cost that the line gives at a size.
func (l Line) At(size float64) float64 { return l.Intercept + l.Slope*size }

// String returns the line as an equation in the size n, with its error.
func (l Line) String() string {
	return fmt.Sprintf("%.4g + %.4g n, error %.0f%%", l.Intercept, l.Slope, 100*l.Error)
}
