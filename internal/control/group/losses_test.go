package group

import (
	"fmt"
	"slices"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"ebonyrill.dev/ebonyrill/internal/control/raft"
	"ebonyrill.dev/ebonyrill/internal/shared/conf"
	"ebonyrill.dev/ebonyrill/internal/shared/oper"
	"ebonyrill.dev/ebonyrill/internal/shared/table"
)

// publishUntilAcked publishes, retries every 500 ms, also at a new leader, and returns at the moment of the acknowledgement.
func (w *world) publishUntilAcked(c *qt.C, id string) {
	c.Helper()
	count, again := len(w.acknowledged), w.now
	for end := w.now + 8*time.Second; len(w.acknowledged) == count && w.now < end; w.run(w.now + time.Millisecond) {
		if h := w.leader(); h != nil && w.now >= again {
			again = w.now + 500*time.Millisecond
			w.publish(h, "20260102T150405.000Z-"+id, h.group.state.Config().Version, []conf.File{worldFile}, func(table.PublishResult) {})
		}
	}
	c.Assert(len(w.acknowledged) > count, qt.IsTrue, qt.Commentf("the publish was not acknowledged"))
}

// TestStandbyHostsNeverVote crashes an eligible voter for longer than deadVoterTime while a standby is in the group. The
// standby once replaced the voter, and was then lost permanently together with two eligible hosts.
func TestStandbyHostsNeverVote(t *testing.T) {
	for seed := range uint64(20) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			t.Parallel()
			c := qt.New(t)
			w := newFormingWorld(seed+1, 5, 1)
			spare := w.hosts[5]
			c.Assert(w.awaitVoters(10*time.Second), qt.IsTrue)
			w.run(w.now + time.Second)
			away := w.eligibleVoter()
			away.crash()
			w.run(w.now + 4*time.Second)
			c.Assert(w.leader(), qt.IsNotNil)
			away.start()
			w.run(w.now + 4*time.Second)
			w.publishUntilAcked(c, "last")
			spare.crash()
			w.eligibleVoter().crash()
			w.leader().crash()
			w.run(w.now + 5*time.Second)
			w.checkAcknowledged()
			assertNoViolations(c, w, seed)
		})
	}
}

// eligibleVoter returns a random running voter that is neither a standby nor the leader.
func (w *world) eligibleVoter() *fakeHost {
	leader, voters := w.leader(), w.voters()
	for _, i := range w.random.Perm(len(w.hosts)) {
		if h := w.hosts[i]; h != leader && !h.down && !h.standby && slices.Contains(voters, h.name) {
			return h
		}
	}
	return nil
}

// TestAcknowledgedAsSoonAsTheGroupGrows publishes every 10 ms while a group grows from one host. At the first acknowledgement two
// hosts lose their disks and all others lose power; a publish that is on only one or two disks would be lost.
func TestAcknowledgedAsSoonAsTheGroupGrows(t *testing.T) {
	for seed := range uint64(20) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			t.Parallel()
			c := qt.New(t)
			w := newFormingWorld(seed+1, 5, 1)
			for n := 0; len(w.acknowledged) == 0 && w.now < 20*time.Second; n++ {
				w.publish(w.hosts[0], fmt.Sprintf("20260102T150405.000Z-%04d", n), 0, []conf.File{worldFile}, func(table.PublishResult) {})
				w.run(w.now + 10*time.Millisecond)
			}
			c.Assert(w.acknowledged, qt.Not(qt.HasLen), 0)
			w.loseAll()
			w.run(w.now + 15*time.Second)
			w.checkAcknowledged()
			assertNoViolations(c, w, seed)
		})
	}
}

// TestGroupWithTooFewHosts checks that a new group of five acknowledges publishes with one host missing, after growthTime, and not
// with two missing: two losses would destroy what a quorum of two disks acknowledged.
func TestGroupWithTooFewHosts(t *testing.T) {
	for hosts, served := range map[int]bool{1: false, 2: false, 3: false, 4: true, 5: true} {
		t.Run(fmt.Sprint(hosts), func(t *testing.T) {
			t.Parallel()
			c := qt.New(t)
			w := newFormingWorld(1, hosts, 0)
			w.run(growthTime + 2*time.Second)
			h := w.leader()
			c.Assert(h, qt.IsNotNil)
			w.publish(h, "20260102T150405.000Z-first", 0, []conf.File{worldFile}, func(table.PublishResult) {})
			w.run(w.now + time.Second)
			c.Assert(len(w.acknowledged) == 1, qt.Equals, served)
		})
	}
}

// TestLostDisksKeepTheQuorumAtThree loses two disks at once and checks that the quorum is never below three disks while they are
// replaced. Once, both old identities were removed first, and two disks were a quorum.
func TestLostDisksKeepTheQuorumAtThree(t *testing.T) {
	for seed := range uint64(20) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			t.Parallel()
			c := qt.New(t)
			w := newFormingWorld(seed+1, 5, 0)
			c.Assert(w.awaitVoters(10*time.Second), qt.IsTrue)
			w.run(w.now + time.Second)
			first := w.eligibleVoter()
			first.loseDisk()
			w.eligibleVoter().loseDisk()
			for _, h := range w.hosts {
				if h.down {
					h.start()
				}
			}
			quorum := toleratedLosses + 1
			for end := w.now + catchUpLimit; w.now < end; w.run(w.now + time.Millisecond) {
				if h := w.leader(); h != nil {
					quorum = min(quorum, h.group.core.Members().Quorum())
				}
			}
			c.Assert(quorum, qt.Equals, toleratedLosses+1)
			c.Assert(w.awaitRedundancy(time.Second), qt.IsTrue)
			c.Assert(w.leader().group.core.Members(), qt.HasLen, 5)
			assertNoViolations(c, w, seed)
		})
	}
}

