package sched

import (
	"math/rand/v2"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"ebonyrill.dev/ebonyrill/internal/shared/slice"
)

// TestSlownessIsBelievedWhileFresh guards against requests to an upstream that is slow now, against an upstream that is avoided after its
// slowness has passed, and against a passing slowness that is learnt as the speed.
func TestSlownessIsBelievedWhileFresh(t *testing.T) {
	c := qt.New(t)
	s := newScheduler(upstreamsOf(1))
	s.avgTime = 100 * time.Millisecond
	s.Submit(0, "h", slotRequest(1))
	s.Finish(0, "h", Result{ID: 1, Completion: Answered, Took: 3 * s.avgTime, Slowness: 300})
	u := s.upstreams[1]
	c.Check(u.latencyRatio, qt.Equals, 1.0)
	c.Check(u.presentRatio(), qt.Equals, 3.0)
	s.expireReports(reportTTL)
	c.Check(u.presentRatio(), qt.Equals, 1.0)
}

// TestRequestsFromElsewhereUseSlots guards against requests that are assigned to an upstream whose slots others use, and against one that
// gets nothing after its report has expired. A report without a slowness changes nothing.
func TestRequestsFromElsewhereUseSlots(t *testing.T) {
	for slowness, want := range map[int]int{100: 1, 0: 4} {
		s := newScheduler(upstreamsOf(4))
		s.Submit(0, "h", slotRequest(1))
		s.Finish(0, "h", Result{ID: 1, Completion: Answered, Took: time.Millisecond, Running: 4, Waiting: 7, Slowness: slowness})
		qt.Check(t, s.upstreams[1].limit(), qt.Equals, want)
		s.Submit(reportTTL, "h", slotRequest(2))
		qt.Check(t, s.upstreams[1].limit(), qt.Equals, 4)
	}
}

// TestReportsExpireInTurn guards against an expired report that is kept because a newer one of another upstream arrives before the check.
func TestReportsExpireInTurn(t *testing.T) {
	s := newScheduler(upstreamsOf(1, 1))
	s.Submit(0, "h", slotRequest(1))
	s.Submit(0, "h", slotRequest(2))
	first := s.jobs[Key{Host: "h", ID: 1}].state
	s.Finish(0, "h", Result{ID: 1, Completion: Answered, Took: s.avgTime, Slowness: 300})
	s.Finish(reportTTL, "h", Result{ID: 2, Completion: Answered, Took: s.avgTime, Slowness: 300})
	qt.Check(t, first.report, qt.Equals, report{})
}

// slowPhase is how long an upstream is slow at a time.
const slowPhase = 400 * time.Millisecond

// slownessAt returns 3 during a fifth of the phases of an upstream, and otherwise 1.
func slownessAt(upstream uint32, at time.Duration) float64 {
	if slice.Mix(uint64(upstream)<<32+uint64(at/slowPhase))%5 == 0 {
		return 3
	}
	return 1
}

// TestReplayOfSlowness replays 45 upstreams that take 0.5 to 1.5 times the average, a fifth of which are three times slower for 400 ms at a
// time, at 0.95 of what they can run. With the figure at most three quarters as many requests may miss the objective as without.
func TestReplayOfSlowness(t *testing.T) {
	with, without := replaySlowness(true), replaySlowness(false)
	t.Logf("misses: with the figure %.3f, without %.3f", with, without)
	qt.Check(t, with <= 0.75*without, qt.IsTrue)
}

func replaySlowness(reported bool) (missed float64) {
	random := rand.New(rand.NewPCG(9, 10))
	slots := make([]int, 45)
	for i := range slots {
		slots[i] = 3
	}
	s := newScheduler(upstreamsOf(slots...))
	// 135 slots of 160 ms run 1.1 times as much with these speeds (the mean of 1/x over 0.5 to 1.5), of which the slow phases leave 1/1.4.
	w := workload{perSec: 0.95 * 135 / 0.16 * 1.1 / 1.4}
	arrivals := w.arrivals(random)[:int(w.perSec*15)]
	at := time.Duration(0)
	met := replay{
		submit: func(now time.Duration, id uint64) []addressedReply {
			at = now
			return s.Submit(now, "h", SlotRequest{ID: id, Timeout: replayTimeout, Objective: replayObjective, DataCentre: "d"})
		},
		work: func(_ uint64, upstream uint32) time.Duration {
			left := (0.7 + 0.6*random.Float64()) * (0.5 + float64(upstream-1)/44) * 160
			end := at
			for ; left > 0; end += time.Millisecond {
				left -= 1 / slownessAt(upstream, end)
			}
			return end - at
		},
		finish: func(now time.Duration, r runningRequest) []addressedReply {
			at = now
			result := Result{ID: r.id, Completion: Answered, Took: now - r.started}
			if j := s.jobs[Key{Host: "h", ID: r.id}]; reported && j != nil {
				result.Running, result.Slowness = j.state.busy, int(100*slownessAt(j.state.upstream.Number, now))
			}
			return s.Finish(now, "h", result)
		},
		tick: func(now time.Duration) []addressedReply {
			at = now
			return s.Tick(now)
		},
	}.run(arrivals, arrivals[len(arrivals)-1]+2*time.Second)
	return 1 - float64(len(met))/float64(len(arrivals))
}
