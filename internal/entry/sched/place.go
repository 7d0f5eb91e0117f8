package sched

import (
	"math"
	"slices"
	"time"
)

// eligible reports whether an upstream may run a request that names no upstream, regardless of free slots.
func eligible(j *job, u *upstreamState) bool {
	return !u.upstream.Draining && !u.upstream.Closed && !slices.Contains(j.request.Exclude, u.upstream.Number)
}

// hasEligible reports whether any upstream may run the request.
func (s *Scheduler) hasEligible(j *job) bool {
	if j.request.Upstream != 0 {
		u := s.upstreams[j.request.Upstream]
		return u != nil && !u.upstream.Closed
	}
	for _, u := range s.upstreams {
		if eligible(j, u) {
			return true
		}
	}
	return false
}

// rejectClosed rejects the waiting requests that no upstream may run any more, if upstreams are closed. They would otherwise wait for slots
// that they must not use.
func (s *Scheduler) rejectClosed(now time.Duration) (replies []addressedReply) {
	closed := false
	for _, u := range s.upstreams {
		closed = closed || u.upstream.Closed
	}
	if !closed {
		return nil
	}
	var list []*job
	s.waiting.Walk(now, s.waiting.Targets(), true, func(j *job) bool {
		if !s.hasEligible(j) {
			list = append(list, j)
		}
		return true
	})
	for _, j := range list {
		s.remove(j)
		replies = append(replies, addressedReply{j.key, Reply{ID: j.key.ID, Decision: NoUpstream}})
	}
	return replies
}

// dispatch assigns free slots to waiting jobs in dispatch order. Jobs for which no suitable slot is free keep waiting.
func (s *Scheduler) dispatch(now time.Duration) (replies []addressedReply) {
	s.expireReports(now)
	free := s.freeSlots()
	if s.waiting.Len() == 0 || free == 0 {
		return nil
	}
	costs := s.newCosts(now)
	ahead := 0
	var assigned []*job
	s.waiting.Walk(now, s.freeTargets(costs), false, func(j *job) bool {
		u := s.choose(costs, j, ahead)
		if u == nil {
			ahead++
			return true
		}
		assigned = append(assigned, j)
		replies = append(replies, s.assign(now, j, u))
		if free--; free == 0 {
			return false
		}
		costs.update(u)
		return true
	})
	for _, j := range assigned {
		s.dequeue(j)
	}
	return replies
}

func (s *Scheduler) freeSlots() (n int) {
	for _, u := range s.upstreams {
		n += max(u.limit()-u.busy, 0)
	}
	return n
}

// costs caches the cost of each reachable upstream at one point in time, by the data centre of the requesting entry host.
type costs struct {
	now          time.Duration
	reachable    []*upstreamState
	byDataCentre map[string][]float64
}

func (s *Scheduler) newCosts(now time.Duration) *costs {
	c := &costs{now: now, byDataCentre: map[string][]float64{}}
	for _, number := range s.numbers {
		if u := s.upstreams[number]; !u.unreachable(now) {
			c.reachable = append(c.reachable, u)
		}
	}
	return c
}

// forDataCentre returns the costs of the reachable upstreams for an entry host's data centre, in the order of the reachable
// field.
func (c *costs) forDataCentre(dataCentre string) []float64 {
	list, ok := c.byDataCentre[dataCentre]
	if !ok {
		list = make([]float64, len(c.reachable))
		for i, u := range c.reachable {
			list[i] = u.cost(c.now, dataCentre)
		}
		c.byDataCentre[dataCentre] = list
	}
	return list
}

// update computes an upstream's costs again after it was assigned a request.
func (c *costs) update(u *upstreamState) {
	i := slices.Index(c.reachable, u)
	if i < 0 {
		return
	}
	for dataCentre, list := range c.byDataCentre {
		list[i] = u.cost(c.now, dataCentre)
	}
}

