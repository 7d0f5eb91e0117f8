package raft

import (
	"math/rand/v2"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// trio is three cores with a clock and a network that a test controls.
type trio struct {
	c       *qt.C
	now     time.Duration
	cores   map[ReplicaID]*Core
	logs    map[ReplicaID][]Entry
	applied map[ReplicaID][]string
	cut     map[ReplicaID]bool
	held    []Message
	hold    func(Message) bool
	stride  time.Duration
}

func mustTrio(t *testing.T) *trio {
	tr := &trio{c: qt.New(t), now: time.Second, cores: map[ReplicaID]*Core{}, logs: map[ReplicaID][]Entry{},
		applied: map[ReplicaID][]string{}, cut: map[ReplicaID]bool{}, hold: func(Message) bool { return false }, stride: time.Millisecond}
	for id := ReplicaID(1); id <= 3; id++ {
		tr.cores[id] = New(id, DefaultTiming(), rand.New(rand.NewPCG(uint64(id), 5)), tr.now, HardState{Term: 1},
			Snapshot{Index: 1, Term: 1, Members: members(1, 2, 3)}, nil)
	}
	return tr
}

func members(ids ...ReplicaID) (m Members) {
	for _, id := range ids {
		m = append(m, Replica{ID: id, Address: "a", Voter: true})
	}
	return NewMembers(m...)
}

// run lets time pass in steps.
func (tr *trio) run(length time.Duration) {
	for end := tr.now + length; tr.now < end; tr.now += tr.stride {
		for id := ReplicaID(1); id <= 9; id++ {
			if c := tr.cores[id]; c != nil {
				c.Tick(tr.now)
				tr.settle(id)
			}
		}
	}
}

// settle performs a core's effects and those that follow from them.
func (tr *trio) settle(id ReplicaID) {
	out := tr.cores[id].Take()
	if out.Install != nil {
		tr.applied[id] = append(tr.applied[id], "snapshot")
	}
	for _, e := range out.Committed {
		if e.Kind == EntryCommand {
			tr.applied[id] = append(tr.applied[id], string(e.Data))
		}
	}
	for _, m := range out.Messages {
		tr.deliver(m)
	}
}

func (tr *trio) deliver(m Message) {
	if tr.hold(m) {
		tr.held = append(tr.held, m)
		return
	}
	if tr.cut[m.From] || tr.cut[m.To] || tr.cores[m.To] == nil {
		return
	}
	tr.cores[m.To].Step(tr.now, m)
	tr.settle(m.To)
}

func (tr *trio) leader() *Core {
	tr.c.Helper()
	for id, c := range tr.cores {
		if c.LeaseValid(tr.now) && !tr.cut[id] {
			return c
		}
	}
	tr.c.Fatal("no leader")
	return nil
}

func (tr *trio) mustPropose(text string) {
	tr.c.Helper()
	l := tr.leader()
	_, _, err := l.Propose(tr.now, []byte(text))
	tr.c.Assert(err, qt.IsNil)
	tr.settle(l.ID())
}

func other(id ReplicaID) ReplicaID { return id%3 + 1 }

func TestElectsOneLeaderAndCommits(t *testing.T) {
	tr := mustTrio(t)
	tr.run(time.Second)
	tr.mustPropose("a")
	tr.run(200 * time.Millisecond)
	for id := range tr.cores {
		tr.c.Assert(tr.applied[id], qt.DeepEquals, []string{"a"})
	}
}

// TestIsolatedHostDeposesNobody cuts a host off for an hour, in both directions or in one, while changes go on.
func TestIsolatedHostDeposesNobody(t *testing.T) {
	cuts := []struct {
		name string
		lost func(m Message, lonely ReplicaID) bool
	}{
		{"both ways", func(m Message, lonely ReplicaID) bool { return m.From == lonely || m.To == lonely }},
		{"it hears nothing", func(m Message, lonely ReplicaID) bool { return m.To == lonely }},
		{"nobody hears it", func(m Message, lonely ReplicaID) bool { return m.From == lonely }},
	}
	for _, v := range cuts {
		t.Run(v.name, func(t *testing.T) {
			tr := mustTrio(t)
			tr.run(time.Second)
			leader := tr.leader()
			lonely := other(leader.ID())
			term := leader.Term()
			tr.hold = func(m Message) bool { return v.lost(m, lonely) }
			tr.stride = 10 * time.Millisecond
			for range 12 {
				tr.run(5 * time.Minute)
				tr.held = nil
				tr.mustPropose("while away")
				tr.c.Assert(leader.Term(), qt.Equals, term)
				tr.c.Assert(tr.cores[lonely].Role() == Leader, qt.IsFalse)
			}
			tr.hold, tr.stride = func(Message) bool { return false }, time.Millisecond
			tr.run(2 * time.Second)
			tr.c.Assert(leader.LeaseValid(tr.now), qt.IsTrue)
			tr.c.Assert(leader.Term(), qt.Equals, term)
			tr.c.Assert(tr.applied[lonely], qt.HasLen, 12)
		})
	}
}

func TestIsolatedLeaderLosesItsLeaseBeforeAnotherLeads(t *testing.T) {
	tr := mustTrio(t)
	tr.run(time.Second)
	old := tr.leader()
	tr.cut[old.ID()] = true
	for range 3000 {
		tr.run(time.Millisecond)
		for id, c := range tr.cores {
			if id != old.ID() && c.Role() == Leader {
				tr.c.Assert(old.LeaseValid(tr.now), qt.IsFalse)
			}
		}
	}
	tr.mustPropose("new leader")
	_, _, err := old.Propose(tr.now, []byte("lost"))
	var notLeader *ErrNotLeader
	tr.c.Assert(err, qt.ErrorAs, &notLeader)
}

func TestPausedLeaderHasNoLeaseWhenItWakes(t *testing.T) {
	tr := mustTrio(t)
	tr.run(time.Second)
	old := tr.leader()
	delete(tr.cores, old.ID())
	tr.run(3 * time.Second)
	tr.cores[old.ID()] = old
	tr.c.Assert(old.Role(), qt.Equals, Leader)
	tr.c.Assert(old.LeaseValid(tr.now), qt.IsFalse)
}

func TestRestartedVoterKeepsItsPromiseToTheLeader(t *testing.T) {
	tr := mustTrio(t)
	tr.run(time.Second)
	leader := tr.leader()
	voter := other(leader.ID())
	old := tr.cores[voter]
	fresh := New(voter, DefaultTiming(), rand.New(rand.NewPCG(1, 1)), tr.now, old.hard, old.log.snapshot, old.log.entries)
	fresh.Step(tr.now, Message{Kind: MessageVote, From: other(voter), To: voter, Term: old.Term() + 1, LogIndex: 99, LogTerm: 99})
	tr.c.Assert(fresh.Take().Messages, qt.HasLen, 0)
	fresh.Step(tr.now, Message{Kind: MessagePreVote, From: other(voter), To: voter, Term: old.Term() + 1, LogIndex: 99, LogTerm: 99})
	tr.c.Assert(fresh.Take().Messages[0].Reject, qt.IsTrue)
}

func TestMessagesForAnotherIdentityAreDropped(t *testing.T) {
	tr := mustTrio(t)
	tr.run(time.Second)
	leader := tr.leader()
	wiped := New(99, DefaultTiming(), rand.New(rand.NewPCG(1, 1)), 0, HardState{}, Snapshot{}, nil)
	wiped.Step(time.Hour, Message{Kind: MessageVote, From: leader.ID(), To: 2, Term: 50, LogIndex: 99, LogTerm: 99})
	wiped.Step(time.Hour, Message{Kind: MessageAppend, From: leader.ID(), To: 2, Term: 50})
	out := wiped.Take()
	tr.c.Assert(out.Messages, qt.HasLen, 0)
	tr.c.Assert(out.HardState, qt.IsNil)
}

func TestUnknownReplicaNeverStandsForElection(t *testing.T) {
	wiped := New(99, DefaultTiming(), rand.New(rand.NewPCG(1, 1)), 0, HardState{}, Snapshot{}, nil)
	wiped.Tick(time.Hour)
	qt.Assert(t, wiped.Take().Messages, qt.HasLen, 0)
	qt.Assert(t, wiped.Role(), qt.Equals, Follower)
}

func TestCaughtUpBySnapshotAfterHundredsOfChanges(t *testing.T) {
	for _, compacted := range []bool{false, true} {
		tr := mustTrio(t)
		tr.run(time.Second)
		leader := tr.leader()
		away := other(leader.ID())
		tr.cut[away] = true
		for range 700 {
			tr.mustPropose("x")
			tr.run(time.Millisecond)
		}
		if compacted {
			s, ok := leader.SnapshotAt(leader.CommitIndex(), []byte("state"))
			tr.c.Assert(ok, qt.IsTrue)
			leader.Compact(s)
		}
		tr.cut[away] = false
		tr.run(3 * time.Second)
		tr.c.Assert(tr.cores[away].CommitIndex(), qt.Equals, leader.CommitIndex())
		tr.c.Assert(tr.applied[away][0] == "snapshot", qt.Equals, compacted)
	}
}

func TestMembershipChangesAreGuarded(t *testing.T) {
	tr := mustTrio(t)
	tr.run(time.Second)
	leader := tr.leader()
	refuse := func(next Members) {
		tr.c.Helper()
		_, _, err := leader.ProposeMembers(tr.now, next)
		var refused *ErrMembersRefused
		tr.c.Assert(err, qt.ErrorAs, &refused)
	}
	refuse(leader.Members().With(Replica{ID: 4, Voter: true}).With(Replica{ID: 5, Voter: true}))
	refuse(leader.Members().Without(leader.ID()))
	_, _, err := leader.ProposeMembers(tr.now, leader.Members().With(Replica{ID: 4}))
	tr.c.Assert(err, qt.IsNil)
	refuse(leader.Members().With(Replica{ID: 5}))
	tr.settle(leader.ID())
	tr.run(100 * time.Millisecond)
	_, _, err = leader.ProposeMembers(tr.now, leader.Members().With(Replica{ID: 5}))
	tr.c.Assert(err, qt.IsNil)
}

func TestTransferEndsTheLeaseAtOnce(t *testing.T) {
	tr := mustTrio(t)
	tr.run(time.Second)
	old := tr.leader()
	tr.c.Assert(old.TransferLeadership(tr.now), qt.IsTrue)
	tr.c.Assert(old.LeaseValid(tr.now), qt.IsFalse)
	tr.settle(old.ID())
	tr.run(150 * time.Millisecond)
	tr.c.Assert(tr.leader().ID(), qt.Not(qt.Equals), old.ID())
}

func TestLateTransferOrderDeposesNobody(t *testing.T) {
	tr := mustTrio(t)
	tr.run(time.Second)
	old := tr.leader()
	tr.hold = func(m Message) bool { return m.Kind == MessageTimeoutNow }
	tr.c.Assert(old.TransferLeadership(tr.now), qt.IsTrue)
	tr.settle(old.ID())
	tr.run(3 * time.Second)
	next := tr.leader()
	term := next.Term()
	tr.hold = func(Message) bool { return false }
	for _, m := range tr.held {
		tr.deliver(m)
	}
	tr.run(time.Second)
	tr.c.Assert(tr.leader().Term(), qt.Equals, term)
}

func TestOneWayCutTowardsTheLeaderEndsItsLease(t *testing.T) {
	tr := mustTrio(t)
	tr.run(time.Second)
	old := tr.leader()
	tr.hold = func(m Message) bool { return m.To == old.ID() }
	tr.run(2 * time.Second)
	tr.c.Assert(old.Role() == Leader && old.LeaseValid(tr.now), qt.IsFalse)
}
