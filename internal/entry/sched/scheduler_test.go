package sched

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"ebonyrill.dev/ebonyrill/internal/entry/retry"
)

func upstreamsOf(slots ...int) (list []Upstream) {
	for i, n := range slots {
		list = append(list, Upstream{Number: uint32(i + 1), Slots: n, DataCentre: "d"})
	}
	return list
}

func newScheduler(list []Upstream) *Scheduler {
	s := NewScheduler(retry.Limits{Share: 0.2, Base: 10, Window: 10 * time.Second})
	s.SetUpstreams(0, list, 1)
	return s
}

func slotRequest(id uint64) SlotRequest {
	return SlotRequest{ID: id, Priority: 1, Timeout: 2 * time.Second, Objective: time.Second, DataCentre: "d"}
}

// replyFor returns the last reply to a slot request.
func replyFor(replies []addressedReply, id uint64) (r Reply) {
	for _, a := range replies {
		if a.reply.ID == id {
			r = a.reply
		}
	}
	return r
}

func TestSlotsAreNeverExceeded(t *testing.T) {
	c := qt.New(t)
	s := newScheduler(upstreamsOf(2, 1))
	busy := map[uint32]int{}
	for id := uint64(1); id <= 3; id++ {
		r := replyFor(s.Submit(0, "h", slotRequest(id)), id)
		c.Assert(r.Decision, qt.Equals, Assigned)
		busy[r.Upstream]++
	}
	c.Assert(busy, qt.DeepEquals, map[uint32]int{1: 2, 2: 1})
	c.Assert(replyFor(s.Submit(0, "h", slotRequest(4)), 4).Decision, qt.Equals, Queued)
	replies := s.Finish(time.Millisecond, "h", Result{ID: 1, Completion: Answered, Took: time.Millisecond})
	c.Assert(replyFor(replies, 4).Decision, qt.Equals, Assigned)
}

func TestRepeatedSlotRequestGetsSameReply(t *testing.T) {
	c := qt.New(t)
	s := newScheduler(upstreamsOf(1))
	first := replyFor(s.Submit(0, "h", slotRequest(1)), 1)
	c.Assert(replyFor(s.Submit(0, "h", slotRequest(1)), 1), qt.Equals, first)
	busy, _ := s.Load()
	c.Assert(busy, qt.Equals, 1)
	s.Finish(0, "other", Result{ID: 1, Completion: Answered})
	busy, _ = s.Load()
	c.Assert(busy, qt.Equals, 1)
}

// TestLostResultFreesTheSlot checks that a slot without a result is released once its request has expired.
func TestLostResultFreesTheSlot(t *testing.T) {
	c := qt.New(t)
	s := newScheduler(upstreamsOf(1))
	s.Submit(0, "h", slotRequest(1))
	s.Tick(2*time.Second + expiryGrace)
	busy, _ := s.Load()
	c.Assert(busy, qt.Equals, 1)
	s.Tick(2*time.Second + expiryGrace + time.Millisecond)
	busy, _ = s.Load()
	c.Assert(busy, qt.Equals, 0)
}

// TestUnservableRequestIsRejectedAtOnce checks that a request is rejected immediately if the requests ahead of it leave no time
// for it, and that the reply estimates when a slot will be free.
func TestUnservableRequestIsRejectedAtOnce(t *testing.T) {
	c := qt.New(t)
	s := newScheduler(upstreamsOf(1))
	s.avgTime = 400 * time.Millisecond
	var rejected Reply
	for id := uint64(1); rejected.ID == 0; id++ {
		if r := replyFor(s.Submit(0, "h", slotRequest(id)), id); r.Decision == Overloaded {
			rejected = r
		}
	}
	c.Assert(rejected.ID, qt.Equals, uint64(6))
	c.Assert(rejected.After > time.Second && rejected.After <= 2*time.Second, qt.IsTrue, qt.Commentf("%v", rejected.After))
	late := s.Tick(1900 * time.Millisecond)
	c.Assert(late, qt.HasLen, 4)
	c.Assert(late[0].reply.Decision, qt.Equals, Overloaded)
}

