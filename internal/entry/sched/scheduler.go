package sched

import (
	"maps"
	"slices"
	"time"

	"ebonyrill.dev/ebonyrill/internal/entry/order"
	"ebonyrill.dev/ebonyrill/internal/entry/retry"
)

// retryShare is the share of a service's retry budget that the scheduler grants. The rest covers attempts that upstreams count
// and the scheduler does not, for example while another host schedules.
const retryShare = 0.9

// Scheduling parameters. Times are service times: how long upstreams take for requests. An upstream's latency ratio is its
// service time relative to the service's average. Costs are expected service times in units of that average.
const (
	avgTimeWeight       = 0.05                    // weight of the newest response in a service's average time
	latencyRatioWeight  = 0.15                    // weight of the newest response in an upstream's latency ratio
	avgTimeMargin       = 1.3                     // factor on the average time when planning a request, as requests and upstreams differ
	maxLatencyRatio     = 6.0                     // upper limit of an upstream's latency ratio
	failureRateWeight   = 0.12                    // weight of the newest response in an upstream's failure rate
	failureRateHalfLife = 4 * time.Second         // the failure rate halves in this time if there are no new responses
	remoteCost          = 0.35                    // cost of an upstream in another data centre: network latency and traffic
	coldCost            = 0.7                     // cost of an upstream that started recently
	warmBonus           = 0.1                     // advantage of an upstream to which the host probably has an idle connection; below loadCost
	warmTime            = 2 * time.Second         // how long a host probably keeps a connection idle
	initialAvgTime      = 200 * time.Millisecond  // average time of a service before the first response
	expiryGrace         = 300 * time.Millisecond  // a slot without a result is released this long after its request has expired
	connectFailureTTL   = 1500 * time.Millisecond // how long a host's failure to connect to an upstream counts
	minFailedHosts      = 2                       // entry hosts that must fail to connect before an upstream gets no more requests
)

// upstreamState is the scheduler's state of one upstream. Its busy field counts the slots in use. connectFailures holds the entry
// hosts that could not connect, each with the time until which that counts.
type upstreamState struct {
	upstream        Upstream
	busy            int
	latencyRatio    float64
	failureRate     float64
	failureRateAt   time.Duration
	connectFailures map[string]time.Duration
	// usedBy holds when entry hosts last finished a request there, while they may have an idle connection.
	usedBy    map[string]time.Duration
	cold      coldState
	restraint restraint
	report    report
	// untried is set while an upstream that joined others has not answered a request.
	untried bool
}

// job is a request that has a slot or waits for one. Its state is that of the upstream whose slot it has, nil while it waits.
// Waiting jobs of one route are ordered by due. Without a route identifier that is their arrival plus the objective, plus half an
// objective for each level of priority.
type job struct {
	key     Key
	request SlotRequest
	arrived time.Duration
	expires time.Duration
	due     time.Duration
	route   *order.Route
	state   *upstreamState
	permit  permit
}

// Scheduler schedules the slots of one subset of a service's upstreams. It reads no clock and takes no lock. Its methods return
// the replies that must be sent.
type Scheduler struct {
	upstreams map[uint32]*upstreamState
	numbers   []uint32
	jobs      map[Key]*job
	waiting   *order.Lines[*job]
	book      *order.Book
	avgTime   time.Duration
	retries   *retry.Window
	baseShare float64
	permits   *permitCounts
	// reportsUntil is when the first of the upstreams' reports expires, zero if there is none.
	reportsUntil time.Duration
	evictions    []Eviction
}

// NewScheduler returns a scheduler without upstreams whose retry budget has the given limits.
func NewScheduler(limits retry.Limits) *Scheduler {
	s := &Scheduler{upstreams: map[uint32]*upstreamState{}, jobs: map[Key]*job{}, waiting: order.NewLines[*job](),
		avgTime: initialAvgTime, retries: retry.NewWindow(limits, retryShare), permits: &permitCounts{}}
	s.book = order.NewBook(&s.avgTime, order.Default())
	return s
}

