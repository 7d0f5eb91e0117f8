package sched

import (
	"slices"
	"time"

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
}

// job is a request that has a slot or waits for one. Its state is that of the upstream whose slot it has, nil while it waits.
// Waiting jobs are ordered by due: their arrival plus the objective, plus half an objective for each level of priority.
type job struct {
	key     Key
	request SlotRequest
	arrived time.Duration
	expires time.Duration
	due     time.Duration
	state   *upstreamState
}

// Scheduler schedules the slots of one subset of a service's upstreams. It reads no clock and takes no lock. Its methods return the
// replies that must be sent.
type Scheduler struct {
	upstreams map[uint32]*upstreamState
	numbers   []uint32
	jobs      map[Key]*job
	waiting   []*job
	avgTime   time.Duration
	retries   *retry.Window
	baseShare float64
}

// NewScheduler returns a scheduler without upstreams whose retry budget has the given limits.
func NewScheduler(t retry.Limits) *Scheduler {
	return &Scheduler{upstreams: map[uint32]*upstreamState{}, jobs: map[Key]*job{}, avgTime: initialAvgTime, retries: retry.NewWindow(t, retryShare)}
}

// SetUpstreams sets the upstreams to those of the routing table. baseShare is this subset's share of the service's base retry
// allowance.
func (d *Scheduler) SetUpstreams(now time.Duration, list []Upstream, baseShare float64) (replies []addressedReply) {
	d.baseShare = baseShare
	known := map[uint32]bool{}
	for _, u := range list {
		known[u.Number] = true
		s := d.upstreams[u.Number]
		if s == nil {
			s = &upstreamState{latencyRatio: 1, connectFailures: map[string]time.Duration{}}
			d.upstreams[u.Number] = s
		}
		s.upstream = u
	}
	for number := range d.upstreams {
		if !known[number] {
			delete(d.upstreams, number)
		}
	}
	d.numbers = d.numbers[:0]
	for number := range d.upstreams {
		d.numbers = append(d.numbers, number)
	}
	slices.Sort(d.numbers)
	return d.dispatch(now)
}

// Submit decides on a slot request of a host: it assigns a slot, queues the request or rejects it. A request that is already known
// gets its current state as reply, so that hosts may send requests again.
func (d *Scheduler) Submit(now time.Duration, host string, a SlotRequest) (replies []addressedReply) {
	key := Key{Host: host, ID: a.ID}
	if j := d.jobs[key]; j != nil {
		return []addressedReply{{key, d.replyTo(now, j)}}
	}
	j := &job{key: key, request: a, arrived: now, expires: now + a.Timeout}
	j.due = now + a.Objective + a.Objective*time.Duration(a.Priority)/2
	if !d.hasEligible(j) {
		return []addressedReply{{key, Reply{ID: a.ID, Decision: NoUpstream}}}
	}
	wait := d.expectedWait(now, j)
	if a.NoQueue && (wait > 0 || d.choose(d.newCosts(now), j, 0) == nil) {
		return []addressedReply{{key, Reply{ID: a.ID, Decision: Busy, After: max(wait, d.nextFree())}}}
	}
	if !a.Retry {
		d.retries.Request(now)
	}
	if wait > 0 && now+wait+d.serviceTime(j) > j.expires {
		return []addressedReply{{key, Reply{ID: a.ID, Decision: Overloaded, After: wait}}}
	}
	if a.Retry && !d.retries.Spend(now, d.baseShare) {
		return []addressedReply{{key, Reply{ID: a.ID, Decision: BudgetSpent}}}
	}
	d.jobs[key] = j
	d.enqueue(j)
	replies = d.dispatch(now)
	if j.state == nil && d.jobs[key] == j {
		replies = append(replies, addressedReply{key, d.replyTo(now, j)})
	}
	return replies
}

// nextFree estimates the time until the next slot becomes free if all are in use.
func (d *Scheduler) nextFree() time.Duration {
	slots := 0
	for _, s := range d.upstreams {
		slots += s.limit()
	}
	return d.avgTime / time.Duration(max(slots, 1))
}

