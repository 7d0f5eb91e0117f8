package conf

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// TestPhasesOfAStopFitItsTime holds that the phases follow each other within the time for a whole stop, that requests may stay at an
// upstream until its last sixth, and that time is left for writing answers and for the end of the process.
func TestPhasesOfAStopFitItsTime(t *testing.T) {
	for _, within := range []time.Duration{6 * time.Second, 12 * time.Second} {
		t.Run(within.String(), func(t *testing.T) {
			c := qt.New(t)
			s, err := ParseSettings("a.ini", goodSettings+"[drain]\nwithin = "+within.String()+"\n")
			c.Assert(err, qt.IsNil)
			times := s.StopTimes()
			c.Check(times.Notice() < times.Waiting() && times.Waiting() < times.Serving(), qt.IsTrue)
			c.Check(times.Serving() >= within*5/6, qt.IsTrue, qt.Commentf("%v", times.Serving()))
			c.Check(times.Serving() < times.Receiving() && times.Receiving() < times.End(), qt.IsTrue)
			c.Check(times.End()-times.Serving() >= within/20, qt.IsTrue, qt.Commentf("%v", times.End()))
			c.Check(within-times.End() >= within/20, qt.IsTrue, qt.Commentf("%v", times.End()))
		})
	}
}
