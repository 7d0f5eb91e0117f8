package admit

import (
	"time"

	"ebonyrill.dev/ebonyrill/internal/shared/conf"
)

// Tuning of the estimate of service time.
const (
	averageWeight  = 0.1
	initialAverage = 5 * time.Millisecond
	slownessWeight = 0.05
	mostSlowness   = 20.0
)

// Request is one request that wants a slot.
type Request struct {
	class    conf.Class
	caller   string
	deadline time.Duration
	payload  any
	queuedAt time.Duration
	expected time.Duration
	average  time.Duration
}

// NewRequest returns a request's ticket; the payload is handed back with it.
func NewRequest(class conf.Class, caller string, deadline time.Duration, payload any) *Request {
	return &Request{class: class, caller: caller, deadline: deadline, payload: payload}
}

// Payload returns what the ticket was made with.
func (t *Request) Payload() any { return t.payload }

// Decision tells what becomes of an offered ticket.
type Decision uint8

// Verdicts.
const (
	// Admitted means that the request has a slot.
	Admitted Decision = iota
	// Queued means that the request is queued.
	Queued
	// Shed means that the request is turned away.
	Shed
)

// lane is the queue of one caller within a class.
type lane struct {
	caller  string
	tickets []*Request
}

// line is the queue of one class; callers take turns. Slowness is how many times longer its requests waited than those
// ahead of them accounted for, as more urgent ones came after them.
type line struct {
	lanes    []*lane
	count    int
	slowness float64
}

// Queue decides who may use an upstream's slots; it has no clock and no lock of its own.
type Queue struct {
	slots   int
	limit   int
	busy    int
	waiting int
	lines   [conf.ClassCount]line
	average time.Duration
}

// NewQueue returns a queue for a number of slots that lets at most limit requests wait.
func NewQueue(slots, limit int) *Queue {
	q := &Queue{slots: slots, limit: limit, average: initialAverage}
	for class := range q.lines {
		q.lines[class].slowness = 1
	}
	return q
}

// Resize changes the slots and the bound of the queue.
func (q *Queue) Resize(slots, limit int) { q.slots, q.limit = slots, limit }

// Busy returns the slots in use.
func (q *Queue) Busy() int { return q.busy }

// Waiting returns the number of queued requests.
func (q *Queue) Waiting() int { return q.waiting }

// Average returns the smoothed service time.
func (q *Queue) Average() time.Duration { return q.average }

// Submit takes in a request. When the queue is full a request of a lower class makes room, or one of the caller that
// waits with the most; it is returned as displaced.
func (q *Queue) Submit(now time.Duration, t *Request) (v Decision, displaced *Request) {
	if q.busy < q.slots && q.waiting == 0 {
		q.busy++
		return Admitted, nil
	}
	t.queuedAt, t.expected, t.average = now, q.expectedWait(t), q.average
	if now+time.Duration(float64(t.expected)*q.lines[t.class].slowness)+q.average > t.deadline {
		return Shed, nil
	}
	if q.waiting >= q.limit {
		if displaced = q.displace(t); displaced == nil {
			return Shed, nil
		}
	}
	q.push(t)
	return Queued, displaced
}

// expectedWait estimates the time until a slot is free from those who go first and the smoothed service time.
func (q *Queue) expectedWait(t *Request) time.Duration {
	ahead := 0
	for class := conf.Class(0); class < t.class; class++ {
		ahead += q.lines[class].count
	}
	ahead += q.lines[t.class].turnsBefore(t.caller)
	return q.average * time.Duration(ahead+1) / time.Duration(max(q.slots, 1))
}

// turnsBefore counts the requests that are served before a new one of the caller when callers take turns.
func (l *line) turnsBefore(caller string) (n int) {
	own := 0
	for _, a := range l.lanes {
		if a.caller == caller {
			own = len(a.tickets)
		}
	}
	for _, a := range l.lanes {
		n += min(len(a.tickets), own+1)
	}
	return n
}

