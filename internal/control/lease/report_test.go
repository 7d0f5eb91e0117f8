package lease

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"ebonyrill.dev/ebonyrill/internal/control/state"
	"ebonyrill.dev/ebonyrill/internal/shared/items"
	"ebonyrill.dev/ebonyrill/internal/shared/slice"
	"ebonyrill.dev/ebonyrill/internal/shared/table"
	"ebonyrill.dev/ebonyrill/internal/shared/wire"
)

// reportFixture is a Manager over a state with a service of numbered keys and two upstreams, a (number 1) and b (number 2),
// that report the slices they hold.
type reportFixture struct {
	c       *qt.C
	state   *state.State
	manager *Manager
	now     time.Duration
	index   uint64
}

func newReportFixture(t *testing.T) *reportFixture {
	f := &reportFixture{c: qt.New(t), state: state.New()}
	f.apply(state.Command{Patch: &state.Patch{Items: []items.Item{{Kind: items.KindService, Name: "s", Version: 1, Service: &items.Service{Keyed: true}}}}})
	for i, name := range []string{"a", "b"} {
		f.apply(state.Command{JoinUpstream: &table.Upstream{Name: name, Incarnation: 1, Service: "s", Address: name, Slots: 1,
			Connections: 1, ChecksFence: true, Reports: true}})
		u, _ := f.state.UpstreamNamed(name)
		f.c.Assert(u.Number, qt.Equals, uint32(i+1))
	}
	f.manager = NewManager(NewTiming(time.Second, time.Second), 0, f.state)
	return f
}

func (f *reportFixture) apply(c state.Command) {
	f.index++
	data, err := wire.Marshal(c)
	f.c.Assert(err, qt.IsNil)
	_, err = f.state.Apply(f.index, data)
	f.c.Assert(err, qt.IsNil)
	if f.manager != nil {
		f.manager.Update(f.now, f.state)
	}
}

// operate applies an operation to the first slice.
func (f *reportFixture) operate(kind state.OperationKind, to uint32) {
	set, _ := f.state.Table("s")
	f.apply(state.Command{Plan: &state.Plan{Operations: []state.Operation{{Kind: kind, Service: "s", Start: 0, Fence: set.At(0).Fence, To: to}}}})
}

// announce renews an upstream's lease with a report of the grants that it holds and the ranges that it has released.
func (f *reportFixture) announce(now time.Duration, name string, sequence uint64, holds []table.Grant, released ...table.Release) table.GrantResponse {
	f.now = now
	return f.manager.RenewUpstream(now, f.state, table.Announcement{Name: name, Incarnation: 1, Sequence: sequence, Service: "s",
		Address: name, Reports: true, Holds: holds, Released: released})
}

// finish completes the moves that are due to an upstream and reports whether there were any.
func (f *reportFixture) finish(now time.Duration, number uint32) bool {
	f.now = now
	operations := f.manager.FinishMovesTo(now, f.state, number).Operations
	if len(operations) == 0 {
		return false
	}
	f.apply(state.Command{Plan: &state.Plan{Operations: operations}})
	return true
}

// TestHandover moves a slice between two upstreams. The second one must get the slice and its handover data with its own
// heartbeat, and not before the first one has reported the slice as released.
func TestHandover(t *testing.T) {
	f := newReportFixture(t)
	f.operate(state.Assign, 1)
	f.c.Assert(f.announce(0, "a", 1, nil).Grants, qt.HasLen, 0)
	f.c.Assert(f.finish(0, 1), qt.IsTrue)
	held := f.announce(0, "a", 2, nil).Grants
	f.c.Assert(held, qt.HasLen, 1)

	f.operate(state.BeginMove, 2)
	f.c.Assert(f.announce(0, "b", 1, nil).Grants, qt.HasLen, 0)
	f.c.Assert(f.finish(0, 2), qt.IsFalse)
	f.c.Assert(f.announce(10*time.Millisecond, "a", 3, held).Grants, qt.HasLen, 0)
	f.c.Assert(f.finish(10*time.Millisecond, 2), qt.IsFalse)

	release := table.Release{From: held[0].From, To: held[0].To, Handover: "left"}
	f.announce(20*time.Millisecond, "a", 4, nil, release)
	f.c.Assert(f.finish(20*time.Millisecond, 2), qt.IsTrue)
	granted := f.announce(20*time.Millisecond, "b", 2, nil).Grants
	f.c.Assert(granted, qt.HasLen, 1)
	f.c.Assert(granted[0].Handover, qt.Equals, "left")
	f.c.Assert(granted[0].Fence > held[0].Fence, qt.IsTrue)
	f.c.Assert(f.announce(30*time.Millisecond, "b", 3, granted).Grants[0].Handover, qt.Equals, "")
}

