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

// leaveBound is the stated target from the first word that an upstream leaves until it gets no new work.
const leaveBound = 3 * time.Second

// leaveSeeds is how many leaves of each kind are tried.
const leaveSeeds = 20

// TestLeavingUpstreamGetsNoNewWork lets an upstream leave under load, by its own word or an operator's, also while the
// control leader is lost and while an entry host is cut off. An upstream that checks nothing may wait for the lease of
// the host that is cut off.
func TestLeavingUpstreamGetsNoNewWork(t *testing.T) {
	words := []struct {
		name  string
		leave func(*world, *fakeUpstream)
	}{
		{"its own word", func(_ *world, u *fakeUpstream) { u.leaving = true }},
		{"an operator's word", func(w *world, u *fakeUpstream) {
			w.leader().step(func(g *Group) error {
				_, err := g.propose(state.Command{Drain: &state.Drain{Name: u.name, On: true}}, nil)
				return err
			})
			w.run(w.now + 100*time.Millisecond)
		}},
	}
	failures := []struct {
		name string
		fail func(*world)
	}{
		{"nothing else", func(*world) {}},
		{"the leader is lost", func(w *world) { w.leader().crash() }},
		{"an entry host is cut off", func(w *world) { w.cut("entry0", w.names("entry0"), true, true) }},
	}
	for _, word := range words {
		for _, failure := range failures {
			for _, checked := range []bool{true, false} {
				t.Run(fmt.Sprintf("%s, %s, checks fences: %v", word.name, failure.name, checked), func(t *testing.T) {
					t.Parallel()
					for seed := range uint64(leaveSeeds) {
						leaveOnce(qt.New(t), seed+1, checked, word.leave, failure.fail)
					}
				})
			}
		}
	}
}

func leaveOnce(c *qt.C, seed uint64, checked bool, leave func(*world, *fakeUpstream), fail func(*world)) {
	c.Helper()
	o := worldOptions{seed: seed, hosts: 3, entries: 3, checked: 3}
	if !checked {
		o.checked, o.blind = 0, 3
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
	u.emptyBy = w.now + leaveBound
	w.run(14 * time.Second)
	c.Assert(w.served > served, qt.IsTrue)
	assertUnbroken(c, w, seed)
}