// displace removes the newest request of the lowest class below the ticket's, or of the longest lane of its own class
// where that lane is longer than the ticket's own would be.
func (q *Queue) displace(t *Request) *Request {
	for class := conf.ClassCount - 1; class > t.class; class-- {
		if l := q.lines[class].longest(); l != nil {
			return q.removeNewest(class, l)
		}
	}
	longest := q.lines[t.class].longest()
	if longest == nil || longest.caller == t.caller {
		return nil
	}
	if len(longest.tickets) <= q.lines[t.class].lengthOf(t.caller)+1 {
		return nil
	}
	return q.removeNewest(t.class, longest)
}

func (l *line) longest() (found *lane) {
	for _, a := range l.lanes {
		if found == nil || len(a.tickets) > len(found.tickets) {
			found = a
		}
	}
	return found
}

func (l *line) lengthOf(caller string) int {
	for _, a := range l.lanes {
		if a.caller == caller {
			return len(a.tickets)
		}
	}
	return 0
}

func (q *Queue) removeNewest(class conf.Class, a *lane) *Request {
	t := a.tickets[len(a.tickets)-1]
	q.Cancel(t)
	return t
}

func (q *Queue) push(t *Request) {
	l := &q.lines[t.class]
	l.count++
	q.waiting++
	for _, a := range l.lanes {
		if a.caller == t.caller {
			a.tickets = append(a.tickets, t)
			return
		}
	}
	l.lanes = append(l.lanes, &lane{caller: t.caller, tickets: []*Request{t}})
}

// Cancel takes a queued request out and reports whether it was still queued.
func (q *Queue) Cancel(t *Request) bool {
	l := &q.lines[t.class]
	for i, a := range l.lanes {
		if a.caller != t.caller {
			continue
		}
		for k, queued := range a.tickets {
			if queued != t {
				continue
			}
			a.tickets = append(a.tickets[:k:k], a.tickets[k+1:]...)
			if len(a.tickets) == 0 {
				l.lanes = append(l.lanes[:i:i], l.lanes[i+1:]...)
			}
			l.count--
			q.waiting--
			return true
		}
	}
	return false
}

// Release frees a slot after a service time and returns the request that gets it, if any, and those that are too late.
func (q *Queue) Release(now, served time.Duration) (next *Request, late []*Request) {
	q.busy--
	if served > 0 {
		q.average += time.Duration(averageWeight * float64(served-q.average))
	}
	return q.Dispatch(now)
}

// Dispatch gives a free slot to the request whose turn it is and returns those that are too late.
func (q *Queue) Dispatch(now time.Duration) (next *Request, late []*Request) {
	if q.busy >= q.slots {
		return nil, nil
	}
	for class := range q.lines {
		l := &q.lines[class]
		next, late = q.popFrom(l, now, late)
		if next != nil {
			q.busy++
			return next, late
		}
	}
	return nil, late
}

// popFrom takes the first request in time of the caller whose turn it is; requests that are too late do not use up a
// turn.
func (q *Queue) popFrom(l *line, now time.Duration, late []*Request) (*Request, []*Request) {
	for len(l.lanes) > 0 {
		a := l.lanes[0]
		l.lanes = l.lanes[1:]
		for len(a.tickets) > 0 {
			t := a.tickets[0]
			a.tickets = a.tickets[1:]
			l.count--
			q.waiting--
			l.learn(now, t, q.average)
			if now+q.average/2 > t.deadline {
				late = append(late, t)
				continue
			}
			if len(a.tickets) > 0 {
				l.lanes = append(l.lanes, a)
			}
			return t, late
		}
	}
	return nil, late
}

// learn compares a wait that has ended with what was expected of it. What was expected is corrected by what the service time has
// turned out to be meanwhile: a wait that was long because requests take longer than thought is no sign of overtaking.
func (l *line) learn(now time.Duration, t *Request, average time.Duration) {
	expected := float64(t.expected) * max(float64(average)/float64(max(t.average, time.Microsecond)), 1)
	ratio := float64(now-t.queuedAt) / max(expected, float64(time.Microsecond))
	l.slowness += slownessWeight * (min(max(ratio, 1), mostSlowness) - l.slowness)
}
