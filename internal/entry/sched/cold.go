package sched

import (
	"time"

	"ebonyrill.dev/ebonyrill/internal/entry/cold"
)

// coldState is what a scheduler knows of whether an upstream is cold. until is as of the routing table, told as of the results of requests.
type coldState struct {
	limit  cold.Limit
	until  time.Duration
	told   time.Duration
	bucket *cold.Bucket
}

// left returns how much longer the upstream is cold. It is zero for services that state no rate.
func (c *coldState) left(now time.Duration) time.Duration {
	if !c.limit.Stated() {
		return 0
	}
	return max(c.until-now, c.told-now, 0)
}

// update applies the state in the routing table.
func (c *coldState) update(now time.Duration, u Upstream) {
	before := c.left(now)
	c.limit, c.until = u.Permits, now+u.ColdLeft
	c.turnedCold(now, before)
}

// maxTold is the longest time for which an upstream counts as cold because of the result of one request.
const maxTold = time.Minute

// tell applies what an entry host knows of the upstream.
func (c *coldState) tell(now, left time.Duration) {
	before := c.left(now)
	c.told = max(c.told, now+min(left, maxTold))
	c.turnedCold(now, before)
}

// turnedCold replaces the bucket if the upstream was not cold before or has another limit. The requests that it was sent before have used
// a part of the bound, so that the bucket is empty at first.
func (c *coldState) turnedCold(now, before time.Duration) {
	if c.bucket == nil || before == 0 && c.left(now) > 0 || c.bucket.Limit() != c.limit {
		c.bucket = cold.NewBucket(now, c.limit)
	}
}

// grantable reports whether the upstream is warm, or a permit for it can be granted.
func (c *coldState) grantable(now time.Duration) bool { return c.left(now) == 0 || c.bucket.Ready(now) }

// available reports whether a request that names no upstream may run at this one or wait for one of its slots. A cold upstream is available
// only if it has a free slot and a permit, so that no request waits for it that a warm one can run.
func (u *upstreamState) available(now time.Duration) bool {
	return u.cold.left(now) == 0 || u.cold.bucket.Ready(now) && u.busy < u.limit()
}

// permitCounts counts the permits that schedulers have granted, and the requests that had to wait for one.
type permitCounts struct {
	granted int64
	waited  int64
}

// permit is a slot at a cold upstream. The zero value belongs to a slot at a warm one.
type permit struct {
	grantedAt time.Duration
	granted   bool
}

// assign gives a job a slot, which is a permit if the upstream is cold, and returns the reply. The job must be dequeued afterwards.
func (s *Scheduler) assign(now time.Duration, j *job, u *upstreamState) addressedReply {
	j.state = u
	u.busy++
	j.route.Serve(now, time.Duration(float64(j.route.Work())*u.latencyRatio))
	if u.cold.left(now) > 0 {
		u.cold.bucket.Take(now)
		j.permit = permit{grantedAt: now, granted: true}
		s.permits.granted++
	}
	return addressedReply{j.key, j.assigned()}
}

// assigned returns the reply to a request that has a slot.
func (j *job) assigned() Reply {
	r := Reply{ID: j.key.ID, Decision: Assigned, Upstream: j.state.upstream.Number}
	if j.permit.granted {
		r.PermitEnd = j.permit.grantedAt - j.arrived + cold.PermitLifetime
	}
	return r
}

// permitEnd returns when the permit in a reply ends by this host's clock, or zero. It counts from when this host first sent the request,
// which is before the scheduler received it, so that the permit ends early and not late however long messages took.
func (r Reply) permitEnd(submittedAt, now time.Duration) time.Duration {
	if r.PermitEnd <= 0 {
		return 0
	}
	return submittedAt + min(r.PermitEnd, now-submittedAt+cold.PermitLifetime)
}

// recordCold applies what a result says about a cold upstream, and takes back the permit of a request that was not sent.
func (j *job) recordCold(now time.Duration, r Result) {
	u := j.state
	if j.permit.granted && r.Unsent {
		u.cold.bucket.Refund(now, j.permit.grantedAt)
	}
	if r.ColdLeft > 0 {
		u.cold.tell(now, r.ColdLeft)
	}
}

// countWait counts a request that was not assigned if it waits for a permit and not only for a slot.
func (s *Scheduler) countWait(now time.Duration, j *job) {
	for _, u := range s.upstreams {
		mayRun := j.request.Upstream == u.upstream.Number || j.request.Upstream == 0 && eligible(j, u)
		if mayRun && u.busy < u.limit() && !u.cold.grantable(now) {
			s.permits.waited++
			return
		}
	}
}

// coldCapacity sums up the cold upstreams that may run a request. rate is the number of requests that they start per second while they are
// cold, ready the permits that can be granted now or in part, next the time until one can be granted for a free slot, and left the time
// until the first of them is warm. The slots and latency ratios are as in capacity.
type coldCapacity struct {
	slots           int
	latencyRatioSum float64
	rate            float64
	ready           float64
	free            bool
	next            time.Duration
	left            time.Duration
}

// add adds a cold upstream.
func (c *coldCapacity) add(now time.Duration, u *upstreamState) {
	if left := u.cold.left(now); c.slots == 0 || left < c.left {
		c.left = left
	}
	if next := u.cold.bucket.Wait(now); u.busy < u.limit() && (!c.free || next < c.next) {
		c.free, c.next = true, next
	}
	c.slots += u.limit()
	c.latencyRatioSum += u.latencyRatio * float64(u.limit())
	c.rate += u.cold.limit.Rate()
	c.ready += min(u.cold.bucket.Level(now), float64(max(u.limit()-u.busy, 0)))
}

// wait estimates the time until a slot is free for a request, as capacity.wait does, with warm upstreams and cold ones. Until left the
// cold ones start requests at the rate of their permits, and afterwards as fast as warm ones. Parts of permits of several upstreams start
// nothing: without warm upstreams a request waits until one of them has a whole one.
func (c coldCapacity) wait(warm capacity, avgTime time.Duration, ahead int) time.Duration {
	if warm.slots == 0 {
		return max(c.next, c.waitByRate(warm, avgTime, ahead))
	}
	return c.waitByRate(warm, avgTime, ahead)
}

func (c coldCapacity) waitByRate(warm capacity, avgTime time.Duration, ahead int) time.Duration {
	n := float64(ahead+1-warm.free) - c.ready
	if n <= permitRounding {
		return 0
	}
	warmRate := startsPerSecond(warm.slots, warm.latencyRatioSum, avgTime)
	afterwards := warmRate + startsPerSecond(c.slots, c.latencyRatioSum, avgTime)
	rate := min(warmRate+c.rate, afterwards)
	started := rate * c.left.Seconds()
	if n <= started {
		return time.Duration(n / rate * float64(time.Second))
	}
	return c.left + time.Duration((n-started)/afterwards*float64(time.Second))
}

// permitRounding is the part of a permit that may be missing due to rounding.
const permitRounding = 1e-6

// startsPerSecond returns how many requests upstreams with the given slots can start per second.
func startsPerSecond(slots int, latencyRatioSum float64, avgTime time.Duration) float64 {
	if slots == 0 {
		return 0
	}
	return float64(slots) * float64(slots) / (latencyRatioSum * max(avgTime, time.Millisecond).Seconds())
}
