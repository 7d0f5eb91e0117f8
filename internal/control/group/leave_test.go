package group

import (
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"ebonyrill.dev/ebonyrill/internal/control/state"
	"ebonyrill.dev/ebonyrill/internal/shared/conf"
	"ebonyrill.dev/ebonyrill/internal/shared/table"
)

// leaveBound is the target for the time from the first notice that an upstream leaves until it gets no new requests.
const leaveBound = 3 * time.Second

// leaveSeeds is the number of seeds for each combination of notice and failure.
const leaveSeeds = 20

// TestLeavingUpstreamGetsNoNewWork drains an upstream under load, by its own announcement or by an operator, also when the
// control leader crashes or an entry host is cut off. For an upstream that checks no fencing tokens, the drain may wait until
// the lease of the entry host that is cut off has expired.
func TestLeavingUpstreamGetsNoNewWork(t *testing.T) {
	notices := []struct {
		name  string
		seeds uint64
		leave func(*world, *fakeUpstream)
	}{
		{"its own announcement", leaveSeeds, func(_ *world, u *fakeUpstream) { u.leaving = true }},
		{"an operator", leaveSeeds, func(w *world, u *fakeUpstream) {
			w.leader().step(func(g *Group) error {
				_, err := g.propose(state.Command{Drain: &state.Drain{Name: u.name, On: true}}, nil)
				return err
			})
			w.run(w.now + 100*time.Millisecond)
		}},
		{"a response seen by an entry host", leaveSeeds / 4, func(w *world, u *fakeUpstream) {
			w.leader().step(func(g *Group) error {
				_, err := g.renewInLoop(&table.Renewal{LeavingUpstreams: []table.Process{{Name: u.name, Incarnation: u.incarnation}}})
				return err
			})
			w.run(w.now + 100*time.Millisecond)
		}},
	}
	failures := []struct {
		name string
		fail func(*world)
	}{
		{"no failure", func(*world) {}},
		{"leader crash", func(w *world) { w.leader().crash() }},
		{"entry host cut off", func(w *world) { w.cut("entry0", w.nodeNames("entry0"), true, true) }},
	}
	for _, notice := range notices {
		for _, failure := range failures {
			for _, checked := range []bool{true, false} {
				t.Run(fmt.Sprintf("%s, %s, checks fences: %v", notice.name, failure.name, checked), func(t *testing.T) {
					t.Parallel()
					for seed := range notice.seeds {
						leaveOnce(qt.New(t), seed+1, checked, notice.leave, failure.fail)
					}
				})
			}
		}
	}
}

// TestReportOfAnEarlierProcessDrainsNothing checks that the report that an earlier process of an upstream leaves does not concern the
// present one.
func TestReportOfAnEarlierProcessDrainsNothing(t *testing.T) {
	w := newWorld(worldOptions{seed: 1, hosts: 3, entries: 2, checked: 2})
	w.run(2 * time.Second)
	w.publish(w.leader(), "20260102T150405.000Z-start", 0, []conf.File{worldFile}, func(table.PublishResult) {})
	w.run(6 * time.Second)
	u := w.upstreams[0]
	report := func(incarnation uint64) (leaving bool) {
		w.leader().step(func(g *Group) error {
			_, err := g.renewInLoop(&table.Renewal{LeavingUpstreams: []table.Process{{Name: u.name, Incarnation: incarnation}, {Name: "other", Incarnation: 1}}})
			return err
		})
		w.run(w.now + 200*time.Millisecond)
		known, _ := w.leader().group.state.UpstreamNamed(u.name)
		return known.Leaving
	}
	qt.Check(t, report(u.incarnation-1), qt.IsFalse)
	qt.Check(t, report(u.incarnation), qt.IsTrue)
}

func leaveOnce(c *qt.C, seed uint64, checked bool, leave func(*world, *fakeUpstream), fail func(*world)) {
	c.Helper()
	o := worldOptions{seed: seed, hosts: 3, entries: 3, checked: 3}
	if !checked {
		o.checked, o.unchecked = 0, 3
	}
	w := newWorld(o)
	w.run(2 * time.Second)
	w.publish(w.leader(), "20260102T150405.000Z-start", 0, []conf.File{worldFile}, func(table.PublishResult) {})
	w.run(6 * time.Second)
	w.load(14 * time.Second)
	w.loss = 0.01
	w.run(7 * time.Second)
	u := w.upstreams[seed%3]
	served := w.served
	leave(w, u)
	fail(w)
	u.drainedBy = w.now + leaveBound
	w.run(14 * time.Second)
	c.Assert(w.served > served, qt.IsTrue)
	assertNoViolations(c, w, seed)
}
