package order

import (
	"maps"
	"math"
	"time"
)

// Parameters of what is learnt about routes.
const (
	memory        = 5 * time.Second // time constant of the counts; longer than requests wait
	workWeight    = 0.05            // weight of the newest sample of a route's work
	minSamples    = 8               // samples before a route's own work is used
	maxWorkFactor = 8.0             // limit on a route's work relative to the service's average, up and down
	minArrivals   = 4               // recent requests before a route can count as short of its share
	maxRoutes     = 64              // routes that are told apart, as identifiers come from the network
	idleCount     = 0.001           // a route without a request for seven time constants is below this count
)

// counts are the recent requests that arrived or got a slot, and their slot time in seconds. They decay over time.
type counts struct {
	arrived float64
	served  float64
	used    float64
	at      time.Duration
}

// Route is what is known about the requests of one route.
type Route struct {
	counts
	book     *Book
	mixed    bool
	priority int
	work     time.Duration
	samples  int
}

// Book holds what is known about the routes of one scheduler. total is the sum of their counts, so that a score doesn't visit all routes.
type Book struct {
	routes map[uint32]*Route
	total  counts
	usual  *time.Duration
	rules  Rules
}

// NewBook returns a book without routes that orders them by the rules. The caller updates usual, the average work of all routes.
func NewBook(usual *time.Duration, rules Rules) *Book {
	return &Book{routes: map[uint32]*Route{}, usual: usual, rules: rules}
}

// Route returns the route with an identifier. Requests without one, and those of too many routes, share the route zero, which is
// ordered by due time alone.
func (b *Book) Route(id uint32, priority int) *Route {
	if b.routes[id] == nil && len(b.routes) >= maxRoutes {
		b.forgetIdle()
	}
	if b.routes[id] == nil && len(b.routes) >= maxRoutes {
		id = 0
	}
	r := b.routes[id]
	if r == nil {
		r = &Route{book: b, mixed: id == 0}
		b.routes[id] = r
	}
	r.priority = priority
	return r
}

// forgetIdle removes the routes without recent requests, as those that a newer configuration does not have. They would otherwise take the
// places of its routes for as long as the scheduler runs.
func (b *Book) forgetIdle() {
	maps.DeleteFunc(b.routes, func(_ uint32, r *Route) bool {
		r.decay(b.total.at)
		idle := r.arrived < idleCount && r.served < idleCount
		if idle {
			b.total.add(b.total.at, counts{arrived: -r.arrived, served: -r.served, used: -r.used})
		}
		return idle
	})
}

// Ordered reports whether the requests of the route are ordered by value.
func (r *Route) Ordered() bool { return !r.mixed }

// Work returns the expected work of a request: the average of all routes until enough samples are known.
func (r *Route) Work() time.Duration {
	if r.mixed || r.samples < minSamples {
		return *r.book.usual
	}
	return r.work
}

// Learn takes in the work of a request that was answered.
func (r *Route) Learn(work time.Duration) {
	usual := float64(*r.book.usual)
	sample := min(max(float64(work), usual/maxWorkFactor), usual*maxWorkFactor)
	r.samples++
	r.work += time.Duration(max(workWeight, 1/float64(r.samples)) * (sample - float64(r.work)))
}

// Arrive counts a request of the route.
func (r *Route) Arrive(now time.Duration) { r.count(now, counts{arrived: 1}) }

// Serve counts a request of the route that got a slot for the given time.
func (r *Route) Serve(now, slotTime time.Duration) {
	r.count(now, counts{served: 1, used: slotTime.Seconds()})
}

func (r *Route) count(now time.Duration, more counts) {
	r.add(now, more)
	r.book.total.add(now, more)
}

func (c *counts) add(now time.Duration, more counts) {
	c.decay(now)
	c.arrived, c.served, c.used = c.arrived+more.arrived, c.served+more.served, c.used+more.used
}

// decay lets the counts decay to the given time. Most calls repeat the time of the last one.
func (c *counts) decay(now time.Duration) {
	if now == c.at {
		return
	}
	f := math.Exp(-float64(now-c.at) / float64(memory))
	c.arrived, c.served, c.used, c.at = c.arrived*f, c.served*f, c.used*f, now
}

// score returns the route's score, and whether the route is short of its share.
func (r *Route) score(now time.Duration) (score float64, short bool) {
	all := &r.book.total
	r.decay(now)
	all.decay(now)
	short = !r.mixed && r.arrived >= minArrivals && r.served*all.arrived < r.book.rules.Floor*all.served*r.arrived
	return r.book.rules.Score(Class{Priority: r.priority, Work: r.Work(), Usual: *r.book.usual, Used: r.used}), short
}

// Score returns the score by which the route's requests are ordered.
func (r *Route) Score(now time.Duration) float64 {
	score, _ := r.score(now)
	return score
}

// Share estimates the part of the slots that routes of higher score leave to this one.
func (r *Route) Share(now time.Duration, slots int) float64 {
	if r.mixed {
		return 1
	}
	own, _ := r.score(now)
	higher, demand, total := 0.0, 0.0, 0.0
	for _, o := range r.book.routes {
		o.decay(now)
		work := o.arrived * o.Work().Seconds()
		total += work
		if o == r {
			demand = work
		} else if score, _ := o.score(now); score > own {
			higher += o.used
		}
	}
	left := 1 - higher/(memory.Seconds()*float64(max(slots, 1)))
	return max(left, r.book.rules.Floor*demand/max(total, 1e-9), minShare)
}
