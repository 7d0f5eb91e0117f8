package lease

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"ebonyrill.dev/ebonyrill/internal/shared/items"
	"ebonyrill.dev/ebonyrill/internal/shared/table"
)

var coldService = items.Service{ColdStart: 3 * time.Second, ColdRate: 4.7}

// TestColdTimes guards against a cold upstream that entry hosts take for warm, and against a change of the table with every heartbeat.
func TestColdTimes(t *testing.T) {
	c := qt.New(t)
	cold := NewColdTime(0, 3*time.Second+coldMargin)
	listed := table.Upstream{ColdLeft: 3*time.Second + coldMargin}
	heard := func(now, stated, want time.Duration, set bool) {
		c.Helper()
		left, changed := cold.Heard(now, table.Announcement{WarmIn: stated}, coldService, listed)
		c.Check(changed, qt.Equals, set)
		c.Check(left, qt.Equals, want)
	}
	heard(time.Second, 2*time.Second, 0, false)
	heard(2100*time.Millisecond, 1100*time.Millisecond, 0, false) // later than stated, within the margin
	heard(3*time.Second, 0, 0, true)
	heard(3*time.Second, 0, 0, false)
	heard(4*time.Second, 3*time.Second, 3*time.Second+coldMargin, true)
	heard(5*time.Second, 3*time.Second, 3*time.Second+coldMargin, true)
	heard(7001*time.Millisecond, 0, 0, true)
	listed.ColdLeft = 0
	heard(9002*time.Millisecond, 0, 0, false)
	heard(11003*time.Millisecond, time.Second, 3*time.Second+coldMargin, true) // not heard of for more than maxSilence
	heard(12*time.Second, time.Hour, maxColdTime+coldMargin, true)
	cold, listed.ColdLeft = NewColdTime(0, 0), 3*time.Second // a new leader must not assume a longer time than entry hosts count
	heard(0, 400*time.Millisecond, 400*time.Millisecond+coldMargin, true)
}

// TestColdOnJoin guards against a process that has just started and counts as warm.
func TestColdOnJoin(t *testing.T) {
	cold := table.Announcement{WarmIn: time.Second}
	qt.Check(t, ColdOnJoin(table.Announcement{}, coldService, false), qt.Equals, time.Duration(0))
	qt.Check(t, ColdOnJoin(table.Announcement{}, coldService, true), qt.Equals, 3*time.Second+coldMargin)
	qt.Check(t, ColdOnJoin(cold, coldService, false), qt.Equals, 3*time.Second+coldMargin)
	qt.Check(t, ColdOnJoin(cold, items.Service{}, true), qt.Equals, time.Duration(0))
}
