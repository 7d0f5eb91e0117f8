package sched

import (
	"math"
	"time"
)

// fullDecrease is the factor on the number of requests that an upstream gets at a time after it was full. With 3 or 4 slots it withholds
// two, which leaves room for the requests from elsewhere that filled the upstream, and two answers give one back.
const fullDecrease = 0.7

// restraint is how many of its slots an upstream that was full does not get. It decreases the number of requests by a factor and
// increases it by one slot for as many answers as there are slots.
type restraint struct {
	slots float64
	since time.Duration
}

// withheld returns the number of slots that are not assigned.
func (r *restraint) withheld() int { return int(math.Ceil(r.slots)) }

// full records that an upstream with a number of slots was full for a request that was sent at the given time. Requests that were sent
// before the last decrease do not count, as they tell of the same load.
func (r *restraint) full(now, sentAt time.Duration, slots int) {
	if r.slots > 0 && sentAt <= r.since {
		return
	}
	allowed := max(fullDecrease*(float64(slots)-r.slots), 1)
	r.slots, r.since = float64(slots)-allowed, now
}

// answered records that an upstream with the limit answered a request.
func (r *restraint) answered(limit int) { r.slots = max(r.slots-1/float64(limit), 0) }
