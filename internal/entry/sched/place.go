package sched

import (
	"math"
	"slices"
	"time"
)

// mayRun reports whether an upstream may run a request that names none, whether it has a free slot or not.
func mayRun(c *claim, s *seat) bool {
	return !s.up.Draining && !slices.Contains(c.ask.Exclude, s.up.Number)
}

// possible reports whether any upstream may run the request.
func (d *Scheduler) possible(c *claim) bool {
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
func (d *Scheduler) pump(now time.Duration) (replies []addressed) {
	free := d.free()
	if len(d.waiting) == 0 || free == 0 {
		return nil
	}
	costs := d.newCosts(now)
	ahead := 0
	for _, c := range d.inOrder(now) {
		s := d.choose(costs, c, ahead)
		if s == nil {
			ahead++
			continue
		}
		d.unqueue(c)
		c.seat = s
		s.busy++
		replies = append(replies, addressed{c.key, Reply{ID: c.key.ID, Decision: Assigned, Upstream: s.up.Number}})
		if free--; free == 0 {
			break
		}
		costs.changed(s)
	}
	return replies
}

// free returns the number of free slots.
func (d *Scheduler) free() (n int) {
	for _, s := range d.seats {
		n += max(s.limit()-s.busy, 0)
	}
	return n
}

// inOrder returns those who wait in the order in which they get slots: those that can still meet their objective before the
// others, then by when they are due. A less urgent request is due later, but not for ever.
func (d *Scheduler) inOrder(now time.Duration) []*claim {
	list := make([]*claim, 0, len(d.waiting))
	for _, late := range []bool{false, true} {
		for _, c := range d.waiting {
			if late == (now+time.Duration(tookMargin*float64(d.took)) > c.arrived+c.ask.Objective) {
				list = append(list, c)
			}
		}
	}
	return list
}

// queue puts a claim among those who wait, which are kept by when they are due.
func (d *Scheduler) queue(c *claim) {
	i, _ := slices.BinarySearchFunc(d.waiting, c, func(a, b *claim) int {
		if a.due <= b.due {
			return -1
		}
		return 1
	})
	d.waiting = slices.Insert(d.waiting, i, c)
}

func (d *Scheduler) unqueue(c *claim) {
	d.waiting = slices.DeleteFunc(d.waiting, func(o *claim) bool { return o == c })
}

// costs holds what each upstream costs at one moment, by the data centre of the entry host.
type costs struct {
	now  time.Duration
	open []*seat
	from map[string][]float64
}

func (d *Scheduler) newCosts(now time.Duration) *costs {
	k := &costs{now: now, from: map[string][]float64{}}
	for _, number := range d.order {
		if s := d.seats[number]; !s.cutOff(now) {
			k.open = append(k.open, s)
		}
	}
	return k
}

// of returns the costs of the open seats, in their order.
func (k *costs) of(dataCentre string) []float64 {
	list, ok := k.from[dataCentre]
	if !ok {
		list = make([]float64, len(k.open))
		for i, s := range k.open {
			list[i] = s.cost(k.now, dataCentre)
		}
		k.from[dataCentre] = list
	}
	return list
}

// changed takes in that a seat got a request.
func (k *costs) changed(s *seat) {
	i := slices.Index(k.open, s)
	if i < 0 {
		return
	}
	for dataCentre, list := range k.from {
		list[i] = s.cost(k.now, dataCentre)
	}
}

// choose returns the upstream for a request, or none where it should wait: because no slot is free, or because a better one
// will be free soon enough, after those who wait already.
func (d *Scheduler) choose(k *costs, c *claim, ahead int) (best *seat) {
	if c.ask.Upstream != 0 {
		if s := d.seats[c.ask.Upstream]; s != nil && s.busy < s.limit() {
			return s
		}
		return nil
	}
	lowest, soonest := math.Inf(1), math.Inf(1)
	list := k.of(c.ask.DataCentre)
	for i, s := range k.open {
		if !mayRun(c, s) {
			continue
		}
		if s.busy >= s.limit() {
			soonest = min(soonest, list[i])
		} else if list[i] < lowest {
			best, lowest = s, list[i]
		}
	}
	if best != nil && soonest+patience < lowest && d.worthWaiting(k, c, lowest, ahead) {
		return nil
	}
	return best
}

// patience is by how many average times a busy upstream must be better than a free one to be thought of.
const patience = 0.5

// worthWaiting reports whether a request is served sooner by waiting for a busy upstream than by a free one of a cost, given
// how many wait already. Busy slots end evenly over the time that a request takes.
func (d *Scheduler) worthWaiting(k *costs, c *claim, cost float64, ahead int) bool {
	slots, sum := 0, 0.0
	for i, own := range k.of(c.ask.DataCentre) {
		s := k.open[i]
		if s.busy >= s.limit() && own+patience < cost && mayRun(c, s) {
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
	return wait+better+patience/2 < cost && k.now+expected < c.arrived+c.ask.Objective
}

// limit is how many requests an upstream is given at a time.
func (s *seat) limit() int { return max(s.up.Slots, 1) }

// cost estimates how long a request takes at an upstream, in average times; a failure costs another try.
func (s *seat) cost(now time.Duration, dataCentre string) float64 {
	cost := s.pace / (1.05 - min(s.doubtNow(now), 1))
	cost += fullCost * float64(s.busy) / float64(s.limit())
	if s.up.DataCentre != dataCentre {
		cost += farCost
	}
	if s.up.Cold {
		cost += freshCost
	}
	return cost
}

// fullCost is how much longer a request takes at an upstream whose other slots are busy, in average times.
const fullCost = 0.12

// timeAt estimates how long a request takes once it has a slot.
func (d *Scheduler) timeAt(c *claim) time.Duration {
	if s := d.seats[c.ask.Upstream]; s != nil {
		return time.Duration(float64(d.took) * min(s.pace, 2))
	}
	return d.took
}

// room is what upstreams that may run a request have to offer.
type room struct {
	slots int
	free  int
	pace  float64
}

// roomFor returns the room that a request has.
func (d *Scheduler) roomFor(now time.Duration, c *claim) (r room) {
	if c.ask.Upstream != 0 {
		if s := d.seats[c.ask.Upstream]; s != nil {
			r.add(s)
		}
		return r
	}
	for _, s := range d.seats {
		if mayRun(c, s) && !s.cutOff(now) {
			r.add(s)
		}
	}
	return r
}

func (r *room) add(s *seat) {
	r.slots += s.limit()
	r.free += max(s.limit()-s.busy, 0)
	r.pace += s.pace * float64(s.limit())
}

// wait estimates when a slot is free for a request that so many go before.
func (r room) wait(took time.Duration, ahead int) time.Duration {
	if r.slots == 0 {
		return unreachedTime
	}
	if r.free > ahead {
		return 0
	}
	return time.Duration(float64(took) * r.pace / float64(r.slots) * float64(ahead-r.free+1) / float64(r.slots))
}

// expectedWait estimates when a slot is free for a request, from those that go before it.
func (d *Scheduler) expectedWait(now time.Duration, c *claim) time.Duration {
	ahead := 0
	for _, o := range d.waiting {
		if o.due > c.due {
			break
		}
		if o != c && (c.ask.Upstream == 0 || o.ask.Upstream == c.ask.Upstream) {
			ahead++
		}
	}
	return d.roomFor(now, c).wait(d.took, ahead)
}

// hopeless returns those who wait though they cannot be served in time any more, with when a slot should be free.
func (d *Scheduler) hopeless(now time.Duration) (list []*claim, waits []time.Duration) {
	rooms, ahead := map[uint32]room{}, map[uint32]int{}
	for i, c := range d.waiting {
		only := c.ask.Upstream
		r, ok := rooms[only]
		if !ok || len(c.ask.Exclude) > 0 {
			r = d.roomFor(now, c)
			if len(c.ask.Exclude) == 0 {
				rooms[only] = r
			}
		}
		before := i
		if only != 0 {
			before = ahead[only]
			ahead[only]++
		}
		wait := r.wait(d.took, before)
		if now+d.timeAt(c)/2 > c.expires || now+wait > c.expires {
			list, waits = append(list, c), append(waits, wait)
		}
	}
	return list, waits
}