// Idle reports whether the scheduler has neither upstreams nor requests, so that it can be dropped.
func (d *Scheduler) Idle() bool { return len(d.upstreams)+len(d.jobs) == 0 }

// replyTo returns the reply that states the job's current state.
func (d *Scheduler) replyTo(now time.Duration, j *job) Reply {
	if j.state != nil {
		return Reply{ID: j.key.ID, Decision: Assigned, Upstream: j.state.upstream.Number}
	}
	return Reply{ID: j.key.ID, Decision: Queued, After: d.expectedWait(now, j)}
}

// Finish records the outcome of a request, releases its slot and assigns free slots to waiting requests.
func (d *Scheduler) Finish(now time.Duration, host string, r Result) (replies []addressedReply) {
	j := d.jobs[Key{Host: host, ID: r.ID}]
	if j == nil {
		return nil
	}
	d.remove(j)
	if s := j.state; s != nil {
		d.recordResult(now, s, host, r)
	}
	return d.dispatch(now)
}

// Tick rejects waiting requests that can no longer be served in time and releases the slots of expired requests without a result.
func (d *Scheduler) Tick(now time.Duration) (replies []addressedReply) {
	list, waits := d.unservable(now)
	for i, j := range list {
		d.remove(j)
		replies = append(replies, addressedReply{j.key, Reply{ID: j.key.ID, Decision: Overloaded, After: waits[i]}})
	}
	for _, j := range d.jobs {
		if j.state != nil && now > j.expires+expiryGrace {
			d.remove(j)
		}
	}
	return append(replies, d.dispatch(now)...)
}

// Load returns the number of slots in use and of waiting requests.
func (d *Scheduler) Load() (busy, waiting int) { return len(d.jobs) - len(d.waiting), len(d.waiting) }

// remove deletes a job and releases its slot, if it has one.
func (d *Scheduler) remove(j *job) {
	delete(d.jobs, j.key)
	if j.state != nil {
		j.state.busy = max(j.state.busy-1, 0)
		return
	}
	d.dequeue(j)
}

// recordResult updates an upstream's latency ratio, failure rate and connect failures from a result.
func (d *Scheduler) recordResult(now time.Duration, s *upstreamState, host string, r Result) {
	if r.Completion != ConnectFailed && r.Completion != Abandoned {
		delete(s.connectFailures, host)
	}
	switch r.Completion {
	case Answered:
		s.addSample(now, 0)
		ratio := float64(r.Took) / float64(max(d.avgTime, time.Millisecond))
		s.latencyRatio += latencyRatioWeight * (min(max(ratio, 0.2), maxLatencyRatio) - s.latencyRatio)
		d.avgTime += time.Duration(avgTimeWeight * float64(r.Took-d.avgTime))
	case Failed:
		s.addSample(now, 1)
		if r.Took > d.avgTime {
			s.latencyRatio += latencyRatioWeight * (min(float64(r.Took)/float64(d.avgTime), maxLatencyRatio) - s.latencyRatio)
		}
	case Rejected:
		s.addSample(now, 1)
	case ConnectFailed:
		s.connectFailures[host] = now + connectFailureTTL
	}
}

// addSample adds a response to the failure rate; failed is 1 for a failure and 0 for a success.
func (s *upstreamState) addSample(now time.Duration, failed float64) {
	s.failureRate = s.failureRateNow(now)
	s.failureRate += failureRateWeight * (failed - s.failureRate)
	s.failureRateAt = now
}

// failureRateNow returns the failure rate at the given time. It decays, so that an upstream that failed gets requests again.
func (s *upstreamState) failureRateNow(now time.Duration) float64 {
	return s.failureRate / (1 + float64(now-s.failureRateAt)/float64(failureRateHalfLife))
}

// unreachable reports whether at least minFailedHosts entry hosts recently failed to connect to the upstream. A single one does
// not count, as its own network may be at fault.
func (s *upstreamState) unreachable(now time.Duration) bool {
	if len(s.connectFailures) == 0 {
		return false
	}
	n := 0
	for host, until := range s.connectFailures {
		if now >= until {
			delete(s.connectFailures, host)
			continue
		}
		n++
	}
	return n >= minFailedHosts
}
