package deal

import (
	"math"
	"slices"
	"time"
)

// mayRun reports whether an upstream may run a request at all, whether it has a free slot or not.
func mayRun(c *claim, s *seat) bool {
	if c.ask.Upstream != 0 {
		return s.up.Number == c.ask.Upstream
	}
	return !s.up.Leaving && !slices.Contains(c.ask.Avoid, s.up.Number)
}

// possible reports whether any upstream may run the request.
func (d *Desk) possible(c *claim) bool {
	if c.ask.Upstream != 0 {
		return d.seats[c.ask.Upstream] != nil
	}
	for _, s := range d.seats {
		if mayRun(c, s) {
			return true
		}
	}
	return false
}

// pump gives free slots to those who wait, in their order, as long as any fits.
func (d *Desk) pump(now time.Duration) (replies []addressed) {
	if len(d.waiting) == 0 {
		return nil
	}
	d.sortWaiting(now)
	ahead := 0
	for _, c := range slices.Clone(d.waiting) {
		s := d.choose(now, c, ahead)
		if s == nil {
			ahead++
			continue
		}
		d.waiting = slices.DeleteFunc(d.waiting, func(o *claim) bool { return o == c })
		c.seat = s
		s.busy++
		replies = append(replies, addressed{c.key, Reply{ID: c.key.ID, Verdict: Go, Upstream: s.up.Number}})
	}
	return replies
}

// sortWaiting orders the requests that wait: those that can still meet their objective before the others, then by when
// they are due. A less urgent request is due later, but not for ever.
func (d *Desk) sortWaiting(now time.Duration) {
	late := func(c *claim) bool { return now+d.took > c.arrived+c.ask.Objective }
	slices.SortStableFunc(d.waiting, func(a, b *claim) int {
		if x, y := late(a), late(b); x != y {
			if x {
				return 1
			}
			return -1
		}
		return int(a.due - b.due)
	})
}

// choose returns the upstream for a request, or none where it should wait: because no slot is free, or because a better one
// will be free soon enough, after those who wait already.
func (d *Desk) choose(now time.Duration, c *claim, ahead int) (best *seat) {
	lowest, soonest := math.Inf(1), math.Inf(1)
	for _, number := range d.order {
		s := d.seats[number]
		if !mayRun(c, s) || c.ask.Upstream == 0 && s.cutOff(now) {
			continue
		}
		cost := s.cost(now, c)
		if s.busy < s.limit() {
			if cost < lowest {
				best, lowest = s, cost
			}
			continue
		}
		soonest = min(soonest, cost)
	}
	if best == nil || c.ask.Upstream != 0 {
		return best
	}
	if soonest+patience < lowest && d.worthWaiting(now, c, lowest, ahead) {
		return nil
	}
	return best
}

// patience is by how many average times a busy upstream must be better than a free one to be thought of.
const patience = 0.5

// worthWaiting reports whether a request is served sooner by waiting for a busy upstream than by a free one of a cost, given
// how many wait already. Busy slots end evenly over the time that a request takes.
func (d *Desk) worthWaiting(now time.Duration, c *claim, cost float64, ahead int) bool {
	slots, sum := 0, 0.0
	for _, s := range d.seats {
		own := s.cost(now, c)
		if mayRun(c, s) && s.busy >= s.limit() && own+patience < cost {
			slots += s.limit()
			sum += own * float64(s.limit())
		}
	}
	if slots == 0 {
		return false
	}
	better := sum / float64(slots)
	wait := better * float64(ahead+1) / float64(slots)
	expected := time.Duration((wait + better) * float64(d.took))
	return wait+better+patience/2 < cost && now+expected < c.arrived+c.ask.Objective
}

// limit is how many requests an upstream is given at a time.
func (s *seat) limit() int { return max(s.up.Slots, 1) }

// cost estimates how long a request takes at an upstream, in average times; a failure costs another try.
func (s *seat) cost(now time.Duration, c *claim) float64 {
	cost := s.pace / (1.05 - min(s.doubtNow(now), 1))
	cost += fullCost * float64(s.busy) / float64(s.limit())
	if s.up.DataCentre != c.ask.DataCentre {
		cost += farCost
	}
	if s.up.Fresh {
		cost += freshCost
	}
	return cost
}

// fullCost is how much longer a request takes at an upstream whose other slots are busy, in average times.
const fullCost = 0.12

// timeAt estimates how long a request takes once it has a slot.
func (d *Desk) timeAt(c *claim) time.Duration {
	if s := d.seats[c.ask.Upstream]; s != nil {
		return time.Duration(float64(d.took) * min(s.pace, 2))
	}
	return d.took
}

// expectedWait estimates when a slot is free for a request, from those that go before it.
func (d *Desk) expectedWait(now time.Duration, c *claim) time.Duration {
	slots, free, pace := 0, 0, 0.0
	for _, s := range d.seats {
		if !mayRun(c, s) || c.ask.Upstream == 0 && s.cutOff(now) {
			continue
		}
		slots += s.limit()
		free += max(s.limit()-s.busy, 0)
		pace += s.pace * float64(s.limit())
	}
	if slots == 0 {
		return unreachedTime
	}
	ahead := 0
	for _, o := range d.waiting {
		if o != c && o.due <= c.due && (c.ask.Upstream == 0 || o.ask.Upstream == c.ask.Upstream) {
			ahead++
		}
	}
	if free > ahead {
		return 0
	}
	return time.Duration(float64(d.took) * pace / float64(slots) * float64(ahead-free+1) / float64(slots))
}
