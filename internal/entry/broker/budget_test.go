package broker

import (
	"math/rand/v2"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"ebonyrill.dev/ebonyrill/internal/entry/retry"
)

// TestHostsKeepTheBudgetInSum plays twelve hosts of unequal share whose upstreams turn everything away, after a burst: whoever
// deals, and however often that changes, no window holds more repeats than the terms allow.
func TestHostsKeepTheBudgetInSum(t *testing.T) {
	c := qt.New(t)
	terms := retry.Limits{Share: 0.2, Base: 64, Window: 10 * time.Second}
	random := rand.New(rand.NewPCG(1, 2))
	hosts := make([]*budget, 12)
	for i := range hosts {
		hosts[i] = newBudget(terms)
	}
	var requests, repeats []time.Duration
	for now := time.Duration(0); now < 40*time.Second; now += time.Millisecond {
		if random.Float64() > 0.4 && (now < 8*time.Second || now > 11*time.Second) {
			continue
		}
		h := hosts[min(int(random.ExpFloat64()*4), len(hosts)-1)]
		h.request(now, "s")
		requests = append(requests, now)
		for now > 13*time.Second && h.spend(now, "s", len(hosts)) {
			repeats = append(repeats, now)
		}
	}
	within := func(list []time.Duration, from time.Duration) (n int) {
		for _, at := range list {
			if from <= at && at < from+terms.Window {
				n++
			}
		}
		return n
	}
	c.Assert(len(repeats) > 500, qt.IsTrue)
	for from := time.Duration(0); from < 30*time.Second; from += 250 * time.Millisecond {
		most := max(within(requests, from), within(requests, from-terms.Window), within(requests, from-terms.Window/2))
		got := within(repeats, from)
		c.Check(float64(got) <= terms.Share*float64(most)+terms.Base, qt.IsTrue, qt.Commentf("%d repeats for %d requests in the window from %v", got, most, from))
	}
}

func TestARepeatThatWasNotSentIsGivenBack(t *testing.T) {
	g := newBudget(retry.Limits{Share: 0, Base: 1.5 / hostShare, Window: time.Second})
	g.request(0, "s")
	at := time.Second
	qt.Assert(t, g.spend(at, "s", 1), qt.IsTrue)
	qt.Assert(t, g.spend(at, "s", 1), qt.IsFalse)
	g.giveBack(at, "s")
	qt.Check(t, g.spend(at, "s", 1), qt.IsTrue)
}
