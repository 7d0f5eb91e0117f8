package retry

import (
	"testing"

	qt "github.com/frankban/quicktest"
)

func TestBudgetBoundsRetries(t *testing.T) {
	c := qt.New(t)
	b := NewBudget(0.1)
	retries := 0
	for range 10000 {
		b.Earn()
		for b.Spend() {
			retries++
		}
	}
	c.Assert(retries <= 1000+2, qt.IsTrue, qt.Commentf("%d", retries))
	c.Assert(retries >= 990, qt.IsTrue, qt.Commentf("%d", retries))
}

func TestPauseGrowsWithinBounds(t *testing.T) {
	c := qt.New(t)
	most := func(n int64) int64 { return n - 1 }
	for retry := 1; retry < 30; retry++ {
		c.Assert(Pause(retry, most) <= maxPause+initialPause, qt.IsTrue)
		c.Assert(Pause(retry+1, most) >= Pause(retry, most), qt.IsTrue)
	}
}
