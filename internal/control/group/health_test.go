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

// reportHealth reports request counts of all upstreams once a second, from the home of each. sees tells whether all requests of
// a host to an upstream fail.
func (w *world) reportHealth(seconds int, sees func(host, upstream string) bool) {
	for range seconds {
		w.run(w.now + time.Second)
		g := w.leader().group
		for _, u := range g.state.Upstreams() {
			home, _ := g.leader.homes.Of(u)
			stats := table.UpstreamStats{Number: u.Number, Answered: 60}
			if sees(home.Name, u.Name) {
				stats.Answered, stats.Failed = 0, 60
			}
			g.leader.health.Add(g.now(), home.Name, stats)
		}
	}
}

// homeOf returns the home of the named upstream.
func (w *world) homeOf(upstream string) string {
	g := w.leader().group
	u, _ := g.state.UpstreamNamed(upstream)
	home, _ := g.leader.homes.Of(u)
	return home.Name
}

// TestFailingUpstreams checks how the leader reacts to entry hosts' reports of failing requests: slices move only if two
// hosts see an upstream fail; otherwise only its home changes.
func TestFailingUpstreams(t *testing.T) {
	setUp := func(t *testing.T) (*qt.C, *world) {
		c := qt.New(t)
		w := newWorld(worldOptions{seed: 3, hosts: 3, entries: 4, checked: 4})
		w.run(2 * time.Second)
		w.publish(w.leader(), "20260102T150405.000Z-start", 0, []conf.File{worldFile}, func(table.PublishResult) {})
		w.run(8 * time.Second)
		return c, w
	}
	t.Run("an upstream that fails for all hosts loses its slices", func(t *testing.T) {
		c, w := setUp(t)
		first := w.homeOf("up1")
		w.reportHealth(12, func(_, upstream string) bool { return upstream == "up1" })
		c.Assert(w.homeOf("up1"), qt.Not(qt.Equals), first)
		c.Assert(w.slicesOf()["up1"], qt.Equals, 0)
		c.Assert(w.slicesOf()[""], qt.Equals, 0)
		assertNoViolations(c, w, 3)
	})
	t.Run("at most a share of the upstreams loses slices when all fail", func(t *testing.T) {
		c, w := setUp(t)
		w.reportHealth(20, func(string, string) bool { return true })
		empty := 0
		for _, u := range w.upstreams {
			if w.slicesOf()[u.name] == 0 {
				empty++
			}
		}
		c.Assert(empty <= 1, qt.IsTrue, qt.Commentf("%v", w.slicesOf()))
		assertNoViolations(c, w, 3)
	})
	t.Run("an upstream that one host cannot reach changes home but keeps its slices", func(t *testing.T) {
		c, w := setUp(t)
		first, before := w.homeOf("up1"), w.leader().group.state.Digest()
		w.reportHealth(30, func(host, upstream string) bool { return host == first && upstream == "up1" })
		c.Assert(w.homeOf("up1"), qt.Not(qt.Equals), first)
		c.Assert(w.leader().group.state.Digest(), qt.Equals, before)
	})
	t.Run("a host that reaches no upstream stops being a home and no slices move", func(t *testing.T) {
		c, w := setUp(t)
		bad, before := w.homeOf("up1"), w.leader().group.state.Digest()
		w.reportHealth(30, func(host, _ string) bool { return host == bad })
		for _, u := range w.upstreams {
			c.Assert(w.homeOf(u.name), qt.Not(qt.Equals), bad)
		}
		c.Assert(w.leader().group.state.Digest(), qt.Equals, before)
	})
	t.Run("the first home is restored, also under a new leader", func(t *testing.T) {
		c, w := setUp(t)
		first := w.homeOf("up1")
		w.reportHealth(10, func(host, upstream string) bool { return host == first && upstream == "up1" })
		c.Assert(w.homeOf("up1"), qt.Not(qt.Equals), first)
		w.leader().crash()
		w.run(w.now + 3*time.Second)
		c.Assert(w.homeOf("up1"), qt.Not(qt.Equals), first)
		w.run(w.now + exclusionTime + 5*time.Second)
		c.Assert(w.homeOf("up1"), qt.Equals, first)
		assertNoViolations(c, w, 3)
	})
}