// TestDispatchOrder checks that urgent requests go first, that less urgent ones do not starve, and that requests that have missed
// their objective go after those that can still meet it.
func TestDispatchOrder(t *testing.T) {
	c := qt.New(t)
	s := newScheduler(upstreamsOf(1))
	s.avgTime = 10 * time.Millisecond
	s.Submit(0, "h", slotRequest(1))
	submit := func(now time.Duration, id uint64, priority int, objective time.Duration) {
		request := slotRequest(id)
		request.Priority, request.Objective, request.Timeout = priority, objective, 10*time.Second
		c.Assert(replyFor(s.Submit(now, "h", request), id).Decision, qt.Equals, Queued)
	}
	submit(0, 2, 2, 400*time.Millisecond)
	submit(100*time.Millisecond, 3, 0, 400*time.Millisecond)
	submit(400*time.Millisecond, 4, 0, 500*time.Millisecond)
	var order []uint64
	now := 410 * time.Millisecond
	for last := uint64(1); ; {
		replies := s.Finish(now, "h", Result{ID: last, Completion: Abandoned})
		if len(replies) == 0 {
			break
		}
		last = replies[0].reply.ID
		order = append(order, last)
	}
	c.Assert(order, qt.DeepEquals, []uint64{3, 4, 2})
}

func TestExcludedAndDrainingUpstreamsGetNothing(t *testing.T) {
	c := qt.New(t)
	list := upstreamsOf(1, 1, 1)
	list[2].Draining = true
	s := newScheduler(list)
	request := slotRequest(1)
	request.Exclude = []uint32{1}
	c.Assert(replyFor(s.Submit(0, "h", request), 1).Upstream, qt.Equals, uint32(2))
	b := slotRequest(2)
	b.Exclude = []uint32{1, 2}
	c.Assert(replyFor(s.Submit(0, "h", b), 2).Decision, qt.Equals, NoUpstream)
	keyed := slotRequest(3)
	keyed.Upstream = 3
	c.Assert(replyFor(s.Submit(0, "h", keyed), 3).Upstream, qt.Equals, uint32(3))
}

// TestUpstreamIsSkippedOnceTwoHostsFailToConnect checks that an upstream keeps getting requests if one host cannot connect to it,
// and gets none for a while if two hosts cannot.
func TestUpstreamIsSkippedOnceTwoHostsFailToConnect(t *testing.T) {
	c := qt.New(t)
	s := newScheduler(upstreamsOf(1))
	fail := func(host string, id uint64) {
		c.Assert(replyFor(s.Submit(0, host, slotRequest(id)), id).Decision, qt.Equals, Assigned)
		s.Finish(0, host, Result{ID: id, Completion: ConnectFailed})
	}
	fail("h1", 1)
	fail("h2", 2)
	c.Assert(replyFor(s.Submit(0, "h3", slotRequest(3)), 3).Decision, qt.Equals, Queued)
	c.Assert(s.Tick(connectFailureTTL)[0].reply.Decision, qt.Equals, Assigned)
}

// TestFullUpstreamGetsFewerRequests guards against an upstream that is avoided as unhealthy because it had no room, against one whose
// resets of a single burst count several times, and against one that stays restrained.
func TestFullUpstreamGetsFewerRequests(t *testing.T) {
	c := qt.New(t)
	s := newScheduler(upstreamsOf(4))
	now, id := time.Second, uint64(0)
	round := func(completion Completion) (assigned int) {
		now += time.Millisecond
		first := id + 1
		for range 4 {
			id++
			if replyFor(s.Submit(now, "h", slotRequest(id)), id).Decision == Assigned {
				assigned++
			}
		}
		now += 100 * time.Millisecond
		for i := first; i <= id; i++ {
			s.Finish(now, "h", Result{ID: i, Completion: completion, Took: 100 * time.Millisecond})
		}
		return assigned
	}
	c.Check([]int{round(Full), round(Full), round(Full)}, qt.DeepEquals, []int{4, 2, 1})
	c.Check(s.upstreams[1].failureRate, qt.Equals, 0.0)
	for range 4 {
		round(Answered)
	}
	c.Check(round(Answered), qt.Equals, 4)
}

