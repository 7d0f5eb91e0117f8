package memory

import (
	"sync"
	"sync/atomic"
	"time"
)

// Reason says why a request was refused or a connection was closed.
type Reason string

// Reasons. ReasonWaited: the request waited for too long for memory. ReasonStalled: it made too little progress while others waited.
// ReasonConnections: the connection had no request in progress and others waited to be accepted. ReasonTurn: all connections were in use by
// requests, and this one was among those open for longest; it ends after its responses. ReasonTooLarge: the body is over
// the limit of the listener. ReasonAnswer: there was no memory for an answer to the request. ReasonClosed: the connection was closed
// while the request waited; that is neither counted nor reported.
const (
	ReasonWaited      Reason = "waited"
	ReasonStalled     Reason = "stalled"
	ReasonConnections Reason = "connections"
	ReasonTurn        Reason = "turn"
	ReasonTooLarge    Reason = "tooLarge"
	ReasonAnswer      Reason = "answer"
	ReasonClosed      Reason = "closed"
)

// ErrRefused is returned by reads of a request that gets no memory. It counts as a time-out, so that HTTP servers close the connection.
type ErrRefused struct {
	Reason Reason
}

// Error returns the message.
func (e *ErrRefused) Error() string { return "no memory for the request: " + string(e.Reason) }

// Timeout reports true.
func (e *ErrRefused) Timeout() bool { return true }

// Temporary reports false.
func (e *ErrRefused) Temporary() bool { return false }

// stepPeriod is how often a waiting request checks whether others stall.
const stepPeriod = 100 * time.Millisecond

// Gate applies the account to requests that are read at the same time; it is safe for concurrent use.
type Gate struct {
	mutex     sync.Mutex
	account   *Account
	plan      Plan
	start     time.Time
	refusals  map[Reason]*atomic.Int64
	onRefused func(remote string, r Reason)
	traffic   Traffic
	reviewed  time.Duration
	writeTime time.Duration
}

// Traffic counts the bytes of accepted connections.
type Traffic interface {
	AddSent(bytes int)
	AddReceived(bytes int)
}

// CountTraffic makes the gate count the bytes of its connections. It must be called before Listen.
func (g *Gate) CountTraffic(t Traffic) { g.traffic = t }

// NewGate returns a gate for a plan. OnRefused is called for each request that is refused and each connection that is closed.
func NewGate(p Plan, onRefused func(remote string, r Reason)) *Gate {
	return &Gate{account: NewAccount(p.Account()), plan: p, start: time.Now(), onRefused: onRefused, writeTime: writeTime,
		refusals: map[Reason]*atomic.Int64{ReasonWaited: {}, ReasonStalled: {}, ReasonConnections: {}, ReasonTurn: {}, ReasonTooLarge: {}, ReasonAnswer: {}}}
}

// Held returns the bytes that requests in memory take.
func (g *Gate) Held() int64 {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	return g.account.Held()
}

// Requests returns how many requests hold memory.
func (g *Gate) Requests() int {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	return g.account.Requests()
}

// Plan returns the plan that the gate applies.
func (g *Gate) Plan() Plan { return g.plan }

// Size returns the bytes that requests in memory may take.
func (g *Gate) Size() int64 { return g.plan.Account() }

// Refusals returns how many requests were refused, or connections closed, for a reason.
func (g *Gate) Refusals(r Reason) int64 { return g.refusals[r].Load() }

func (g *Gate) refuse(remote string, r Reason) {
	g.refusals[r].Add(1)
	g.onRefused(remote, r)
}

func (g *Gate) now() time.Duration { return time.Since(g.start) }

// open returns a claim; notify is called with whether the claim is evicted, or else no longer waits. It must not block.
func (g *Gate) open(ahead bool, notify func(evicted bool)) *Claim {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	c := g.account.Open(g.now(), ahead)
	c.notify = notify
	return c
}

// acquire adds bytes to a claim, which may wait for them, and returns the reason if it does not get them.
func (g *Gate) acquire(c *Claim, bytes int64, ready <-chan struct{}) (refused Reason) {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	if g.account.Ask(c, bytes, g.now()) {
		return ""
	}
	for !c.closed && !c.evicted && !c.refused && c.wants > 0 {
		g.mutex.Unlock()
		select {
		case <-ready:
		case <-time.After(stepPeriod):
		}
		g.mutex.Lock()
		g.review()
	}
	switch {
	case c.closed:
		return ReasonClosed
	case c.evicted:
		return ReasonStalled
	case c.refused:
		return ReasonWaited
	}
	return ""
}

// review carries out what the account decides, once in stepPeriod for all requests that wait: it goes through all claims. The mutex must
// be held.
func (g *Gate) review() {
	now := g.now()
	if now-g.reviewed < stepPeriod {
		return
	}
	g.reviewed = now
	granted, refused, evicted := g.account.Step(now)
	notify(append(granted, refused...), false)
	notify(evicted, true)
}

func notify(claims []*Claim, evicted bool) {
	for _, c := range claims {
		c.notify(evicted)
	}
}

// do applies a change to the account, and grants what fits if the change freed bytes.
func (g *Gate) do(change func(a *Account, now time.Duration)) {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	now, before := g.now(), g.account.Held()
	change(g.account, now)
	if len(g.account.waiting) > 0 && g.account.Held() < before {
		notify(g.account.Grant(now), false)
	}
}
