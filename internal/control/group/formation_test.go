package group

import (
	"slices"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"ebonyrill.dev/ebonyrill/internal/control/raft"
	"ebonyrill.dev/ebonyrill/internal/shared/events"
	"ebonyrill.dev/ebonyrill/internal/shared/oper"
	"ebonyrill.dev/ebonyrill/internal/shared/table"
)

// catchUpLimit is the time within which a replacement host must be a full member of the group, as the platform requires.
const catchUpLimit = 4 * time.Second

// TestDeadVoterIsReplacedInTime checks that a dead voter is replaced within catchUpLimit, but not during an election. With 15 s
// (kolekurv-gw, core-lost-twice --seed 75952), a host that was lost permanently still had its vote when two disks were lost.
func TestDeadVoterIsReplacedInTime(t *testing.T) {
	qt.Assert(t, deadVoterTime+contactPeriod+2*memberStepPause < catchUpLimit, qt.IsTrue)
	qt.Assert(t, deadVoterTime > raft.TimingFor(60*time.Millisecond).ElectionMax, qt.IsTrue)
}

// newLoneLeader returns the leader of a group without other members, at a fixed time.
func newLoneLeader(t *testing.T, formation Formation) (*Group, *leaderState) {
	c := qt.New(t)
	self := raft.Replica{ID: 1, Address: "a1", Voter: true}
	d := &fakeDisk{id: 1}
	c.Assert(d.Bootstrap(raft.NewMembers(self)), qt.IsNil)
	now := time.Second
	g, err := assemble(Options{Address: "a1", Timing: raft.DefaultTiming(), Formation: formation, Log: events.Nop()}, d, &noopSender{}, func() time.Duration { return now })
	c.Assert(err, qt.IsNil)
	now += 2 * time.Second
	g.core.Tick(now)
	c.Assert(g.core.Role(), qt.Equals, raft.Leader)
	l := newLeaderState(g.core.Term(), g.options.LeaseTiming, now, g.state)
	g.leader = l
	return g, l
}

// TestMembershipSteps checks which membership change follows a join request: a new host is added as a learner, an expired
// request is dropped, and a request from the leader's own address is ignored.
func TestMembershipSteps(t *testing.T) {
	c := qt.New(t)
	g, l := newLoneLeader(t, Formation{Seeds: []string{"a1"}, Voters: 5})
	now := g.now()
	next, _ := l.nextMembers(now, g)
	c.Assert(next, qt.HasLen, 0)
	l.joinRequests[2] = joinRequest{identity: oper.Identity{ID: 2, Address: "a2"}, at: now}
	next, _ = l.nextMembers(now, g)
	c.Assert(next, qt.HasLen, 2)
	added, _ := next.Find(2)
	c.Check(added.Voter, qt.IsFalse)
	l.joinRequests[2] = joinRequest{identity: oper.Identity{ID: 2, Address: "a2"}, at: now - joinRequestAge - 1}
	next, _ = l.nextMembers(now, g)
	c.Check(next, qt.HasLen, 0)
	c.Check(l.joinRequests, qt.HasLen, 0)
	l.joinRequests[3] = joinRequest{identity: oper.Identity{ID: 3, Address: "a1"}, at: now}
	next, _ = l.nextMembers(now, g)
	c.Check(next, qt.HasLen, 0, qt.Commentf("the leader must not remove itself"))
}

// TestVoterTurnedStandbyLosesItsVote restarts a voter with settings that make it a standby; another host must replace it.
func TestVoterTurnedStandbyLosesItsVote(t *testing.T) {
	c := qt.New(t)
	w := newFormingWorld(2, 6, 0)
	c.Assert(w.awaitVoters(10*time.Second), qt.IsTrue)
	changed := w.eligibleVoter()
	changed.crash()
	changed.standby = true
	changed.start()
	changed.enrol()
	w.run(w.now + 3*time.Second)
	c.Assert(w.voters(), qt.HasLen, 5)
	c.Assert(slices.Contains(w.voters(), changed.name), qt.IsFalse)
	c.Assert(w.violations, qt.HasLen, 0)
}

// noopSender implements sender and sends nothing.
type noopSender struct{}

func (*noopSender) send(raft.Members, []raft.Message) {}
func (*noopSender) forward(string, *table.RenewalBatch, func(*table.RenewalBatchResponse, error)) {
}
func (*noopSender) stop() {}
