package admit

import (
	"time"

	"ebonyrill.dev/ebonyrill/internal/shared/conf"
)

// Parameters of the wait estimate. Weights are those of the newest value in an exponential moving average.
const (
	averageWeight    = 0.1
	initialAverage   = 5 * time.Millisecond
	waitFactorWeight = 0.05
	maxWaitFactor    = 20.0
)

// Request is a request for a slot. Its average field is the service time on which the expected wait was based.
type Request struct {
	class    conf.Class
	caller   string
	deadline time.Duration
	payload  any
	queuedAt time.Duration
	expected time.Duration
	average  time.Duration
}

// NewRequest returns a request of a caller with a class, a deadline and a payload that the queue does not use.
func NewRequest(class conf.Class, caller string, deadline time.Duration, payload any) *Request {
	return &Request{class: class, caller: caller, deadline: deadline, payload: payload}
}

// Payload returns the payload given to NewRequest.
func (r *Request) Payload() any { return r.payload }

// Decision is the queue's decision on a request.
type Decision uint8

// Decisions.
const (
	// Admitted means that the request has a slot.
	Admitted Decision = iota
	// Queued means that the request is queued.
	Queued
	// Shed means that the request is rejected.
	Shed
)

// callerQueue is the queue of one caller within a class.
type callerQueue struct {
	caller   string
	requests []*Request
}

// classQueue is the queue of one class. Its callers are served round-robin. waitFactor is the ratio of actual to expected waits;
// it is above one if more urgent requests arrive later and overtake those of this class.
type classQueue struct {
	callers    []*callerQueue
	count      int
	waitFactor float64
}

// Queue assigns an upstream's slots to requests. It reads no clock and takes no lock.
type Queue struct {
	slots   int
	limit   int
	busy    int
	waiting int
	classes [conf.ClassCount]classQueue
	average time.Duration
}

// NewQueue returns a queue for a number of slots that holds at most limit waiting requests.
func NewQueue(slots, limit int) *Queue {
	q := &Queue{slots: slots, limit: limit, average: initialAverage}
	for class := range q.classes {
		q.classes[class].waitFactor = 1
	}
	return q
}

// Resize changes the number of slots and the limit of waiting requests.
func (q *Queue) Resize(slots, limit int) { q.slots, q.limit = slots, limit }

// Busy returns the number of slots in use.
func (q *Queue) Busy() int { return q.busy }

// Waiting returns the number of queued requests.
func (q *Queue) Waiting() int { return q.waiting }

// Average returns the smoothed service time.
func (q *Queue) Average() time.Duration { return q.average }

// Submit gives a request a slot, queues it or sheds it. If the queue is full, it displaces a queued request of a lower class or,
// within the same class, of the caller with the most requests. The displaced request is returned and must be told that it was
// shed.
func (q *Queue) Submit(now time.Duration, r *Request) (decision Decision, displaced *Request) {
	if q.busy < q.slots && q.waiting == 0 {
		q.busy++
		return Admitted, nil
	}
	r.queuedAt, r.expected, r.average = now, q.expectedWait(r), q.average
	if now+time.Duration(float64(r.expected)*q.classes[r.class].waitFactor)+q.average > r.deadline {
		return Shed, nil
	}
	if q.waiting >= q.limit {
		if displaced = q.displace(r); displaced == nil {
			return Shed, nil
		}
	}
	q.enqueue(r)
	return Queued, displaced
}

// expectedWait estimates the time until a slot is free, from the number of requests ahead and the smoothed service time.
func (q *Queue) expectedWait(r *Request) time.Duration {
	ahead := 0
	for class := conf.Class(0); class < r.class; class++ {
		ahead += q.classes[class].count
	}
	ahead += q.classes[r.class].requestsAhead(r.caller)
	return q.average * time.Duration(ahead+1) / time.Duration(max(q.slots, 1))
}

// requestsAhead counts the requests that are served before a new one of the caller when callers are served round-robin.
func (cq *classQueue) requestsAhead(caller string) (n int) {
	own := 0
	for _, queue := range cq.callers {
		if queue.caller == caller {
			own = len(queue.requests)
		}
	}
	for _, queue := range cq.callers {
		n += min(len(queue.requests), own+1)
	}
	return n
}

