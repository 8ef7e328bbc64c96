// Package scale measures how cost grows with size, for the projections in
// docs/CAPACITY.md: each slope is a least-squares line through at least four sizes.
package scale

import (
	"github.com/hibiscuslug/hibiscuslug/internal/figure"
)

// point is a cost at a size.
type point struct {
	size float64
	cost float64
}

// line is cost = base + slope*size.
type line struct {
	slope float64
	base  float64
	// residual is the largest distance of a point from the line, as a share of
	// the largest cost.
	residual float64
}

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
	most := 0.0
	for _, point := range points {
		most = max(most, point.cost)
	}
	for _, point := range points {
		distance := point.cost - result.base - slope*point.size
		result.residual = max(result.residual, max(distance, -distance)/most)
	}
	return result
}

// report adds a line's slope, base and residual.
func (fitted line) report(report *figure.Report, name, unit, perUnit string) {
	report.Add("scale."+name+"Slope", fitted.slope, unit+"/"+perUnit)
	report.Add("scale."+name+"Base", fitted.base, unit)
	report.Add("scale."+name+"Residual", 100*fitted.residual, "percent")
}
