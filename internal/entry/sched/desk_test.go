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

func seats(slots ...int) (list []Upstream) {
	for i, n := range slots {
		list = append(list, Upstream{Number: uint32(i + 1), Slots: n, DataCentre: "d"})
	}
	return list
}

func newDesk(list []Upstream) *Scheduler {
	d := NewScheduler(retry.Limits{Share: 0.2, Base: 10, Window: 10 * time.Second})
	d.SetUpstreams(0, list, 1)
	return d
}

func ask(id uint64) SlotRequest {
	return SlotRequest{ID: id, Priority: 1, Timeout: 2 * time.Second, Objective: time.Second, DataCentre: "d"}
}

// verdictOf returns what the replies say of a request.
func verdictOf(replies []addressed, id uint64) (r Reply) {
	for _, a := range replies {
		if a.reply.ID == id {
			r = a.reply
		}
	}
	return r
}

func TestSlotsAreNeverExceeded(t *testing.T) {
	c := qt.New(t)
	d := newDesk(seats(2, 1))
	busy := map[uint32]int{}
	for id := uint64(1); id <= 3; id++ {
		r := verdictOf(d.Submit(0, "h", ask(id)), id)
		c.Assert(r.Decision, qt.Equals, Assigned)
		busy[r.Upstream]++
	}
	c.Assert(busy, qt.DeepEquals, map[uint32]int{1: 2, 2: 1})
	c.Assert(verdictOf(d.Submit(0, "h", ask(4)), 4).Decision, qt.Equals, Queued)
	replies := d.Finish(time.Millisecond, "h", Result{ID: 1, Completion: Answered, Took: time.Millisecond})
	c.Assert(verdictOf(replies, 4).Decision, qt.Equals, Assigned)
}

func TestSameAskIsAnsweredAgain(t *testing.T) {
	c := qt.New(t)
	d := newDesk(seats(1))
	first := verdictOf(d.Submit(0, "h", ask(1)), 1)
	c.Assert(verdictOf(d.Submit(0, "h", ask(1)), 1), qt.Equals, first)
	busy, _ := d.Load()
	c.Assert(busy, qt.Equals, 1)
	d.Finish(0, "other", Result{ID: 1, Completion: Answered})
	busy, _ = d.Load()
	c.Assert(busy, qt.Equals, 1)
}

// TestLostResultFreesTheSlot holds that a slot whose request was never heard of again is free once its time is over.
func TestLostResultFreesTheSlot(t *testing.T) {
	c := qt.New(t)
	d := newDesk(seats(1))
	d.Submit(0, "h", ask(1))
	d.Tick(2*time.Second + expiryGrace)
	busy, _ := d.Load()
	c.Assert(busy, qt.Equals, 1)
	d.Tick(2*time.Second + expiryGrace + time.Millisecond)
	busy, _ = d.Load()
	c.Assert(busy, qt.Equals, 0)
}

// TestWhatCannotBeServedIsRefusedAtOnce holds that a request is refused when those before it leave no time for it, and is told
// when a slot should be free.
func TestWhatCannotBeServedIsRefusedAtOnce(t *testing.T) {
	c := qt.New(t)
	d := newDesk(seats(1))
	d.took = 400 * time.Millisecond
	var refused Reply
	for id := uint64(1); refused.ID == 0; id++ {
		if r := verdictOf(d.Submit(0, "h", ask(id)), id); r.Decision == Overloaded {
			refused = r
		}
	}
	c.Assert(refused.ID, qt.Equals, uint64(6))
	c.Assert(refused.After > time.Second && refused.After <= 2*time.Second, qt.IsTrue, qt.Commentf("%v", refused.After))
	late := d.Tick(1900 * time.Millisecond)
	c.Assert(late, qt.HasLen, 4)
	c.Assert(late[0].reply.Decision, qt.Equals, Overloaded)
}

// TestOrder holds that urgent requests go first, that less urgent ones are not passed over for ever, and that those whose
// objective is lost go after those that can still meet it.
func TestOrder(t *testing.T) {
	c := qt.New(t)
	d := newDesk(seats(1))
	d.took = 10 * time.Millisecond
	d.Submit(0, "h", ask(1))
	offer := func(now time.Duration, id uint64, priority int, objective time.Duration) {
		a := ask(id)
		a.Priority, a.Objective, a.Timeout = priority, objective, 10*time.Second
		c.Assert(verdictOf(d.Submit(now, "h", a), id).Decision, qt.Equals, Queued)
	}
	offer(0, 2, 2, 400*time.Millisecond)
	offer(100*time.Millisecond, 3, 0, 400*time.Millisecond)
	offer(400*time.Millisecond, 4, 0, 500*time.Millisecond)
	var order []uint64
	now := 410 * time.Millisecond
	for last := uint64(1); ; {
		replies := d.Finish(now, "h", Result{ID: last, Completion: Abandoned})
		if len(replies) == 0 {
			break
		}
		last = replies[0].reply.ID
		order = append(order, last)
	}
	c.Assert(order, qt.DeepEquals, []uint64{3, 4, 2})
}

