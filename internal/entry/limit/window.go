package limit

import (
	"time"
)

// Parameters of a window.
const (
	decrease = 0.5 // factor on the size after a refusal
	// increase is the part of its share that a host with less than one request at a time regains by a success. At its share, a fifth of
	// the requests to a full upstream are then refused.
	increase       = 0.125
	maxPause       = 5 * time.Second  // longest pause between two requests
	memory         = 30 * time.Second // time without a refusal after which one request at a time is allowed again
	pauseSpread    = 0.5              // share of a pause that is random, so that hosts do not all return at once
	neverDecreased = -1               // time of the last decrease of a new window, before any request
)

// Outcome is what the end of a request says about the load of its upstream.
type Outcome uint8

// Outcomes.
const (
	// Neutral means that nothing is known, for example because the caller disconnected.
	Neutral Outcome = iota
	// Succeeded means that the upstream responded.
	Succeeded
	// Refused means that the upstream reset the connection, rejected the request or was silent.
	Refused
)

// Window bounds the requests that one host has at one upstream. It reads no clock and takes no lock. It starts with the host's share of
// the slots, at least one request, and has at most as many as the upstream has slots. A size below one stands for one request at a time
// with pauses in between: where there are more hosts than slots, one request of each host at a time would be too many.
type Window struct {
	size        float64
	share       float64
	most        float64
	inFlight    int
	decreasedAt time.Duration
	pausedUntil time.Duration
}

// New returns the window of one of the given number of hosts for an upstream.
func New(slots, hosts int) *Window {
	most := float64(max(slots, 1))
	share := most / float64(max(hosts, 1))
	return &Window{size: max(share, 1), share: min(share, 1), most: most, decreasedAt: neverDecreased}
}

// Size returns the number of requests that may be in flight.
func (w *Window) Size() int { return max(int(w.size), 1) }

// Wait returns zero if a request may be sent, and otherwise the estimated time until one may. typical is the time that the upstream
// usually takes for a request.
func (w *Window) Wait(now, typical time.Duration) time.Duration {
	if now < w.pausedUntil {
		return w.pausedUntil - now
	}
	if w.inFlight >= w.Size() {
		return max(typical/time.Duration(w.Size()), time.Millisecond)
	}
	return 0
}

// Take counts a request that is sent.
func (w *Window) Take() { w.inFlight++ }

// Release ends a request that was sent at the given time, and reports whether the window has shrunk because of it. A refusal of a
// request that was sent before the last decrease does not count again, as it tells of the same load. random is a random number from 0
// to 1.
func (w *Window) Release(now, sentAt, typical time.Duration, o Outcome, random float64) (shrunk bool) {
	full := w.inFlight >= w.Size()
	w.inFlight = max(w.inFlight-1, 0)
	switch {
	case o == Succeeded && full:
		w.grow(now)
	case o == Refused && sentAt > w.decreasedAt:
		w.decreasedAt, shrunk = now, true
		w.size = max(w.size*decrease, float64(typical)/float64(maxPause))
	}
	if o != Neutral && w.size < 1 {
		pause := min(float64(typical)/w.size, float64(maxPause)) * (1 - pauseSpread/2 + pauseSpread*random)
		w.pausedUntil = sentAt + time.Duration(pause)
	}
	return shrunk
}

// grow increases the window after a success that filled it.
func (w *Window) grow(now time.Duration) {
	switch {
	case w.size >= 1:
		w.size = min(w.size+1/w.size, w.most)
	case now-w.decreasedAt > memory:
		w.size = 1
	default:
		w.size = min(w.size+increase*w.share, 1)
	}
}
