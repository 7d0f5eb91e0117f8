package sched

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// upstreamsInThreeCentres returns upstreams with three slots each, distributed evenly over three data centres.
func upstreamsInThreeCentres(count int) (list []Upstream) {
	for i := range count {
		list = append(list, Upstream{Number: uint32(i + 1), Slots: 3, DataCentre: fmt.Sprint("d", i%3)})
	}
	return list
}

func TestSmallServiceHasOneSubset(t *testing.T) {
	list := upstreamsInThreeCentres(singleSubsetMax)
	subsets := NewSubsets("s", list)
	qt.Check(t, subsets.Count(), qt.Equals, 1)
	qt.Check(t, subsets.Of(list[5]), qt.Equals, Subset{Service: "s"})
	qt.Check(t, newDirectory(subsets, list).members[Subset{Service: "s"}], qt.HasLen, singleSubsetMax)
}

func TestSubsetsHoldEachUpstreamOnce(t *testing.T) {
	c := qt.New(t)
	list := upstreamsInThreeCentres(196)
	subsets := NewSubsets("s", list)
	d := newDirectory(subsets, list)
	ordered := d.order("d1", nil, func(Subset) time.Duration { return 0 }, rand.Float64)
	c.Assert(ordered, qt.HasLen, subsets.Count())
	count := 0
	for i, sub := range ordered {
		members := d.members[sub]
		c.Check(len(members) < 2*subsetSize, qt.IsTrue)
		count += len(members)
		c.Check(sub.DataCentre == "d1", qt.Equals, i < 4)
	}
	c.Check(count, qt.Equals, len(list))
}

func TestAddedUpstreamMovesNoOther(t *testing.T) {
	list := upstreamsInThreeCentres(106)
	before, after := NewSubsets("s", list), NewSubsets("s", upstreamsInThreeCentres(110))
	for _, u := range list {
		qt.Check(t, after.Of(u), qt.Equals, before.Of(u))
	}
}

func TestBusySubsetsComeLast(t *testing.T) {
	list := upstreamsInThreeCentres(106)
	d := newDirectory(NewSubsets("s", list), list)
	own := d.order("d0", nil, func(Subset) time.Duration { return 0 }, rand.Float64)[0]
	wait := func(sub Subset) time.Duration {
		if sub == own {
			return time.Millisecond
		}
		return 0
	}
	ordered := d.order("d0", nil, wait, rand.Float64)
	qt.Check(t, ordered[len(ordered)-1], qt.Equals, own)
	var exclude []uint32
	for _, u := range d.members[own] {
		exclude = append(exclude, u.Number)
	}
	ordered = d.order("d0", exclude, wait, rand.Float64)
	qt.Check(t, slices.Contains(ordered, own), qt.IsFalse)
}

func TestNoQueueRequestIsNotQueued(t *testing.T) {
	c := qt.New(t)
	s := newScheduler(upstreamsOf(1))
	c.Assert(replyFor(s.Submit(0, "h", slotRequest(1)), 1).Decision, qt.Equals, Assigned)
	noQueue := slotRequest(2)
	noQueue.NoQueue = true
	r := replyFor(s.Submit(0, "h", noQueue), 2)
	c.Check(r.Decision, qt.Equals, Busy)
	c.Check(r.After > 0, qt.IsTrue)
	busy, waiting := s.Load()
	c.Check([]int{busy, waiting}, qt.DeepEquals, []int{1, 0})
}

// subsetReplay is the state of a replay with subsets: a scheduler for each subset, the hints that it gave and the requests that
// it got.
type subsetReplay struct {
	directory     *directory
	schedulers    map[Subset]*Scheduler
	hints         map[Subset]hint
	requestCounts map[Subset]int
	random        *rand.Rand
}

func newSubsetReplay(d *directory) *subsetReplay {
	sr := &subsetReplay{directory: d, schedulers: map[Subset]*Scheduler{}, hints: map[Subset]hint{}, requestCounts: map[Subset]int{}, random: rand.New(rand.NewPCG(5, 6))}
	for _, sub := range d.order("", nil, func(Subset) time.Duration { return 0 }, rand.Float64) {
		sr.schedulers[sub] = newScheduler(d.members[sub])
	}
	return sr
}

