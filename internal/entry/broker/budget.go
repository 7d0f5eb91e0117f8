package broker

import (
	"sync"
	"time"

	"ebonyrill.dev/ebonyrill/internal/entry/deal"
)

// budgetShare is the part of a service's budget that entry hosts use in all; the rest covers what a host counts differently
// from the upstreams, and hosts that join.
const budgetShare = 0.7

// buckets is into how many parts a window is cut; the oldest part is dropped as a whole.
const buckets = 10

// budget is one entry host's part of a service's budget for tries beyond the first.
type budget struct {
	mutex  sync.Mutex
	terms  deal.Budget
	counts [buckets]budgetCount
	at     int64
}

// budgetCount is what happened within one part of the window.
type budgetCount struct {
	requests int
	repeats  int
}

func newBudget(terms deal.Budget) *budget { return &budget{terms: terms} }

// request counts a request for the service.
func (b *budget) request(now time.Duration) {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	b.advance(now)
	b.counts[b.at%buckets].requests++
}

// spend reports whether one more try may be made and counts it; hosts is how many entry hosts share the base.
func (b *budget) spend(now time.Duration, hosts int) bool {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	b.advance(now)
	requests, repeats := 0, 0
	for _, c := range b.counts {
		requests += c.requests
		repeats += c.repeats
	}
	allowed := budgetShare * (b.terms.Share*float64(requests) + b.terms.Base/float64(max(hosts, 1)))
	if float64(repeats+1) > allowed {
		return false
	}
	b.counts[b.at%buckets].repeats++
	return true
}

// advance drops the parts of the window that have passed.
func (b *budget) advance(now time.Duration) {
	at := int64(now / (b.terms.Window / buckets))
	for steps := 0; b.at < at && steps < buckets; steps++ {
		b.at++
		b.counts[b.at%buckets] = budgetCount{}
	}
	b.at = max(b.at, at)
}
