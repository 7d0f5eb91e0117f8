package broker

import (
	"math/rand/v2"
	"slices"
	"strconv"
	"sync"
	"time"

	"ebonyrill.dev/ebonyrill/internal/entry/pick"
	"ebonyrill.dev/ebonyrill/internal/entry/sched"
	"ebonyrill.dev/ebonyrill/internal/shared/table"
)

// Tuning of what is learned of upstreams.
const (
	paceWeight   = 0.2                     // weight of the newest answer in an upstream's pace
	failWeight   = 0.25                    // weight of the newest answer in an upstream's doubt
	doubtLife    = 3 * time.Second         // doubt halves in this time without news
	unreachable  = 1500 * time.Millisecond // an upstream that could not be connected to is passed over for so long
	longestPause = 10 * time.Second        // however often connecting failed
	coldTime     = 3 * time.Second         // an upstream that joined less long ago counts as slow
)

// standing is what this host knows of one upstream process.
type standing struct {
	own        int
	others     int
	readAt     time.Duration
	read       bool
	took       float64
	doubt      float64
	doubtAt    time.Duration
	refusedTo  time.Duration
	refusals   int
	seenAt     time.Duration
	leavingAt  time.Duration
	sawLeaving bool
}

// stock holds the standings of all upstreams; it is safe for concurrent use.
type stock struct {
	mutex     sync.Mutex
	upstreams map[uint32]*standing
	averages  map[string]float64
}

func newStock() *stock {
	return &stock{upstreams: map[uint32]*standing{}, averages: map[string]float64{}}
}

// of returns the standing of an upstream, made when it is first seen; the mutex must be held.
func (s *stock) of(now time.Duration, u table.Upstream) *standing {
	x := s.upstreams[u.Number]
	if x == nil {
		x = &standing{seenAt: now}
		s.upstreams[u.Number] = x
	}
	return x
}

// note takes a new view in: upstreams that are gone are forgotten, and those that leave are noted with the time.
func (s *stock) note(now time.Duration, v *table.View) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	for number := range s.upstreams {
		if _, ok := v.Upstream(number); !ok {
			delete(s.upstreams, number)
		}
	}
	for _, u := range v.Upstreams() {
		x := s.of(now, u)
		if u.Leaving && !x.sawLeaving {
			x.sawLeaving, x.leavingAt = true, now
		}
	}
}

// mayServe reports whether an upstream may still be sent requests: one that leaves only for a while after its word.
func (s *stock) mayServe(now time.Duration, u table.Upstream, leaveTime time.Duration) bool {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	x := s.of(now, u)
	return !u.Leaving || x.sawLeaving && now-x.leavingAt < leaveTime
}

// reachable reports whether an upstream could be connected to when it was last tried.
func (s *stock) reachable(now time.Duration, u table.Upstream) (ok bool, again time.Duration) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	x := s.of(now, u)
	return now >= x.refusedTo, x.refusedTo - now
}

// choose returns the upstream for a request of a service that any may answer.
func (s *stock) choose(now time.Duration, v *table.View, service, dataCentre string, avoid []uint32) (u table.Upstream, ok bool) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	list := v.UpstreamsOf(service)
	for _, strict := range []bool{true, false} {
		var candidates []pick.Candidate
		var chosen []table.Upstream
		for _, u := range list {
			x := s.of(now, u)
			if u.Leaving || slices.Contains(avoid, u.Number) || strict && now < x.refusedTo {
				continue
			}
			candidates = append(candidates, x.candidate(now, u, s.averages[service], dataCentre))
			chosen = append(chosen, u)
		}
		if i, found := pick.Choose(candidates, rand.Float64); found {
			return chosen[i], true
		}
	}
	return u, false
}

func (x *standing) candidate(now time.Duration, u table.Upstream, average float64, dataCentre string) pick.Candidate {
	c := pick.Candidate{Number: u.Number, Slots: u.Slots, Own: x.own, Others: x.others, Age: -1, LatencyRatio: 1,
		FailureRate: x.doubtNow(now), Local: u.DataCentre == dataCentre, Cold: now-x.seenAt < coldTime && !x.read}
	if x.read {
		c.Age = now - x.readAt
	}
	if x.took > 0 && average > 0 {
		c.LatencyRatio = min(max(x.took/average, 0.3), 5)
	}
	return c
}

// doubtNow returns the doubt as it stands; it fades so that an upstream gets another chance.
func (x *standing) doubtNow(now time.Duration) float64 {
	if x.doubt == 0 {
		return 0
	}
	halvings := float64(now-x.doubtAt) / float64(doubtLife)
	return x.doubt / (1 + halvings)
}

// fresh reports whether an upstream has joined so lately that it may still be slow.
func (s *stock) fresh(now time.Duration, u table.Upstream) bool {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return now-s.of(now, u).seenAt < coldTime
}

// begin counts a request that is sent to an upstream.
func (s *stock) begin(now time.Duration, u table.Upstream) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.of(now, u).own++
}

// verdict is how a try at an upstream ended.
type verdict uint8

const (
	verdictAnswered verdict = iota
	verdictFailed
	verdictTurnedAway
	verdictNotReached
	verdictAbandoned
)

// fate returns the verdict as a dealer takes it in.
func (v verdict) fate() sched.Completion {
	return [...]sched.Completion{verdictAnswered: sched.Answered, verdictFailed: sched.Failed, verdictTurnedAway: sched.Rejected,
		verdictNotReached: sched.ConnectFailed, verdictAbandoned: sched.Abandoned}[v]
}

// String returns the verdict as logs name it.
func (v verdict) String() string {
	return [...]string{"answered", "failed", "turnedAway", "notReached", "abandoned"}[v]
}

// end takes in how a try went: took is how long the upstream needed, load what it told of itself.
func (s *stock) end(now time.Duration, u table.Upstream, v verdict, took time.Duration, load *reading) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	x := s.of(now, u)
	x.own = max(x.own-1, 0)
	if load != nil {
		x.others, x.readAt, x.read = max(load.running+load.waiting-x.own-1, 0), now, true
	}
	if v != verdictNotReached && v != verdictAbandoned {
		x.refusals, x.refusedTo = 0, 0
	}
	switch v {
	case verdictAnswered:
		x.fail(now, 0)
		s.learnPace(x, u.Service, took.Seconds())
	case verdictFailed, verdictTurnedAway:
		x.fail(now, 1)
	case verdictNotReached:
		x.refusals++
		x.refusedTo = now + min(unreachable<<min(x.refusals-1, 4), longestPause)
	}
}

// brokeOff takes in that an answer that had begun did not come to its end.
func (s *stock) brokeOff(now time.Duration, u table.Upstream) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.of(now, u).fail(now, 1)
}

func (x *standing) fail(now time.Duration, failed float64) {
	x.doubt = x.doubtNow(now)
	x.doubt += failWeight * (failed - x.doubt)
	x.doubtAt = now
}

func (s *stock) learnPace(x *standing, service string, took float64) {
	if x.took == 0 {
		x.took = took
	} else {
		x.took += paceWeight * (took - x.took)
	}
	average, ok := s.averages[service]
	if !ok {
		average = took
	}
	s.averages[service] = average + paceWeight/4*(took-average)
}

// reading is an upstream's word of its load.
type reading struct {
	running int
	waiting int
	slots   int
}

// connKey names an upstream process among connections.
func connKey(u table.Upstream) string {
	return u.Name + "/" + strconv.FormatUint(u.Incarnation, 10) + "@" + u.Address
}
