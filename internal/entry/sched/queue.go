package sched

import (
	"hash/fnv"
	"time"

	"ebonyrill.dev/ebonyrill/internal/entry/order"
	"ebonyrill.dev/ebonyrill/internal/shared/slice"
)

// Eviction is a waiting request that was rejected because it could no longer be served in time. Value and Work are what it was
// ordered by, Wait the estimated time until it would have got a slot.
type Eviction struct {
	Route    uint32
	Priority int
	Value    float64
	Work     time.Duration
	Wait     time.Duration
}

// RouteID returns the identifier of a route in slot requests, a hash of its name, which is never zero.
func RouteID(name string) uint32 {
	h := fnv.New32a()
	_, _ = h.Write([]byte(name))
	return max(h.Sum32(), 1)
}

// newJob returns the job of a slot request. Jobs of a route are due by their objective; the route's priority orders the routes.
func (s *Scheduler) newJob(now time.Duration, key Key, r SlotRequest) *job {
	j := &job{key: key, request: r, arrived: now, expires: now + r.Timeout, due: now + r.Objective}
	j.route = s.book.Route(r.Route, r.Priority)
	if !j.route.Ordered() {
		j.due += r.Objective * time.Duration(r.Priority) / 2
	}
	return j
}

// Times returns the time by which the jobs of a route are sorted and the time until which a response meets the objective.
func (j *job) Times() (due, objective time.Duration) { return j.due, j.arrived + j.request.Objective }

func (s *Scheduler) enqueue(j *job) { s.waiting.Add(j.request.Upstream, j.route, j) }

func (s *Scheduler) dequeue(j *job) { s.waiting.Remove(j.request.Upstream, j.route, j) }

// freeTargets returns the upstreams with a free slot that requests may name, and zero if a request that names none may get a slot. A cold
// upstream without a permit has no free slot: otherwise each event would visit all requests that wait for it.
func (s *Scheduler) freeTargets(c *costs) (list []uint32) {
	for _, u := range c.reachable {
		if u.busy < u.limit() && !u.upstream.Draining && u.cold.grantable(c.now) {
			list = append(list, 0)
			break
		}
	}
	for _, number := range s.numbers {
		if u := s.upstreams[number]; u.busy < u.limit() && u.cold.grantable(c.now) {
			list = append(list, number)
		}
	}
	return list
}

// wait estimates the time until a slot is free for a request, from the number and the work of the requests ahead of it. avgTime is
// the average time after which a slot becomes free, and share the part of the slots that is left for the request.
func (c capacity) wait(avgTime time.Duration, ahead int, work time.Duration, share float64) time.Duration {
	if c.cold.slots > 0 {
		mean := (work + avgTime) / time.Duration(ahead+1)
		return time.Duration(float64(c.cold.wait(c, mean, ahead)) / share)
	}
	if c.slots == 0 {
		return connectFailureTTL // no reachable upstream until the connect failures expire
	}
	if c.free > ahead {
		return 0
	}
	work = max(work-time.Duration(c.free)*avgTime, 0) + avgTime
	return time.Duration(float64(work) * c.latencyRatioSum / float64(c.slots) / float64(c.slots) / share)
}

// expectedWait estimates the time until a slot is free for a request, from the requests ahead of it.
func (s *Scheduler) expectedWait(now time.Duration, j *job) time.Duration {
	ahead, work := s.waiting.Ahead(now, j.request.Upstream, j.route, j)
	return s.capacityFor(now, j).wait(s.avgTime, ahead, work, j.route.Share(now, s.totalSlots()))
}

// retryAfter returns when the caller of a rejected request should return. The times of callers are spread by their request's number.
func (s *Scheduler) retryAfter(now time.Duration, j *job, wait time.Duration) time.Duration {
	if !j.route.Ordered() {
		return wait
	}
	at := float64(slice.Mix(j.key.ID)>>11) / (1 << 53)
	return order.RetryAfter(max(wait, s.nextFree()), s.serviceTime(j), j.expires-now, at)
}

// learnWork takes in how long a request of a route took, relative to its upstream's speed among all upstreams.
func (s *Scheduler) learnWork(j *job, took time.Duration) {
	slots, latencyRatioSum := 0, 0.0
	for _, u := range s.upstreams {
		slots += u.limit()
		latencyRatioSum += u.latencyRatio * float64(u.limit())
	}
	if slots > 0 {
		j.route.Learn(time.Duration(float64(took) * latencyRatioSum / float64(slots) / max(j.state.latencyRatio, 0.1)))
	}
}

// unservable returns the waiting jobs that can no longer be served in time, with the estimated time until each would get a slot.
// Requests for one upstream wait only behind each other, those for any upstream behind all.
func (s *Scheduler) unservable(now time.Duration) (list []*job, waits []time.Duration) {
	targets, slots, shares := s.waiting.Targets(), s.totalSlots(), map[*order.Route]float64{}
	for _, target := range targets {
		walked := []uint32{target}
		if target == 0 {
			walked = targets
		}
		var c *capacity
		ahead, work := 0, time.Duration(0)
		s.waiting.Walk(now, walked, true, func(j *job) bool {
			if j.request.Upstream == target {
				if shares[j.route] == 0 {
					shares[j.route] = j.route.Share(now, slots)
				}
				own := c
				if own == nil || len(j.request.Exclude) > 0 {
					fresh := s.capacityFor(now, j)
					own = &fresh
				}
				if len(j.request.Exclude) == 0 {
					c = own // the same for all requests without exclusions
				}
				wait := own.wait(s.avgTime, ahead, work, shares[j.route])
				if now+s.serviceTime(j)/2 > j.expires || now+wait > j.expires {
					list, waits = append(list, j), append(waits, wait)
				}
			}
			ahead++
			work += j.route.Work()
			return true
		})
	}
	return list, waits
}

// evict rejects waiting requests of less value that a new one has left too little time.
func (s *Scheduler) evict(now time.Duration, newcomer *job) (replies []addressedReply) {
	if newcomer.state != nil || !newcomer.route.Ordered() {
		return nil
	}
	for {
		j, ok := s.waiting.Last(now, newcomer.request.Upstream)
		if !ok || j == newcomer {
			return replies
		}
		wait := s.expectedWait(now, j)
		if now+wait <= j.expires {
			return replies
		}
		s.remove(j)
		s.noteEviction(now, j, wait)
		replies = append(replies, addressedReply{j.key, Reply{ID: j.key.ID, Decision: Overloaded, After: s.retryAfter(now, j, wait)}})
	}
}

// maxEvictions limits the evictions that are kept until TakeEvictions.
const maxEvictions = 256

// noteEviction keeps the inputs of an eviction for the log.
func (s *Scheduler) noteEviction(now time.Duration, j *job, wait time.Duration) {
	if len(s.evictions) < maxEvictions {
		s.evictions = append(s.evictions, Eviction{Route: j.request.Route, Priority: j.request.Priority, Value: j.route.Score(now),
			Work: j.route.Work(), Wait: wait})
	}
}

// TakeEvictions returns the evictions since the last call.
func (s *Scheduler) TakeEvictions() (list []Eviction) {
	list, s.evictions = s.evictions, nil
	return list
}

func (s *Scheduler) totalSlots() (n int) {
	for _, u := range s.upstreams {
		n += u.limit()
	}
	return n
}
