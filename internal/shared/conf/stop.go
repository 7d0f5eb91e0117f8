package conf

import "time"

// StopTimes are the time limits of the phases of a host's shutdown, each counted from the beginning of the shutdown.
// During the notice, load balancers stop sending new callers and the host still serves all requests; the bound limits
// everything after it.
type StopTimes struct {
	notice time.Duration
	bound  time.Duration
}

// Fractions of the bound at which the phases end.
const (
	waitShare    = 0.5  // requests may wait for a slot
	serveShare   = 0.86 // requests may be in progress at an upstream
	receiveShare = 0.94 // responses that have begun may be received; the rest is for writing them to callers
)

// NewStopTimes returns the time limits of a shutdown with this notice and bound.
func NewStopTimes(notice, bound time.Duration) StopTimes {
	return StopTimes{notice: notice, bound: bound}
}

// Notice returns until when all requests are accepted.
func (t StopTimes) Notice() time.Duration { return t.notice }

// Waiting returns until when requests may wait for a slot.
func (t StopTimes) Waiting() time.Duration { return t.after(waitShare) }

// Serving returns until when requests may be in progress at an upstream.
func (t StopTimes) Serving() time.Duration { return t.after(serveShare) }

// Receiving returns until when a response that has begun may be received completely, unless it is passed on while it is
// received.
func (t StopTimes) Receiving() time.Duration { return t.after(receiveShare) }

// End returns the time limit of the whole shutdown.
func (t StopTimes) End() time.Duration { return t.after(1) }

func (t StopTimes) after(share float64) time.Duration {
	return t.notice + time.Duration(share*float64(t.bound))
}
