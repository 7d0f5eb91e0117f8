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

// tell publishes, and again at the next leader, and lets time pass until the operator was told, as the last thing before a loss.
func (w *world) tell(c *qt.C, id string) {
	c.Helper()
	told, again := len(w.told), w.now
	for end := w.now + 8*time.Second; len(w.told) == told && w.now < end; w.run(w.now + time.Millisecond) {
		if h := w.leader(); h != nil && w.now >= again {
			again = w.now + 500*time.Millisecond
			w.publish(h, "20260102T150405.000Z-"+id, h.group.state.Config().Version, []conf.File{worldFile}, func(table.PublishResult) {})
		}
	}
	c.Assert(len(w.told) > told, qt.IsTrue, qt.Commentf("the publish was not acknowledged"))
}

// TestHostsThatAreNotCountedNeverVote cuts a counted host off for longer than a voter is waited for, with a host standing by that is
// not counted; that one took the vote, and was then lost for good beside two that are counted.
func TestHostsThatAreNotCountedNeverVote(t *testing.T) {
	for seed := range uint64(20) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			t.Parallel()
			c := qt.New(t)
			w := newFormingWorld(seed+1, 5, 1)
			spare := w.hosts[5]
			c.Assert(w.settleVoters(10*time.Second), qt.IsTrue)
			w.run(w.now + time.Second)
			away := w.countedVoter()
			away.crash()
			w.run(w.now + 4*time.Second)
			c.Assert(w.leader(), qt.IsNotNil)
			away.start()
			w.run(w.now + 4*time.Second)
			w.tell(c, "last")
			spare.crash()
			w.countedVoter().crash()
			w.leader().crash()
			w.run(w.now + 5*time.Second)
			w.checkTold()
			assertUnbroken(c, w, seed)
		})
	}
}

// countedVoter returns a voter that is counted, runs and does not lead.
func (w *world) countedVoter() *fakeHost {
	leader, voters := w.leader(), w.voters()
	for _, i := range w.random.Perm(len(w.hosts)) {
		if h := w.hosts[i]; h != leader && !h.down && !h.standsBy && slices.Contains(voters, h.name) {
			return h
		}
	}
	return nil
}

// TestAcknowledgedAsSoonAsTheGroupGrows publishes without pause from the first moment of a group that grows from one host, and at the
// first acknowledgement takes the disks of any two hosts and the power of all others; one disk or two held the publish.
func TestAcknowledgedAsSoonAsTheGroupGrows(t *testing.T) {
	for seed := range uint64(20) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			t.Parallel()
			c := qt.New(t)
			w := newFormingWorld(seed+1, 5, 1)
			for n := 0; len(w.told) == 0 && w.now < 20*time.Second; n++ {
				w.publish(w.hosts[0], fmt.Sprintf("20260102T150405.000Z-%04d", n), 0, []conf.File{worldFile}, func(table.PublishResult) {})
				w.run(w.now + 10*time.Millisecond)
			}
			c.Assert(w.told, qt.Not(qt.HasLen), 0)
			w.loseAll()
			w.run(w.now + 15*time.Second)
			w.checkTold()
			assertUnbroken(c, w, seed)
		})
	}
}

// TestGroupWithTooFewHosts holds that a first start with one host missing is served after a while, and one with two missing is not:
// a quorum of two disks would acknowledge what two losses take.
func TestGroupWithTooFewHosts(t *testing.T) {
	for hosts, served := range map[int]bool{1: false, 2: false, 3: false, 4: true, 5: true} {
		t.Run(fmt.Sprint(hosts), func(t *testing.T) {
			t.Parallel()
			c := qt.New(t)
			w := newFormingWorld(1, hosts, 0)
			w.run(growTime + 2*time.Second)
			h := w.leader()
			c.Assert(h, qt.IsNotNil)
			w.publish(h, "20260102T150405.000Z-first", 0, []conf.File{worldFile}, func(table.PublishResult) {})
			w.run(w.now + time.Second)
			c.Assert(len(w.told) == 1, qt.Equals, served)
		})
	}
}

// TestLostDisksLeaveAQuorumThatOutlivesTwoLosses loses two disks at once and holds that a quorum is never fewer than three disks
// while they are replaced; both identities were taken out first, so that two disks decided.
func TestLostDisksLeaveAQuorumThatOutlivesTwoLosses(t *testing.T) {
	for seed := range uint64(20) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			t.Parallel()
			c := qt.New(t)
			w := newFormingWorld(seed+1, 5, 0)
			c.Assert(w.settleVoters(10*time.Second), qt.IsTrue)
			w.run(w.now + time.Second)
			first := w.countedVoter()
			first.loseDisk()
			w.countedVoter().loseDisk()
			for _, h := range w.hosts {
				if h.down {
					h.start()
				}
			}
			quorum := tolerated + 1
			for end := w.now + catchUp; w.now < end; w.run(w.now + time.Millisecond) {
				if h := w.leader(); h != nil {
					quorum = min(quorum, h.group.core.Members().Quorum())
				}
			}
			c.Assert(quorum, qt.Equals, tolerated+1)
			c.Assert(w.settleRedundant(time.Second), qt.IsTrue)
			c.Assert(w.leader().group.core.Members(), qt.HasLen, 5)
			assertUnbroken(c, w, seed)
		})
	}
}

