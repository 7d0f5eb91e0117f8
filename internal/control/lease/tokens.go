package lease

import (
	"slices"
	"time"
)

// offerShare is the part of a lease for which a new fencing token is offered to an upstream that does not report it. A grant that the
// upstream took in that time has not expired yet, even if the response took most of the lease to arrive.
const offerShare = 0.25

// tokenAges tells new fencing tokens, which are log indexes, from older ones.
type tokenAges struct {
	newFor  time.Duration
	old     uint64 // newest fencing token that is not new any more
	changes []tokenChange
}

// tokenChange is the log index of a slice change and when it was applied.
type tokenChange struct {
	index uint64
	at    time.Duration
}

// newTokenAges returns the ages after an election. No fencing token up to the log index counts as new.
func newTokenAges(t Timing, index uint64) tokenAges {
	return tokenAges{newFor: time.Duration(offerShare * float64(t.lease)), old: index}
}

// add records that a change of slices was applied, which may have set fencing tokens up to its log index.
func (t *tokenAges) add(now time.Duration, index uint64) {
	t.expire(now)
	t.changes = append(t.changes, tokenChange{index: index, at: now})
}

// expire removes the changes whose fencing tokens are not new any more.
func (t *tokenAges) expire(now time.Duration) {
	n := 0
	for n < len(t.changes) && now-t.changes[n].at >= t.newFor {
		t.old = t.changes[n].index
		n++
	}
	t.changes = slices.Delete(t.changes, 0, n)
}

// isNew reports whether a fencing token was set by this leader within newFor.
func (t *tokenAges) isNew(now time.Duration, fence uint64) bool {
	t.expire(now)
	return fence > t.old
}