func TestAvoidedAndLeavingUpstreamsGetNothing(t *testing.T) {
	c := qt.New(t)
	list := seats(1, 1, 1)
	list[2].Draining = true
	d := newDesk(list)
	a := ask(1)
	a.Exclude = []uint32{1}
	c.Assert(verdictOf(d.Submit(0, "h", a), 1).Upstream, qt.Equals, uint32(2))
	b := ask(2)
	b.Exclude = []uint32{1, 2}
	c.Assert(verdictOf(d.Submit(0, "h", b), 2).Decision, qt.Equals, NoUpstream)
	keyed := ask(3)
	keyed.Upstream = 3
	c.Assert(verdictOf(d.Submit(0, "h", keyed), 3).Upstream, qt.Equals, uint32(3))
}

// TestUnreachedByOneIsUsedByOthers holds that one host that cannot connect takes an upstream from nobody else, and two do.
func TestUnreachedByOneIsUsedByOthers(t *testing.T) {
	c := qt.New(t)
	d := newDesk(seats(1))
	fail := func(host string, id uint64) {
		c.Assert(verdictOf(d.Submit(0, host, ask(id)), id).Decision, qt.Equals, Assigned)
		d.Finish(0, host, Result{ID: id, Completion: ConnectFailed})
	}
	fail("h1", 1)
	fail("h2", 2)
	c.Assert(verdictOf(d.Submit(0, "h3", ask(3)), 3).Decision, qt.Equals, Queued)
	c.Assert(d.Tick(unreachedTime)[0].reply.Decision, qt.Equals, Assigned)
}

// TestBudgetHolds makes repeats as often as the dealer allows and counts them over every window.
func TestBudgetHolds(t *testing.T) {
	c := qt.New(t)
	b := retry.Limits{Share: 0.2, Base: 10, Window: 10 * time.Second}
	d := NewScheduler(b)
	d.SetUpstreams(0, seats(1000), 1)
	random := rand.New(rand.NewPCG(1, 2))
	var requests, repeats []time.Duration
	id := uint64(0)
	for now := time.Duration(0); now < 60*time.Second; now += 20 * time.Millisecond {
		for range random.IntN(4) {
			id++
			a := ask(id)
			a.Retry = random.IntN(2) == 0
			if verdictOf(d.Submit(now, "h", a), id).Decision == Assigned {
				if a.Retry {
					repeats = append(repeats, now)
				} else {
					requests = append(requests, now)
				}
			}
			d.Finish(now, "h", Result{ID: id, Completion: Answered, Took: time.Millisecond})
		}
	}
	within := func(list []time.Duration, from time.Duration) (n int) {
		for _, at := range list {
			if from <= at && at < from+b.Window {
				n++
			}
		}
		return n
	}
	c.Assert(len(repeats) > 100, qt.IsTrue)
	for from := time.Duration(0); from < 50*time.Second; from += 100 * time.Millisecond {
		most := max(within(requests, from), within(requests, from-b.Window), within(requests, from-b.Window/2))
		c.Check(float64(within(repeats, from)) <= b.Share*float64(most)+b.Base, qt.IsTrue, qt.Commentf("window from %v", from))
	}
}

// load is one pattern that replays run against the dealer and against hosts that choose blindly.
type load struct {
	name    string
	slots   []int
	paces   []float64
	perSec  float64
	took    time.Duration
	urgent  float64
	most    float64 // largest share of requests that may miss their objective
	ofBlind float64 // largest part of the misses of blind hosts
}

// loads are the patterns that matter most: near full with upstreams of unequal pace, beyond full, and a few very slow ones.
var loads = []load{
	{name: "seven tenths full, unequal paces", slots: []int{3, 3, 3, 3, 3, 3, 3, 3, 3, 3}, paces: []float64{0.7, 0.7, 1.6, 0.7, 0.7, 1.6, 0.7, 0.7, 1.6, 0.7}, perSec: 130, took: 160 * time.Millisecond, urgent: 0.3, most: 0.03, ofBlind: 0.3},
	{name: "two of ten five times slower", slots: []int{3, 3, 3, 3, 3, 3, 3, 3, 3, 3}, paces: []float64{1, 1, 5, 1, 1, 1, 5, 1, 1, 1}, perSec: 110, took: 160 * time.Millisecond, urgent: 0.3, most: 0.08, ofBlind: 0.5},
	{name: "a third beyond full", slots: []int{3, 3, 3, 3}, paces: []float64{1, 1, 1, 1}, perSec: 100, took: 160 * time.Millisecond, urgent: 0.3, most: 0.45, ofBlind: 0.75},
}