// choose returns the upstream for a request, or nil if the request should wait. It waits if no slot is free, or if a slot of a
// better upstream should be free soon enough, taking into account the number of requests ahead of it.
func (s *Scheduler) choose(c *costs, j *job, ahead int) (best *upstreamState) {
	if j.request.Upstream != 0 {
		if u := s.upstreams[j.request.Upstream]; u != nil && !u.upstream.Closed && u.busy < u.limit() && u.cold.grantable(c.now) {
			return u
		}
		return nil
	}
	lowest, lowestBusy := math.Inf(1), math.Inf(1)
	list := c.forDataCentre(j.request.DataCentre)
	for i, u := range c.reachable {
		if !eligible(j, u) || !u.available(c.now) {
			continue
		}
		cost := list[i]
		if u.warmFor(c.now, j.key.Host) {
			cost -= warmBonus
		}
		if u.busy >= u.limit() {
			lowestBusy = min(lowestBusy, cost)
		} else if cost < lowest {
			best, lowest = u, cost
		}
	}
	if best != nil && lowestBusy+minAdvantage < lowest && s.worthWaiting(c, j, lowest, ahead) {
		return nil
	}
	return best
}

// minAdvantage is the cost by which a busy upstream must be cheaper than a free one for a request to wait for it.
const minAdvantage = 0.5

// worthWaiting reports whether a request is served sooner by waiting for a busy upstream than by a free one of the given cost.
// The ahead parameter is the number of requests that wait already. Busy slots are assumed to become free evenly spread over a
// service time.
func (s *Scheduler) worthWaiting(c *costs, j *job, cost float64, ahead int) bool {
	slots, sum := 0, 0.0
	for i, own := range c.forDataCentre(j.request.DataCentre) {
		u := c.reachable[i]
		if u.busy >= u.limit() && own+minAdvantage < cost && eligible(j, u) && u.available(c.now) {
			slots += u.limit()
			sum += own * float64(u.limit())
		}
	}
	if slots == 0 {
		return false
	}
	better := sum / float64(slots)
	wait := better * float64(ahead+1) / float64(slots)
	expected := time.Duration(wait*float64(s.avgTime) + better*float64(j.route.Work()))
	return wait+better+minAdvantage/2 < cost && c.now+expected < j.arrived+j.request.Objective
}

// limit returns the number of requests that an upstream gets at a time.
func (u *upstreamState) limit() int {
	return max(u.upstream.Slots-max(u.restraint.withheld(), u.report.elsewhere), 1)
}

// cost estimates the service time of a request at an upstream, in units of the average. A failure costs another attempt, so that
// the cost grows with the failure rate.
func (u *upstreamState) cost(now time.Duration, dataCentre string) float64 {
	ratio := u.presentRatio()
	if u.untried && u.busy == 0 {
		ratio = min(ratio, untriedRatio)
	}
	cost := ratio / (1.05 - min(u.failureRateNow(now), 1))
	cost += loadCost * float64(u.busy) / float64(u.limit())
	if u.upstream.DataCentre != dataCentre {
		cost += remoteCost
	}
	if u.upstream.Cold || u.cold.left(now) > 0 {
		cost += coldCost
	}
	return cost
}

// untriedRatio is the latency ratio of an idle upstream that joined and has not answered yet. It is below that of fast upstreams, so that one request
// shows its speed: under low load, upstreams that joined got no requests for seconds, as those known to be fast had free slots.
const untriedRatio = 0.5

// loadCost is the additional cost of a request at an upstream with all other slots in use.
const loadCost = 0.12

// serviceTime estimates how long a request takes once it has a slot.
func (s *Scheduler) serviceTime(j *job) time.Duration {
	if u := s.upstreams[j.request.Upstream]; u != nil {
		return time.Duration(float64(j.route.Work()) * min(u.latencyRatio, 2))
	}
	return j.route.Work()
}

// capacity sums up the slots of the upstreams that may run a request. Latency ratios are weighted by slots.
type capacity struct {
	slots           int
	free            int
	latencyRatioSum float64
	cold            coldCapacity
}

// capacityFor returns the capacity available to a request.
func (s *Scheduler) capacityFor(now time.Duration, j *job) (c capacity) {
	if j.request.Upstream != 0 {
		if u := s.upstreams[j.request.Upstream]; u != nil {
			c.add(now, u)
		}
		return c
	}
	for _, u := range s.upstreams {
		if eligible(j, u) && !u.unreachable(now) {
			c.add(now, u)
		}
	}
	return c
}

func (c *capacity) add(now time.Duration, u *upstreamState) {
	if u.cold.left(now) > 0 {
		c.cold.add(now, u)
		return
	}
	c.slots += u.limit()
	c.free += max(u.limit()-u.busy, 0)
	c.latencyRatioSum += u.presentRatio() * float64(u.limit())
}
