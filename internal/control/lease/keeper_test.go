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

// ledger is a keeper over a state with one slice, owned by upstream a and then moved to b.
type ledger struct {
	c      *qt.C
	state  *state.State
	keeper *Manager
	now    time.Duration
	index  uint64
	seq    uint64
}

var terms = NewTiming(time.Second, 500*time.Millisecond)

// wholeLease is the lease time with the stated drift of one part in twenty.
const wholeLease = 1050 * time.Millisecond

func mustLedger(t *testing.T, checks bool) *ledger {
	l := &ledger{c: qt.New(t), state: state.New(), now: time.Hour}
	text := "[service]\nname = s\nprefix = /s\nkey = path:2\nslices = 1\n"
	l.apply(state.Command{Publish: &state.Publish{ID: "1", Files: []conf.File{{Name: "s", Text: text}}}})
	l.apply(state.Command{JoinEntry: &table.EntryHost{Name: "e1", Incarnation: 1}})
	for _, name := range []string{"a", "b"} {
		l.apply(state.Command{JoinUpstream: &table.Upstream{Name: name, Incarnation: 1, Service: "s", ChecksFence: checks, Slots: 1}})
	}
	l.operate(state.Assign, 1)
	l.keeper = NewManager(terms, l.now, l.state)
	return l
}

func (l *ledger) apply(c state.Command) {
	l.c.Helper()
	l.index++
	data, err := state.EncodeCommand(c)
	l.c.Assert(err, qt.IsNil)
	_, err = l.state.Apply(l.index, data)
	l.c.Assert(err, qt.IsNil)
	if l.keeper != nil {
		l.keeper.Update(l.now, l.state)
	}
}

func (l *ledger) slice() slice.Slice {
	set, _ := l.state.Table("s")
	return set.At(0)
}

func (l *ledger) operate(kind state.OperationKind, to uint32) {
	l.c.Helper()
	l.apply(state.Command{Plan: &state.Plan{Operations: []state.Operation{{Kind: kind, Service: "s", Fence: l.slice().Fence, To: to}}}})
}

// later lets time pass and applies what is due.
func (l *ledger) later(d time.Duration) {
	l.c.Helper()
	l.now += d
	for _, c := range l.keeper.Due(l.now, l.state) {
		l.apply(c)
	}
}

func (l *ledger) announce(name string, held uint64) table.GrantResponse {
	l.seq++
	return l.keeper.RenewUpstream(l.now, l.state, table.Announcement{Name: name, Incarnation: 1, Sequence: l.seq, Service: "s", Held: held, Healthy: true})
}

func (l *ledger) renew(applied, oldest uint64) bool {
	return l.keeper.RenewEntry(l.now, table.Renewal{Host: table.EntryHost{Name: "e1", Incarnation: 1}, Applied: applied, Oldest: oldest})
}

func (l *ledger) assertOwner(want uint32) {
	l.c.Helper()
	l.c.Assert(l.slice().Owner, qt.Equals, want)
}

func TestMoveWaitsForTheOldOwner(t *testing.T) {
	l := mustLedger(t, true)
	first := l.announce("a", 0)
	l.c.Assert(first.Grants, qt.HasLen, 1)
	l.operate(state.BeginMove, 2)
	l.later(10 * time.Millisecond)
	l.assertOwner(1)
	revoked := l.announce("a", first.Version)
	l.c.Assert(revoked.Changed, qt.IsTrue)
	l.c.Assert(revoked.Grants, qt.HasLen, 0)
	l.later(10 * time.Millisecond)
	l.assertOwner(1)
	l.announce("a", revoked.Version)
	l.later(10 * time.Millisecond)
	l.assertOwner(2)
	l.c.Assert(l.announce("b", 0).Grants[0].Fence > first.Grants[0].Fence, qt.IsTrue)
}

func TestLostOwnerIsWaitedOutForAWholeLease(t *testing.T) {
	l := mustLedger(t, true)
	l.announce("a", 0)
	l.operate(state.BeginMove, 2)
	l.later(wholeLease - time.Millisecond)
	l.announce("b", 0)
	l.assertOwner(1)
	l.later(time.Millisecond)
	l.assertOwner(2)
}

func TestNewLeaderTreatsLeasesAsLive(t *testing.T) {
	l := mustLedger(t, true)
	l.operate(state.BeginMove, 2)
	l.now += time.Minute
	l.keeper = NewManager(terms, l.now, l.state)
	l.later(wholeLease - time.Millisecond)
	l.assertOwner(1)
}

