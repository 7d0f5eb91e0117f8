package lease

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"ebonyrill.dev/ebonyrill/internal/control/state"
	"ebonyrill.dev/ebonyrill/internal/shared/conf"
	"ebonyrill.dev/ebonyrill/internal/shared/slice"
	"ebonyrill.dev/ebonyrill/internal/shared/table"
)

// fixture is a Manager with a simulated clock, over a state with one entry host e1 and one slice. Upstream a (number 1) owns
// the slice; tests move it to upstream b (number 2).
type fixture struct {
	c       *qt.C
	state   *state.State
	manager *Manager
	now     time.Duration
	index   uint64
	seq     uint64
}

var timing = NewTiming(time.Second, 500*time.Millisecond)

// leaseWithDrift is the lease time of 1 s plus the clock drift of 1/20 that leases allow for.
const leaseWithDrift = 1050 * time.Millisecond

func newFixture(t *testing.T, checks bool) *fixture {
	f := &fixture{c: qt.New(t), state: state.New(), now: time.Hour}
	text := "[service]\nname = s\nprefix = /s\nkey = path:2\nslices = 1\n"
	f.apply(state.Command{Publish: &state.Publish{ID: "1", Files: []conf.File{{Name: "s", Text: text}}}})
	f.apply(state.Command{JoinEntry: &table.EntryHost{Name: "e1", Incarnation: 1}})
	for _, name := range []string{"a", "b"} {
		f.apply(state.Command{JoinUpstream: &table.Upstream{Name: name, Incarnation: 1, Service: "s", ChecksFence: checks, Slots: 1}})
	}
	f.operate(state.Assign, 1)
	f.manager = NewManager(timing, f.now, f.state)
	return f
}

func (f *fixture) apply(c state.Command) {
	f.c.Helper()
	f.index++
	data, err := state.EncodeCommand(c)
	f.c.Assert(err, qt.IsNil)
	_, err = f.state.Apply(f.index, data)
	f.c.Assert(err, qt.IsNil)
	if f.manager != nil {
		f.manager.Update(f.now, f.state)
	}
}

func (f *fixture) slice() slice.Slice {
	set, _ := f.state.Table("s")
	return set.At(0)
}

func (f *fixture) operate(kind state.OperationKind, to uint32) {
	f.c.Helper()
	f.apply(state.Command{Plan: &state.Plan{Operations: []state.Operation{{Kind: kind, Service: "s", Fence: f.slice().Fence, To: to}}}})
}

// advance advances the clock and applies the commands that are due.
func (f *fixture) advance(d time.Duration) {
	f.c.Helper()
	f.now += d
	for _, c := range f.manager.Due(f.now, f.state) {
		f.apply(c)
	}
}

func (f *fixture) announce(name string, held uint64) table.GrantResponse {
	f.seq++
	return f.manager.RenewUpstream(f.now, f.state, table.Announcement{Name: name, Incarnation: 1, Sequence: f.seq, Service: "s", Held: held, Healthy: true})
}

func (f *fixture) renew(applied, oldest uint64) bool {
	return f.manager.RenewEntry(f.now, table.Renewal{Host: table.EntryHost{Name: "e1", Incarnation: 1}, Applied: applied, Oldest: oldest})
}

func (f *fixture) assertOwner(want uint32) {
	f.c.Helper()
	f.c.Assert(f.slice().Owner, qt.Equals, want)
}

func TestMoveWaitsForTheOldOwner(t *testing.T) {
	f := newFixture(t, true)
	first := f.announce("a", 0)
	f.c.Assert(first.Grants, qt.HasLen, 1)
	f.operate(state.BeginMove, 2)
	f.advance(10 * time.Millisecond)
	f.assertOwner(1)
	revoked := f.announce("a", first.Version)
	f.c.Assert(revoked.Changed, qt.IsTrue)
	f.c.Assert(revoked.Grants, qt.HasLen, 0)
	f.advance(10 * time.Millisecond)
	f.assertOwner(1)
	f.announce("a", revoked.Version)
	f.advance(10 * time.Millisecond)
	f.assertOwner(2)
	f.c.Assert(f.announce("b", 0).Grants[0].Fence > first.Grants[0].Fence, qt.IsTrue)
}

func TestLostOwnerKeepsItsSlicesUntilTheLeaseExpires(t *testing.T) {
	f := newFixture(t, true)
	f.announce("a", 0)
	f.operate(state.BeginMove, 2)
	f.advance(leaseWithDrift - time.Millisecond)
	f.announce("b", 0)
	f.assertOwner(1)
	f.advance(time.Millisecond)
	f.assertOwner(2)
}

