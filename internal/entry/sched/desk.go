package sched

import (
	"slices"
	"time"

	"ebonyrill.dev/ebonyrill/internal/entry/retry"
)

// repeatShare is the part of a service's repeats that the dealer gives out; the rest covers tries that upstreams count and the
// dealer does not, as while another host deals.
const repeatShare = 0.9

// Tuning of the dealer. Times are those of requests at their upstreams.
const (
	tookWeight     = 0.05                   // weight of the newest answer in a service's average time
	paceWeight     = 0.15                   // weight of the newest answer in an upstream's pace
	tookMargin     = 1.3                    // a request is counted to take so many times the average, as works and paces differ
	slowestPace    = 6.0                    // an upstream is not counted as slower than so many times the average
	doubtWeight    = 0.12                   // weight of the newest answer in an upstream's doubt
	doubtLife      = 4 * time.Second        // doubt without news halves in this time
	farCost        = 0.35                   // cost of another data centre, in average times: the way and its bytes
	freshCost      = 0.7                    // cost of an upstream that has just started
	firstTook      = 200 * time.Millisecond // average time of a service before the first answer
	expiryGrace    = 300 * time.Millisecond // a slot whose result never came is free so long after its request's time
	unreachedTime  = 1500 * time.Millisecond
	unreachedHosts = 2 // entry hosts that must fail to connect before nobody is sent to an upstream
)

// seat is what the dealer knows of one upstream.
type seat struct {
	up        Upstream
	busy      int
	pace      float64
	doubt     float64
	doubtAt   time.Duration
	unreached map[string]time.Duration
}

// claim is a request with a slot, or one that waits.
type claim struct {
	key     Key
	ask     SlotRequest
	arrived time.Duration
	expires time.Duration
	due     time.Duration
	seat    *seat
}

// Scheduler deals the slots of one part of a service. It has no clock and no lock of its own; each method returns the replies that follow.
type Scheduler struct {
	seats   map[uint32]*seat
	order   []uint32
	claims  map[Key]*claim
	waiting []*claim
	took    time.Duration
	repeats *retry.Window
	portion float64
}

// NewScheduler returns a desk without upstreams.
func NewScheduler(t retry.Limits) *Scheduler {
	return &Scheduler{seats: map[uint32]*seat{}, claims: map[Key]*claim{}, took: firstTook, repeats: retry.NewWindow(t, repeatShare)}
}

// SetUpstreams brings the upstreams in line with the table. Portion is this part's portion of the service's base for repeats.
func (d *Scheduler) SetUpstreams(now time.Duration, list []Upstream, portion float64) (replies []addressed) {
	d.portion = portion
	known := map[uint32]bool{}
	for _, u := range list {
		known[u.Number] = true
		s := d.seats[u.Number]
		if s == nil {
			s = &seat{pace: 1, unreached: map[string]time.Duration{}}
			d.seats[u.Number] = s
		}
		s.up = u
	}
	for number := range d.seats {
		if !known[number] {
			delete(d.seats, number)
		}
	}
	d.order = d.order[:0]
	for number := range d.seats {
		d.order = append(d.order, number)
	}
	slices.Sort(d.order)
	return d.pump(now)
}

// Submit takes an ask in; one that is known already gets the same reply again.
func (d *Scheduler) Submit(now time.Duration, host string, a SlotRequest) (replies []addressed) {
	key := Key{Host: host, ID: a.ID}
	if c := d.claims[key]; c != nil {
		return []addressed{{key, d.replyTo(now, c)}}
	}
	c := &claim{key: key, ask: a, arrived: now, expires: now + a.Timeout}
	c.due = now + a.Objective + a.Objective*time.Duration(a.Priority)/2
	if !d.possible(c) {
		return []addressed{{key, Reply{ID: a.ID, Decision: NoUpstream}}}
	}
	wait := d.expectedWait(now, c)
	if a.NoQueue && (wait > 0 || d.choose(d.newCosts(now), c, 0) == nil) {
		return []addressed{{key, Reply{ID: a.ID, Decision: Busy, After: max(wait, d.nextFree())}}}
	}
	if !a.Retry {
		d.repeats.Request(now)
	}
	if wait > 0 && now+wait+d.timeAt(c) > c.expires {
		return []addressed{{key, Reply{ID: a.ID, Decision: Overloaded, After: wait}}}
	}
	if a.Retry && !d.repeats.Spend(now, d.portion) {
		return []addressed{{key, Reply{ID: a.ID, Decision: BudgetSpent}}}
	}
	d.claims[key] = c
	d.queue(c)
	replies = d.pump(now)
	if c.seat == nil && d.claims[key] == c {
		replies = append(replies, addressed{key, d.replyTo(now, c)})
	}
	return replies
}