// displace removes and returns the newest request of the longest caller queue in the lowest class below the given request's. If
// there is none, it looks in the request's own class, where it displaces only if that caller's queue is longer than the request's
// own would be.
func (q *Queue) displace(r *Request) *Request {
	for class := conf.ClassCount - 1; class > r.class; class-- {
		if cq := q.classes[class].longest(); cq != nil {
			return q.removeNewest(class, cq)
		}
	}
	longest := q.classes[r.class].longest()
	if longest == nil || longest.caller == r.caller {
		return nil
	}
	if len(longest.requests) <= q.classes[r.class].lengthOf(r.caller)+1 {
		return nil
	}
	return q.removeNewest(r.class, longest)
}

func (cq *classQueue) longest() (found *callerQueue) {
	for _, queue := range cq.callers {
		if found == nil || len(queue.requests) > len(found.requests) {
			found = queue
		}
	}
	return found
}

func (cq *classQueue) lengthOf(caller string) int {
	for _, queue := range cq.callers {
		if queue.caller == caller {
			return len(queue.requests)
		}
	}
	return 0
}

func (q *Queue) removeNewest(class conf.Class, queue *callerQueue) *Request {
	r := queue.requests[len(queue.requests)-1]
	q.Cancel(r)
	return r
}

func (q *Queue) enqueue(r *Request) {
	cq := &q.classes[r.class]
	cq.count++
	q.waiting++
	for _, queue := range cq.callers {
		if queue.caller == r.caller {
			queue.requests = append(queue.requests, r)
			return
		}
	}
	cq.callers = append(cq.callers, &callerQueue{caller: r.caller, requests: []*Request{r}})
}

// Cancel removes a request and reports whether it was still queued.
func (q *Queue) Cancel(r *Request) bool {
	cq := &q.classes[r.class]
	for i, queue := range cq.callers {
		if queue.caller != r.caller {
			continue
		}
		for k, queued := range queue.requests {
			if queued != r {
				continue
			}
			queue.requests = append(queue.requests[:k:k], queue.requests[k+1:]...)
			if len(queue.requests) == 0 {
				cq.callers = append(cq.callers[:i:i], cq.callers[i+1:]...)
			}
			cq.count--
			q.waiting--
			return true
		}
	}
	return false
}

// Release frees a slot and adds the service time to the average, unless it is zero. It returns the same as Dispatch.
func (q *Queue) Release(now, served time.Duration) (next *Request, late []*Request) {
	q.busy--
	if served > 0 {
		q.average += time.Duration(averageWeight * float64(served-q.average))
	}
	return q.Dispatch(now)
}

// Dispatch gives a free slot, if there is one, to the next request. It returns that request, or nil if there is none, and the
// requests removed from the queue because they can no longer meet their deadline.
func (q *Queue) Dispatch(now time.Duration) (next *Request, late []*Request) {
	if q.busy >= q.slots {
		return nil, nil
	}
	for class := range q.classes {
		cq := &q.classes[class]
		next, late = q.dequeue(cq, now, late)
		if next != nil {
			q.busy++
			return next, late
		}
	}
	return nil, late
}

// dequeue removes the next request of a class that can meet its deadline. Requests that are too late are appended to late and do
// not use up their caller's turn.
func (q *Queue) dequeue(cq *classQueue, now time.Duration, late []*Request) (*Request, []*Request) {
	for len(cq.callers) > 0 {
		queue := cq.callers[0]
		cq.callers = cq.callers[1:]
		for len(queue.requests) > 0 {
			r := queue.requests[0]
			queue.requests = queue.requests[1:]
			cq.count--
			q.waiting--
			cq.updateWaitFactor(now, r, q.average)
			if now+q.average/2 > r.deadline {
				late = append(late, r)
				continue
			}
			if len(queue.requests) > 0 {
				cq.callers = append(cq.callers, queue)
			}
			return r, late
		}
	}
	return nil, late
}

// updateWaitFactor compares the wait of a request with the expected wait. The expectation is scaled by the growth of the average
// service time since, because a wait that is long only because requests take longer than estimated is no sign of overtaking.
func (cq *classQueue) updateWaitFactor(now time.Duration, r *Request, average time.Duration) {
	expected := float64(r.expected) * max(float64(average)/float64(max(r.average, time.Microsecond)), 1)
	ratio := float64(now-r.queuedAt) / max(expected, float64(time.Microsecond))
	cq.waitFactor += waitFactorWeight * (min(max(ratio, 1), maxWaitFactor) - cq.waitFactor)
}
