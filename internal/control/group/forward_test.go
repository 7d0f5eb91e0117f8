package group

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"ebonyrill.dev/ebonyrill/internal/shared/table"
)

// following returns a world with a leader and a host that follows it.
func following(c *qt.C) (w *world, leader, follower *fakeHost) {
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

// renewAt sends an entry host's renewal to a control host and returns how often it was answered and how well.
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
		w, leader, follower := following(c)
		w.twice = 1
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
		w, leader, follower := following(c)
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
		w, leader, follower := following(c)
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

// TestLoadIsForwardedOnce sends a renewal a second time, as when a call is late: its load must not count twice.
func TestLoadIsForwardedOnce(t *testing.T) {
	c := qt.New(t)
	r := entryRenewal("a")
	w := &forwarded{renewal: &r, since: time.Second}
	c.Assert(w.next(time.Second).UpstreamStats, qt.HasLen, 1)
	c.Assert(w.next(2*time.Second).UpstreamStats, qt.HasLen, 0)
	c.Assert(r.UpstreamStats, qt.HasLen, 1)
}

// TestCutOffFollowerAnswersNoWatch holds that a follower which the leader does not confirm answers nobody, and that one
// that is confirmed answers with all that was committed before the watch arrived.
func TestCutOffFollowerAnswersNoWatch(t *testing.T) {
	c := qt.New(t)
	w, leader, follower := following(c)
	ask := func() (answer *table.Delta, err error) {
		follower.step(func(g *Group) error {
			follower.watch(&table.Watch{}, g.now(), follower.life, func(d *table.Delta, e error) { answer, err = d, e })
			return nil
		})
		w.run(w.now + 2*watchPatience)
		return answer, err
	}
	w.publishNext()
	told := func() uint64 { return leader.group.state.Config().Version }
	answer, err := ask()
	c.Assert(err, qt.IsNil)
	c.Assert(answer.Config.Version, qt.Equals, told())
	w.cut(follower.name, []string{leader.name}, false, true)
	w.publishNext()
	answer, err = ask()
	c.Assert(answer, qt.IsNil)
	c.Assert(err, qt.IsNotNil)
	w.heal()
	w.run(w.now + 200*time.Millisecond)
	answer, err = ask()
	c.Assert(err, qt.IsNil)
	c.Assert(answer.Config.Version, qt.Equals, told())
}
