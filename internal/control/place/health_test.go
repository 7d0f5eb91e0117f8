package place

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"ebonyrill.dev/ebonyrill/internal/shared/table"
)

// healthFixture is a Health with a simulated clock.
type healthFixture struct {
	*Health
	now time.Duration
}

func newHealthFixture() *healthFixture { return &healthFixture{Health: NewHealth(), now: time.Minute} }

// report adds one report of a host on an upstream per second.
func (f *healthFixture) report(host string, number uint32, failed, answered, seconds int) {
	for range seconds {
		f.now += time.Second
		f.Add(f.now, host, table.UpstreamStats{Number: number, Failed: failed, Answered: answered})
	}
}

func (f *healthFixture) failing(home string, onlyHost bool) bool {
	return f.Failing(f.now, 1, home, onlyHost)
}

func TestHealthNeedsConfirmation(t *testing.T) {
	t.Run("only host observes persistent failures", func(t *testing.T) {
		f := newHealthFixture()
		f.report("e1", 1, 50, 10, 2)
		qt.Assert(t, f.failing("e1", true), qt.IsFalse)
		f.report("e1", 1, 50, 10, 4)
		qt.Assert(t, f.failing("e1", true), qt.IsTrue)
		f.now += ejectionTime - time.Second
		qt.Assert(t, f.failing("e1", true), qt.IsTrue)
		f.now += time.Second
		qt.Assert(t, f.failing("e1", true), qt.IsFalse)
	})
	t.Run("one of several hosts only makes an upstream suspected", func(t *testing.T) {
		f := newHealthFixture()
		f.report("e1", 1, 50, 0, 30)
		qt.Assert(t, f.Suspected(f.now, 1, "e1"), qt.IsTrue)
		qt.Assert(t, f.failing("e1", false), qt.IsFalse)
	})
	t.Run("alternate home confirms the failures", func(t *testing.T) {
		f := newHealthFixture()
		f.report("e1", 1, 50, 0, 5)
		f.report("e2", 1, 50, 0, 5)
		qt.Assert(t, f.Suspected(f.now, 1, "e2"), qt.IsFalse)
		qt.Assert(t, f.failing("e2", false), qt.IsTrue)
	})
	t.Run("alternate home observes no failures", func(t *testing.T) {
		f := newHealthFixture()
		f.report("e1", 1, 50, 0, 5)
		f.report("e2", 1, 5, 50, 60)
		qt.Assert(t, f.Suspected(f.now, 1, "e2"), qt.IsFalse)
		qt.Assert(t, f.failing("e2", false), qt.IsFalse)
	})
	t.Run("confirmation too old", func(t *testing.T) {
		f := newHealthFixture()
		f.report("e1", 1, 50, 0, 5)
		f.now += confirmationTime
		f.report("e2", 1, 50, 0, 5)
		qt.Assert(t, f.failing("e2", false), qt.IsFalse)
		qt.Assert(t, f.Suspected(f.now, 1, "e2"), qt.IsTrue)
	})
	t.Run("alternate home is suspect as most of its upstreams fail", func(t *testing.T) {
		f := newHealthFixture()
		f.report("e1", 1, 50, 0, 5)
		f.report("e2", 2, 50, 0, 5)
		f.report("e2", 1, 50, 0, 5)
		qt.Assert(t, f.failing("e2", false), qt.IsFalse)
	})
	t.Run("a few failures only", func(t *testing.T) {
		f := newHealthFixture()
		f.report("e1", 1, 3, 100, 10)
		f.report("e2", 1, 3, 100, 10)
		qt.Assert(t, f.Suspected(f.now, 1, "e2"), qt.IsFalse)
		qt.Assert(t, f.failing("e2", false), qt.IsFalse)
	})
	t.Run("each ejection lasts longer", func(t *testing.T) {
		f := newHealthFixture()
		for ejections := range 3 {
			f.report("e1", 1, 50, 0, 5)
			f.report("e2", 1, 50, 0, 5)
			qt.Assert(t, f.failing("e2", false), qt.IsTrue)
			f.now += ejectionTime<<ejections - time.Second
			qt.Assert(t, f.failing("e2", false), qt.IsTrue)
			f.now += time.Second
			qt.Assert(t, f.failing("e2", false), qt.IsFalse)
		}
	})
}