// SetUpstreams sets the upstreams to those of the routing table. baseShare is this subset's share of the service's base retry
// allowance.
func (s *Scheduler) SetUpstreams(now time.Duration, list []Upstream, baseShare float64) (replies []addressedReply) {
	s.baseShare = baseShare
	known := map[uint32]bool{}
	for _, upstream := range list {
		known[upstream.Number] = true
		u := s.upstreams[upstream.Number]
		if u == nil {
			u = &upstreamState{latencyRatio: 1, untried: len(s.numbers) > 0, connectFailures: map[string]time.Duration{},
				usedBy: map[string]time.Duration{}}
			s.upstreams[upstream.Number] = u
		}
		u.upstream = upstream
		u.cold.update(now, upstream)
	}
	for number := range s.upstreams {
		if !known[number] {
			delete(s.upstreams, number)
		}
	}
	s.numbers = s.numbers[:0]
	for number := range s.upstreams {
		s.numbers = append(s.numbers, number)
	}
	slices.Sort(s.numbers)
	return append(s.rejectClosed(now), s.dispatch(now)...)
}

// Submit decides on a slot request of a host: it assigns a slot, queues the request or rejects it. A request that is already
// known gets its current state as reply, so that hosts may send requests again.
func (s *Scheduler) Submit(now time.Duration, host string, r SlotRequest) (replies []addressedReply) {
	key := Key{Host: host, ID: r.ID}
	if j := s.jobs[key]; j != nil {
		return []addressedReply{{key, s.replyTo(now, j)}}
	}
	j := s.newJob(now, key, r)
	if !s.hasEligible(j) {
		return []addressedReply{{key, Reply{ID: r.ID, Decision: NoUpstream}}}
	}
	s.expireReports(now)
	wait := s.expectedWait(now, j)
	if r.NoQueue && (wait > 0 || s.choose(s.newCosts(now), j, 0) == nil) {
		return []addressedReply{{key, Reply{ID: r.ID, Decision: Busy, After: max(wait, s.nextFree())}}}
	}
	if !r.Retry {
		s.retries.Request(now)
	}
	j.route.Arrive(now)
	if wait > 0 && now+wait+s.serviceTime(j) > j.expires {
		return []addressedReply{{key, Reply{ID: r.ID, Decision: Overloaded, After: s.retryAfter(now, j, wait)}}}
	}
	if r.Retry && !s.retries.Spend(now, s.baseShare) {
		return []addressedReply{{key, Reply{ID: r.ID, Decision: BudgetSpent}}}
	}
	s.jobs[key] = j
	s.enqueue(j)
	replies = append(s.dispatch(now), s.evict(now, j)...)
	if j.state == nil && s.jobs[key] == j {
		s.countWait(now, j)
		replies = append(replies, addressedReply{key, s.replyTo(now, j)})
	}
	return replies
}

// nextFree estimates the time until the next slot becomes free if all are in use.
func (s *Scheduler) nextFree() time.Duration {
	slots := 0
	for _, u := range s.upstreams {
		slots += u.limit()
	}
	return s.avgTime / time.Duration(max(slots, 1))
}

// Idle reports whether the scheduler has neither upstreams nor requests, so that it can be dropped.
func (s *Scheduler) Idle() bool { return len(s.upstreams)+len(s.jobs) == 0 }

// replyTo returns the reply that states the job's current state.
func (s *Scheduler) replyTo(now time.Duration, j *job) Reply {
	if j.state != nil {
		return j.assigned()
	}
	return Reply{ID: j.key.ID, Decision: Queued, After: s.expectedWait(now, j)}
}

// Finish records the outcome of a request, releases its slot and assigns free slots to waiting requests.
func (s *Scheduler) Finish(now time.Duration, host string, r Result) (replies []addressedReply) {
	j := s.jobs[Key{Host: host, ID: r.ID}]
	if j == nil {
		return nil
	}
	s.remove(j)
	if u := j.state; u != nil {
		s.recordResult(now, j, host, r)
		j.recordCold(now, r)
	}
	return s.dispatch(now)
}