// TestRetryBudgetHolds makes as many retries as the scheduler allows and checks their number in every window.
func TestRetryBudgetHolds(t *testing.T) {
	c := qt.New(t)
	limits := retry.Limits{Share: 0.2, Base: 10, Window: 10 * time.Second}
	s := NewScheduler(limits)
	s.SetUpstreams(0, upstreamsOf(1000), 1)
	random := rand.New(rand.NewPCG(1, 2))
	var requests, retries []time.Duration
	id := uint64(0)
	for now := time.Duration(0); now < 60*time.Second; now += 20 * time.Millisecond {
		for range random.IntN(4) {
			id++
			request := slotRequest(id)
			request.Retry = random.IntN(2) == 0
			if replyFor(s.Submit(now, "h", request), id).Decision == Assigned {
				if request.Retry {
					retries = append(retries, now)
				} else {
					requests = append(requests, now)
				}
			}
			s.Finish(now, "h", Result{ID: id, Completion: Answered, Took: time.Millisecond})
		}
	}
	within := func(list []time.Duration, from time.Duration) (n int) {
		for _, at := range list {
			if from <= at && at < from+limits.Window {
				n++
			}
		}
		return n
	}
	c.Assert(len(retries) > 100, qt.IsTrue)
	for from := time.Duration(0); from < 50*time.Second; from += 100 * time.Millisecond {
		most := max(within(requests, from), within(requests, from-limits.Window), within(requests, from-limits.Window/2))
		c.Check(float64(within(retries, from)) <= limits.Share*float64(most)+limits.Base, qt.IsTrue, qt.Commentf("window from %v", from))
	}
}

// workload is a load pattern that replays run against the scheduler and against hosts that choose upstreams at random.
type workload struct {
	name          string
	slots         []int
	latencyRatios []float64
	perSec        float64
	avgTime       time.Duration
	urgent        float64
	maxMissed     float64 // largest share of requests that may miss their objective
	maxOfRandom   float64 // largest ratio of misses to those with random choice
}

// workloads are the most important patterns: high utilization with upstreams of unequal speed, a few very slow upstreams, and
// overload.
var workloads = []workload{
	{name: "70% utilization, unequal upstreams", slots: []int{3, 3, 3, 3, 3, 3, 3, 3, 3, 3}, latencyRatios: []float64{0.7, 0.7, 1.6, 0.7, 0.7, 1.6, 0.7, 0.7, 1.6, 0.7}, perSec: 130, avgTime: 160 * time.Millisecond, urgent: 0.3, maxMissed: 0.03, maxOfRandom: 0.3},
	{name: "two of ten five times slower", slots: []int{3, 3, 3, 3, 3, 3, 3, 3, 3, 3}, latencyRatios: []float64{1, 1, 5, 1, 1, 1, 5, 1, 1, 1}, perSec: 110, avgTime: 160 * time.Millisecond, urgent: 0.3, maxMissed: 0.08, maxOfRandom: 0.5},
	{name: "a third above capacity", slots: []int{3, 3, 3, 3}, latencyRatios: []float64{1, 1, 1, 1}, perSec: 100, avgTime: 160 * time.Millisecond, urgent: 0.3, maxMissed: 0.45, maxOfRandom: 0.75},
}

