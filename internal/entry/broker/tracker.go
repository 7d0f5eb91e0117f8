package broker

import (
	"math/rand/v2"
	"slices"
	"strconv"
	"sync"
	"time"

	"ebonyrill.dev/ebonyrill/internal/entry/cold"
	"ebonyrill.dev/ebonyrill/internal/entry/pick"
	"ebonyrill.dev/ebonyrill/internal/entry/sched"
	"ebonyrill.dev/ebonyrill/internal/shared/table"
)

// Tuning of the statistics on upstreams.
const (
	latencyWeight   = 0.2                     // weight of the newest sample in an upstream's average latency
	failureWeight   = 0.25                    // weight of the newest sample in an upstream's failure rate
	failureHalfLife = 3 * time.Second         // the failure rate halves in this time without new samples
	minConnectPause = 1500 * time.Millisecond // an upstream is skipped for this time after the first failed connection attempt
	maxConnectPause = 10 * time.Second        // limit for repeated failures; each one doubles the time
	coldTime        = 3 * time.Second         // an upstream that joined less than this ago is expected to be slow
)

// upstreamState holds what this host has observed of one upstream process: own is the number of this host's requests there, others that
// of other hosts as of the last load report.
type upstreamState struct {
	own              int
	others           int
	loadAt           time.Duration
	loadKnown        bool
	latency          float64
	failureRate      float64
	failureRateAt    time.Duration
	unreachableUntil time.Duration
	connectFailures  int
	seenAt           time.Duration
	service          string
	cold             coldTimes
}

// tracker holds the state of all upstreams and the average latency of each service in seconds; it is safe for concurrent use.
type tracker struct {
	notices        *notices
	mutex          sync.Mutex
	upstreams      map[uint32]*upstreamState
	averageLatency map[string]float64
	// unreachable holds the upstreams, by number, to which the last connection attempt failed.
	unreachable map[uint32]*upstreamState
}

func newTracker() *tracker {
	return &tracker{notices: newNotices(), upstreams: map[uint32]*upstreamState{}, averageLatency: map[string]float64{},
		unreachable: map[uint32]*upstreamState{}}
}

// get returns the state of an upstream and creates it if necessary; the mutex must be held.
func (t *tracker) get(now time.Duration, u table.Upstream) *upstreamState {
	s := t.upstreams[u.Number]
	if s == nil {
		s = &upstreamState{seenAt: now, service: u.Service}
		t.upstreams[u.Number] = s
	}
	s.cold.apply(now, u)
	return s
}

// update applies a new view of the table: it removes upstreams that are gone and records when upstreams began to drain.
func (t *tracker) update(now time.Duration, v *table.View) {
	t.notices.update(now, v)
	t.mutex.Lock()
	defer t.mutex.Unlock()
	for number := range t.upstreams {
		if _, ok := v.Upstream(number); !ok {
			delete(t.upstreams, number)
			delete(t.unreachable, number)
		}
	}
	for _, u := range v.Upstreams() {
		t.get(now, u)
	}
}

// mayServe reports whether an upstream may still be sent requests. One that is draining may for leaveTime after this host learned of
// it.
func (t *tracker) mayServe(now time.Duration, u table.Upstream, leaveTime time.Duration) bool {
	at, leaving := t.notices.leavingSince(u)
	if !leaving {
		return !u.Leaving
	}
	return now-at < leaveTime
}

// unusable returns the upstreams of a service that must not get requests without a key: those that leave, pause or cannot be connected to.
func (t *tracker) unusable(now time.Duration, service string) (numbers []uint32) {
	numbers, _ = t.notices.unwilling(now, service)
	t.mutex.Lock()
	defer t.mutex.Unlock()
	for number, s := range t.unreachable {
		if s.service == service && now < s.unreachableUntil {
			numbers = append(numbers, number)
		}
	}
	return numbers
}

// reachable reports whether an upstream may be connected to, and otherwise after which time it may be tried again.
func (t *tracker) reachable(now time.Duration, u table.Upstream) (ok bool, again time.Duration) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	s := t.get(now, u)
	return now >= s.unreachableUntil, s.unreachableUntil - now
}

// choose returns the upstream for a request of a service that any upstream may serve. Upstreams that could not be connected to are used
// only if there is no other, and cold ones that need permits never.
func (t *tracker) choose(now time.Duration, v *table.View, service, dataCentre string, exclude []uint32) (u table.Upstream, ok bool) {
	unwilling, _ := t.notices.unwilling(now, service)
	t.mutex.Lock()
	defer t.mutex.Unlock()
	list, limited := v.UpstreamsOf(service), needsPermits(v, service)
	exclude = slices.Concat(exclude, unwilling)
	for _, reachableOnly := range []bool{true, false} {
		var candidates []pick.Candidate
		var chosen []table.Upstream
		for _, u := range list {
			s := t.get(now, u)
			if u.Leaving || v.Evacuated(u.DataCentre) || slices.Contains(exclude, u.Number) || reachableOnly && now < s.unreachableUntil ||
				limited && s.cold.left(now) > 0 {
				continue
			}
			candidates = append(candidates, s.candidate(now, u, t.averageLatency[service], dataCentre))
			chosen = append(chosen, u)
		}
		if i, found := pick.Choose(candidates, rand.Float64); found {
			return chosen[i], true
		}
	}
	return u, false
}

func (s *upstreamState) candidate(now time.Duration, u table.Upstream, average float64, dataCentre string) pick.Candidate {
	c := pick.Candidate{Number: u.Number, Slots: u.Slots, Own: s.own, Others: s.others, Age: -1, LatencyRatio: 1,
		FailureRate: s.decayedFailureRate(now), Local: u.DataCentre == dataCentre, Cold: now-s.seenAt < coldTime && !s.loadKnown}
	if s.loadKnown {
		c.Age = now - s.loadAt
	}
	if s.latency > 0 && average > 0 {
		c.LatencyRatio = min(max(s.latency/average, 0.3), 5)
	}
	return c
}

