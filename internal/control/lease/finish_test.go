package lease

import (
	"fmt"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"

	"ebonyrill.dev/ebonyrill/internal/control/state"
	"ebonyrill.dev/ebonyrill/internal/shared/table"
)

// limitedFixture is a reportFixture whose upstreams accept a limited length of grants in one response.
type limitedFixture struct {
	*reportFixture
	limit    responseLimit
	sequence uint64
}

func newLimitedFixture(t *testing.T, limit int) *limitedFixture {
	return &limitedFixture{reportFixture: newReportFixture(t), limit: responseLimit{bytes: limit, perGrant: 16}, sequence: 1}
}

// plan applies an operation to each of the slices at the positions.
func (f *limitedFixture) plan(kind state.OperationKind, to uint32, positions ...int) {
	set, _ := f.state.Table("s")
	var operations []state.Operation
	for _, i := range positions {
		operations = append(operations, state.Operation{Kind: kind, Service: "s", Start: set.At(i).Start, Fence: set.At(i).Fence, To: to})
	}
	f.apply(state.Command{Plan: &state.Plan{Operations: operations}})
}

// report announces an upstream and applies what completes its moves, as control does for one heartbeat. It returns the response.
func (f *limitedFixture) report(now time.Duration, name string, holds []table.Grant, released ...table.Release) (g table.GrantResponse, last Completion) {
	u, _ := f.state.UpstreamNamed(name)
	f.sequence++
	f.now = now
	a := table.Announcement{Name: name, Incarnation: 1, Sequence: f.sequence, Service: "s", Address: name, Reports: true, Holds: holds,
		Released: released, GrantsLimit: f.limit.bytes, GrantBytes: f.limit.perGrant}
	for range 20 {
		g = f.manager.RenewUpstream(now, f.state, a)
		if last = f.manager.FinishMovesTo(now, f.state, u.Number); !last.Pending {
			return g, last
		}
		f.apply(state.Command{Plan: &state.Plan{Operations: last.Operations}})
	}
	f.c.Fatalf("the moves to %s are not completed", name)
	return g, last
}

// encodedLength returns the length of grants whose ranges are written with five digits at each end.
func encodedLength(grants []table.Grant) (n int) {
	for _, g := range grants {
		n += len(fmt.Sprintf("[65535,65535,%d,%q],", g.Fence, g.Handover))
	}
	return n
}

// every returns the positions from first in steps of step, up to 255.
func every(first, step int) (positions []int) {
	for i := first; i < 256; i += step {
		positions = append(positions, i)
	}
	return positions
}

// releaseOf returns the release of the slice at a position.
func (f *limitedFixture) releaseOf(position int, handover string) table.Release {
	set, _ := f.state.Table("s")
	return table.Release{From: set.At(position).Start, To: set.Last(position), Handover: handover}
}

// interleave gives every second slice to a and the others to b, and lets b release all of its own for a.
func (f *limitedFixture) interleave(now time.Duration, handover string) (held []table.Grant) {
	f.plan(state.Assign, 1, every(0, 2)...)
	f.plan(state.Assign, 2, every(1, 2)...)
	g, _ := f.report(now, "a", nil)
	other, _ := f.report(now, "b", nil)
	f.c.Assert(g.Grants, qt.HasLen, 128)
	f.c.Assert(other.Grants, qt.HasLen, 128)
	f.plan(state.BeginMove, 1, every(1, 2)...)
	f.report(now, "b", other.Grants)
	var released []table.Release
	for _, i := range every(1, 2) {
		released = append(released, f.releaseOf(i, handover))
	}
	f.report(now, "b", nil, released...)
	return g.Grants
}

// TestGrantsFitInTheResponse guards against grants that are longer than an upstream accepts: it would acknowledge none of them, and its
// service would stay unserved. An upstream with many ranges gets those of another one between its own.
func TestGrantsFitInTheResponse(t *testing.T) {
	f := newLimitedFixture(t, 4000)
	held := f.interleave(0, "0123456789abcdef")
	now, warm := time.Duration(0), 0
	for n := 0; !isEverything(held); n++ {
		f.c.Assert(n < 4, qt.IsTrue)
		g, _ := f.report(now, "a", held)
		f.c.Assert(encodedLength(g.Grants) <= 4000, qt.IsTrue)
		for _, granted := range g.Grants {
			if granted.Handover != "" {
				warm++
			}
		}
		held, now = g.Grants, now+400*time.Millisecond
	}
	f.c.Check(warm, qt.Equals, 128)
}

// isEverything reports whether grants cover all hashes.
func isEverything(grants []table.Grant) bool {
	next := uint64(0)
	for i, g := range grants {
		if g.From != next {
			return false
		}
		if next = g.To + 1; next == 0 {
			return i == len(grants)-1
		}
	}
	return false
}

// TestLongHandoverDataIsDropped checks that handover data that never fits in a response delays its slice for a limited time only.
func TestLongHandoverDataIsDropped(t *testing.T) {
	f := newLimitedFixture(t, 4000)
	f.plan(state.Assign, 2, 0)
	f.plan(state.Assign, 1, 1)
	held, _ := f.report(0, "b", nil)
	f.report(0, "a", nil)
	f.plan(state.BeginMove, 1, 0)
	f.report(0, "b", held.Grants)
	f.report(0, "b", nil, f.releaseOf(0, strings.Repeat("x", 5000)))
	_, waiting := f.report(time.Second, "a", nil)
	f.c.Check(waiting.Waiting, qt.Equals, 1)
	f.c.Check(waiting.Exceeded, qt.IsFalse)
	_, waiting = f.report(time.Second+maxHandoverWait-1, "a", nil)
	f.c.Check(waiting.Waiting, qt.Equals, 1)
	g, last := f.report(time.Second+maxHandoverWait, "a", nil)
	f.c.Check(last.Waiting, qt.Equals, 0)
	f.c.Assert(g.Grants, qt.HasLen, 1)
	f.c.Check(g.Grants[0].Handover, qt.Equals, "")
}