// TestOperatorsCannotRemoveMoreThanTheLossesAllow removes voters of a group that tolerates two losses: with four, every quorum is
// still three disks, with three it would be two.
func TestOperatorsCannotRemoveMoreThanTheLossesAllow(t *testing.T) {
	c := qt.New(t)
	w := newFormingWorld(1, 5, 0)
	c.Assert(w.settleVoters(10*time.Second), qt.IsTrue)
	w.run(w.now + time.Second)
	remove := func() error {
		h := w.countedVoter()
		h.crash()
		return w.changeMembers(oper.MembersRequest{Action: oper.Remove, ID: uint64(h.disk.id)}, raft.Replica{})
	}
	c.Assert(remove(), qt.IsNil)
	w.run(w.now + 200*time.Millisecond)
	c.Assert(w.voters(), qt.HasLen, 4)
	var refused *oper.ErrRefused
	c.Assert(remove(), qt.ErrorAs, &refused)
}

// TestSoakLosses ends processes between write and sync, takes disks, freezes and cuts hosts off, and over and over loses as much as
// is to be survived in the moment of an acknowledgement.
func TestSoakLosses(t *testing.T) {
	first, count := soakSeeds()
	for seed := first; seed < first+count; seed++ {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			t.Parallel()
			c := qt.New(t)
			w := newFormingWorld(seed, 5, int(seed%3))
			w.loss, w.twice = 0.01, 0.01
			for round := range 4 {
				c.Assert(w.settleRedundant(20*time.Second), qt.IsTrue, qt.Commentf("round %d: no full redundancy", round))
				w.run(w.now + w.disturbOne() + catchUp)
				c.Assert(w.settleRedundant(time.Second), qt.IsTrue, qt.Commentf("round %d: no full redundancy in time", round))
				w.endSomeBeforeSync()
				w.tell(c, fmt.Sprintf("%d-%04d", round, seed))
				w.loseAll()
				w.run(w.now + 10*time.Second)
				w.checkTold()
			}
			assertUnbroken(c, w, seed)
		})
	}
}

// disturbOne takes one counted host away for a while, with or without its disk, and returns for how long.
func (w *world) disturbOne() (back time.Duration) {
	h := w.hosts[w.random.IntN(5)]
	back = time.Duration(100+w.random.IntN(4000)) * time.Millisecond
	switch w.random.IntN(4) {
	case 0:
		w.pause(h.name, back)
		return back
	case 1:
		w.cut(h.name, w.names(h.name), true, w.random.IntN(2) == 0)
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

// endSomeBeforeSync lets up to two hosts end between the write and the sync of what comes next, and start again at once.
func (w *world) endSomeBeforeSync() {
	for range w.random.IntN(3) {
		h := w.hosts[w.random.IntN(5)]
		h.disk.endsBeforeSync = true
		w.restartOnceDown(h, h.life, 400)
	}
}

func (w *world) restartOnceDown(h *fakeHost, life, tries int) {
	w.in("operator", 5*time.Millisecond, func() {
		switch {
		case h.down && h.life == life+1:
			h.start()
		case h.life == life && tries > 0:
			w.restartOnceDown(h, life, tries-1)
		}
	})
}

// loseAll takes the disks of two counted hosts, those that are not counted for good, and the power of all others, which are back
// within a second.
func (w *world) loseAll() {
	for i, n := range w.random.Perm(5) {
		h := w.hosts[n]
		if i < tolerated {
			h.loseDisk()
		} else {
			h.losePower()
		}
		life := h.life
		w.in("operator", time.Duration(w.random.Int64N(int64(time.Second))), func() {
			if h.life == life {
				h.start()
			}
		})
	}
	for _, h := range w.hosts[5:] {
		h.losePower()
	}
}

// settleRedundant lets time pass until the leader has all voters it wants and each of them holds what is committed.
func (w *world) settleRedundant(within time.Duration) bool {
	for end := w.now + within; w.now < end; w.run(w.now + 20*time.Millisecond) {
		if h := w.leader(); h != nil && h.group.allVotersCaughtUp() {
			return true
		}
	}
	return false
}

func (g *Group) allVotersCaughtUp() bool {
	for _, m := range g.core.Members() {
		if m.Voter && !g.caughtUp(g.now(), m) {
			return false
		}
	}
	return g.core.Members().Voters() == g.options.Formation.Voters && g.core.MembersCommitted()
}