// decayedFailureRate returns the failure rate now. It decays with time so that an upstream that has failed is tried again.
func (s *upstreamState) decayedFailureRate(now time.Duration) float64 {
	if s.failureRate == 0 {
		return 0
	}
	halfLives := float64(now-s.failureRateAt) / float64(failureHalfLife)
	return s.failureRate / (1 + halfLives)
}

// describe returns upstreams in the form that the scheduler needs. One that joined recently is cold, as it may still be slow, unless its
// service states a rate for cold upstreams; the table then tells which ones are cold.
func (t *tracker) describe(now time.Duration, upstreams []table.Upstream, limit cold.Limit) []sched.Upstream {
	list := make([]sched.Upstream, 0, len(upstreams))
	leaving := t.notices.leavingNumbers()
	t.mutex.Lock()
	defer t.mutex.Unlock()
	for _, u := range upstreams {
		s := t.get(now, u)
		list = append(list, s.withCold(now, sched.Upstream{Number: u.Number, Slots: u.Slots, DataCentre: u.DataCentre,
			Draining: u.Leaving || leaving[u.Number], Cold: now-s.seenAt < coldTime}, limit))
	}
	return list
}

// pauseOf returns the time until the first upstream of a service may get requests again, if all of them leave, pause or are out of service,
// and otherwise zero.
func (t *tracker) pauseOf(now time.Duration, v *table.View, service string) time.Duration {
	numbers, soonest := t.notices.unwilling(now, service)
	if len(union(numbers, v.EvacuatedOf(service))) < len(v.UpstreamsOf(service)) {
		return 0
	}
	return soonest
}

// requestStarted counts a request that is sent to an upstream.
func (t *tracker) requestStarted(now time.Duration, u table.Upstream) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	t.get(now, u).own++
}

// attemptResult is the result of an attempt at an upstream.
type attemptResult uint8

const (
	resultAnswered      attemptResult = iota // the upstream responded
	resultFailed                             // the upstream failed the request, or did not respond in time
	resultRejected                           // the upstream did not run the request
	resultConnectFailed                      // the request could not be sent
	resultAbandoned                          // ended for a reason that is not the upstream's fault
	resultFull                               // the upstream reset the connection because it has no room; the request may have run
)

// completion returns the result in the form that the scheduler needs.
func (r attemptResult) completion() sched.Completion {
	return [...]sched.Completion{resultAnswered: sched.Answered, resultFailed: sched.Failed, resultRejected: sched.Rejected,
		resultConnectFailed: sched.ConnectFailed, resultAbandoned: sched.Abandoned, resultFull: sched.Full}[r]
}

// String returns the result's name in log lines.
func (r attemptResult) String() string {
	return [...]string{"answered", "failed", "turnedAway", "notReached", "abandoned", "full"}[r]
}

// requestEnded records the result of an attempt: took is its duration, load the upstream's load report or nil.
func (t *tracker) requestEnded(now time.Duration, u table.Upstream, result attemptResult, took time.Duration, load *loadReport) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	s := t.get(now, u)
	s.own = max(s.own-1, 0)
	if load != nil {
		s.others, s.loadAt, s.loadKnown = max(load.running+load.waiting-s.own-1, 0), now, true
	}
	if result != resultConnectFailed && result != resultAbandoned {
		s.connectFailures, s.unreachableUntil = 0, 0
		delete(t.unreachable, u.Number)
	}
	switch result {
	case resultAnswered:
		s.updateFailureRate(now, 0)
		t.updateLatency(s, u.Service, took.Seconds())
	case resultFailed, resultRejected:
		s.updateFailureRate(now, 1)
	case resultConnectFailed:
		s.connectFailures++
		t.unreachable[u.Number] = s
		s.unreachableUntil = now + min(minConnectPause<<min(s.connectFailures-1, 4), maxConnectPause)
	}
}

// bodyFailed records that a streamed response was cut short by the upstream.
func (t *tracker) bodyFailed(now time.Duration, u table.Upstream) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	t.get(now, u).updateFailureRate(now, 1)
}

func (s *upstreamState) updateFailureRate(now time.Duration, failed float64) {
	s.failureRate = s.decayedFailureRate(now)
	s.failureRate += failureWeight * (failed - s.failureRate)
	s.failureRateAt = now
}

// typicalTime returns the average time that the upstreams of a service take for a request.
func (t *tracker) typicalTime(service string) time.Duration {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	if seconds, ok := t.averageLatency[service]; ok {
		return time.Duration(seconds * float64(time.Second))
	}
	return rejectedRetryAfter
}

// updateLatency adds a latency in seconds to the averages of the upstream and its service. The service's average has a smaller weight,
// as it has more samples.
func (t *tracker) updateLatency(s *upstreamState, service string, took float64) {
	if s.latency == 0 {
		s.latency = took
	} else {
		s.latency += latencyWeight * (took - s.latency)
	}
	average, ok := t.averageLatency[service]
	if !ok {
		average = took
	}
	t.averageLatency[service] = average + latencyWeight/4*(took-average)
}

// loadReport is the load that an upstream reports in a response. slowness is how long work takes there now, in percent of the usual time,
// or zero if the upstream does not state it.
type loadReport struct {
	running  int
	waiting  int
	slots    int
	slowness int
}

// connKey identifies an upstream process in the connection pool.
func connKey(u table.Upstream) string {
	return u.Name + "/" + strconv.FormatUint(u.Incarnation, 10) + "@" + u.Address
}