func TestNewLeaderTreatsLeasesAsLive(t *testing.T) {
	f := newFixture(t, true)
	f.operate(state.BeginMove, 2)
	f.now += time.Minute
	f.manager = NewManager(timing, f.now, f.state)
	f.advance(leaseWithDrift - time.Millisecond)
	f.assertOwner(1)
}

func TestEndedLeaseIsNotRenewed(t *testing.T) {
	f := newFixture(t, true)
	f.now += 2 * time.Second
	f.c.Assert(f.manager.Due(f.now, f.state), qt.Not(qt.HasLen), 0)
	f.c.Assert(f.announce("a", 0).Status, qt.Equals, table.GrantStale)
}

func TestUncheckedOwnerIsWaitedForAtEntryHosts(t *testing.T) {
	setUp := func(t *testing.T) (*fixture, uint64) {
		f := newFixture(t, false)
		f.manager.inFlightUntil = 0
		f.operate(state.BeginMove, 2)
		f.announce("a", f.announce("a", 0).Version)
		return f, f.state.Version()
	}
	t.Run("a table not applied", func(t *testing.T) {
		f, version := setUp(t)
		f.renew(version-1, version-1)
		f.advance(10 * time.Millisecond)
		f.assertOwner(1)
	})
	t.Run("a request in flight", func(t *testing.T) {
		f, version := setUp(t)
		f.renew(version, version-1)
		f.advance(10 * time.Millisecond)
		f.assertOwner(1)
		f.renew(version, version)
		f.advance(10 * time.Millisecond)
		f.assertOwner(2)
	})
	t.Run("a lost entry host", func(t *testing.T) {
		f, _ := setUp(t)
		for f.now < time.Hour+leaseWithDrift+timing.maxHold+table.MaxSkew-10*time.Millisecond {
			f.announce("a", 0)
			f.announce("b", 0)
			f.advance(10 * time.Millisecond)
			f.assertOwner(1)
		}
		f.advance(100 * time.Millisecond)
		f.assertOwner(2)
	})
}

func TestLeaseNeedsATableAsNewAsTheJoin(t *testing.T) {
	f := newFixture(t, false)
	e, _ := f.state.Entry("e1")
	f.c.Assert(f.renew(e.JoinedAt-1, e.JoinedAt-1), qt.IsFalse)
	f.c.Assert(f.renew(e.JoinedAt, e.JoinedAt), qt.IsTrue)
}

func TestReplayedAnnouncements(t *testing.T) {
	f := newFixture(t, true)
	old := table.Announcement{Name: "a", Incarnation: 1, Sequence: 1, Service: "s"}
	later := old
	later.Sequence = 2
	u, _ := f.state.UpstreamNamed("a")
	f.c.Assert(f.manager.RenewUpstream(f.now, f.state, old).Status, qt.Equals, table.GrantHeld)
	renewed := f.now
	f.now += f.manager.timing.expiry() - time.Millisecond
	f.c.Assert(f.manager.RenewUpstream(f.now, f.state, old).Status, qt.Equals, table.GrantHeld)
	f.c.Assert(f.manager.Live(f.now, u.Number), qt.IsTrue)
	f.now = renewed + f.manager.timing.expiry()
	f.c.Assert(f.manager.Live(f.now, u.Number), qt.IsFalse, qt.Commentf("a duplicate announcement renewed the lease"))
	f.c.Assert(f.manager.RenewUpstream(f.now, f.state, later).Status, qt.Equals, table.GrantHeld)
	f.c.Assert(f.manager.RenewUpstream(f.now, f.state, old).Status, qt.Equals, table.GrantRefused)
	f.apply(state.Command{JoinUpstream: &table.Upstream{Name: "a", Incarnation: 2, Service: "s"}})
	f.c.Assert(f.announce("a", 0).Status, qt.Equals, table.GrantStale)
}

func TestHeldAnnouncementsRenewFromBefore(t *testing.T) {
	f := newFixture(t, true)
	u, _ := f.state.UpstreamNamed("a")
	f.now += time.Second
	held := table.Announcement{Name: "a", Incarnation: 1, Sequence: 1, Service: "s", Age: table.Age(400 * time.Millisecond)}
	f.c.Assert(f.manager.RenewUpstream(f.now, f.state, held).Status, qt.Equals, table.GrantHeld)
	expires := f.now - held.Age.Min() + f.manager.timing.expiry()
	f.c.Assert(f.manager.Live(expires-time.Millisecond, u.Number), qt.IsTrue)
	f.c.Assert(f.manager.Live(expires, u.Number), qt.IsFalse)
	held.Sequence, held.Age = 2, table.Age(time.Hour)
	f.c.Assert(f.manager.RenewUpstream(f.now, f.state, held).Status, qt.Equals, table.GrantHeld)
	f.c.Assert(f.manager.Live(expires-time.Millisecond, u.Number), qt.IsTrue, qt.Commentf("a delayed announcement shortened the lease"))
}