// TestLateHeartbeatReleasesNothing checks that a duplicate or late heartbeat is not taken for a new report. It may list
// fewer slices than the upstream holds by now, and the next owner would get a slice that is still in use.
func TestLateHeartbeatReleasesNothing(t *testing.T) {
	f := newReportFixture(t)
	f.operate(state.Assign, 1)
	f.announce(0, "a", 5, nil)
	f.c.Assert(f.finish(0, 1), qt.IsTrue)
	held := f.announce(0, "a", 6, nil).Grants
	f.announce(0, "a", 7, held)
	f.operate(state.BeginMove, 2)
	f.c.Assert(f.announce(0, "a", 6, nil).Status, qt.Equals, table.GrantLate)
	f.announce(0, "a", 7, nil)
	f.c.Assert(f.finish(0, 2), qt.IsFalse)
}

// TestLostOwnerIsWaitedFor checks that a slice whose owner no longer renews is granted to the next owner only once the lease
// has expired, clock drift included.
func TestLostOwnerIsWaitedFor(t *testing.T) {
	f := newReportFixture(t)
	f.operate(state.Assign, 1)
	f.finish(0, 1)
	f.announce(0, "a", 1, nil)
	f.operate(state.BeginMove, 2)
	f.c.Assert(f.finish(time.Second, 2), qt.IsFalse)
	f.c.Assert(f.finish(1049*time.Millisecond, 2), qt.IsFalse)
	f.c.Assert(f.finish(1050*time.Millisecond, 2), qt.IsTrue)
}

// TestHandoverData checks that grants are split where the handover data changes, without gaps or overlaps, and that
// handover data can be removed.
func TestHandoverData(t *testing.T) {
	c := qt.New(t)
	u := uint64(slice.NumberUnit)
	var data handoverData
	data = data.with(table.Release{From: 0, To: 10*u - 1, Handover: "x"}).with(table.Release{From: 4 * u, To: 6*u - 1, Handover: "y"})
	grants := data.attach([]table.Grant{{From: 2 * u, To: 12*u - 1, Fence: 3}})
	var got []string
	for _, g := range grants {
		c.Check(g.Fence, qt.Equals, uint64(3))
		got = append(got, g.Handover)
	}
	c.Assert(got, qt.DeepEquals, []string{"x", "y", "x", ""})
	c.Assert(grants[0].From, qt.Equals, 2*u)
	c.Assert(grants[3].To, qt.Equals, 12*u-1)
	for i := 1; i < len(grants); i++ {
		c.Check(grants[i].From, qt.Equals, grants[i-1].To+1)
	}
	c.Assert(data.without(0, ^uint64(0)), qt.HasLen, 0)
}

// TestNewerProcessEndsTheOlder checks that the lease of a process that a newer one has replaced is not renewed.
func TestNewerProcessEndsTheOlder(t *testing.T) {
	f := newReportFixture(t)
	f.operate(state.Assign, 1)
	f.finish(0, 1)
	f.manager.Evict(f.state, []uint32{1})
	f.c.Assert(f.announce(0, "a", 9, nil).Status, qt.Equals, table.GrantStale)
	f.c.Assert(f.manager.Live(0, 1), qt.IsFalse)
}

