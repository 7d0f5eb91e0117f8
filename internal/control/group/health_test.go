package group

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"ebonyrill.dev/ebonyrill/internal/shared/conf"
	"ebonyrill.dev/ebonyrill/internal/shared/table"
)

// slicesOf counts the slices that each upstream owns.
func (w *world) slicesOf() (counts map[string]int) {
	counts = map[string]int{}
	s := w.leader().group.state
	set, _ := s.Table("frames")
	for _, e := range set.Slices() {
		u, _ := s.Upstream(e.Owner)
		counts[u.Name]++
	}
	return counts
}

// report lets entry hosts tell of failures at the named upstreams each second.
func (w *world) report(seconds int, failing ...string) {
	for range seconds {
		w.run(w.now + time.Second)
		g := w.leader().group
		for i, name := range failing {
			u, _ := g.state.UpstreamNamed(name)
			g.lead.health.Add(g.now(), w.entries[i%len(w.entries)].name, table.UpstreamSight{Number: u.Number, Failed: 60})
		}
	}
}

func TestFailingUpstreamsAreEmptiedUpToAShare(t *testing.T) {
	setUp := func(t *testing.T) (*qt.C, *world) {
		c := qt.New(t)
		w := newWorld(worldOptions{seed: 3, hosts: 3, entries: 4, checked: 4})
		w.run(2 * time.Second)
		w.publish(w.leader(), "20260102T150405.000Z-start", 0, []conf.File{worldFile}, func(table.Outcome) {})
		w.run(8 * time.Second)
		return c, w
	}
	t.Run("one of four", func(t *testing.T) {
		c, w := setUp(t)
		w.report(8, "up1")
		w.run(w.now + 2*time.Second)
		c.Assert(w.slicesOf()["up1"], qt.Equals, 0)
		c.Assert(w.slicesOf()[""], qt.Equals, 0)
		assertUnbroken(c, w, 3)
	})
	t.Run("all of four", func(t *testing.T) {
		c, w := setUp(t)
		w.report(10, "up0", "up1", "up2", "up3")
		w.run(w.now + 2*time.Second)
		empty := 0
		for _, u := range w.upstreams {
			if w.slicesOf()[u.name] == 0 {
				empty++
			}
		}
		c.Assert(empty <= 1, qt.IsTrue, qt.Commentf("%v", w.slicesOf()))
		assertUnbroken(c, w, 3)
	})
}
