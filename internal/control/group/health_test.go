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

// report lets each home tell of what it saw of its upstreams each second; sees tells whether a host sees an upstream fail.
func (w *world) report(seconds int, sees func(host, upstream string) bool) {
	for range seconds {
		w.run(w.now + time.Second)
		g := w.leader().group
		for _, u := range g.state.Upstreams() {
			home, _ := g.lead.homes.Of(u)
			seen := table.UpstreamStats{Number: u.Number, Answered: 60}
			if sees(home.Name, u.Name) {
				seen.Answered, seen.Failed = 0, 60
			}
			g.lead.health.Add(g.now(), home.Name, seen)
		}
	}
}

// homeOf returns the home of the named upstream.
func (w *world) homeOf(upstream string) string {
	g := w.leader().group
	u, _ := g.state.UpstreamNamed(upstream)
	home, _ := g.lead.homes.Of(u)
	return home.Name
}

func TestFailingUpstreams(t *testing.T) {
	setUp := func(t *testing.T) (*qt.C, *world) {
		c := qt.New(t)
		w := newWorld(worldOptions{seed: 3, hosts: 3, entries: 4, checked: 4})
		w.run(2 * time.Second)
		w.publish(w.leader(), "20260102T150405.000Z-start", 0, []conf.File{worldFile}, func(table.PublishResult) {})
		w.run(8 * time.Second)
		return c, w
	}
	t.Run("one that fails for all hosts is emptied", func(t *testing.T) {
		c, w := setUp(t)
		first := w.homeOf("up1")
		w.report(12, func(_, upstream string) bool { return upstream == "up1" })
		c.Assert(w.homeOf("up1"), qt.Not(qt.Equals), first)
		c.Assert(w.slicesOf()["up1"], qt.Equals, 0)
		c.Assert(w.slicesOf()[""], qt.Equals, 0)
		assertUnbroken(c, w, 3)
	})
	t.Run("at most a share is emptied when all fail", func(t *testing.T) {
		c, w := setUp(t)
		w.report(20, func(string, string) bool { return true })
		empty := 0
		for _, u := range w.upstreams {
			if w.slicesOf()[u.name] == 0 {
				empty++
			}
		}
		c.Assert(empty <= 1, qt.IsTrue, qt.Commentf("%v", w.slicesOf()))
		assertUnbroken(c, w, 3)
	})
	t.Run("a host that cannot reach an upstream costs its home and no keys", func(t *testing.T) {
		c, w := setUp(t)
		first, before := w.homeOf("up1"), w.leader().group.state.Digest()
		w.report(30, func(host, upstream string) bool { return host == first && upstream == "up1" })
		c.Assert(w.homeOf("up1"), qt.Not(qt.Equals), first)
		c.Assert(w.leader().group.state.Digest(), qt.Equals, before)
	})
	t.Run("a host that reaches none loses its homes and no keys", func(t *testing.T) {
		c, w := setUp(t)
		bad, before := w.homeOf("up1"), w.leader().group.state.Digest()
		w.report(30, func(host, _ string) bool { return host == bad })
		for _, u := range w.upstreams {
			c.Assert(w.homeOf(u.name), qt.Not(qt.Equals), bad)
		}
		c.Assert(w.leader().group.state.Digest(), qt.Equals, before)
	})
	t.Run("the first home comes back, also under a new leader", func(t *testing.T) {
		c, w := setUp(t)
		first := w.homeOf("up1")
		w.report(10, func(host, upstream string) bool { return host == first && upstream == "up1" })
		c.Assert(w.homeOf("up1"), qt.Not(qt.Equals), first)
		w.leader().crash()
		w.run(w.now + 3*time.Second)
		c.Assert(w.homeOf("up1"), qt.Not(qt.Equals), first)
		w.run(w.now + exclusionTime + 5*time.Second)
		c.Assert(w.homeOf("up1"), qt.Equals, first)
		assertUnbroken(c, w, 3)
	})
}