// TestUnkeyedUpstreamStaysListed checks that an upstream of a service without keys stays listed for 10 s without renewal, as
// in a partition from the control hosts, and that one that is draining is dropped.
func TestUnkeyedUpstreamStaysListed(t *testing.T) {
	f := newReportFixture(t)
	f.apply(state.Command{Patch: &state.Patch{Items: []items.Item{{Kind: items.KindService, Name: "u", Version: 1, Service: &items.Service{}}}}})
	f.apply(state.Command{JoinUpstream: &table.Upstream{Name: "c", Incarnation: 1, Service: "u", Address: "c", Slots: 1, ChecksFence: true, Reports: true}})
	dropped := func(now time.Duration) (numbers []uint32) {
		for _, c := range f.manager.Due(now, f.state) {
			if c.DropUpstreams != nil {
				numbers = append(numbers, c.DropUpstreams.Numbers...)
			}
		}
		return numbers
	}
	f.c.Assert(dropped(10*time.Second), qt.DeepEquals, []uint32{1, 2})
	f.apply(state.Command{Drain: &state.Drain{Name: "c", On: true, Self: true}})
	f.c.Assert(dropped(10*time.Second), qt.DeepEquals, []uint32{3})
}

// TestLateReportToANewLeaderReleasesNothing checks that a report from before a grant, which arrives at the next leader first, does not
// count as a release of the slice: both upstreams would own it.
func TestLateReportToANewLeaderReleasesNothing(t *testing.T) {
	f := newReportFixture(t)
	f.operate(state.Assign, 1)
	f.announce(0, "a", 10, nil)
	operations := f.manager.FinishMovesTo(0, f.state, 1).Operations
	f.apply(state.Command{Plan: &state.Plan{Operations: operations}})
	held := f.announce(0, "a", 11, nil).Grants
	f.c.Assert(held, qt.HasLen, 1)
	f.operate(state.BeginMove, 2)
	data, err := f.state.Encode()
	f.c.Assert(err, qt.IsNil)
	f.state, err = state.Decode(data)
	f.c.Assert(err, qt.IsNil)
	f.manager = NewManager(NewTiming(time.Second, time.Second), 0, f.state)
	f.announce(0, "a", 8, nil)
	f.announce(0, "b", 3, nil)
	pending := f.manager.FinishMovesTo(0, f.state, 2).Pending
	f.c.Check(pending, qt.IsFalse)
	f.announce(0, "a", 12, held)
	pending = f.manager.FinishMovesTo(0, f.state, 2).Pending
	f.c.Check(pending, qt.IsFalse)
	f.announce(0, "a", 13, nil)
	pending = f.manager.FinishMovesTo(0, f.state, 2).Pending
	f.c.Check(pending, qt.IsTrue)
}

// lose lets the leases of all upstreams expire and applies their removal.
func (f *reportFixture) lose() {
	for _, c := range f.manager.Due(time.Hour, f.state) {
		f.apply(c)
	}
}

// joinAgain joins the upstream a as control does after an announcement with status joining.
func (f *reportFixture) joinAgain() (u table.Upstream, ok bool) {
	f.apply(state.Command{JoinUpstream: &table.Upstream{Name: "a", Incarnation: 1, Service: "s", Address: "a", Slots: 1, Connections: 1,
		ChecksFence: true, Reports: true}})
	return f.state.UpstreamNamed("a")
}

