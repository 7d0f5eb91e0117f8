package sched

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// spread returns upstreams of three slots, in turn in three data centres.
func spread(count int) (list []Upstream) {
	for i := range count {
		list = append(list, Upstream{Number: uint32(i + 1), Slots: 3, DataCentre: fmt.Sprint("d", i%3)})
	}
	return list
}

func TestSmallServicesAreNotDivided(t *testing.T) {
	list := spread(wholeSize)
	d := NewSubsets("s", list)
	qt.Check(t, d.Count(), qt.Equals, 1)
	qt.Check(t, d.Of(list[5]), qt.Equals, Subset{Service: "s"})
	qt.Check(t, d.Members(Subset{Service: "s"}, list), qt.HasLen, wholeSize)
}

func TestPartsHoldEachUpstreamOnce(t *testing.T) {
	c := qt.New(t)
	list := spread(196)
	d := NewSubsets("s", list)
	parts := d.order(list, "d1", nil, func(Subset) time.Duration { return 0 }, rand.Float64)
	c.Assert(parts, qt.HasLen, d.Count())
	count := 0
	for i, p := range parts {
		members := d.Members(p, list)
		c.Check(len(members) < 2*partSize, qt.IsTrue)
		count += len(members)
		c.Check(p.DataCentre == "d1", qt.Equals, i < 4)
	}
	c.Check(count, qt.Equals, len(list))
}

func TestAnUpstreamMoreMovesNoOther(t *testing.T) {
	list := spread(106)
	before, after := NewSubsets("s", list), NewSubsets("s", spread(110))
	for _, u := range list {
		qt.Check(t, after.Of(u), qt.Equals, before.Of(u))
	}
}

func TestPartsSaidToBeFullComeLast(t *testing.T) {
	list := spread(106)
	d := NewSubsets("s", list)
	own := d.order(list, "d0", nil, func(Subset) time.Duration { return 0 }, rand.Float64)[0]
	wait := func(p Subset) time.Duration {
		if p == own {
			return time.Millisecond
		}
		return 0
	}
	parts := d.order(list, "d0", nil, wait, rand.Float64)
	qt.Check(t, parts[len(parts)-1], qt.Equals, own)
	var avoid []uint32
	for _, u := range d.Members(own, list) {
		avoid = append(avoid, u.Number)
	}
	parts = d.order(list, "d0", avoid, wait, rand.Float64)
	qt.Check(t, slices.Contains(parts, own), qt.IsFalse)
}

func TestHurriedAskIsNotQueued(t *testing.T) {
	c := qt.New(t)
	d := newDesk(seats(1))
	c.Assert(verdictOf(d.Submit(0, "h", ask(1)), 1).Decision, qt.Equals, Assigned)
	hurried := ask(2)
	hurried.NoQueue = true
	r := verdictOf(d.Submit(0, "h", hurried), 2)
	c.Check(r.Decision, qt.Equals, Busy)
	c.Check(r.After > 0, qt.IsTrue)
	busy, waiting := d.Load()
	c.Check([]int{busy, waiting}, qt.DeepEquals, []int{1, 0})
}

// house is a service's parts as a replay runs them, each with its desk and the hints that hosts got.
type house struct {
	list     []Upstream
	division Subsets
	desks    map[Subset]*Scheduler
	hints    map[Subset]hint
	asks     map[Subset]int
	random   *rand.Rand
}

func newHouse(list []Upstream, division Subsets) *house {
	h := &house{list: list, division: division, desks: map[Subset]*Scheduler{}, hints: map[Subset]hint{}, asks: map[Subset]int{}, random: rand.New(rand.NewPCG(5, 6))}
	for _, p := range division.order(list, "", nil, func(Subset) time.Duration { return 0 }, rand.Float64) {
		h.desks[p] = newDesk(division.Members(p, list))
	}
	return h
}

// offer asks the parts in their order as Request does, and returns the part that took the request.
func (h *house) offer(now time.Duration, a SlotRequest) (at Subset, replies []addressed) {
	wait := func(p Subset) time.Duration { return h.hints[p].wait(now) }
	parts := h.division.order(h.list, a.DataCentre, nil, wait, h.random.Float64)
	try := func(p Subset, hurry bool) bool {
		a.NoQueue = hurry
		h.asks[p]++
		replies = h.desks[p].Submit(now, "h", a)
		r := verdictOf(replies, a.ID)
		if r.Decision != Assigned {
			h.hints[p] = hint{after: r.After, at: now}
		}
		return r.Decision != Busy
	}
	for i := 0; len(parts) > 1 && i < partsTried && wait(parts[i]) == 0; i++ {
		if try(parts[i], true) {
			return parts[i], replies
		}
	}
	slices.SortStableFunc(parts, func(a, b Subset) int { return int(wait(a) - wait(b)) })
	try(parts[0], false)
	return parts[0], replies
}

// TestReplayOfParts plays the look-ups of the large site, seven tenths full and a fifth beyond full with one data centre busier
// than the others, against one dealer for all and against parts: no more requests may miss their objective but for a few, and no
// dealer may be asked more than half as often as the one.
func TestReplayOfParts(t *testing.T) {
	list := spread(106)
	const full = 106 * 3 / 0.16 // requests a second that the slots can run
	for _, perSec := range []float64{1400, 2400} {
		least := max(1-full/perSec, 0)
		t.Run(fmt.Sprint(perSec), func(t *testing.T) {
			whole, most := replayParts(newHouse(list, Subsets{service: "s", total: 1}), perSec)
			parted, mostOfParts := replayParts(newHouse(list, NewSubsets("s", list)), perSec)
			t.Logf("misses: one dealer %.3f (asked %d times), parts %.3f (the busiest %d times)", whole, most, parted, mostOfParts)
			qt.Check(t, parted <= whole+0.02, qt.IsTrue)
			qt.Check(t, whole <= least+mostAboveLeast, qt.IsTrue)
			qt.Check(t, mostOfParts*2 < most, qt.IsTrue)
		})
	}
}

// mostAboveLeast is by how much more than what no order could avoid requests may miss their objective.
const mostAboveLeast = 0.03

func replayParts(h *house, perSec float64) (missed float64, busiest int) {
	const took = 160 * time.Millisecond
	l := load{perSec: perSec}
	arrivals := l.arrivals(h.random)[:int(perSec*5)]
	parts := map[uint64]Subset{}
	met := play{
		offer: func(now time.Duration, id uint64) (replies []addressed) {
			centre := []string{"d0", "d0", "d1", "d2"}[h.random.IntN(4)]
			parts[id], replies = h.offer(now, SlotRequest{ID: id, Priority: 1, Timeout: replayLeft, Objective: replayObjective, DataCentre: centre})
			return replies
		},
		work: func(uint32) time.Duration { return time.Duration((0.7 + 0.6*h.random.Float64()) * float64(took)) },
		finish: func(now time.Duration, r running) []addressed {
			return h.desks[parts[r.id]].Finish(now, "h", Result{ID: r.id, Completion: Answered, Took: now - r.at})
		},
		tick: func(now time.Duration) (replies []addressed) {
			for _, d := range h.desks {
				replies = append(replies, d.Tick(now)...)
			}
			return replies
		},
	}.run(arrivals, arrivals[len(arrivals)-1]+2*time.Second)
	for _, n := range h.asks {
		busiest = max(busiest, n)
	}
	return 1 - float64(len(met))/float64(len(arrivals)), busiest
}
