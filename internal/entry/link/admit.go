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
)

// Admission is the decision on a request that arrives at a busy link.
type Admission struct {
	// Admitted is set if the request may be handled; otherwise it is rejected, and may return after the time After.
	Admitted bool
	After    time.Duration
}

// Admit decides whether a small request is handled. It answers a load beyond the link's rate: a request that would wait for too much of
// its objective is rejected at once, the least urgent first, as a caller that returns reaches another host. delay is that of the sending
// direction, received the utilization of the receiving direction, and draw a random number from 0 to 1.
func Admit(delay time.Duration, received float64, priority int, objective time.Duration, draw float64) Admission {
	level := min(max(priority, 0), lowestLevel)
	most := time.Duration(maxDelayShare*float64(objective)) >> level
	if delay > most {
		return Admission{After: delay - most}
	}
	begin := fullShare - shedRange*float64(level)/lowestLevel
	if level > 0 && draw < (received-begin)/shedRange {
		return Admission{After: usagePeriod}
	}
	return Admission{Admitted: true}
}