// nextFree estimates when the next of all slots ends its request.
func (d *Scheduler) nextFree() time.Duration {
	slots := 0
	for _, s := range d.seats {
		slots += s.limit()
	}
	return d.took / time.Duration(max(slots, 1))
}

// Idle reports whether the desk has neither upstreams nor requests, so that it may be forgotten.
func (d *Scheduler) Idle() bool { return len(d.seats)+len(d.claims) == 0 }

// replyTo returns what holds for a claim now.
func (d *Scheduler) replyTo(now time.Duration, c *claim) Reply {
	if c.seat != nil {
		return Reply{ID: c.key.ID, Decision: Assigned, Upstream: c.seat.up.Number}
	}
	return Reply{ID: c.key.ID, Decision: Queued, After: d.expectedWait(now, c)}
}

// Finish takes in how a request fared and gives its slot to the next.
func (d *Scheduler) Finish(now time.Duration, host string, r Result) (replies []addressed) {
	c := d.claims[Key{Host: host, ID: r.ID}]
	if c == nil {
		return nil
	}
	d.drop(c)
	if s := c.seat; s != nil {
		d.learn(now, s, host, r)
	}
	return d.pump(now)
}

// Tick refuses what can no longer be served in time and frees the slots of requests that were never heard of again.
func (d *Scheduler) Tick(now time.Duration) (replies []addressed) {
	list, waits := d.hopeless(now)
	for i, c := range list {
		d.drop(c)
		replies = append(replies, addressed{c.key, Reply{ID: c.key.ID, Decision: Overloaded, After: waits[i]}})
	}
	for _, c := range d.claims {
		if c.seat != nil && now > c.expires+expiryGrace {
			d.drop(c)
		}
	}
	return append(replies, d.pump(now)...)
}

// Load returns the slots in use and the requests that wait.
func (d *Scheduler) Load() (busy, waiting int) { return len(d.claims) - len(d.waiting), len(d.waiting) }

// drop forgets a claim and frees its slot.
func (d *Scheduler) drop(c *claim) {
	delete(d.claims, c.key)
	if c.seat != nil {
		c.seat.busy = max(c.seat.busy-1, 0)
		return
	}
	d.unqueue(c)
}

// learn takes the result into what is known of the upstream.
func (d *Scheduler) learn(now time.Duration, s *seat, host string, r Result) {
	if r.Completion != ConnectFailed && r.Completion != Abandoned {
		delete(s.unreached, host)
	}
	switch r.Completion {
	case Answered:
		s.judge(now, 0)
		ratio := float64(r.Took) / float64(max(d.took, time.Millisecond))
		s.pace += paceWeight * (min(max(ratio, 0.2), slowestPace) - s.pace)
		d.took += time.Duration(tookWeight * float64(r.Took-d.took))
	case Failed:
		s.judge(now, 1)
		if r.Took > d.took {
			s.pace += paceWeight * (min(float64(r.Took)/float64(d.took), slowestPace) - s.pace)
		}
	case Rejected:
		s.judge(now, 1)
	case ConnectFailed:
		s.unreached[host] = now + unreachedTime
	}
}

func (s *seat) judge(now time.Duration, failed float64) {
	s.doubt = s.doubtNow(now)
	s.doubt += doubtWeight * (failed - s.doubt)
	s.doubtAt = now
}

// doubtNow returns the doubt as it stands; it fades, so that an upstream gets another chance.
func (s *seat) doubtNow(now time.Duration) float64 {
	return s.doubt / (1 + float64(now-s.doubtAt)/float64(doubtLife))
}

// cutOff reports whether several entry hosts could not connect to the upstream lately.
func (s *seat) cutOff(now time.Duration) bool {
	if len(s.unreached) == 0 {
		return false
	}
	n := 0
	for host, until := range s.unreached {
		if now >= until {
			delete(s.unreached, host)
			continue
		}
		n++
	}
	return n >= unreachedHosts
}
