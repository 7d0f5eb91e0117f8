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

// newBlankWorld starts hosts on empty data folders and returns the members that an operator would start a group of.
func newBlankWorld(hosts int) (w *world, members raft.Members) {
	w = &world{stage: newStage(3), effects: map[uint64]effect{}}
	for i := range hosts {
		h := w.addHost(i)
		h.start()
		members = append(members, raft.Replica{ID: h.disk.id, Address: h.name, DataCentre: "dc", Voter: true})
	}
	return w, raft.NewMembers(members...)
}

// bootstrap passes the operator's call to one host.
func (h *fakeHost) bootstrap(members raft.Members) (err error) {
	h.step(func(g *Group) error {
		_, err = g.bootstrapNow(members)
		return nil
	})
	return err
}

// TestGroupStartsHostByHost lets more than an election timeout pass between the calls that start a group, so that the
// hosts started first speak to those not started yet.
func TestGroupStartsHostByHost(t *testing.T) {
	c := qt.New(t)
	w, members := newBlankWorld(5)
	for _, h := range w.hosts {
		c.Assert(h.bootstrap(members), qt.IsNil, qt.Commentf("%s", h.name))
		w.run(w.now + 2*time.Second)
	}
	c.Assert(w.leader(), qt.IsNotNil)
	for _, h := range w.hosts {
		c.Assert(h.bootstrap(members), qt.IsNil, qt.Commentf("resend to %s", h.name))
		c.Assert(h.group.core.Members(), qt.DeepEquals, members)
	}
	c.Assert(w.broken, qt.HasLen, 0)
}

// TestFoundingIsTriedAgain lets the disk refuse the first tries; a founder that gave up left the whole system without control.
func TestFoundingIsTriedAgain(t *testing.T) {
	c := qt.New(t)
	d := &fakeDisk{id: 1, refusals: 2}
	g, err := assemble(Options{Address: "a1", Timing: raft.DefaultTiming(), Log: events.Nop(),
		Formation: Formation{Seeds: []string{"a1"}, Bootstrap: true, Voters: 1}}, d, &silentSender{}, clock.Boot)
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

// TestDiskThatIsBackIsWrittenAnewBeforeTheReplicaSpeaks loses the disk at a refused write; the log was only appended to.
func TestDiskThatIsBackIsWrittenAnewBeforeTheReplicaSpeaks(t *testing.T) {
	c := qt.New(t)
	g, _ := formed(t, Formation{})
	d := g.store.(*fakeDisk)
	g.reopen = func() (disk, error) { return d, nil }
	c.Assert(g.loseDisk(errEnded), qt.IsNil)
	c.Assert(g.core, qt.IsNil)
	g.retryAt = g.now()
	c.Assert(g.findDisk(), qt.IsNil)
	c.Assert(g.core, qt.IsNotNil)
	c.Assert(d.rewritten, qt.Equals, 1)
}

// TestJoiningHostStartsNoOtherGroup asks a host that a group is about to take in to start a group of its own.
func TestJoiningHostStartsNoOtherGroup(t *testing.T) {
	c := qt.New(t)
	w, members := newBlankWorld(4)
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
	c.Assert(w.broken, qt.HasLen, 0)
}
