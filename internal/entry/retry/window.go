package retry

import (
	"time"
)

// Limits bound the tries of a service beyond the first, over all entry hosts: Share of its requests and Base more in each Window.
type Limits struct {
	Share  float64
	Base   float64
	Window time.Duration
}

// parts is into how many parts a window is cut; the oldest is dropped as a whole.
const parts = 10

// firstBase is the part of the base that is given out at once by one that has just begun to count: it does not know what others
// gave out within the window.
const firstBase = 0.15

// count is what happened within one part of the window.
type count struct {
	requests int
	repeats  int
}

// Window counts the requests and repeats of a service over a sliding window; it has no clock and no lock of its own.
type Window struct {
	terms  Limits
	use    float64
	counts [parts]count
	at     int64
	since  time.Duration
	began  bool
}

// NewWindow returns a window that gives out a part of what the terms allow; the rest covers what others count differently.
func NewWindow(terms Limits, use float64) *Window { return &Window{terms: terms, use: use} }

// Request counts a first try.
func (w *Window) Request(now time.Duration) {
	w.advance(now)
	w.counts[w.at%parts].requests++
}

// Spend reports whether one more repeat is allowed by one that has a portion of the base, and counts it.
func (w *Window) Spend(now time.Duration, portion float64) bool {
	w.advance(now)
	requests, repeats := 0, 0
	for _, c := range w.counts {
		requests += c.requests
		repeats += c.repeats
	}
	if float64(repeats+1) > w.use*(w.terms.Share*float64(requests)+w.base(now)*portion) {
		return false
	}
	w.counts[w.at%parts].repeats++
	return true
}

// Refund takes back a repeat that was counted lately and not sent.
func (w *Window) Refund(now time.Duration) {
	w.advance(now)
	c := &w.counts[w.at%parts]
	c.repeats = max(c.repeats-1, 0)
}

func (w *Window) base(now time.Duration) float64 {
	age := float64(now-w.since) / float64(w.terms.Window)
	return w.terms.Base * min(max(age, firstBase), 1)
}

// advance drops the parts of the window that have passed.
func (w *Window) advance(now time.Duration) {
	if !w.began {
		w.began, w.since = true, now
	}
	at := int64(now / max(w.terms.Window/parts, time.Millisecond))
	for steps := 0; w.at < at && steps < parts; steps++ {
		w.at++
		w.counts[w.at%parts] = count{}
	}
	w.at = max(w.at, at)
}
