package cold

import (
	"slices"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"
)

// TestLimit guards against limits that exceed the bound of two schedulers, or that grant permits where the service's rate allows none.
func TestLimit(t *testing.T) {
	c := qt.New(t)
	c.Check(NewAllowance(1.5, 8).Limit(0).Stated(), qt.IsFalse)
	l := NewAllowance(1.5, 8).Limit(4.7)
	c.Check(l.rate < 4.7 && l.burst >= 1, qt.IsTrue)
	c.Check(2*(l.burst+l.rate*window.Seconds()) <= 4.7*1.5+8+rounding, qt.IsTrue)
	none := NewBucket(0, NewAllowance(1, 0).Limit(1.9))
	c.Check(none.Limit().Stated(), qt.IsTrue)
	c.Check(none.Ready(time.Hour), qt.IsFalse)
}

// TestArrivalsStayBelowBound draws two schedulers that do not know of each other, delays up to the end of the permits and the send delay,
// and requests that are not sent. It guards against more arrivals in any one second than the allowance.
func TestArrivalsStayBelowBound(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		rate, overrun := rapid.Float64Range(0.5, 20).Draw(t, "rate"), rapid.Float64Range(1, 3).Draw(t, "overrun")
		slack := rapid.Float64Range(0, 20).Draw(t, "slack")
		var arrivals []time.Duration
		for range schedulers {
			b := NewBucket(0, NewAllowance(overrun, slack).Limit(rate))
			refunds := map[time.Duration]time.Duration{}
			for now := time.Duration(0); now < 6*time.Second; now += time.Duration(rapid.IntRange(0, 300).Draw(t, "step")+1) * time.Millisecond {
				for grant, at := range refunds {
					if now >= at {
						b.Refund(now, grant)
						delete(refunds, grant)
					}
				}
				for b.Ready(now) {
					b.Take(now)
					if _, unsent := refunds[now]; !unsent && rapid.IntRange(0, 3).Draw(t, "unsent") == 0 {
						refunds[now] = now + time.Duration(rapid.IntRange(0, 1500).Draw(t, "refund"))*time.Millisecond
						continue
					}
					arrivals = append(arrivals, now+time.Duration(rapid.Int64Range(0, int64(PermitLifetime+sendDelay)).Draw(t, "delay")))
				}
			}
		}
		assertBound(t, arrivals, rate*overrun+slack)
	})
}

// assertBound checks the number of arrivals in every second.
func assertBound(t *rapid.T, arrivals []time.Duration, bound float64) {
	slices.Sort(arrivals)
	for i, from := range arrivals {
		n, _ := slices.BinarySearch(arrivals[i:], from+time.Second)
		if float64(n) > bound {
			t.Fatalf("%d requests arrive in the second from %v, bound %v", n, from, bound)
		}
	}
}
