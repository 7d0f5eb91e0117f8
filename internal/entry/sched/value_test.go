package sched

import (
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"ebonyrill.dev/ebonyrill/internal/entry/order"
)

// routeLoad is one route of a deployment. Times are in milliseconds, limit is the smaller of the route's and the caller's timeout.
type routeLoad struct {
	name                           string
	perSec, work, objective, limit float64
	priority                       int
	arrived, answered, onTime      int
}

// serviceLoad is the load of one service of a deployment, with the slots of one subset of its upstreams. hot is the part of the requests
// that name one upstream; zero means that none names an upstream.
type serviceLoad struct {
	name   string
	slots  int
	speeds []float64
	hot    float64
	routes []routeLoad
}

// serviceLoads are the tables of docs/design/hard-load.md. Routes that come "at times" have a third of their rate.
var serviceLoads = []serviceLoad{
	{name: "A records", slots: 3, speeds: []float64{0.5, 1, 1.5}, routes: []routeLoad{{name: "download", perSec: 189, work: 160, objective: 2000, limit: 4000, priority: 2},
		{name: "search", perSec: 384, work: 80, objective: 500, limit: 1000, priority: 0}}},
	{name: "A booking", slots: 3, speeds: []float64{0.5, 1, 1.5}, routes: []routeLoad{{name: "confirmation", perSec: 521, work: 260, objective: 1000, limit: 2000, priority: 1},
		{name: "download", perSec: 63, work: 160, objective: 2000, limit: 4000, priority: 2}, {name: "search", perSec: 128, work: 80, objective: 500, limit: 1000, priority: 0}}},
	{name: "B frames", slots: 4, speeds: []float64{0.7, 0.7, 1.7}, hot: 0.15, routes: []routeLoad{{name: "read", perSec: 1210, work: 220, objective: 800, limit: 1200, priority: 2},
		{name: "sheet", perSec: 337, work: 290, objective: 1200, limit: 2000, priority: 1}}},
	{name: "B covers", slots: 4, speeds: []float64{0.6, 1, 1.4}, routes: []routeLoad{{name: "cover", perSec: 258, work: 150, objective: 600, limit: 1500, priority: 0},
		{name: "look-up", perSec: 218, work: 850, objective: 3000, limit: 5000, priority: 2}}},
}

// policies are the orders that the replays compare. Due time is the order without route identifiers.
var policies = []struct {
	name  string
	rules order.Rules
}{
	{"value per work", order.Default()},
	{"due time", order.Rules{}},
	{"strict priority", order.Rules{Score: func(c order.Class) float64 { return -float64(c.Priority) }}},
	{"weighted fair shares", order.Rules{Score: func(c order.Class) float64 { return -c.Used / order.Weight(c.Priority) }}},
	{"unlimited value per work", order.Rules{Score: func(c order.Class) float64 { return order.Weight(c.Priority) / c.Work.Seconds() }}},
}

// call is one caller's request in a replay; it may be sent again under another number.
type call struct {
	route   *routeLoad
	began   time.Duration
	target  uint32
	returns int
}

const (
	overloadUpstreams = 12
	overloadTime      = 30 * time.Second
	maxReturns        = 2 // how often a rejected caller of a replay comes back
)

func millis(ms float64) time.Duration { return time.Duration(ms * float64(time.Millisecond)) }

// overloadReplay replays a service's load at a multiple of what its upstreams can run, with callers that come back.
type overloadReplay struct {
	scheduler *Scheduler
	load      serviceLoad
	routed    bool
	random    *rand.Rand
	calls     map[uint64]call
	next      uint64
	returning map[time.Duration][]call
	started   []runningRequest
	longest   int
}

func newOverloadReplay(l serviceLoad, rules order.Rules) *overloadReplay {
	o := &overloadReplay{load: l, routed: rules.Score != nil, random: rand.New(rand.NewPCG(7, 8)), calls: map[uint64]call{}, returning: map[time.Duration][]call{}}
	o.load.routes = slices.Clone(l.routes)
	o.scheduler = newScheduler(upstreamsOf(slices.Repeat([]int{l.slots}, overloadUpstreams)...))
	if o.routed {
		o.scheduler.book = order.NewBook(&o.scheduler.avgTime, rules)
	}
	return o
}

func (o *overloadReplay) submit(now time.Duration, c call) {
	o.next++
	o.calls[o.next] = c
	used := now - c.began
	r := SlotRequest{ID: o.next, Upstream: c.target, Priority: c.route.priority, Timeout: millis(c.route.limit) - used, Objective: max(millis(c.route.objective)-used, 0), DataCentre: "d"}
	if o.routed {
		r.Route = RouteID(c.route.name)
	}
	o.handle(now, o.scheduler.Submit(now, "h", r))
	_, waiting := o.scheduler.Load()
	o.longest = max(o.longest, waiting)
}

