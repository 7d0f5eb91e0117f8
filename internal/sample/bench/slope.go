package bench

import (
	"fmt"
	"io"
	"math"
	"syscall"
	"time"
)

// point is one measured size.
type point struct {
	size  float64
	value float64
}

// slope is a straight line through points; residual is the largest relative distance of a point from it.
type slope struct {
	fixed    float64
	each     float64
	residual float64
}

// fit returns the least-squares line.
func fit(points []point) (s slope) {
	n := float64(len(points))
	var sx, sy, sxx, sxy float64
	for _, p := range points {
		sx, sy, sxx, sxy = sx+p.size, sy+p.value, sxx+p.size*p.size, sxy+p.size*p.value
	}
	s.each = (n*sxy - sx*sy) / (n*sxx - sx*sx)
	s.fixed = (sy - s.each*sx) / n
	for _, p := range points {
		s.residual = max(s.residual, math.Abs(s.fixed+s.each*p.size-p.value)/math.Max(p.value, 1e-12))
	}
	return s
}

// row writes what was measured at each size and the line through it.
func row(out io.Writer, name, sizeUnit, unit string, points []point) {
	fmt.Fprintf(out, "| %s |", name)
	for _, p := range points {
		fmt.Fprintf(out, " %.0f: %.3g", p.size, p.value)
	}
	s := fit(points)
	fmt.Fprintf(out, " (%s) | %.3g + %.3g × %s | %.0f%% |\n", unit, s.fixed, s.each, sizeUnit, 100*s.residual)
}

// processorTime returns the time that this process has used.
func processorTime() time.Duration {
	var u syscall.Rusage
	_ = syscall.Getrusage(syscall.RUSAGE_SELF, &u)
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}
