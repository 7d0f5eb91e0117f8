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

// bucketCount is the number of buckets that a window is divided into. The window slides by one bucket at a time.
const bucketCount = 10

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
	buckets [bucketCount]bucket
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
	w.buckets[w.current%bucketCount].requests++
}

// Spend reports whether one more retry is allowed and, if so, counts it. baseShare is the share of the limits' Base that this
// window has.
func (w *Window) Spend(now time.Duration, baseShare float64) bool {
	w.advance(now)
	requests, retries := 0, 0
	for _, b := range w.buckets {
		requests += b.requests
		retries += b.retries
	}
	if float64(retries+1) > w.share*(w.limits.Share*float64(requests)+w.base(now)*baseShare) {
		return false
	}
	w.buckets[w.current%bucketCount].retries++
	return true
}

// Refund uncounts a retry that was allowed recently but not sent.
func (w *Window) Refund(now time.Duration) {
	w.advance(now)
	b := &w.buckets[w.current%bucketCount]
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
	for steps := 0; w.current < at && steps < bucketCount; steps++ {
		w.current++
		w.buckets[w.current%bucketCount] = bucket{}
	}
	w.current = max(w.current, at)
}