// handle starts the requests that got a slot and lets rejected callers come back after their Retry-After, up to a third of their time.
func (o *overloadReplay) handle(now time.Duration, replies []addressedReply) {
	for _, a := range replies {
		c := o.calls[a.reply.ID]
		switch a.reply.Decision {
		case Assigned:
			speed := o.load.speeds[int(a.reply.Upstream)%len(o.load.speeds)]
			took := millis(c.route.work * speed * (0.7 + 0.6*o.random.Float64()))
			o.started = append(o.started, runningRequest{id: a.reply.ID, endsAt: now + took, started: now})
		case Overloaded:
			left := c.began + millis(c.route.limit) - now
			if c.returns++; c.returns <= maxReturns && left > 0 {
				at := (now + max(min(a.reply.After, left/3), time.Millisecond)).Truncate(time.Millisecond)
				o.returning[at] = append(o.returning[at], c)
			}
		}
	}
}

// step ends the requests whose time has come and runs the scheduler's periodic work.
func (o *overloadReplay) step(now time.Duration) {
	var ended []runningRequest
	o.started = slices.DeleteFunc(o.started, func(r runningRequest) bool {
		if r.endsAt <= now {
			ended = append(ended, r)
		}
		return r.endsAt <= now
	})
	for _, r := range ended {
		c := o.calls[r.id]
		if took := now - c.began; took <= millis(c.route.limit) {
			c.route.answered++
			if took <= millis(c.route.objective) {
				c.route.onTime++
			}
		}
		o.handle(now, o.scheduler.Finish(now, "h", Result{ID: r.id, Completion: Answered, Took: now - r.started}))
	}
	if now%tickPeriod == 0 {
		o.handle(now, o.scheduler.Tick(now))
	}
}

// outcome is the part of the possible value that a replay earned, the served share of each route by name, and of all.
type outcome struct {
	value  float64
	served map[string]float64
	all    float64
}

func (o *overloadReplay) run(factor float64) (out outcome) {
	demand, speed := 0.0, 0.0
	for _, r := range o.load.routes {
		demand += r.perSec * r.work / 1000
	}
	for _, s := range o.load.speeds {
		speed += 1 / s / float64(len(o.load.speeds))
	}
	scale := factor * float64(o.load.slots*overloadUpstreams) * speed / demand
	for now := time.Duration(0); now < overloadTime; now += time.Millisecond {
		for i := range o.load.routes {
			r := &o.load.routes[i]
			for at := o.random.ExpFloat64(); at < r.perSec*scale/1000; at += o.random.ExpFloat64() {
				c := call{route: r, began: now}
				if o.load.hot > 0 {
					c.target = uint32(1 + o.random.IntN(overloadUpstreams))
					if o.random.Float64() < o.load.hot {
						c.target = 1
					}
				}
				r.arrived++
				o.submit(now, c)
			}
		}
		for _, c := range o.returning[now] {
			o.submit(now, c)
		}
		delete(o.returning, now)
		o.step(now)
	}
	return o.outcome()
}

func (o *overloadReplay) outcome() (out outcome) {
	out.served = map[string]float64{}
	earned, possible, arrived, answered := 0.0, 0.0, 0, 0
	for _, r := range o.load.routes {
		value := []float64{4, 2, 1}[r.priority]
		earned += value * (float64(r.onTime) + 0.35*float64(r.answered-r.onTime))
		possible += value * float64(r.arrived)
		arrived, answered = arrived+r.arrived, answered+r.answered
		out.served[r.name] = float64(r.answered) / float64(r.arrived)
	}
	out.value, out.all = earned/possible, float64(answered)/float64(arrived)
	return out
}

func (out outcome) shares() (text string) {
	for _, name := range slices.Sorted(maps.Keys(out.served)) {
		text += fmt.Sprintf("%s %.2f ", name, out.served[name])
	}
	return text
}

// TestReplayOfOverload replays the load of both deployments beyond capacity. It guards against an order that starves a route (served
// less than a quarter as often as all), that serves a more urgent route less often than a less urgent one, or that earns less than the
// order by due time.
func TestReplayOfOverload(t *testing.T) {
	for _, l := range serviceLoads {
		for _, factor := range []float64{0.8, 1.3, 2, 3} {
			t.Run(fmt.Sprint(l.name, " ", factor), func(t *testing.T) {
				values := map[string]float64{}
				for _, p := range policies {
					o := newOverloadReplay(l, p.rules)
					out := o.run(factor)
					values[p.name] = out.value
					t.Logf("%-24s value %.3f, served %.2f of all, by route %s, longest queue %d", p.name, out.value, out.all, out.shares(), o.longest)
					if p.name == policies[0].name {
						checkShares(t, o.load.routes, out)
					}
				}
				qt.Check(t, values[policies[0].name] >= values["due time"], qt.IsTrue)
			})
		}
	}
}

// checkShares checks that no route starves and that no route is served over 5% less often than a less urgent one.
func checkShares(t *testing.T, routes []routeLoad, out outcome) {
	for _, r := range routes {
		qt.Check(t, out.served[r.name] >= out.all/4, qt.IsTrue, qt.Commentf("%s starves", r.name))
		for _, less := range routes {
			qt.Check(t, less.priority <= r.priority || out.served[r.name] >= 0.95*out.served[less.name], qt.IsTrue, qt.Commentf("%s behind %s", r.name, less.name))
		}
	}
}
