package limit

import (
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

const typical = 200 * time.Millisecond

// end sends one request if the window allows it and ends it after the typical time.
func end(w *Window, now time.Duration, o Outcome) (shrunk bool) {
	w.Take()
	return w.Release(now+typical, now, typical, o, 0.5)
}

// TestStartsWithItsShare guards against hosts that together send more than the slots before they know anything.
func TestStartsWithItsShare(t *testing.T) {
	qt.Check(t, New(12, 4).Size(), qt.Equals, 3)
	qt.Check(t, New(4, 77).Size(), qt.Equals, 1)
	qt.Check(t, New(0, 0).Size(), qt.Equals, 1)
}

// TestGrowsOnlyWhileUsed guards against a window that grows by requests that never filled it, and beyond the slots.
func TestGrowsOnlyWhileUsed(t *testing.T) {
	w := New(4, 4)
	for now := time.Second; now < 60*time.Second; now += time.Second {
		end(w, now, Succeeded)
	}
	qt.Check(t, w.Size(), qt.Equals, 2)
	for range 100 {
		for w.Wait(0, typical) == 0 {
			w.Take()
		}
		w.Release(time.Minute, time.Minute, typical, Succeeded, 0)
	}
	qt.Check(t, w.Size(), qt.Equals, 4)
}

// TestBurstOfRefusalsCountsOnce guards against a window that collapses by the resets of requests that were sent together.
func TestBurstOfRefusalsCountsOnce(t *testing.T) {
	w := New(16, 2)
	for range 8 {
		w.Take()
	}
	for range 8 {
		w.Release(time.Second+typical, time.Second, typical, Refused, 0.5)
	}
	qt.Check(t, w.Size(), qt.Equals, 4)
	qt.Check(t, w.Wait(2*time.Second, typical), qt.Equals, time.Duration(0))
}

// TestPauseGrowsWithRefusals guards against a host that keeps sending single requests to a full upstream, against an endless pause, and
// against a pause that outlasts the load.
func TestPauseGrowsWithRefusals(t *testing.T) {
	w := New(4, 40)
	now, last := time.Second, time.Duration(0)
	for range 20 {
		qt.Check(t, end(w, now, Refused), qt.IsTrue)
		wait := w.Wait(now+typical, typical)
		qt.Check(t, wait >= last && wait <= maxPause, qt.IsTrue)
		now, last = now+typical+wait, wait
	}
	qt.Check(t, last > time.Second, qt.IsTrue)
	end(w, now+memory, Succeeded)
	qt.Check(t, w.Wait(now+memory+typical, typical), qt.Equals, time.Duration(0))
}

// TestReplayWithoutScheduler replays the load of a hot owner while no scheduler replies: 77 hosts send to one upstream with 4 slots and a
// queue of 16, which is offered twice what it can run. With windows the upstream must reset at most half as many requests, and serve at
// least nine tenths of what it serves otherwise.
func TestReplayWithoutScheduler(t *testing.T) {
	served, resets := replayHotOwner(true)
	plainServed, plainResets := replayHotOwner(false)
	t.Logf("with windows: %d served, %d resets; without: %d, %d", served, resets, plainServed, plainResets)
	qt.Check(t, resets*2 <= plainResets, qt.IsTrue)
	qt.Check(t, served*10 >= plainServed*9, qt.IsTrue)
}

func replayHotOwner(limited bool) (served, resets int) {
	const hosts, slots, queue, work = 77, 4, 16, 220 * time.Millisecond
	random := rand.New(rand.NewPCG(7, 8))
	var all [hosts]*Window
	for i := range all {
		all[i] = New(slots, hosts)
	}
	type request struct {
		host     int
		at, ends time.Duration
	}
	var there []request
	var free [slots]time.Duration
	for now := time.Second; now < 60*time.Second; now += time.Millisecond {
		there = slices.DeleteFunc(there, func(r request) bool {
			if r.ends <= now {
				served++
				all[r.host].Release(now, r.at, work, Succeeded, random.Float64())
			}
			return r.ends <= now
		})
		host := random.IntN(hosts)
		if random.Float64() >= 0.036 || limited && all[host].Wait(now, work) > 0 {
			continue
		}
		all[host].Take()
		if len(there) >= slots+queue {
			resets++
			all[host].Release(now, now, work, Refused, random.Float64())
			continue
		}
		slices.Sort(free[:])
		free[0] = max(free[0], now) + time.Duration((0.7+0.6*random.Float64())*float64(work))
		there = append(there, request{host, now, free[0]})
	}
	return served, resets
}