// TestRangesThatCannotBeJoined checks that an upstream whose ranges alone are too long is reported, and that moves that would add to them
// wait without taking from it what it holds.
func TestRangesThatCannotBeJoined(t *testing.T) {
	f := newLimitedFixture(t, 1000)
	f.plan(state.Assign, 1, every(0, 2)...)
	g, last := f.report(0, "a", nil)
	f.c.Check(last.Exceeded, qt.IsFalse)
	f.c.Check(last.Waiting > 0, qt.IsTrue)
	f.c.Check(last.Waiting+len(g.Grants), qt.Equals, 128)
	f.c.Check(encodedLength(g.Grants) <= 1000, qt.IsTrue)
	f.limit.bytes = 500
	_, last = f.report(0, "a", g.Grants)
	f.c.Check(last.Exceeded, qt.IsTrue)
}

// TestOwnerLostWhileMovesWait guards against responses that are too long because all slices of a lost upstream go to the next owner at
// once, also those whose moves waited for room.
func TestOwnerLostWhileMovesWait(t *testing.T) {
	f := newLimitedFixture(t, 4000)
	held := f.interleave(0, "0123456789abcdef")
	g, last := f.report(time.Second, "a", held)
	f.c.Assert(last.Waiting > 0, qt.IsTrue)
	f.apply(state.Command{DropUpstreams: &state.DropUpstreams{Numbers: []uint32{2}}})
	g, last = f.report(time.Second, "a", g.Grants)
	f.c.Check(last.Exceeded, qt.IsFalse)
	f.c.Check(encodedLength(g.Grants) <= 4000, qt.IsTrue)
	f.c.Check(isEverything(g.Grants), qt.IsTrue)
}

// TestUnheldGrantsAreFound checks that an upstream that renews its lease without taking what it was granted is found after a lease time,
// once, and that one that is granted something else at each announcement is not.
func TestUnheldGrantsAreFound(t *testing.T) {
	found := func(f *limitedFixture, now time.Duration, holds []table.Grant) (n int, isNew bool) {
		f.report(now, "a", holds)
		return f.manager.UnheldGrants(now, 1)
	}
	t.Run("never held", func(t *testing.T) {
		f := newLimitedFixture(t, 0)
		f.plan(state.Assign, 1, 0, 2)
		f.report(0, "a", nil)
		for _, v := range []struct {
			at    time.Duration
			count int
			isNew bool
		}{{time.Second / 2, 0, false}, {time.Second, 0, false}, {2 * time.Second, 2, true}, {3 * time.Second, 2, false}} {
			n, isNew := found(f, v.at, nil)
			f.c.Check(n, qt.Equals, v.count)
			f.c.Check(isNew, qt.Equals, v.isNew)
		}
	})
	t.Run("new at each announcement", func(t *testing.T) {
		f := newLimitedFixture(t, 0)
		var held []table.Grant
		for i := range 20 {
			f.plan(state.Assign, 1, 2*i)
			g, _ := f.report(time.Duration(i)*time.Second/2, "a", held)
			held = g.Grants
			n, _ := f.manager.UnheldGrants(time.Duration(i)*time.Second/2, 1)
			f.c.Check(n, qt.Equals, 0)
		}
	})
}

// TestCompletionsFit checks, for random owners, handover data and limits, that a response never exceeds its limit unless that is reported,
// and that every move is completed once its upstream reports what it was granted.
func TestCompletionsFit(t *testing.T) {
	rapid.Check(t, func(r *rapid.T) {
		f := newLimitedFixture(t, rapid.IntRange(2200, 6000).Draw(r, "limit"))
		var mine, theirs []int
		for i := range 256 {
			if rapid.IntRange(0, 2).Draw(r, "owner") == 0 {
				mine = append(mine, i)
			} else {
				theirs = append(theirs, i)
			}
		}
		f.plan(state.Assign, 1, mine...)
		f.plan(state.Assign, 2, theirs...)
		held, _ := f.report(0, "a", nil)
		other, _ := f.report(0, "b", nil)
		f.plan(state.BeginMove, 1, theirs...)
		f.report(0, "b", other.Grants)
		var released []table.Release
		for _, i := range theirs {
			released = append(released, f.releaseOf(i, fmt.Sprintf("%0*d", rapid.IntRange(0, 40).Draw(r, "length"), i)))
		}
		f.report(0, "b", nil, released...)
		for n := range 12 {
			g, last := f.report(time.Duration(n)*300*time.Millisecond, "a", held.Grants)
			if !last.Exceeded && encodedLength(g.Grants) > f.limit.bytes {
				r.Fatalf("a response with %d grants exceeds %d bytes", len(g.Grants), f.limit.bytes)
			}
			held = g
		}
		if !isEverything(held.Grants) {
			r.Fatalf("%d grants do not cover all hashes", len(held.Grants))
		}
	})
}