func TestCondemnedUpstreamIsNotRenewed(t *testing.T) {
	l := mustLedger(t, true)
	l.now += 2 * time.Second
	l.c.Assert(l.keeper.Due(l.now, l.state), qt.Not(qt.HasLen), 0)
	l.c.Assert(l.announce("a", 0).Status, qt.Equals, table.GrantStale)
}

func TestUncheckedOwnerIsWaitedForAtEntryHosts(t *testing.T) {
	setUp := func(t *testing.T) (*ledger, uint64) {
		l := mustLedger(t, false)
		l.keeper.ghostsGone = 0
		l.operate(state.BeginMove, 2)
		l.announce("a", l.announce("a", 0).Version)
		return l, l.state.Version()
	}
	t.Run("a table not applied", func(t *testing.T) {
		l, version := setUp(t)
		l.renew(version-1, version-1)
		l.later(10 * time.Millisecond)
		l.assertOwner(1)
	})
	t.Run("a request in flight", func(t *testing.T) {
		l, version := setUp(t)
		l.renew(version, version-1)
		l.later(10 * time.Millisecond)
		l.assertOwner(1)
		l.renew(version, version)
		l.later(10 * time.Millisecond)
		l.assertOwner(2)
	})
	t.Run("a lost entry host", func(t *testing.T) {
		l, _ := setUp(t)
		for l.now < time.Hour+wholeLease+terms.maxHold+table.MaxSkew-10*time.Millisecond {
			l.announce("a", 0)
			l.announce("b", 0)
			l.later(10 * time.Millisecond)
			l.assertOwner(1)
		}
		l.later(100 * time.Millisecond)
		l.assertOwner(2)
	})
}

func TestLeaseNeedsATableAsNewAsTheJoin(t *testing.T) {
	l := mustLedger(t, false)
	e, _ := l.state.Entry("e1")
	l.c.Assert(l.renew(e.JoinedAt-1, e.JoinedAt-1), qt.IsFalse)
	l.c.Assert(l.renew(e.JoinedAt, e.JoinedAt), qt.IsTrue)
}

func TestReplayedAnnouncements(t *testing.T) {
	l := mustLedger(t, true)
	old := table.Announcement{Name: "a", Incarnation: 1, Sequence: 1, Service: "s"}
	later := old
	later.Sequence = 2
	u, _ := l.state.UpstreamNamed("a")
	l.c.Assert(l.keeper.RenewUpstream(l.now, l.state, old).Status, qt.Equals, table.GrantHeld)
	renewed := l.now
	l.now += l.keeper.terms.surelyOver() - time.Millisecond
	l.c.Assert(l.keeper.RenewUpstream(l.now, l.state, old).Status, qt.Equals, table.GrantHeld)
	l.c.Assert(l.keeper.Live(l.now, u.Number), qt.IsTrue)
	l.now = renewed + l.keeper.terms.surelyOver()
	l.c.Assert(l.keeper.Live(l.now, u.Number), qt.IsFalse, qt.Commentf("an announcement that comes twice renews once"))
	l.c.Assert(l.keeper.RenewUpstream(l.now, l.state, later).Status, qt.Equals, table.GrantHeld)
	l.c.Assert(l.keeper.RenewUpstream(l.now, l.state, old).Status, qt.Equals, table.GrantRefused)
	l.apply(state.Command{JoinUpstream: &table.Upstream{Name: "a", Incarnation: 2, Service: "s"}})
	l.c.Assert(l.announce("a", 0).Status, qt.Equals, table.GrantStale)
}

func TestHeldAnnouncementsRenewFromBefore(t *testing.T) {
	l := mustLedger(t, true)
	u, _ := l.state.UpstreamNamed("a")
	l.now += time.Second
	held := table.Announcement{Name: "a", Incarnation: 1, Sequence: 1, Service: "s", Age: table.Age(400 * time.Millisecond)}
	l.c.Assert(l.keeper.RenewUpstream(l.now, l.state, held).Status, qt.Equals, table.GrantHeld)
	over := l.now - held.Age.Min() + l.keeper.terms.surelyOver()
	l.c.Assert(l.keeper.Live(over-time.Millisecond, u.Number), qt.IsTrue)
	l.c.Assert(l.keeper.Live(over, u.Number), qt.IsFalse)
	held.Sequence, held.Age = 2, table.Age(time.Hour)
	l.c.Assert(l.keeper.RenewUpstream(l.now, l.state, held).Status, qt.Equals, table.GrantHeld)
	l.c.Assert(l.keeper.Live(over-time.Millisecond, u.Number), qt.IsTrue, qt.Commentf("no lease gets shorter"))
}
