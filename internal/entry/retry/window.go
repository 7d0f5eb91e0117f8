package retry

import (
	"time"
)

// Limits limit the retries of a service over all entry hosts. In each Window, their number is at most Share times the number of
// requests, plus Base.
type Limits struct {
	Share  float64
	Base   float64
	Window time.Duration
}

// Parts of a window. It slides by one bucket at a time. The current bucket is not over, so that retries are counted over one bucket more
// than requests: with the same number, retries of up to a tenth of the window were left out, and a service exceeded its budget by 4 of
// 1,250.
const (
	bucketCount = 10
	keptBuckets = bucketCount + 1
)

// initialBaseShare is the share of Base that is available immediately to a window that has just started counting. It is below one
// because other hosts may have allowed retries within the same window.
const initialBaseShare = 0.15

// bucket holds the counts of one part of the window.
type bucket struct {
	requests int
	retries  int
}

// Window counts the requests and retries of a service over a sliding window and limits the retries. It reads no clock and takes
// no lock.
type Window struct {
	limits  Limits
	share   float64
	buckets [keptBuckets]bucket
	current int64
	since   time.Duration
	started bool
}

// NewWindow returns a window that allows a share of the retries within the limits. The rest is a margin for requests and retries
// that are counted differently elsewhere, for example by upstreams or other hosts.
func NewWindow(limits Limits, share float64) *Window { return &Window{limits: limits, share: share} }

// Request counts a request's first attempt.
func (w *Window) Request(now time.Duration) {
	w.advance(now)
	w.buckets[w.current%keptBuckets].requests++
}

// Spend reports whether one more retry is allowed and, if so, counts it. baseShare is the share of the limits' Base that this
// window has.
func (w *Window) Spend(now time.Duration, baseShare float64) bool {
	w.advance(now)
	requests, retries := 0, 0
	for i, b := range w.buckets {
		retries += b.retries
		if int64(i) != (w.current+1)%keptBuckets { // the oldest one
			requests += b.requests
		}
	}
	if float64(retries+1) > w.share*(w.limits.Share*float64(requests)+w.base(now)*baseShare) {
		return false
	}
	w.buckets[w.current%keptBuckets].retries++
	return true
}

// Refund uncounts a retry that was allowed recently but not sent.
func (w *Window) Refund(now time.Duration) {
	w.advance(now)
	b := &w.buckets[w.current%keptBuckets]
	b.retries = max(b.retries-1, 0)
}

// base returns the part of Base that is available. It grows to all of it while the window fills.
func (w *Window) base(now time.Duration) float64 {
	age := float64(now-w.since) / float64(w.limits.Window)
	return w.limits.Base * min(max(age, initialBaseShare), 1)
}

// advance clears the buckets that have left the window.
func (w *Window) advance(now time.Duration) {
	if !w.started {
		w.started, w.since = true, now
	}
	at := int64(now / max(w.limits.Window/bucketCount, time.Millisecond))
	for steps := 0; w.current < at && steps < keptBuckets; steps++ {
		w.current++
		w.buckets[w.current%keptBuckets] = bucket{}
	}
	w.current = max(w.current, at)
}
