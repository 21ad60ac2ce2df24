package capacity_test

import "testing"

// point is one measurement: the cost y of x1 units of one kind, such as requests,
// and x2 units of another, such as tokens.
type point struct {
	x1, x2, y float64
}

// fitLine fits y = slope*x1 + base by least squares. It ignores x2.
func fitLine(points []point) (slope, base float64) {
	withConstant := make([]point, len(points))
	for i, point := range points {
		withConstant[i] = point
		withConstant[i].x2 = 1
	}
	return fitPlane(withConstant)
}

// fitPlane fits y = a*x1 + b*x2, which has no constant term, by least squares.
func fitPlane(points []point) (a, b float64) {
	var s11, s12, s22, s1y, s2y float64
	for _, point := range points {
		s11 += point.x1 * point.x1
		s12 += point.x1 * point.x2
		s22 += point.x2 * point.x2
		s1y += point.x1 * point.y
		s2y += point.x2 * point.y
	}
	determinant := s11*s22 - s12*s12
	return (s1y*s22 - s2y*s12) / determinant, (s2y*s11 - s1y*s12) / determinant
}

// reportSlopes reports figures, keyed by unit, that were derived from several
// sizes. It reports them as the result of a sub-benchmark with an empty loop.
func reportSlopes(b *testing.B, figures map[string]float64) {
	b.Run("slopes", func(b *testing.B) {
		for b.Loop() {
		}
		b.ReportMetric(0, "ns/op")
		for unit, figure := range figures {
			b.ReportMetric(figure, unit)
		}
	})
}

// reportLinearFits fits a line to the points of each name and reports its slope
// under the name followed by slopeUnit, and its base. It reports nothing when
// fewer than two sizes were run, as happens with a narrow -bench pattern.
func reportLinearFits(b *testing.B, slopeUnit string, lines map[string][]point) {
	figures := make(map[string]float64)
	for name, points := range lines {
		if len(points) < 2 {
			return
		}
		figures[name+slopeUnit], figures[name+"-base"] = fitLine(points)
	}
	reportSlopes(b, figures)
}
