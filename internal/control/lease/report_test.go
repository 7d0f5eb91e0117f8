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

// reporting is a leader's leases over a state with a service of numbered keys and two upstreams that report what they hold.
type reporting struct {
	c      *qt.C
	state  *state.State
	keeper *Manager
	index  uint64
}

func newReporting(t *testing.T) *reporting {
	r := &reporting{c: qt.New(t), state: state.New()}
	r.apply(state.Command{Patch: &state.Patch{Items: []items.Item{{Kind: items.KindService, Name: "s", Version: 1, Service: &items.Service{Keyed: true}}}}})
	for i, name := range []string{"a", "b"} {
		r.apply(state.Command{JoinUpstream: &table.Upstream{Name: name, Incarnation: 1, Service: "s", Address: name, Slots: 1,
			Connections: 1, ChecksFence: true, Reports: true}})
		u, _ := r.state.UpstreamNamed(name)
		r.c.Assert(u.Number, qt.Equals, uint32(i+1))
	}
	r.keeper = NewManager(NewTiming(time.Second, time.Second), 0, r.state)
	return r
}

func (r *reporting) apply(c state.Command) {
	r.index++
	data, err := wire.Marshal(c)
	r.c.Assert(err, qt.IsNil)
	_, err = r.state.Apply(r.index, data)
	r.c.Assert(err, qt.IsNil)
	if r.keeper != nil {
		r.keeper.Update(0, r.state)
	}
}

// operate applies one operation on the first slice.
func (r *reporting) operate(kind state.OperationKind, to uint32) {
	set, _ := r.state.Table("s")
	r.apply(state.Command{Plan: &state.Plan{Operations: []state.Operation{{Kind: kind, Service: "s", Start: 0, Fence: set.At(0).Fence, To: to}}}})
}

// beat renews an upstream that holds the grants and has released others.
func (r *reporting) beat(now time.Duration, name string, sequence uint64, holds []table.Grant, released ...table.Release) table.GrantResponse {
	return r.keeper.RenewUpstream(now, r.state, table.Announcement{Name: name, Incarnation: 1, Sequence: sequence, Service: "s",
		Address: name, Reports: true, Holds: holds, Released: released})
}

// finish completes what is due for an upstream and reports whether it was anything.
func (r *reporting) finish(now time.Duration, number uint32) bool {
	operations, _ := r.keeper.FinishMovesTo(now, r.state, number)
	if len(operations) == 0 {
		return false
	}
	r.apply(state.Command{Plan: &state.Plan{Operations: operations}})
	return true
}

// TestHandover follows a slice from its first owner to the next: the next one gets it, with what the first one left, at its
// own heartbeat and only once the first one has let go.
func TestHandover(t *testing.T) {
	r := newReporting(t)
	r.operate(state.Assign, 1)
	r.c.Assert(r.beat(0, "a", 1, nil).Grants, qt.HasLen, 0)
	r.c.Assert(r.finish(0, 1), qt.IsTrue)
	held := r.beat(0, "a", 2, nil).Grants
	r.c.Assert(held, qt.HasLen, 1)

	r.operate(state.BeginMove, 2)
	r.c.Assert(r.beat(0, "b", 1, nil).Grants, qt.HasLen, 0)
	r.c.Assert(r.finish(0, 2), qt.IsFalse)
	r.c.Assert(r.beat(10*time.Millisecond, "a", 3, held).Grants, qt.HasLen, 0)
	r.c.Assert(r.finish(10*time.Millisecond, 2), qt.IsFalse)

	left := table.Release{From: held[0].From, To: held[0].To, Handover: "left"}
	r.beat(20*time.Millisecond, "a", 4, nil, left)
	r.c.Assert(r.finish(20*time.Millisecond, 2), qt.IsTrue)
	given := r.beat(20*time.Millisecond, "b", 2, nil).Grants
	r.c.Assert(given, qt.HasLen, 1)
	r.c.Assert(given[0].Handover, qt.Equals, "left")
	r.c.Assert(given[0].Fence > held[0].Fence, qt.IsTrue)
	r.c.Assert(r.beat(30*time.Millisecond, "b", 3, given).Grants[0].Handover, qt.Equals, "")
}

