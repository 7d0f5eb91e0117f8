package group

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"ebonyrill.dev/ebonyrill/internal/shared/table"
)

// leaderAndFollower returns a world with its leader and one follower.
func leaderAndFollower(c *qt.C) (w *world, leader, follower *fakeHost) {
	w = newWorld(worldOptions{seed: 9, hosts: 3})
	w.run(2 * time.Second)
	leader = w.leader()
	c.Assert(leader, qt.IsNotNil)
	for _, h := range w.hosts {
		if h != leader {
			follower = h
		}
	}
	return w, leader, follower
}

// renewAt sends an entry host's renewal to a control host. It returns counters of its answers and of the failed ones.
func (w *world) renewAt(h *fakeHost, r table.Renewal) (answers, failures *int) {
	answers, failures = new(int), new(int)
	h.step(func(g *Group) error {
		g.renewOrForward(&r, func(_ *table.RenewalResponse, err error) {
			*answers++
			if err != nil {
				*failures++
			}
		})
		return nil
	})
	return answers, failures
}

func entryRenewal(name string) table.Renewal {
	return table.Renewal{Host: table.EntryHost{Name: name, Incarnation: 1, Address: name, DataCentre: "dc"},
		UpstreamStats: []table.UpstreamStats{{Number: 1, Answered: 10}}}
}

func TestFollowerForwardsRenewals(t *testing.T) {
	t.Run("to the leader, each answered once", func(t *testing.T) {
		c := qt.New(t)
		w, leader, follower := leaderAndFollower(c)
		w.duplication = 1
		for _, name := range []string{"a", "b", "c"} {
			answers, failures := w.renewAt(follower, entryRenewal(name))
			w.run(w.now + 300*time.Millisecond)
			c.Assert([]int{*answers, *failures}, qt.DeepEquals, []int{1, 0})
			_, joined := leader.group.state.Entry(name)
			c.Assert(joined, qt.IsTrue)
		}
	})
	t.Run("again when a call is lost", func(t *testing.T) {
		c := qt.New(t)
		w, leader, follower := leaderAndFollower(c)
		w.run(w.now + 100*time.Millisecond)
		w.cut(follower.name, []string{leader.name}, false, true)
		answers, failures := w.renewAt(follower, entryRenewal("a"))
		w.run(w.now + 15*time.Millisecond)
		w.heal()
		w.run(w.now + 100*time.Millisecond)
		c.Assert([]int{*answers, *failures}, qt.DeepEquals, []int{1, 0})
	})
	t.Run("to the next leader when the first is lost", func(t *testing.T) {
		c := qt.New(t)
		w, leader, follower := leaderAndFollower(c)
		leader.crash()
		answers, _ := w.renewAt(follower, entryRenewal("a"))
		w.run(w.now + 700*time.Millisecond)
		c.Assert(*answers, qt.Equals, 1)
		c.Assert(w.leader(), qt.IsNotNil)
		answers, failures := w.renewAt(follower, entryRenewal("a"))
		w.run(w.now + 100*time.Millisecond)
		c.Assert([]int{*answers, *failures}, qt.DeepEquals, []int{1, 0})
	})
}

// TestLoadIsForwardedOnce sends a renewal a second time, as after a late call: its load must not be counted twice.
func TestLoadIsForwardedOnce(t *testing.T) {
	c := qt.New(t)
	r := entryRenewal("a")
	w := &forwardedRenewal{renewal: &r, since: time.Second}
	c.Assert(w.nextSend(time.Second).UpstreamStats, qt.HasLen, 1)
	c.Assert(w.nextSend(2*time.Second).UpstreamStats, qt.HasLen, 0)
	c.Assert(r.UpstreamStats, qt.HasLen, 1)
}

// TestCutOffFollowerAnswersNoWatch checks that a follower without a confirmation by the leader answers no watch, and that one
// with a confirmation answers with everything that was committed before the watch arrived.
func TestCutOffFollowerAnswersNoWatch(t *testing.T) {
	c := qt.New(t)
	w, leader, follower := leaderAndFollower(c)
	ask := func() (answer *table.Delta, err error) {
		follower.step(func(g *Group) error {
			follower.watch(&table.Watch{}, g.now(), follower.generation, func(d *table.Delta, e error) { answer, err = d, e })
			return nil
		})
		w.run(w.now + 2*watchHold)
		return answer, err
	}
	w.publishNext()
	published := func() uint64 { return leader.group.state.Config().Version }
	answer, err := ask()
	c.Assert(err, qt.IsNil)
	c.Assert(answer.Config.Version, qt.Equals, published())
	w.cut(follower.name, []string{leader.name}, false, true)
	w.publishNext()
	answer, err = ask()
	c.Assert(answer, qt.IsNil)
	c.Assert(err, qt.IsNotNil)
	w.heal()
	w.run(w.now + 200*time.Millisecond)
	answer, err = ask()
	c.Assert(err, qt.IsNil)
	c.Assert(answer.Config.Version, qt.Equals, published())
}