// TestOperatorsCannotRemoveMoreThanTheLossesAllow removes voters of a group that tolerates two losses. With four voters a quorum is
// still three disks; with three it would be two, so the second removal must be rejected.
func TestOperatorsCannotRemoveMoreThanTheLossesAllow(t *testing.T) {
	c := qt.New(t)
	w := newFormingWorld(1, 5, 0)
	c.Assert(w.awaitVoters(10*time.Second), qt.IsTrue)
	w.run(w.now + time.Second)
	remove := func() error {
		h := w.eligibleVoter()
		h.crash()
		return w.changeMembers(oper.MembersRequest{Action: oper.Remove, ID: uint64(h.disk.id)}, raft.Replica{})
	}
	c.Assert(remove(), qt.IsNil)
	w.run(w.now + 200*time.Millisecond)
	c.Assert(w.voters(), qt.HasLen, 4)
	var refused *oper.ErrRefused
	c.Assert(remove(), qt.ErrorAs, &refused)
}

// TestSoakLosses crashes processes between write and sync, loses disks, and pauses and cuts off hosts. At the moment of each
// acknowledgement it causes the largest loss that the group must tolerate.
func TestSoakLosses(t *testing.T) {
	first, count := soakSeeds()
	for seed := first; seed < first+count; seed++ {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			t.Parallel()
			c := qt.New(t)
			w := newFormingWorld(seed, 5, int(seed%3))
			w.loss, w.duplication = 0.01, 0.01
			for round := range 4 {
				c.Assert(w.awaitRedundancy(20*time.Second), qt.IsTrue, qt.Commentf("round %d: no full redundancy", round))
				w.run(w.now + w.disruptOne() + catchUpLimit)
				c.Assert(w.awaitRedundancy(time.Second), qt.IsTrue, qt.Commentf("round %d: no full redundancy in time", round))
				w.crashSomeBeforeSync()
				w.publishUntilAcked(c, fmt.Sprintf("%d-%04d", round, seed))
				w.loseAll()
				w.run(w.now + 10*time.Second)
				w.checkAcknowledged()
			}
			assertNoViolations(c, w, seed)
		})
	}
}

// disruptOne makes one eligible host unavailable, with or without loss of its disk, and returns for how long.
func (w *world) disruptOne() (back time.Duration) {
	h := w.hosts[w.random.IntN(5)]
	back = time.Duration(100+w.random.IntN(4000)) * time.Millisecond
	switch w.random.IntN(4) {
	case 0:
		w.pause(h.name, back)
		return back
	case 1:
		w.cut(h.name, w.nodeNames(h.name), true, w.random.IntN(2) == 0)
		w.in("operator", back, w.heal)
		return back
	case 2:
		h.loseDisk()
	case 3:
		h.losePower()
	}
	w.in("operator", back, h.start)
	return back
}

// crashSomeBeforeSync makes up to two hosts crash between the write and the sync of their next save, and restart at once.
func (w *world) crashSomeBeforeSync() {
	for range w.random.IntN(3) {
		h := w.hosts[w.random.IntN(5)]
		h.disk.crashBeforeSync = true
		w.restartOnceDown(h, h.generation, 400)
	}
}

// restartOnceDown polls a host and starts it once it has crashed; it gives up after the given number of tries.
func (w *world) restartOnceDown(h *fakeHost, generation, tries int) {
	w.in("operator", 5*time.Millisecond, func() {
		switch {
		case h.down && h.generation == generation+1:
			h.start()
		case h.generation == generation && tries > 0:
			w.restartOnceDown(h, generation, tries-1)
		}
	})
}

// loseAll causes the largest tolerated loss: two eligible hosts lose their disks, the other eligible hosts lose power, and all of
// them restart within a second. Standbys are lost permanently.
func (w *world) loseAll() {
	for i, n := range w.random.Perm(5) {
		h := w.hosts[n]
		if i < toleratedLosses {
			h.loseDisk()
		} else {
			h.losePower()
		}
		generation := h.generation
		w.in("operator", time.Duration(w.random.Int64N(int64(time.Second))), func() {
			if h.generation == generation {
				h.start()
			}
		})
	}
	for _, h := range w.hosts[5:] {
		h.losePower()
	}
}

// awaitRedundancy advances time until the group has all its voters and each holds all committed entries, and reports whether that
// happened in time.
func (w *world) awaitRedundancy(within time.Duration) bool {
	for end := w.now + within; w.now < end; w.run(w.now + 20*time.Millisecond) {
		if h := w.leader(); h != nil && h.group.allVotersCaughtUp() {
			return true
		}
	}
	return false
}

// allVotersCaughtUp reports whether the group has the intended number of voters, all of them caught up.
func (g *Group) allVotersCaughtUp() bool {
	for _, m := range g.core.Members() {
		if m.Voter && !g.caughtUp(g.now(), m) {
			return false
		}
	}
	return g.core.Members().Voters() == g.options.Formation.Voters && g.core.MembersCommitted()
}
