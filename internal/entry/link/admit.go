package link

import "time"

// Parameters of the admission of small requests.
const (
	// maxDelayShare is the share of its objective for which an urgent request may wait on the link; each level of priority halves it.
	// The response crosses the link once more, and the upstream needs the rest.
	maxDelayShare = 0.25
	lowestLevel   = 2 // less urgent priorities count as this one
	// fullShare is the utilization of the receiving direction at which its queue grows: it is observed only behind the queue.
	fullShare = 0.97
	// shedRange is the range of utilization below fullShare in which the least urgent requests are rejected in a growing share.
	shedRange = 0.08
	// maxSilence is how long after the last response of control a congested link counts as the reason for the silence. Watches are answered
	// within a second; the rest of the 2 s within which a change must be in force is needed to receive it.
	maxSilence = 1300 * time.Millisecond
	// congested is the utilization of the receiving direction from which it may delay the responses of control.
	congested = 0.85
)

// Load is the load of a host's link: how long a byte waits that is sent now, the utilization of the receiving direction, and the time
// since the last response of control.
type Load struct {
	delay    time.Duration
	received float64
	silence  time.Duration
}

// NewLoad returns a load.
func NewLoad(delay time.Duration, received float64, silence time.Duration) Load {
	return Load{delay: delay, received: received, silence: silence}
}

// Admission is the decision on a request that arrives at a busy link.
type Admission struct {
	admitted bool
	after    time.Duration
}

// Admitted reports whether the request may be handled.
func (a Admission) Admitted() bool { return a.admitted }

// After returns the time after which a rejected request may return.
func (a Admission) After() time.Duration { return a.after }

// Admit decides whether a small request is handled. It answers a load beyond the link's rate: a request that would wait for too much of
// its objective is rejected at once, the least urgent first, as a caller that returns reaches another host. While the congestion keeps
// the responses of control from this host, every request is rejected: it would be routed by a table that may be out of date. The number
// draw is random, from 0 to 1.
func Admit(l Load, priority int, objective time.Duration, draw float64) Admission {
	if l.received > congested && l.silence > maxSilence {
		return Admission{after: usagePeriod}
	}
	level := min(max(priority, 0), lowestLevel)
	most := time.Duration(maxDelayShare*float64(objective)) >> level
	if l.delay > most {
		return Admission{after: l.delay - most}
	}
	begin := fullShare - shedRange*float64(level)/lowestLevel
	if level > 0 && draw < (l.received-begin)/shedRange {
		return Admission{after: usagePeriod}
	}
	return Admission{admitted: true}
}
