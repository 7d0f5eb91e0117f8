package order

import (
	"math"
	"time"
)

// Parameters of the order. The replays in internal/entry/sched/value_test.go compare them with the alternatives.
const (
	levelFactor   = 2.0  // weight of one level of priority
	maxLevel      = 8    // lower priorities weigh no less than this level
	minShare      = 0.1  // least share of the slots assumed for a route in estimates, so that waits stay finite
	planMargin    = 1.3  // factor on the work when planning a request, as requests and upstreams differ
	aboveHonoured = 1.05 // a Retry-After beyond what callers honour exceeds that by this factor at least
	spread        = 0.5  // callers that are rejected together return over this part of their Retry-After
)

// workLimit bounds the effect of the work on the score. Two requests differ by workLimit squared at most, which is below
// levelFactor: short work alone never puts a less urgent route before a more urgent one.
const workLimit = 1.4

// honoured is the part of the time left up to which callers honour a Retry-After.
const honoured = 1.0 / 3

// Class describes the waiting requests of one route to a Scorer. Usual is the average work of all routes, Used the recent slot time
// of the route.
type Class struct {
	Priority int
	Work     time.Duration
	Usual    time.Duration
	Used     float64
}

// Scorer ranks routes: requests of the route with the higher score get slots first.
type Scorer func(Class) float64

// Rules decide the order. Floor is the least served share of a route as a part of that of all routes: a route below it goes first.
type Rules struct {
	Score Scorer
	Floor float64
}

// Default returns the rules in use. A quarter is the least share that callers accept. The rest of the floor covers lags and requests that
// get a slot but no response in time: with 0.27, downloads of records were served 0.22 times as often as all at three times its capacity.
func Default() Rules { return Rules{Score: ValuePerWork, Floor: 0.3} }

// Weight returns the value of a request that is answered within its objective.
func Weight(priority int) float64 {
	return math.Pow(levelFactor, -float64(min(max(priority, 0), maxLevel)))
}

// ValuePerWork scores a route by the value of a request per unit of its work, within workLimit.
func ValuePerWork(c Class) float64 {
	return Weight(c.Priority) * min(max(float64(c.Usual)/float64(max(c.Work, 1)), 1/workLimit), workLimit)
}

// RetryAfter returns when a rejected caller should return. The wait is the time until there is room, left the time that the caller
// has, and at, from 0 to 1, the caller's place among those that return. If the request can't be served in its time, the result is
// longer than what callers honour: waiting shortens the queue no faster than the time that is left.
func RetryAfter(wait, service, left time.Duration, at float64) time.Duration {
	if wait+service > left {
		wait = max(wait, time.Duration(aboveHonoured*honoured*float64(left)))
	}
	return time.Duration(float64(wait) * (1 + spread*at))
}
