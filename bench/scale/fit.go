// Package scale measures how costs grow with size, for the projections in
// docs/CAPACITY.md. Each slope is a least-squares fit through at least four sizes.
package scale

import (
	"github.com/hibiscuslug/hibiscuslug/internal/figure"
)

// point is the cost measured at a size.
type point struct {
	size float64
	cost float64
}

// line is the linear model cost = base + slope*size.
type line struct {
	slope float64
	base  float64
	// residual is the largest distance of a point from the line, relative to the
	// largest cost.
	residual float64
}

// fit returns the least-squares line through the points.
func fit(points []point) line {
	count := float64(len(points))
	var sumX, sumY, sumXX, sumXY float64
	for _, point := range points {
		sumX += point.size
		sumY += point.cost
		sumXX += point.size * point.size
		sumXY += point.size * point.cost
	}
	slope := (count*sumXY - sumX*sumY) / (count*sumXX - sumX*sumX)
	result := line{slope: slope, base: (sumY - slope*sumX) / count}
	maxCost := 0.0
	for _, point := range points {
		maxCost = max(maxCost, point.cost)
	}
	for _, point := range points {
		distance := point.cost - result.base - slope*point.size
		result.residual = max(result.residual, max(distance, -distance)/maxCost)
	}
	return result
}

// report adds a line's slope, base and residual to the report.
func (fitted line) report(report *figure.Report, name, unit, perUnit string) {
	report.Add("scale."+name+"Slope", fitted.slope, unit+"/"+perUnit)
	report.Add("scale."+name+"Base", fitted.base, unit)
	report.Add("scale."+name+"Residual", 100*fitted.residual, "percent")
}
