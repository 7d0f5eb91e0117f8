package agent

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// TestWatchPause checks that control answers at most 7,000 watches a second however many entry hosts there are up to 680, that a host
// spends at most a twentieth of its time on applying versions, and that no host is behind by more than maxWatchPause.
func TestWatchPause(t *testing.T) {
	for _, hosts := range []int{0, 1, 11, 95, 300, 680} {
		for _, took := range []time.Duration{0, time.Millisecond, 4 * time.Millisecond, time.Second} {
			p := pauseAfter(took, hosts)
			qt.Check(t, p >= minWatchPause && p <= maxWatchPause, qt.IsTrue)
			qt.Check(t, float64(hosts)/p.Seconds() <= 7000, qt.IsTrue, qt.Commentf("%d hosts, %v", hosts, p))
			qt.Check(t, p >= 20*took || p == maxWatchPause, qt.IsTrue)
		}
	}
}
