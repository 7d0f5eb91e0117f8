package conf

import "time"

// StopTimes are the bounds of a host's stop, each counted from its beginning.
type StopTimes struct {
	notice time.Duration
	bound  time.Duration
}

// Parts of a stop's bound, which follows its notice.
const (
	waitShare  = 0.5  // requests may wait for a slot
	serveShare = 0.86 // requests may stay at an upstream
	comeShare  = 0.94 // answers that have begun may come; what is left is for writing the answers that are due
)

// NewStopTimes returns the bounds of a stop that serves on for the notice and ends within the bound after it.
func NewStopTimes(notice, bound time.Duration) StopTimes {
	return StopTimes{notice: notice, bound: bound}
}

// Notice returns until when all requests are taken.
func (t StopTimes) Notice() time.Duration { return t.notice }

// Waiting returns until when requests may wait for a slot.
func (t StopTimes) Waiting() time.Duration { return t.after(waitShare) }

// Serving returns until when requests may stay at an upstream.
func (t StopTimes) Serving() time.Duration { return t.after(serveShare) }

// Receiving returns until when answers that have begun may come whole, if they are not passed on while they come.
func (t StopTimes) Receiving() time.Duration { return t.after(comeShare) }

// End returns when the stop is over.
func (t StopTimes) End() time.Duration { return t.after(1) }

func (t StopTimes) after(share float64) time.Duration {
	return t.notice + time.Duration(share*float64(t.bound))
}
