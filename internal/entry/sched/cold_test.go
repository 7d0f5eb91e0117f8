package sched

import (
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"ebonyrill.dev/ebonyrill/internal/entry/cold"
)

// coldUpstreams returns upstreams of deployment A in two data centres, those in the second one cold until three seconds.
func coldUpstreams(now time.Duration, perCentre int) (list []Upstream) {
	limit := cold.NewAllowance(1.5, 8).Limit(4.7)
	for i := range 2 * perCentre {
		u := Upstream{Number: uint32(i + 1), Slots: 3, DataCentre: "d0", Permits: limit}
		if i >= perCentre {
			u.DataCentre, u.ColdLeft = "d1", max(3*time.Second-now, 0)
		}
		list = append(list, u)
	}
	return list
}

// TestReplayOfColdDataCentre replays 6,700 slot searches a second, nine tenths of what 200 upstreams can run. One of two data centres with
// 100 upstreams each is cold for three seconds. Other schedulers take over between 1 and 1.5 s, during which both are used. It guards
// against more than 15.05 arrivals at a cold upstream in any second, and against warm upstreams that are left idle.
func TestReplayOfColdDataCentre(t *testing.T) {
	c := qt.New(t)
	random := rand.New(rand.NewPCG(7, 8))
	newReplay := func(now time.Duration) *subsetReplay {
		list := coldUpstreams(now, 100)
		sr := newSubsetReplay(newDirectory(NewSubsets("s", list), list))
		for sub, s := range sr.schedulers {
			s.SetUpstreams(now, sr.directory.members[sub], 1)
		}
		return sr
	}
	replays, owner, arrivals := []*subsetReplay{newReplay(0)}, map[uint64]*Scheduler{}, map[uint32][]time.Duration{}
	now, warm, most, total := time.Duration(0), 0, 0, 0
	record := func(replies []addressedReply) []addressedReply {
		for _, a := range replies {
			if u := a.reply.Upstream; a.reply.Decision == Assigned && now < 3*time.Second && u > 100 {
				c.Assert(a.reply.PermitEnd > 0, qt.IsTrue)
				arrivals[u] = append(arrivals[u], now+time.Duration(random.Int64N(int64(350*time.Millisecond))))
			} else if a.reply.Decision == Assigned && now < 3*time.Second {
				warm++
			}
		}
		return replies
	}
	replay{
		submit: func(_ time.Duration, id uint64) []addressedReply {
			sr := replays[random.IntN(len(replays))]
			if now >= 1500*time.Millisecond {
				sr = replays[1]
			}
			sub, replies := sr.submit(now, SlotRequest{ID: id, Priority: 1, Timeout: replayTimeout,
				Objective: replayObjective, DataCentre: []string{"d0", "d1"}[id%2]})
			owner[id] = sr.schedulers[sub]
			return record(replies)
		},
		work: func(_ uint64, u uint32) time.Duration {
			if u > 100 && now < 3*time.Second {
				return 160 * time.Millisecond
			}
			return 80 * time.Millisecond
		},
		finish: func(_ time.Duration, r runningRequest) []addressedReply {
			return record(owner[r.id].Finish(now, "h", Result{ID: r.id, Completion: Answered, Took: now - r.started}))
		},
		tick: func(at time.Duration) (replies []addressedReply) {
			if now = at; now == time.Second {
				replays = append(replays, newReplay(now))
			}
			for _, sr := range replays {
				for _, sub := range sr.directory.usable {
					replies = append(replies, sr.schedulers[sub].Tick(now)...)
				}
			}
			return record(replies)
		},
	}.run(workload{perSec: 6700}.arrivals(random)[:6700*4], 4*time.Second)
	for _, times := range arrivals {
		slices.Sort(times)
		total += len(times)
		for i, from := range times {
			n, _ := slices.BinarySearch(times[i:], from+time.Second)
			most = max(most, n)
		}
	}
	t.Logf("most arrivals in a second at a cold upstream %d, cold %d, warm %d", most, total, warm)
	c.Check(most <= 15, qt.IsTrue)
	c.Check(total > 500, qt.IsTrue)
	c.Check(float64(warm) >= 0.9*3*100*3/0.08, qt.IsTrue)
}

// newColdScheduler returns a scheduler with one upstream that is cold for ten seconds, at a time when its bucket is full.
func newColdScheduler() (s *Scheduler, now time.Duration) {
	list := coldUpstreams(0, 1)[:1]
	list[0].ColdLeft = 10 * time.Second
	return newScheduler(list), 2 * time.Second
}

