package place

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"ebonyrill.dev/ebonyrill/internal/shared/table"
)

// watched is a judge with a clock.
type watched struct {
	*Health
	now time.Duration
}

func newWatched() *watched { return &watched{Health: NewHealth(), now: time.Minute} }

// see lets a host report each second what it saw of an upstream.
func (w *watched) see(host string, number uint32, failed, answered, seconds int) {
	for range seconds {
		w.now += time.Second
		w.Add(w.now, host, table.UpstreamStats{Number: number, Failed: failed, Answered: answered})
	}
}

func (w *watched) failing(home string, alone bool) bool { return w.Failing(w.now, 1, home, alone) }

func TestHealthNeedsMoreThanAWord(t *testing.T) {
	t.Run("a host without another sees most requests fail for a while", func(t *testing.T) {
		w := newWatched()
		w.see("e1", 1, 50, 10, 2)
		qt.Assert(t, w.failing("e1", true), qt.IsFalse)
		w.see("e1", 1, 50, 10, 4)
		qt.Assert(t, w.failing("e1", true), qt.IsTrue)
		w.now += avoidTime - time.Second
		qt.Assert(t, w.failing("e1", true), qt.IsTrue)
		w.now += time.Second
		qt.Assert(t, w.failing("e1", true), qt.IsFalse)
	})
	t.Run("one of several hosts raises a doubt and no more", func(t *testing.T) {
		w := newWatched()
		w.see("e1", 1, 50, 0, 30)
		qt.Assert(t, w.Suspected(w.now, 1, "e1"), qt.IsTrue)
		qt.Assert(t, w.failing("e1", false), qt.IsFalse)
	})
	t.Run("a second home that sees the same", func(t *testing.T) {
		w := newWatched()
		w.see("e1", 1, 50, 0, 5)
		w.see("e2", 1, 50, 0, 5)
		qt.Assert(t, w.Suspected(w.now, 1, "e2"), qt.IsFalse)
		qt.Assert(t, w.failing("e2", false), qt.IsTrue)
	})
	t.Run("a second home that is well served", func(t *testing.T) {
		w := newWatched()
		w.see("e1", 1, 50, 0, 5)
		w.see("e2", 1, 5, 50, 60)
		qt.Assert(t, w.Suspected(w.now, 1, "e2"), qt.IsFalse)
		qt.Assert(t, w.failing("e2", false), qt.IsFalse)
	})
	t.Run("a word of long ago", func(t *testing.T) {
		w := newWatched()
		w.see("e1", 1, 50, 0, 5)
		w.now += corroborationTime
		w.see("e2", 1, 50, 0, 5)
		qt.Assert(t, w.failing("e2", false), qt.IsFalse)
		qt.Assert(t, w.Suspected(w.now, 1, "e2"), qt.IsTrue)
	})
	t.Run("a second home that sees most of its upstreams fail is the suspect", func(t *testing.T) {
		w := newWatched()
		w.see("e1", 1, 50, 0, 5)
		w.see("e2", 2, 50, 0, 5)
		w.see("e2", 1, 50, 0, 5)
		qt.Assert(t, w.failing("e2", false), qt.IsFalse)
	})
	t.Run("a few failures", func(t *testing.T) {
		w := newWatched()
		w.see("e1", 1, 3, 100, 10)
		w.see("e2", 1, 3, 100, 10)
		qt.Assert(t, w.Suspected(w.now, 1, "e2"), qt.IsFalse)
		qt.Assert(t, w.failing("e2", false), qt.IsFalse)
	})
	t.Run("relapses last longer", func(t *testing.T) {
		w := newWatched()
		for strike := range 3 {
			w.see("e1", 1, 50, 0, 5)
			w.see("e2", 1, 50, 0, 5)
			qt.Assert(t, w.failing("e2", false), qt.IsTrue)
			w.now += avoidTime<<strike - time.Second
			qt.Assert(t, w.failing("e2", false), qt.IsTrue)
			w.now += time.Second
			qt.Assert(t, w.failing("e2", false), qt.IsFalse)
		}
	})
}
