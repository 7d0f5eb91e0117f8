package lease

import (
	"time"

	"ebonyrill.dev/ebonyrill/internal/shared/items"
	"ebonyrill.dev/ebonyrill/internal/shared/table"
)

// Parameters of the time for which upstreams are cold.
const (
	maxSilence  = 2 * time.Second        // an upstream that was not heard of for longer may have been cold in between
	coldMargin  = 250 * time.Millisecond // added to the time that an upstream states, for heartbeats with different delays
	maxColdTime = time.Minute            // longest time that is kept; an upstream that stays cold states it again
)

// ColdTime is what the leader knows of whether an upstream is cold.
type ColdTime struct {
	until   time.Duration
	heardAt time.Duration
	cleared bool
}

// NewColdTime returns the state of an upstream that has just joined, or that a new leader finds in the table. Left is the time for which
// entry hosts treat it as cold from now on; a new leader does not know that and passes zero.
func NewColdTime(now, left time.Duration) ColdTime {
	return ColdTime{until: now + left, heardAt: now}
}

// Heard applies an announcement of an upstream of a service that states a rate for cold upstreams. It returns the time to set in the table
// and whether it has to be set: if the upstream says that it is cold and the table does not cover that, or that it is warm and the table
// still holds an earlier time, which hosts that start later would count anew.
func (t *ColdTime) Heard(now time.Duration, a table.Announcement, s items.Service, listed table.Upstream) (left time.Duration, set bool) {
	silent := now-t.heardAt > maxSilence
	t.heardAt = now
	if a.WarmIn <= 0 {
		set = listed.ColdLeft > 0 && !t.cleared
		t.until, t.cleared = now, t.cleared || set
		return 0, set
	}
	stated := a.WarmIn - a.Age.Min()
	if silent {
		stated = max(stated, s.ColdStart)
	}
	if now+min(stated, maxColdTime) <= t.until {
		return 0, false
	}
	left = min(stated, maxColdTime) + coldMargin
	t.until, t.cleared = now+left, false
	return left, true
}

// ColdOnJoin returns the time for which an upstream that joins is cold. One that has restarted has just started, whatever it says; its
// next announcement may say otherwise.
func ColdOnJoin(a table.Announcement, s items.Service, restarted bool) time.Duration {
	if s.ColdRate <= 0 || a.WarmIn <= 0 && !restarted {
		return 0
	}
	return min(max(a.WarmIn, s.ColdStart), maxColdTime) + coldMargin
}