// TestReplay runs each workload against the scheduler and against random choice. It compares the share of requests that miss
// their objective with a fixed limit and with that of random choice. Urgent requests must not miss more often than all requests.
func TestReplay(t *testing.T) {
	for _, w := range workloads {
		t.Run(w.name, func(t *testing.T) {
			scheduled, urgent := replayScheduled(w)
			random := replayRandom(w)
			t.Logf("misses: scheduled %.3f (urgent %.3f), random %.3f", scheduled, urgent, random)
			qt.Check(t, scheduled <= w.maxMissed, qt.IsTrue)
			qt.Check(t, scheduled <= w.maxOfRandom*random, qt.IsTrue)
			qt.Check(t, urgent <= scheduled+0.01, qt.IsTrue)
		})
	}
}

const (
	replayTime      = 40 * time.Second
	replayObjective = 500 * time.Millisecond
	replayTimeout   = 1200 * time.Millisecond
)

// runningRequest is a request that runs at an upstream in a replay.
type runningRequest struct {
	id      uint64
	endsAt  time.Duration
	started time.Duration
}

// arrivals returns the arrival times of a workload's requests, a Poisson process.
func (w workload) arrivals(random *rand.Rand) (list []time.Duration) {
	for now := time.Duration(0); now < replayTime; {
		now += time.Duration(random.ExpFloat64() / w.perSec * float64(time.Second))
		list = append(list, now)
	}
	return list
}

// work returns how long an upstream takes for a request.
func (w workload) work(random *rand.Rand, upstream uint32) time.Duration {
	return time.Duration((0.7 + 0.6*random.Float64()) * w.latencyRatios[upstream-1] * float64(w.avgTime))
}

// replay simulates requests that arrive at given times at a scheduler, in steps of a millisecond. submit requests a slot, work
// returns how long an upstream takes, finish releases the slot, and tick runs the scheduler's periodic work.
type replay struct {
	submit func(now time.Duration, id uint64) []addressedReply
	work   func(id uint64, upstream uint32) time.Duration
	finish func(now time.Duration, r runningRequest) []addressedReply
	tick   func(now time.Duration) []addressedReply
}

// run returns the ids of the requests that met their objective.
func (rp replay) run(arrivals []time.Duration, until time.Duration) (met []uint64) {
	began := map[uint64]time.Duration{}
	var started []runningRequest
	start := func(now time.Duration, replies []addressedReply) {
		for _, a := range replies {
			if a.reply.Decision == Assigned {
				started = append(started, runningRequest{id: a.reply.ID, endsAt: now + rp.work(a.reply.ID, a.reply.Upstream), started: now})
			}
		}
	}
	for now, next := time.Duration(0), 0; now < until; now += time.Millisecond {
		for ; next < len(arrivals) && arrivals[next] <= now; next++ {
			id := uint64(next + 1)
			began[id] = now
			start(now, rp.submit(now, id))
		}
		var ended []runningRequest
		started = slices.DeleteFunc(started, func(r runningRequest) bool {
			if r.endsAt <= now {
				ended = append(ended, r)
			}
			return r.endsAt <= now
		})
		for _, r := range ended {
			if now-began[r.id] <= replayObjective {
				met = append(met, r.id)
			}
			start(now, rp.finish(now, r))
		}
		start(now, rp.tick(now))
	}
	return met
}

func replayScheduled(w workload) (missed, urgentMissed float64) {
	random := rand.New(rand.NewPCG(3, 4))
	s := newScheduler(upstreamsOf(w.slots...))
	arrivals := w.arrivals(random)
	urgent := map[uint64]bool{}
	host := func(id uint64) string { return fmt.Sprint("h", id%11) }
	met := replay{
		submit: func(now time.Duration, id uint64) []addressedReply {
			request := SlotRequest{ID: id, Priority: 2, Timeout: replayTimeout, Objective: replayObjective, DataCentre: "d"}
			if random.Float64() < w.urgent {
				request.Priority, urgent[id] = 1, true
			}
			return s.Submit(now, host(id), request)
		},
		work: func(_ uint64, upstream uint32) time.Duration { return w.work(random, upstream) },
		finish: func(now time.Duration, r runningRequest) []addressedReply {
			return s.Finish(now, host(r.id), Result{ID: r.id, Completion: Answered, Took: now - r.started})
		},
		tick: s.Tick,
	}.run(arrivals, replayTime+2*time.Second)
	urgentMet := 0
	for _, id := range met {
		if urgent[id] {
			urgentMet++
		}
	}
	return 1 - float64(len(met))/float64(len(arrivals)), 1 - float64(urgentMet)/float64(len(urgent))
}

