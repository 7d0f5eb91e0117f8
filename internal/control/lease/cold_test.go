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
}

// TestNewLeaderSetsColdAgain guards against a new leader that assumes a longer time than entry hosts count.
func TestNewLeaderSetsColdAgain(t *testing.T) {
	cold := NewColdTime(0, 0)
	_, set := cold.Heard(100*time.Millisecond, table.Announcement{WarmIn: 400 * time.Millisecond}, coldService, table.Upstream{ColdLeft: 3 * time.Second})
	qt.Check(t, set, qt.IsTrue)
}

func TestColdOnJoin(t *testing.T) {
	c := qt.New(t)
	c.Check(ColdOnJoin(table.Announcement{}, coldService, false), qt.Equals, time.Duration(0))
	c.Check(ColdOnJoin(table.Announcement{}, coldService, true), qt.Equals, 3*time.Second+coldMargin)
	c.Check(ColdOnJoin(table.Announcement{WarmIn: time.Second}, coldService, false), qt.Equals, 3*time.Second+coldMargin)
	c.Check(ColdOnJoin(table.Announcement{WarmIn: time.Second}, items.Service{}, true), qt.Equals, time.Duration(0))
}
