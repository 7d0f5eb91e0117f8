package bench

import (
	"fmt"
	"io"
	"math"
	"syscall"
	"time"
)

// point is the value measured at one size.
type point struct {
	size  float64
	value float64
}

// line is a straight line fitted to points. residual is the largest distance of a point from it, relative to the point's
// value.
type line struct {
	intercept float64
	slope     float64
	residual  float64
}

// fitLine returns the least-squares line through points.
func fitLine(points []point) (l line) {
	n := float64(len(points))
	var sx, sy, sxx, sxy float64
	for _, p := range points {
		sx, sy, sxx, sxy = sx+p.size, sy+p.value, sxx+p.size*p.size, sxy+p.size*p.value
	}
	l.slope = (n*sxy - sx*sy) / (n*sxx - sx*sx)
	l.intercept = (sy - l.slope*sx) / n
	for _, p := range points {
		l.residual = max(l.residual, math.Abs(l.intercept+l.slope*p.size-p.value)/math.Max(p.value, 1e-12))
	}
	return l
}

// writeRow writes a row of a Markdown table with the value at each size and the fitted line.
func writeRow(out io.Writer, name, sizeUnit, unit string, points []point) {
	fmt.Fprintf(out, "| %s |", name)
	for _, p := range points {
		fmt.Fprintf(out, " %.0f: %.3g", p.size, p.value)
	}
	l := fitLine(points)
	fmt.Fprintf(out, " (%s) | %.3g + %.3g × %s | %.0f%% |\n", unit, l.intercept, l.slope, sizeUnit, 100*l.residual)
}

// cpuTime returns the user and system CPU time that this process has used.
func cpuTime() time.Duration {
	var u syscall.Rusage
	_ = syscall.Getrusage(syscall.RUSAGE_SELF, &u)
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}