// replayRandom chooses an upstream at random for each request. Each upstream has its own queue.
func replayRandom(w workload) (missed float64) {
	random := rand.New(rand.NewPCG(3, 4))
	free := make([][]time.Duration, len(w.slots))
	for i, n := range w.slots {
		free[i] = make([]time.Duration, n)
	}
	arrivals := w.arrivals(random)
	met := 0
	for _, now := range arrivals {
		u := random.IntN(len(w.slots))
		slot := 0
		for i, t := range free[u] {
			if t < free[u][slot] {
				slot = i
			}
		}
		begin := max(now, free[u][slot])
		if begin-now > replayTimeout {
			continue
		}
		end := begin + w.work(random, uint32(u+1))
		free[u][slot] = end
		if end-now <= replayObjective {
			met++
		}
	}
	return 1 - float64(met)/float64(len(arrivals))
}

// TestClosedUpstreamGetsNothing guards against requests that wait for a slot, or get one, at an upstream whose data centre was taken out of
// service, whether they name it or not.
func TestClosedUpstreamGetsNothing(t *testing.T) {
	c := qt.New(t)
	list := upstreamsOf(1, 1)
	s := newScheduler(list)
	for id := uint64(1); id <= 2; id++ {
		c.Assert(replyFor(s.Submit(0, "h", slotRequest(id)), id).Decision, qt.Equals, Assigned)
	}
	named, any, only := slotRequest(3), slotRequest(4), slotRequest(5)
	named.Upstream, only.Exclude = 1, []uint32{2}
	for _, r := range []SlotRequest{named, any, only} {
		c.Assert(replyFor(s.Submit(0, "h", r), r.ID).Decision, qt.Equals, Queued)
	}
	list[0].Closed = true
	replies := s.SetUpstreams(time.Millisecond, list, 1)
	c.Check(replyFor(replies, 3).Decision, qt.Equals, NoUpstream)
	c.Check(replyFor(replies, 5).Decision, qt.Equals, NoUpstream)
	for _, id := range []uint64{1, 2} {
		replies = append(replies, s.Finish(2*time.Millisecond, "h", Result{ID: id, Completion: Answered, Took: time.Millisecond})...)
	}
	c.Check(replyFor(replies, 4), qt.Equals, Reply{ID: 4, Decision: Assigned, Upstream: 2})
	named.ID = 6
	c.Check(replyFor(s.Submit(3*time.Millisecond, "h", named), 6).Decision, qt.Equals, NoUpstream)
}

// TestUntriedUpstreamGetsOneRequest guards against upstreams that join under low load and get nothing, and against trying them with
// several requests at once.
func TestUntriedUpstreamGetsOneRequest(t *testing.T) {
	c := qt.New(t)
	s := newScheduler(upstreamsOf(6, 6))
	for id := range uint64(60) {
		r := replyFor(s.Submit(0, "h", SlotRequest{ID: id + 1, Timeout: time.Second, Objective: time.Second, DataCentre: "d"}), id+1)
		took := 100 * time.Millisecond
		if r.Upstream == 2 {
			took = 500 * time.Millisecond
		}
		s.Finish(0, "h", Result{ID: id + 1, Completion: Answered, Took: took})
	}
	s.SetUpstreams(0, upstreamsOf(6, 6, 6), 1)
	var given []uint32
	for id := range uint64(3) {
		r := replyFor(s.Submit(0, "h", SlotRequest{ID: 100 + id, Timeout: time.Second, Objective: time.Second, DataCentre: "d"}), 100+id)
		given = append(given, r.Upstream)
	}
	c.Check(given, qt.DeepEquals, []uint32{3, 1, 1})
}
