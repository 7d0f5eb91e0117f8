package deal

import (
	"time"
)

// Budget bounds the tries of a service beyond the first: Share of its requests and Base more in each Window.
type Budget struct {
	Share  float64
	Base   float64
	Window time.Duration
}

// budgetShare is the part of a budget that the dealer gives out; the rest covers tries that upstreams count and the dealer
// does not, as while another host deals.
const budgetShare = 0.9

// parts is into how many parts a window is cut; the oldest is dropped as a whole.
const parts = 10

// count is what happened within one part of the window.
type count struct {
	requests int
	repeats  int
}

// budget counts requests and repeats of a service over a sliding window.
type budget struct {
	terms  Budget
	counts [parts]count
	at     int64
	since  time.Duration
	began  bool
}

func newBudget(terms Budget) *budget { return &budget{terms: terms} }

// request counts a first try.
func (b *budget) request(now time.Duration) {
	b.advance(now)
	b.counts[b.at%parts].requests++
}

// spend reports whether one more repeat is allowed, and counts it.
func (b *budget) spend(now time.Duration) bool {
	b.advance(now)
	requests, repeats := 0, 0
	for _, c := range b.counts {
		requests += c.requests
		repeats += c.repeats
	}
	if float64(repeats+1) > budgetShare*(b.terms.Share*float64(requests)+b.base(now)) {
		return false
	}
	b.counts[b.at%parts].repeats++
	return true
}

// base returns the part of the base that a dealer may give out: one that has just taken over does not know what the one before
// it gave out within the window.
func (b *budget) base(now time.Duration) float64 {
	age := float64(now-b.since) / float64(b.terms.Window)
	return b.terms.Base * min(max(age, firstBase), 1)
}

// firstBase is the part of the base that a new dealer has at once.
const firstBase = 0.15

// advance drops the parts of the window that have passed.
func (b *budget) advance(now time.Duration) {
	if !b.began {
		b.began, b.since = true, now
	}
	at := int64(now / max(b.terms.Window/parts, time.Millisecond))
	for steps := 0; b.at < at && steps < parts; steps++ {
		b.at++
		b.counts[b.at%parts] = count{}
	}
	b.at = max(b.at, at)
}