// Tick rejects waiting requests that can no longer be served in time and releases the slots of expired requests without a result.
func (s *Scheduler) Tick(now time.Duration) (replies []addressedReply) {
	list, waits := s.unservable(now)
	for i, j := range list {
		s.remove(j)
		s.noteEviction(now, j, waits[i])
		replies = append(replies, addressedReply{j.key, Reply{ID: j.key.ID, Decision: Overloaded, After: s.retryAfter(now, j, waits[i])}})
	}
	for _, j := range s.jobs {
		if j.state != nil && now > j.expires+expiryGrace {
			s.remove(j)
		}
	}
	return append(replies, s.dispatch(now)...)
}

// Load returns the number of slots in use and of waiting requests.
func (s *Scheduler) Load() (busy, waiting int) { return len(s.jobs) - s.waiting.Len(), s.waiting.Len() }

// remove deletes a job and releases its slot, if it has one.
func (s *Scheduler) remove(j *job) {
	delete(s.jobs, j.key)
	if j.state != nil {
		j.state.busy = max(j.state.busy-1, 0)
		return
	}
	s.dequeue(j)
}

// recordResult updates the latency ratio, failure rate and connect failures of a job's upstream, and the work of its route, from a
// result.
func (s *Scheduler) recordResult(now time.Duration, j *job, host string, r Result) {
	u, work := j.state, max(j.route.Work(), time.Millisecond)
	if r.Completion != ConnectFailed && r.Completion != Abandoned {
		delete(u.connectFailures, host)
		u.noteUse(now, host)
		s.recordReport(now, u, r)
	}
	switch r.Completion {
	case Full:
		u.restraint.full(now, now-r.Took, max(u.upstream.Slots, 1))
	case Answered:
		u.untried = false
		u.restraint.answered(u.limit())
		u.addSample(now, 0)
		s.learnWork(j, r.usualTime())
		ratio := float64(r.usualTime()) / float64(work)
		u.latencyRatio += latencyRatioWeight * (min(max(ratio, 0.2), maxLatencyRatio) - u.latencyRatio)
		s.avgTime += time.Duration(avgTimeWeight * float64(r.Took-s.avgTime))
	case Failed:
		u.addSample(now, 1)
		if r.usualTime() > work {
			u.latencyRatio += latencyRatioWeight * (min(float64(r.usualTime())/float64(work), maxLatencyRatio) - u.latencyRatio)
		}
	case Rejected:
		u.addSample(now, 1)
	case ConnectFailed:
		u.connectFailures[host] = now + connectFailureTTL
	}
}

// maxUsedBy is the number of entry hosts of which the use of one upstream is remembered before old entries are dropped.
const maxUsedBy = 32

// noteUse records that a host has finished a request at the upstream.
func (u *upstreamState) noteUse(now time.Duration, host string) {
	if len(u.usedBy) >= maxUsedBy {
		maps.DeleteFunc(u.usedBy, func(_ string, at time.Duration) bool { return now-at >= warmTime })
	}
	u.usedBy[host] = now
}

// warmFor reports whether a host probably has an idle connection to the upstream.
func (u *upstreamState) warmFor(now time.Duration, host string) bool {
	at, ok := u.usedBy[host]
	return ok && now-at < warmTime
}

// addSample adds a response to the failure rate; failed is 1 for a failure and 0 for a success.
func (u *upstreamState) addSample(now time.Duration, failed float64) {
	u.failureRate = u.failureRateNow(now)
	u.failureRate += failureRateWeight * (failed - u.failureRate)
	u.failureRateAt = now
}

// failureRateNow returns the failure rate at the given time. It decays, so that an upstream that failed gets requests again.
func (u *upstreamState) failureRateNow(now time.Duration) float64 {
	return u.failureRate / (1 + float64(now-u.failureRateAt)/float64(failureRateHalfLife))
}

// unreachable reports whether at least minFailedHosts entry hosts recently failed to connect to the upstream. A single one does
// not count, as its own network may be at fault.
func (u *upstreamState) unreachable(now time.Duration) bool {
	if len(u.connectFailures) == 0 {
		return false
	}
	n := 0
	for host, until := range u.connectFailures {
		if now >= until {
			delete(u.connectFailures, host)
			continue
		}
		n++
	}
	return n >= minFailedHosts
}