// TestLostUpstreamJoinsAgain checks that an upstream whose lease expired while it was cut off from control joins again with the same
// incarnation and without its earlier slices, and which upstreams do not.
func TestLostUpstreamJoinsAgain(t *testing.T) {
	lost := func(t *testing.T) *reportFixture {
		f := newReportFixture(t)
		f.operate(state.Assign, 1)
		f.announce(0, "a", 5, nil)
		f.lose()
		return f
	}
	t.Run("cut off", func(t *testing.T) {
		f := lost(t)
		f.c.Assert(f.announce(time.Hour, "a", 6, nil).Status, qt.Equals, table.GrantJoining)
		u, ok := f.joinAgain()
		f.c.Assert(ok, qt.IsTrue)
		f.c.Check(u.Number, qt.Equals, uint32(3))
		f.c.Check(f.announce(time.Hour, "a", 7, nil).Grants, qt.HasLen, 0)
		f.c.Check(f.announce(time.Hour, "a", 4, nil).Status, qt.Equals, table.GrantLate)
	})
	t.Run("announcement from before the loss", func(t *testing.T) {
		f := lost(t)
		f.c.Check(f.announce(time.Hour, "a", 5, nil).Status, qt.Equals, table.GrantStale)
	})
	t.Run("another control host restored from a snapshot", func(t *testing.T) {
		f := lost(t)
		data, err := f.state.Encode()
		f.c.Assert(err, qt.IsNil)
		f.state, err = state.Decode(data)
		f.c.Assert(err, qt.IsNil)
		f.manager = NewManager(NewTiming(time.Second, time.Second), 0, f.state)
		f.c.Check(f.announce(0, "a", 5, nil).Status, qt.Equals, table.GrantStale)
		f.c.Check(f.announce(0, "a", 6, nil).Status, qt.Equals, table.GrantJoining)
	})
	t.Run("left before it was lost", func(t *testing.T) {
		f := newReportFixture(t)
		f.apply(state.Command{Drain: &state.Drain{Name: "a", On: true, Self: true}})
		f.lose()
		f.c.Check(f.announce(time.Hour, "a", 6, nil).Status, qt.Equals, table.GrantStale)
		_, ok := f.joinAgain()
		f.c.Check(ok, qt.IsFalse)
	})
	t.Run("left after it was lost", func(t *testing.T) {
		f := lost(t)
		f.apply(state.Command{Drain: &state.Drain{Name: "a", On: true, Self: true, Incarnation: 1}})
		f.c.Check(f.announce(time.Hour, "a", 6, nil).Status, qt.Equals, table.GrantStale)
		_, ok := f.joinAgain()
		f.c.Check(ok, qt.IsFalse)
	})
	t.Run("replaced by a newer process", func(t *testing.T) {
		f := newReportFixture(t)
		f.apply(state.Command{DropUpstreams: &state.DropUpstreams{Numbers: []uint32{1}}})
		f.c.Check(f.announce(0, "a", 6, nil).Status, qt.Equals, table.GrantStale)
	})
}

// elect continues with the manager of a new leader, which has the replicated state only.
func (f *reportFixture) elect() {
	data, err := f.state.Encode()
	f.c.Assert(err, qt.IsNil)
	f.state, err = state.Decode(data)
	f.c.Assert(err, qt.IsNil)
	f.manager = NewManager(NewTiming(time.Second, time.Second), f.now, f.state)
}

// beginMove moves the first slice as the leader does.
func (f *reportFixture) beginMove(to uint32) (begun bool) {
	set, _ := f.state.Table("s")
	operations := f.manager.AddReports(f.now, f.state, []state.Operation{{Kind: state.BeginMove, Service: "s", Start: 0, Fence: set.At(0).Fence, To: to}})
	f.apply(state.Command{Plan: &state.Plan{Operations: operations}})
	return len(operations) > 0
}

// TestLateReportAfterSlicesCameBackReleasesNothing guards against two owners after a slice went back to its owner, as the next one was
// lost during the move: two reports from before arrive at the next leader, which moves the slice again.
func TestLateReportAfterSlicesCameBackReleasesNothing(t *testing.T) {
	f := newReportFixture(t)
	f.operate(state.Assign, 1)
	f.announce(0, "a", 1, nil)
	f.finish(0, 1)
	held := f.announce(0, "a", 1, nil).Grants
	f.announce(0, "a", 2, held)
	f.c.Assert(f.beginMove(2), qt.IsTrue)
	f.announce(0, "a", 3, nil)
	f.apply(state.Command{DropUpstreams: &state.DropUpstreams{Numbers: []uint32{2}}})
	f.c.Assert(f.announce(0, "a", 6, nil).Grants, qt.HasLen, 1)
	f.apply(state.Command{JoinUpstream: &table.Upstream{Name: "b", Incarnation: 2, Service: "s", Address: "b", Slots: 1, Connections: 1, ChecksFence: true, Reports: true}})
	f.elect()
	f.c.Assert(f.beginMove(3), qt.IsTrue)
	f.announce(0, "a", 4, nil)
	f.announce(0, "a", 5, nil)
	f.c.Check(f.finish(0, 3), qt.IsFalse)
}

