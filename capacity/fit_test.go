package capacity_test

import "testing"

// point is one measurement: what was spent on x1 of one thing and x2 of
// another.
type point struct {
	x1, x2, y float64
}

// line fits y = slope*x1 + base by least squares.
func line(points []point) (slope, base float64) {
	with := make([]point, len(points))
	for i, point := range points {
		with[i] = point
		with[i].x2 = 1
	}
	return plane(with)
}

// plane fits y = a*x1 + b*x2 by least squares.
func plane(points []point) (a, b float64) {
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

// slopes reports figures worked out of several sizes, as a benchmark of its own.
func slopes(b *testing.B, figures map[string]float64) {
	b.Run("slopes", func(b *testing.B) {
		for b.Loop() {
		}
		b.ReportMetric(0, "ns/op")
		for unit, figure := range figures {
			b.ReportMetric(figure, unit)
		}
	})
}

// slopesOfLines reports the line through the points of each name.
func slopesOfLines(b *testing.B, per string, lines map[string][]point) {
	figures := make(map[string]float64)
	for name, points := range lines {
		if len(points) < 2 {
			return
		}
		figures[name+per], figures[name+"-base"] = line(points)
	}
	slopes(b, figures)
}
