package broker

import (
	"math/rand/v2"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"ebonyrill.dev/ebonyrill/internal/entry/retry"
)

// TestRetryBudgetHoldsOverAllHosts simulates twelve hosts with unequal load whose upstreams reject all requests after a burst. No
// window may hold more retries than the limits allow, independent of which host schedules slots and how often that changes.
func TestRetryBudgetHoldsOverAllHosts(t *testing.T) {
	c := qt.New(t)
	limits := retry.Limits{Share: 0.2, Base: 64, Window: 10 * time.Second}
	random := rand.New(rand.NewPCG(1, 2))
	hosts := make([]*budget, 12)
	for i := range hosts {
		hosts[i] = newBudget(limits)
	}
	var requests, retries []time.Duration
	for now := time.Duration(0); now < 40*time.Second; now += time.Millisecond {
		if random.Float64() > 0.4 && (now < 8*time.Second || now > 11*time.Second) {
			continue
		}
		h := hosts[min(int(random.ExpFloat64()*4), len(hosts)-1)]
		h.request(now, "s")
		requests = append(requests, now)
		for now > 13*time.Second && h.spend(now, "s", len(hosts)) {
			retries = append(retries, now)
		}
	}
	within := func(list []time.Duration, from time.Duration) (n int) {
		for _, at := range list {
			if from <= at && at < from+limits.Window {
				n++
			}
		}
		return n
	}
	c.Assert(len(retries) > 500, qt.IsTrue)
	for from := time.Duration(0); from < 30*time.Second; from += 250 * time.Millisecond {
		maxRequests := max(within(requests, from), within(requests, from-limits.Window), within(requests, from-limits.Window/2))
		got := within(retries, from)
		c.Check(float64(got) <= limits.Share*float64(maxRequests)+limits.Base, qt.IsTrue, qt.Commentf("%d retries for %d requests in the window from %v", got, maxRequests, from))
	}
}

func TestUnsentRetryIsRefunded(t *testing.T) {
	b := newBudget(retry.Limits{Share: 0, Base: 1.5 / hostShare, Window: time.Second})
	b.request(0, "s")
	at := time.Second
	qt.Assert(t, b.spend(at, "s", 1), qt.IsTrue)
	qt.Assert(t, b.spend(at, "s", 1), qt.IsFalse)
	b.refund(at, "s")
	qt.Check(t, b.spend(at, "s", 1), qt.IsTrue)
}
