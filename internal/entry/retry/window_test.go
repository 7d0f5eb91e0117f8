package retry

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// TestWindowKeepsToItsShare checks that a host with half of the base stays within its share, and that it may retry again in the
// next window.
func TestWindowKeepsToItsShare(t *testing.T) {
	c := qt.New(t)
	w := NewWindow(Limits{Share: 0.2, Base: 10, Window: 10 * time.Second}, 0.7)
	spent := 0
	for i := range 100 {
		now := time.Duration(i) * 50 * time.Millisecond
		w.Request(now)
		if w.Spend(now, 0.5) {
			spent++
		}
	}
	c.Assert(float64(spent) <= 0.2*100+10.0/2, qt.IsTrue)
	c.Assert(spent > 10, qt.IsTrue)
	c.Assert(w.Spend(60*time.Second, 0.5), qt.IsTrue)
}

// TestEachWindowIsWithinLimits guards against a window that starts within a bucket and contains more retries than the limits allow.
func TestEachWindowIsWithinLimits(t *testing.T) {
	limits := Limits{Share: 0.2, Base: 50, Window: 10 * time.Second}
	w := NewWindow(limits, 1)
	var requests, retries []time.Duration
	for now := time.Duration(0); now < 60*time.Second; now += 10 * time.Millisecond {
		w.Request(now)
		requests = append(requests, now)
		for now%(9150*time.Millisecond) == 900*time.Millisecond && w.Spend(now, 1) { // all at once, as during failures
			retries = append(retries, now)
		}
	}
	within := func(list []time.Duration, from time.Duration) (n int) {
		for _, at := range list {
			if at >= from && at < from+limits.Window {
				n++
			}
		}
		return n
	}
	for from := time.Duration(0); from < 50*time.Second; from += 250 * time.Millisecond {
		most := limits.Share*float64(within(requests, from)) + limits.Base
		qt.Assert(t, float64(within(retries, from)) <= most, qt.IsTrue, qt.Commentf("%d retries from %v, at most %.0f", within(retries, from), from, most))
	}
}