// TestLateHeartbeatReleasesNothing holds that a heartbeat that comes again, or late, does not count as a new report.
func TestLateHeartbeatReleasesNothing(t *testing.T) {
	r := newReporting(t)
	r.operate(state.Assign, 1)
	r.beat(0, "a", 5, nil)
	r.c.Assert(r.finish(0, 1), qt.IsTrue)
	held := r.beat(0, "a", 6, nil).Grants
	r.beat(0, "a", 7, held)
	r.operate(state.BeginMove, 2)
	r.c.Assert(r.beat(0, "a", 6, nil).Status, qt.Equals, table.GrantLate)
	r.beat(0, "a", 7, nil)
	r.c.Assert(r.finish(0, 2), qt.IsFalse)
}

// TestLostOwnerIsWaitedFor holds that the keys of a silent owner go on only once its lease is over by every clock.
func TestLostOwnerIsWaitedFor(t *testing.T) {
	r := newReporting(t)
	r.operate(state.Assign, 1)
	r.finish(0, 1)
	r.beat(0, "a", 1, nil)
	r.operate(state.BeginMove, 2)
	r.c.Assert(r.finish(time.Second, 2), qt.IsFalse)
	r.c.Assert(r.finish(1049*time.Millisecond, 2), qt.IsFalse)
	r.c.Assert(r.finish(1050*time.Millisecond, 2), qt.IsTrue)
}

// TestTokens holds that what was left is cut where rows are, and dropped with an owner that was lost.
func TestTokens(t *testing.T) {
	c := qt.New(t)
	u := uint64(slice.NumberUnit)
	var k tokens
	k = k.with(table.Release{From: 0, To: 10*u - 1, Handover: "x"}).with(table.Release{From: 4 * u, To: 6*u - 1, Handover: "y"})
	rows := k.mark([]table.Grant{{From: 2 * u, To: 12*u - 1, Fence: 3}})
	var got []string
	for _, g := range rows {
		c.Check(g.Fence, qt.Equals, uint64(3))
		got = append(got, g.Handover)
	}
	c.Assert(got, qt.DeepEquals, []string{"x", "y", "x", ""})
	c.Assert(rows[0].From, qt.Equals, 2*u)
	c.Assert(rows[3].To, qt.Equals, 12*u-1)
	for i := 1; i < len(rows); i++ {
		c.Check(rows[i].From, qt.Equals, rows[i-1].To+1)
	}
	c.Assert(k.without(0, ^uint64(0)), qt.HasLen, 0)
}

// TestNewerProcessEndsTheOlder holds that nothing is renewed for a process that a newer one has ended.
func TestNewerProcessEndsTheOlder(t *testing.T) {
	r := newReporting(t)
	r.operate(state.Assign, 1)
	r.finish(0, 1)
	r.keeper.Evict(r.state, []uint32{1})
	r.c.Assert(r.beat(0, "a", 9, nil).Status, qt.Equals, table.GrantStale)
	r.c.Assert(r.keeper.Live(0, 1), qt.IsFalse)
}

// TestUnkeyedUpstreamStaysListed holds that an upstream without keys outlasts a partition from control, and one that leaves
// does not.
func TestUnkeyedUpstreamStaysListed(t *testing.T) {
	r := newReporting(t)
	r.apply(state.Command{Patch: &state.Patch{Items: []items.Item{{Kind: items.KindService, Name: "u", Version: 1, Service: &items.Service{}}}}})
	r.apply(state.Command{JoinUpstream: &table.Upstream{Name: "c", Incarnation: 1, Service: "u", Address: "c", Slots: 1, ChecksFence: true, Reports: true}})
	dropped := func(now time.Duration) (numbers []uint32) {
		for _, c := range r.keeper.Due(now, r.state) {
			if c.DropUpstreams != nil {
				numbers = append(numbers, c.DropUpstreams.Numbers...)
			}
		}
		return numbers
	}
	r.c.Assert(dropped(10*time.Second), qt.DeepEquals, []uint32{1, 2})
	r.apply(state.Command{Drain: &state.Drain{Name: "c", On: true, Self: true}})
	r.c.Assert(dropped(10*time.Second), qt.DeepEquals, []uint32{3})
}