// TestPermitsForTheOwnerOfAKey guards against an expected wait that counts slots and not permits: what cannot get a permit in time must be
// rejected at once, with the time until one is free, and the most urgent request must get the next one.
func TestPermitsForTheOwnerOfAKey(t *testing.T) {
	c := qt.New(t)
	s, now := newColdScheduler()
	s.avgTime = 10 * time.Millisecond
	submit := func(id uint64, priority int) Reply {
		r := slotRequest(id)
		r.Upstream, r.Timeout, r.Priority = 1, time.Second, priority
		return replyFor(s.Submit(now, "h", r), id)
	}
	c.Assert(submit(1, 1), qt.Equals, Reply{ID: 1, Decision: Assigned, Upstream: 1, PermitEnd: cold.PermitLifetime})
	for id := uint64(2); id <= 5; id++ {
		c.Assert(submit(id, 2).Decision, qt.Equals, Queued)
	}
	c.Assert(submit(6, 0).Decision, qt.Equals, Queued)
	rejected := submit(7, 2)
	c.Assert(rejected.Decision, qt.Equals, Overloaded)
	c.Assert(rejected.After > 1200*time.Millisecond && rejected.After < 1250*time.Millisecond, qt.IsTrue, qt.Commentf("%v", rejected.After))
	c.Assert(s.Tick(now), qt.HasLen, 0)
	now += 46 * time.Millisecond
	replies := s.Tick(now)
	c.Assert(replies, qt.HasLen, 1)
	c.Assert(replies[0].reply, qt.Equals, Reply{ID: 6, Decision: Assigned, Upstream: 1, PermitEnd: 46*time.Millisecond + cold.PermitLifetime})
	c.Assert(*s.permits, qt.Equals, permitCounts{granted: 2, waited: 5})
}

// TestResultsOfColdUpstreams guards against permits that are lost with requests that were not sent, and against an upstream that a
// scheduler takes for warm although a host has learned that it is cold.
func TestResultsOfColdUpstreams(t *testing.T) {
	c := qt.New(t)
	s, now := newColdScheduler()
	c.Assert(replyFor(s.Submit(now, "h", slotRequest(1)), 1).Decision, qt.Equals, Assigned)
	s.Finish(now, "h", Result{ID: 1, Completion: Rejected})
	c.Assert(replyFor(s.Submit(now, "h", slotRequest(2)), 2).Decision, qt.Equals, Queued)
	s.Finish(now, "h", Result{ID: 2, Completion: Abandoned, Unsent: true})
	now = 12 * time.Second
	warm := replyFor(s.Submit(now, "h", slotRequest(3)), 3)
	c.Assert(warm.Decision == Assigned && warm.PermitEnd == 0, qt.IsTrue)
	s.Finish(now, "h", Result{ID: 3, Completion: Answered, Took: time.Millisecond, ColdLeft: 2 * time.Second})
	c.Assert(replyFor(s.Submit(now, "h", slotRequest(4)), 4).Decision, qt.Equals, Queued)
	now += 250 * time.Millisecond
	c.Assert(replyFor(s.Tick(now), 4).PermitEnd, qt.Equals, 250*time.Millisecond+cold.PermitLifetime)
	c.Assert(replyFor(s.Submit(now, "h", slotRequest(5)), 5).Decision, qt.Equals, Queued)
	c.Assert(replyFor(s.Finish(now, "h", Result{ID: 4, Completion: Abandoned, Unsent: true}), 5).Decision, qt.Equals, Assigned)
}

// TestRequestsForAPermitAreNotVisited guards against events that visit all requests which wait for a cold upstream, while there is no
// permit for it.
func TestRequestsForAPermitAreNotVisited(t *testing.T) {
	s, now := newColdScheduler()
	qt.Check(t, s.freeTargets(s.newCosts(0)), qt.HasLen, 0)
	qt.Check(t, s.freeTargets(s.newCosts(now)), qt.DeepEquals, []uint32{0, 1})
}

// TestPartsOfPermitsStartNothing guards against a wait of zero, and hosts that ask again at once, while several cold upstreams have a part
// of a permit each and none has a whole one.
func TestPartsOfPermitsStartNothing(t *testing.T) {
	list := coldUpstreams(0, 4)[4:]
	s, now := newScheduler(list), 200*time.Millisecond
	r := slotRequest(1)
	r.NoQueue = true
	busy := replyFor(s.Submit(now, "h", r), 1)
	qt.Check(t, busy.Decision, qt.Equals, Busy)
	qt.Check(t, busy.After > 30*time.Millisecond && busy.After < 40*time.Millisecond, qt.IsTrue, qt.Commentf("%v", busy.After))
	r.ID = 2
	qt.Check(t, replyFor(s.Submit(now+busy.After, "h", r), 2).Decision, qt.Equals, Assigned)
}