// TestReplay runs each load against the dealer and against hosts that draw upstreams at random, and holds the share of requests
// that miss their objective against a bound and against the blind ones. Urgent requests must not fare worse than the others.
func TestReplay(t *testing.T) {
	for _, l := range loads {
		t.Run(l.name, func(t *testing.T) {
			dealt, urgent := replayDealt(l)
			blind := replayBlind(l)
			t.Logf("misses: dealt %.3f (urgent %.3f), blind %.3f", dealt, urgent, blind)
			qt.Check(t, dealt <= l.most, qt.IsTrue)
			qt.Check(t, dealt <= l.ofBlind*blind, qt.IsTrue)
			qt.Check(t, urgent <= dealt+0.01, qt.IsTrue)
		})
	}
}

const (
	replayTime      = 40 * time.Second
	replayObjective = 500 * time.Millisecond
	replayLeft      = 1200 * time.Millisecond
)

// running is a request at an upstream of a replay.
type running struct {
	id   uint64
	ends time.Duration
	at   time.Duration
}

// arrivals returns the times of a load's requests.
func (l load) arrivals(random *rand.Rand) (list []time.Duration) {
	for now := time.Duration(0); now < replayTime; {
		now += time.Duration(random.ExpFloat64() / l.perSec * float64(time.Second))
		list = append(list, now)
	}
	return list
}

func (l load) work(random *rand.Rand, upstream uint32) time.Duration {
	return time.Duration((0.7 + 0.6*random.Float64()) * l.paces[upstream-1] * float64(l.took))
}

// play runs requests that arrive at given times against a dealer, in steps of a millisecond: offer asks for a slot, work is how long
// an upstream takes, finish gives the slot back and tick lets time pass. It returns the requests that met their objective.
type play struct {
	offer  func(now time.Duration, id uint64) []addressed
	work   func(upstream uint32) time.Duration
	finish func(now time.Duration, r running) []addressed
	tick   func(now time.Duration) []addressed
}

func (p play) run(arrivals []time.Duration, until time.Duration) (met []uint64) {
	began := map[uint64]time.Duration{}
	var at []running
	start := func(now time.Duration, replies []addressed) {
		for _, a := range replies {
			if a.reply.Decision == Assigned {
				at = append(at, running{id: a.reply.ID, ends: now + p.work(a.reply.Upstream), at: now})
			}
		}
	}
	for now, next := time.Duration(0), 0; now < until; now += time.Millisecond {
		for ; next < len(arrivals) && arrivals[next] <= now; next++ {
			id := uint64(next + 1)
			began[id] = now
			start(now, p.offer(now, id))
		}
		var ended []running
		at = slices.DeleteFunc(at, func(r running) bool {
			if r.ends <= now {
				ended = append(ended, r)
			}
			return r.ends <= now
		})
		for _, r := range ended {
			if now-began[r.id] <= replayObjective {
				met = append(met, r.id)
			}
			start(now, p.finish(now, r))
		}
		start(now, p.tick(now))
	}
	return met
}

func replayDealt(l load) (missed, urgentMissed float64) {
	random := rand.New(rand.NewPCG(3, 4))
	d := newDesk(seats(l.slots...))
	arrivals := l.arrivals(random)
	urgent := map[uint64]bool{}
	host := func(id uint64) string { return fmt.Sprint("h", id%11) }
	met := play{
		offer: func(now time.Duration, id uint64) []addressed {
			a := SlotRequest{ID: id, Priority: 2, Timeout: replayLeft, Objective: replayObjective, DataCentre: "d"}
			if random.Float64() < l.urgent {
				a.Priority, urgent[id] = 1, true
			}
			return d.Submit(now, host(id), a)
		},
		work: func(upstream uint32) time.Duration { return l.work(random, upstream) },
		finish: func(now time.Duration, r running) []addressed {
			return d.Finish(now, host(r.id), Result{ID: r.id, Completion: Answered, Took: now - r.at})
		},
		tick: d.Tick,
	}.run(arrivals, replayTime+2*time.Second)
	urgentMet := 0
	for _, id := range met {
		if urgent[id] {
			urgentMet++
		}
	}
	return 1 - float64(len(met))/float64(len(arrivals)), 1 - float64(urgentMet)/float64(len(urgent))
}

// replayBlind draws an upstream for each request; each has a queue of its own.
func replayBlind(l load) (missed float64) {
	random := rand.New(rand.NewPCG(3, 4))
	free := make([][]time.Duration, len(l.slots))
	for i, n := range l.slots {
		free[i] = make([]time.Duration, n)
	}
	arrivals := l.arrivals(random)
	met := 0
	for _, now := range arrivals {
		u := random.IntN(len(l.slots))
		slot := 0
		for i, t := range free[u] {
			if t < free[u][slot] {
				slot = i
			}
		}
		begin := max(now, free[u][slot])
		if begin-now > replayLeft {
			continue
		}
		end := begin + l.work(random, uint32(u+1))
		free[u][slot] = end
		if end-now <= replayObjective {
			met++
		}
	}
	return 1 - float64(met)/float64(len(arrivals))
}
