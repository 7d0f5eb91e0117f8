package group

import (
	"context"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"ebonyrill.dev/ebonyrill/internal/control/raft"
	"ebonyrill.dev/ebonyrill/internal/shared/clock"
	"ebonyrill.dev/ebonyrill/internal/shared/events"
	"ebonyrill.dev/ebonyrill/internal/shared/oper"
)

// newEmptyWorld starts hosts on empty data folders and returns the members with which an operator would bootstrap them.
func newEmptyWorld(hosts int) (w *world, members raft.Members) {
	w = &world{simulator: newSimulator(3), effects: map[uint64]effect{}}
	for i := range hosts {
		h := w.addHost(i)
		h.start()
		members = append(members, raft.Replica{ID: h.disk.id, Address: h.name, DataCentre: "dc", Voter: true})
	}
	return w, raft.NewMembers(members...)
}

// bootstrap makes the operator's bootstrap call at the host.
func (h *fakeHost) bootstrap(members raft.Members) (err error) {
	h.step(func(g *Group) error {
		_, err = g.bootstrapInLoop(members)
		return nil
	})
	return err
}

// TestGroupStartsHostByHost lets more than an election timeout pass between the bootstrap calls, so that the first hosts send
// messages to hosts that are not bootstrapped yet.
func TestGroupStartsHostByHost(t *testing.T) {
	c := qt.New(t)
	w, members := newEmptyWorld(5)
	for _, h := range w.hosts {
		c.Assert(h.bootstrap(members), qt.IsNil, qt.Commentf("%s", h.name))
		w.run(w.now + 2*time.Second)
	}
	c.Assert(w.leader(), qt.IsNotNil)
	for _, h := range w.hosts {
		c.Assert(h.bootstrap(members), qt.IsNil, qt.Commentf("retry at %s", h.name))
		c.Assert(h.group.core.Members(), qt.DeepEquals, members)
	}
	c.Assert(w.violations, qt.HasLen, 0)
}

// TestBootstrapIsRetried makes the first bootstraps fail at the disk. A host that gave up then left the whole system without a
// control group.
func TestBootstrapIsRetried(t *testing.T) {
	c := qt.New(t)
	d := &fakeDisk{id: 1, bootstrapFailures: 2}
	g, err := assemble(Options{Address: "a1", Timing: raft.DefaultTiming(), Log: events.Nop(),
		Formation: Formation{Seeds: []string{"a1"}, Bootstrap: true, Voters: 1}}, d, &noopSender{}, clock.Boot)
	c.Assert(err, qt.IsNil)
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan error, 2)
	go func() { ended <- g.Run() }()
	go func() { ended <- g.RunFormation(ctx) }()
	joined := false
	for range 100 {
		c.Assert(g.do(ctx, func() { joined = g.store.Joined() }), qt.IsNil)
		if joined {
			break
		}
		time.Sleep(enrolPeriod / 10)
	}
	c.Check(joined, qt.IsTrue)
	cancel()
	g.Stop()
	c.Check(<-ended, qt.IsNil)
	c.Check(<-ended, qt.IsNil)
}

// TestReopenedDiskIsRewrittenBeforeReplicaRuns fails a disk write and reopens the disk. The log must be rewritten before the replica
// runs again; once it was only appended to.
func TestReopenedDiskIsRewrittenBeforeReplicaRuns(t *testing.T) {
	c := qt.New(t)
	g, _ := newLoneLeader(t, Formation{})
	d := g.store.(*fakeDisk)
	g.reopen = func() (disk, error) { return d, nil }
	c.Assert(g.handleDiskFailure(errCrashed), qt.IsNil)
	c.Assert(g.core, qt.IsNil)
	g.reopenAt = g.now()
	c.Assert(g.reopenDisk(), qt.IsNil)
	c.Assert(g.core, qt.IsNotNil)
	c.Assert(d.rewritten, qt.Equals, 1)
}

// TestJoiningHostStartsNoOtherGroup sends a bootstrap call to a host that has just joined a group; it must be rejected.
func TestJoiningHostStartsNoOtherGroup(t *testing.T) {
	c := qt.New(t)
	w, members := newEmptyWorld(4)
	added := members[3]
	for _, h := range w.hosts[:3] {
		c.Assert(h.bootstrap(members.Without(added.ID)), qt.IsNil)
	}
	w.run(2 * time.Second)
	added.Voter = false
	c.Assert(w.changeMembers(oper.MembersRequest{Action: oper.AddLearner}, added), qt.IsNil)
	joining := w.host(added.Address)
	for !joining.disk.joined {
		w.run(w.now + time.Millisecond)
	}
	var refused *oper.ErrRefused
	c.Assert(joining.bootstrap(members), qt.ErrorAs, &refused)
	w.run(w.now + 2*time.Second)
	c.Assert(joining.bootstrap(members), qt.ErrorAs, &refused)
	c.Assert(w.violations, qt.HasLen, 0)
}
