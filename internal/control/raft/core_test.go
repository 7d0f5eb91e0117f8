package raft

import (
	"math/rand/v2"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// cluster is a group of three cores with a simulated clock and network.
type cluster struct {
	c            *qt.C
	now          time.Duration
	cores        map[ReplicaID]*Core
	logs         map[ReplicaID][]Entry
	applied      map[ReplicaID][]string
	isolated     map[ReplicaID]bool
	intercepted  []Message
	intercept    func(Message) bool
	tickInterval time.Duration
}

func newCluster(t *testing.T) *cluster {
	cl := &cluster{c: qt.New(t), now: time.Second, cores: map[ReplicaID]*Core{}, logs: map[ReplicaID][]Entry{},
		applied: map[ReplicaID][]string{}, isolated: map[ReplicaID]bool{}, intercept: func(Message) bool { return false }, tickInterval: time.Millisecond}
	for id := ReplicaID(1); id <= 3; id++ {
		cl.cores[id] = New(id, DefaultTiming(), rand.New(rand.NewPCG(uint64(id), 5)), cl.now, HardState{Term: 1},
			Snapshot{Index: 1, Term: 1, Members: members(1, 2, 3)}, nil)
	}
	return cl
}

func members(ids ...ReplicaID) (m Members) {
	for _, id := range ids {
		m = append(m, Replica{ID: id, Address: "a", Voter: true})
	}
	return NewMembers(m...)
}

// run advances the clock by length and ticks all cores at each step.
func (cl *cluster) run(length time.Duration) {
	for end := cl.now + length; cl.now < end; cl.now += cl.tickInterval {
		for id := ReplicaID(1); id <= 9; id++ {
			if c := cl.cores[id]; c != nil {
				c.Tick(cl.now)
				cl.performEffects(id)
			}
		}
	}
}

// performEffects performs a core's effects and those of the cores that receive its messages.
func (cl *cluster) performEffects(id ReplicaID) {
	out := cl.cores[id].Take()
	if out.Install != nil {
		cl.applied[id] = append(cl.applied[id], "snapshot")
	}
	for _, e := range out.Committed {
		if e.Kind == EntryCommand {
			cl.applied[id] = append(cl.applied[id], string(e.Data))
		}
	}
	for _, m := range out.Messages {
		cl.deliver(m)
	}
}

func (cl *cluster) deliver(m Message) {
	if cl.intercept(m) {
		cl.intercepted = append(cl.intercepted, m)
		return
	}
	if cl.isolated[m.From] || cl.isolated[m.To] || cl.cores[m.To] == nil {
		return
	}
	cl.cores[m.To].Step(cl.now, m)
	cl.performEffects(m.To)
}

func (cl *cluster) leader() *Core {
	cl.c.Helper()
	for id, c := range cl.cores {
		if c.LeaseValid(cl.now) && !cl.isolated[id] {
			return c
		}
	}
	cl.c.Fatal("no leader")
	return nil
}

func (cl *cluster) mustPropose(text string) {
	cl.c.Helper()
	l := cl.leader()
	_, _, err := l.Propose(cl.now, []byte(text))
	cl.c.Assert(err, qt.IsNil)
	cl.performEffects(l.ID())
}

func other(id ReplicaID) ReplicaID { return id%3 + 1 }

func TestElectsOneLeaderAndCommits(t *testing.T) {
	cl := newCluster(t)
	cl.run(time.Second)
	cl.mustPropose("a")
	cl.run(200 * time.Millisecond)
	for id := range cl.cores {
		cl.c.Assert(cl.applied[id], qt.DeepEquals, []string{"a"})
	}
}

// TestIsolatedHostDeposesNobody isolates a host for an hour, in one direction or both, while the others commit entries. The
// leader must keep its term: without pre-vote, the isolated host would raise its term and depose the leader on its return.
func TestIsolatedHostDeposesNobody(t *testing.T) {
	cases := []struct {
		name string
		lost func(m Message, isolated ReplicaID) bool
	}{
		{"both directions lost", func(m Message, isolated ReplicaID) bool { return m.From == isolated || m.To == isolated }},
		{"inbound lost", func(m Message, isolated ReplicaID) bool { return m.To == isolated }},
		{"outbound lost", func(m Message, isolated ReplicaID) bool { return m.From == isolated }},
	}
	for _, v := range cases {
		t.Run(v.name, func(t *testing.T) {
			cl := newCluster(t)
			cl.run(time.Second)
			leader := cl.leader()
			isolated := other(leader.ID())
			term := leader.Term()
			cl.intercept = func(m Message) bool { return v.lost(m, isolated) }
			cl.tickInterval = 10 * time.Millisecond
			for range 12 {
				cl.run(5 * time.Minute)
				cl.intercepted = nil
				cl.mustPropose("while isolated")
				cl.c.Assert(leader.Term(), qt.Equals, term)
				cl.c.Assert(cl.cores[isolated].Role() == Leader, qt.IsFalse)
			}
			cl.intercept, cl.tickInterval = func(Message) bool { return false }, time.Millisecond
			cl.run(2 * time.Second)
			cl.c.Assert(leader.LeaseValid(cl.now), qt.IsTrue)
			cl.c.Assert(leader.Term(), qt.Equals, term)
			cl.c.Assert(cl.applied[isolated], qt.HasLen, 12)
		})
	}
}

func TestIsolatedLeaderLosesItsLeaseBeforeAnotherLeads(t *testing.T) {
	cl := newCluster(t)
	cl.run(time.Second)
	old := cl.leader()
	cl.isolated[old.ID()] = true
	for range 3000 {
		cl.run(time.Millisecond)
		for id, c := range cl.cores {
			if id != old.ID() && c.Role() == Leader {
				cl.c.Assert(old.LeaseValid(cl.now), qt.IsFalse)
			}
		}
	}
	cl.mustPropose("new leader")
	_, _, err := old.Propose(cl.now, []byte("lost"))
	var notLeader *ErrNotLeader
	cl.c.Assert(err, qt.ErrorAs, &notLeader)
}

func TestPausedLeaderHasNoLeaseWhenItWakes(t *testing.T) {
	cl := newCluster(t)
	cl.run(time.Second)
	old := cl.leader()
	delete(cl.cores, old.ID())
	cl.run(3 * time.Second)
	cl.cores[old.ID()] = old
	cl.c.Assert(old.Role(), qt.Equals, Leader)
	cl.c.Assert(old.LeaseValid(cl.now), qt.IsFalse)
}

func TestRestartedVoterKeepsTheLeaderLease(t *testing.T) {
	cl := newCluster(t)
	cl.run(time.Second)
	leader := cl.leader()
	voter := other(leader.ID())
	old := cl.cores[voter]
	restarted := New(voter, DefaultTiming(), rand.New(rand.NewPCG(1, 1)), cl.now, old.hardState, old.log.snapshot, old.log.entries)
	restarted.Step(cl.now, Message{Kind: MessageVote, From: other(voter), To: voter, Term: old.Term() + 1, LogIndex: 99, LogTerm: 99})
	cl.c.Assert(restarted.Take().Messages, qt.HasLen, 0)
	restarted.Step(cl.now, Message{Kind: MessagePreVote, From: other(voter), To: voter, Term: old.Term() + 1, LogIndex: 99, LogTerm: 99})
	cl.c.Assert(restarted.Take().Messages[0].Reject, qt.IsTrue)
}

// TestMessagesForAnotherIdentityAreDropped restarts a replica with an empty data folder, and so with a new ID, at the address
// of replica 2. If it voted or accepted entries as replica 2, committed entries could be lost.
func TestMessagesForAnotherIdentityAreDropped(t *testing.T) {
	cl := newCluster(t)
	cl.run(time.Second)
	leader := cl.leader()
	wiped := New(99, DefaultTiming(), rand.New(rand.NewPCG(1, 1)), 0, HardState{}, Snapshot{}, nil)
	wiped.Step(time.Hour, Message{Kind: MessageVote, From: leader.ID(), To: 2, Term: 50, LogIndex: 99, LogTerm: 99})
	wiped.Step(time.Hour, Message{Kind: MessageAppend, From: leader.ID(), To: 2, Term: 50})
	out := wiped.Take()
	cl.c.Assert(out.Messages, qt.HasLen, 0)
	cl.c.Assert(out.HardState, qt.IsNil)
}

func TestUnknownReplicaNeverStandsForElection(t *testing.T) {
	wiped := New(99, DefaultTiming(), rand.New(rand.NewPCG(1, 1)), 0, HardState{}, Snapshot{}, nil)
	wiped.Tick(time.Hour)
	qt.Assert(t, wiped.Take().Messages, qt.HasLen, 0)
	qt.Assert(t, wiped.Role(), qt.Equals, Follower)
}

func TestCaughtUpBySnapshotAfterHundredsOfChanges(t *testing.T) {
	for _, compacted := range []bool{false, true} {
		cl := newCluster(t)
		cl.run(time.Second)
		leader := cl.leader()
		away := other(leader.ID())
		cl.isolated[away] = true
		for range 700 {
			cl.mustPropose("x")
			cl.run(time.Millisecond)
		}
		if compacted {
			s, ok := leader.SnapshotAt(leader.CommitIndex(), []byte("state"))
			cl.c.Assert(ok, qt.IsTrue)
			leader.Compact(s)
		}
		cl.isolated[away] = false
		cl.run(3 * time.Second)
		cl.c.Assert(cl.cores[away].CommitIndex(), qt.Equals, leader.CommitIndex())
		cl.c.Assert(cl.applied[away][0] == "snapshot", qt.Equals, compacted)
	}
}

func TestMembershipChangesAreGuarded(t *testing.T) {
	cl := newCluster(t)
	cl.run(time.Second)
	leader := cl.leader()
	refuse := func(next Members) {
		cl.c.Helper()
		_, _, err := leader.ProposeMembers(cl.now, next)
		var refused *ErrMembersRefused
		cl.c.Assert(err, qt.ErrorAs, &refused)
	}
	refuse(leader.Members().With(Replica{ID: 4, Voter: true}).With(Replica{ID: 5, Voter: true}))
	refuse(leader.Members().Without(leader.ID()))
	_, _, err := leader.ProposeMembers(cl.now, leader.Members().With(Replica{ID: 4}))
	cl.c.Assert(err, qt.IsNil)
	refuse(leader.Members().With(Replica{ID: 5}))
	cl.performEffects(leader.ID())
	cl.run(100 * time.Millisecond)
	_, _, err = leader.ProposeMembers(cl.now, leader.Members().With(Replica{ID: 5}))
	cl.c.Assert(err, qt.IsNil)
}

func TestTransferEndsTheLeaseAtOnce(t *testing.T) {
	cl := newCluster(t)
	cl.run(time.Second)
	old := cl.leader()
	cl.c.Assert(old.TransferLeadership(cl.now), qt.IsTrue)
	cl.c.Assert(old.LeaseValid(cl.now), qt.IsFalse)
	cl.performEffects(old.ID())
	cl.run(150 * time.Millisecond)
	cl.c.Assert(cl.leader().ID(), qt.Not(qt.Equals), old.ID())
}

func TestLateTimeoutNowIsIgnored(t *testing.T) {
	cl := newCluster(t)
	cl.run(time.Second)
	old := cl.leader()
	cl.intercept = func(m Message) bool { return m.Kind == MessageTimeoutNow }
	cl.c.Assert(old.TransferLeadership(cl.now), qt.IsTrue)
	cl.performEffects(old.ID())
	cl.run(3 * time.Second)
	next := cl.leader()
	term := next.Term()
	cl.intercept = func(Message) bool { return false }
	for _, m := range cl.intercepted {
		cl.deliver(m)
	}
	cl.run(time.Second)
	cl.c.Assert(cl.leader().Term(), qt.Equals, term)
}

func TestOneWayCutTowardsTheLeaderEndsItsLease(t *testing.T) {
	cl := newCluster(t)
	cl.run(time.Second)
	old := cl.leader()
	cl.intercept = func(m Message) bool { return m.To == old.ID() }
	cl.run(2 * time.Second)
	cl.c.Assert(old.Role() == Leader && old.LeaseValid(cl.now), qt.IsFalse)
}