// submit asks the subsets for a slot as Node.Acquire does, and returns the subset that accepted the request.
func (sr *subsetReplay) submit(now time.Duration, request SlotRequest) (at Subset, replies []addressedReply) {
	wait := func(sub Subset) time.Duration { return sr.hints[sub].wait(now) }
	ordered := sr.directory.order(request.DataCentre, nil, wait, sr.random.Float64)
	try := func(sub Subset, noQueue bool) bool {
		request.NoQueue = noQueue
		sr.requestCounts[sub]++
		replies = sr.schedulers[sub].Submit(now, "h", request)
		r := replyFor(replies, request.ID)
		if r.Decision != Assigned {
			sr.hints[sub] = hint{after: r.After, at: now}
		}
		return r.Decision != Busy
	}
	for i := 0; len(ordered) > 1 && i < maxSubsetsTried && wait(ordered[i]) == 0; i++ {
		if try(ordered[i], true) {
			return ordered[i], replies
		}
	}
	slices.SortStableFunc(ordered, func(a, b Subset) int { return int(wait(a) - wait(b)) })
	try(ordered[0], false)
	return ordered[0], replies
}

// TestReplayOfSubsets replays the look-ups of a large site against a single scheduler and against one scheduler per subset, at 70%
// utilization and at 20% above capacity, with one data centre busier than the others. With subsets, at most 2% more of the
// requests may miss their objective, and no scheduler may get more than half of the single one's slot requests.
func TestReplayOfSubsets(t *testing.T) {
	list := upstreamsInThreeCentres(106)
	const full = 106 * 3 / 0.16 // requests per second that the slots can run
	for _, perSec := range []float64{1400, 2400} {
		unavoidable := max(1-full/perSec, 0)
		t.Run(fmt.Sprint(perSec), func(t *testing.T) {
			single, busiestSingle := replaySubsets(newSubsetReplay(newDirectory(Subsets{service: "s", total: 1}, list)), perSec)
			divided, busiestSubset := replaySubsets(newSubsetReplay(newDirectory(NewSubsets("s", list), list)), perSec)
			t.Logf("misses: one scheduler %.3f (%d slot requests), subsets %.3f (%d slot requests at the busiest)", single, busiestSingle, divided, busiestSubset)
			qt.Check(t, divided <= single+0.02, qt.IsTrue)
			qt.Check(t, single <= unavoidable+maxAvoidableMisses, qt.IsTrue)
			qt.Check(t, busiestSubset*2 < busiestSingle, qt.IsTrue)
		})
	}
}

// maxAvoidableMisses is the largest share of requests that may miss their objective beyond those that overload makes unavoidable.
const maxAvoidableMisses = 0.03

func replaySubsets(sr *subsetReplay, perSec float64) (missed float64, busiest int) {
	const took = 160 * time.Millisecond
	w := workload{perSec: perSec}
	arrivals := w.arrivals(sr.random)[:int(perSec*5)]
	assigned := map[uint64]Subset{}
	met := replay{
		submit: func(now time.Duration, id uint64) (replies []addressedReply) {
			centre := []string{"d0", "d0", "d1", "d2"}[sr.random.IntN(4)]
			assigned[id], replies = sr.submit(now, SlotRequest{ID: id, Priority: 1, Timeout: replayTimeout, Objective: replayObjective, DataCentre: centre})
			return replies
		},
		work: func(uint64, uint32) time.Duration {
			return time.Duration((0.7 + 0.6*sr.random.Float64()) * float64(took))
		},
		finish: func(now time.Duration, r runningRequest) []addressedReply {
			return sr.schedulers[assigned[r.id]].Finish(now, "h", Result{ID: r.id, Completion: Answered, Took: now - r.started})
		},
		tick: func(now time.Duration) (replies []addressedReply) {
			for _, s := range sr.schedulers {
				replies = append(replies, s.Tick(now)...)
			}
			return replies
		},
	}.run(arrivals, arrivals[len(arrivals)-1]+2*time.Second)
	for _, n := range sr.requestCounts {
		busiest = max(busiest, n)
	}
	return 1 - float64(len(met))/float64(len(arrivals)), busiest
}

// TestOwnDataCentreIsPreferredForALimitedTime guards against requests that cross data centres to wait only a little less.
func TestOwnDataCentreIsPreferredForALimitedTime(t *testing.T) {
	now := time.Duration(0)
	list := upstreamsInThreeCentres(106)
	n := New(Options{Upstreams: func(string) []Upstream { return list }, Clock: func() time.Duration { return now }, RemoteDelay: 60 * time.Millisecond})
	d := n.directoryOf("s")
	for _, v := range []struct {
		wait  time.Duration
		local bool
	}{{0, true}, {50 * time.Millisecond, true}, {70 * time.Millisecond, false}} {
		for _, s := range d.usable {
			if s.DataCentre == "d0" {
				n.setHint(s, v.wait)
			}
		}
		ordered := d.order("d0", nil, n.waitFrom("d0"), rand.Float64)
		qt.Check(t, ordered[0].DataCentre == "d0", qt.Equals, v.local)
		qt.Check(t, n.queueCandidates(ordered, n.waitFrom("d0"))[0].DataCentre == "d0", qt.Equals, v.local)
	}
}