// TestUnreportedGrantGetsANewToken guards against a grant that an upstream gets back with the same fencing token after it has reported
// that it does not hold it: the next leader may receive this report late.
func TestUnreportedGrantGetsANewToken(t *testing.T) {
	granted := func(t *testing.T) (*reportFixture, []table.Grant) {
		f := newReportFixture(t)
		f.operate(state.Assign, 1)
		f.announce(0, "a", 1, nil)
		f.finish(0, 1)
		return f, f.announce(0, "a", 1, nil).Grants
	}
	assertNewToken := func(f *reportFixture, now time.Duration, old []table.Grant) {
		f.c.Assert(f.announce(now, "a", 9, nil).Grants, qt.HasLen, 0)
		f.c.Assert(f.finish(now, 1), qt.IsTrue)
		renewed := f.announce(now, "a", 9, nil).Grants
		f.c.Assert(renewed, qt.HasLen, 1)
		f.c.Check(renewed[0].Fence > old[0].Fence, qt.IsTrue)
		f.c.Check(f.finish(now, 1), qt.IsFalse)
	}
	t.Run("offered again at once", func(t *testing.T) {
		f, held := granted(t)
		f.c.Check(f.announce(time.Second/4-1, "a", 2, nil).Grants, qt.DeepEquals, held)
	})
	t.Run("later", func(t *testing.T) {
		f, held := granted(t)
		assertNewToken(f, time.Second/4, held)
	})
	t.Run("by the next leader", func(t *testing.T) {
		f, held := granted(t)
		f.elect()
		assertNewToken(f, 0, held)
	})
	t.Run("reported in parts", func(t *testing.T) {
		f, held := granted(t)
		middle := held[0].From + (held[0].To-held[0].From)/2
		parts := []table.Grant{{From: middle + 1, To: held[0].To, Fence: held[0].Fence}, {From: held[0].From, To: middle, Fence: held[0].Fence}}
		f.elect()
		f.c.Check(f.announce(0, "a", 2, parts).Grants, qt.DeepEquals, held)
		assertNewToken(f, time.Second/4, held)
	})
}

// TestMoveWithoutReport checks moves of slices that the owner has not reported to this leader: they wait for a report that lists the
// slice, or until the leases from earlier leaders have expired. The state of an earlier version holds no reports.
func TestMoveWithoutReport(t *testing.T) {
	moving := func(t *testing.T) *reportFixture {
		f := newReportFixture(t)
		f.operate(state.Assign, 1)
		f.announce(0, "a", 1, nil)
		f.finish(0, 1)
		f.operate(state.BeginMove, 2)
		f.elect()
		return f
	}
	t.Run("until leases have expired", func(t *testing.T) {
		f := moving(t)
		f.announce(leaseWithDrift-1, "a", 5, nil)
		f.c.Check(f.finish(leaseWithDrift-1, 2), qt.IsFalse)
		f.c.Check(f.manager.TakeUnproven(1), qt.Equals, 1)
		f.c.Check(f.manager.TakeUnproven(1), qt.Equals, 0)
		f.announce(leaseWithDrift, "a", 6, nil)
		f.c.Check(f.finish(leaseWithDrift, 2), qt.IsTrue)
	})
	t.Run("not begun with a token of this leader", func(t *testing.T) {
		f := newReportFixture(t)
		f.operate(state.Assign, 1)
		f.announce(0, "a", 1, nil)
		f.finish(0, 1)
		f.c.Check(f.beginMove(2), qt.IsFalse)
		f.now = leaseWithDrift
		f.c.Check(f.beginMove(2), qt.IsTrue)
	})
}
