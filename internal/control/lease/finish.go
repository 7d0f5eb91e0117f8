package lease

import (
	"cmp"
	"slices"
	"time"

	"ebonyrill.dev/ebonyrill/internal/control/state"
	"ebonyrill.dev/ebonyrill/internal/shared/slice"
	"ebonyrill.dev/ebonyrill/internal/shared/table"
)

const (
	// finishRetryPeriod is how long FinishMovesTo waits before it returns the same operation again. A commit takes less.
	finishRetryPeriod = 400 * time.Millisecond
	// maxHandoverWait is how long a released slice may wait for room for its handover data. Then the data is dropped.
	maxHandoverWait = 2 * time.Second
	// fenceReserve is added to the log index to estimate the length of the fencing tokens that the next commands set.
	fenceReserve = 1000
)

// Completion holds the operations that complete moves to an upstream, as far as its next response has room for the grants.
type Completion struct {
	Operations []state.Operation
	// Pending is set while operations are being committed, also if they were returned before.
	Pending bool
	// Waiting is the number of released slices that have to wait for room.
	Waiting int
	// Dropped is the number of ranges whose handover data was dropped for lack of room.
	Dropped int
	// Withheld is the number of grants that the next response may not contain before their slices have new fencing tokens.
	Withheld int
	// Exceeded is set if the response is too long even without the slices that wait. The upstream does not accept it then.
	Exceeded bool
}

// dueMove is the move of a released slice.
type dueMove struct {
	slice    slice.Slice
	handover *handover
}

// FinishMovesTo returns what completes the moves of released slices to an upstream. If the grants do not all fit in its next response,
// adjacent slices that it owns get the same fencing token, so that they become one grant, and moves that do not fit even so wait until
// the upstream has reported the earlier ones. Before anything else, slices that the upstream may not be offered again with their fencing
// tokens get new ones.
func (m *Manager) FinishMovesTo(now time.Duration, s *state.State, number uint32) (c Completion) {
	u, ok := s.Upstream(number)
	l := m.upstreams[number]
	if !ok || l == nil {
		return c
	}
	if _, withheld := m.offered(now, s, u); len(withheld) > 0 {
		c.Withheld, c.Pending = len(withheld), true
		for _, g := range withheld {
			c.Operations = append(c.Operations, refencesOf(s, u, g)...)
		}
		if !l.refenceDue(now, s) {
			c.Operations = nil
		}
		return c
	}
	r := &room{limit: l.limit, data: m.handoverData[u.Service], owned: m.grants.ownedBy(s, u), due: m.dueMoves(now, s, u), fence: s.Index() + fenceReserve}
	due := r.due
	if !r.fitsAsIs() {
		c = m.makeRoom(now, s, u, r)
		due = due[:len(due)-c.Waiting]
	}
	for _, d := range due {
		c.Pending = true
		if d.handover.proposedAt != 0 && now-d.handover.proposedAt < finishRetryPeriod {
			continue
		}
		d.handover.proposedAt = now
		c.Operations = append(c.Operations, state.Operation{Kind: state.FinishMove, Service: u.Service, Start: d.slice.Start, Fence: d.slice.Fence,
			To: number})
	}
	return c
}

// dueMoves returns the moves of released slices to an upstream, in the order of the slices.
func (m *Manager) dueMoves(now time.Duration, s *state.State, u table.Upstream) (due []dueMove) {
	set, ok := s.Table(u.Service)
	if !ok {
		return nil
	}
	for key, h := range m.handovers {
		if key.service != u.Service {
			continue
		}
		e, ok := set.StartsAt(key.start)
		if !ok || e.Next != u.Number || e.Fence != h.fence || !m.released(now, s, h) {
			continue
		}
		if !h.due {
			h.due, h.dueSince = true, now
		}
		due = append(due, dueMove{slice: e, handover: h})
	}
	slices.SortFunc(due, func(a, b dueMove) int { return cmp.Compare(a.slice.Start, b.slice.Start) })
	return due
}

// makeRoom returns the operations that give adjacent slices of an upstream the same fencing token, and how many of the due moves have to
// wait.
func (m *Manager) makeRoom(now time.Duration, s *state.State, u table.Upstream, r *room) (c Completion) {
	c.Dropped = m.dropUnfitting(now, u.Service, r)
	fitting := r.fitting()
	c.Waiting, c.Exceeded = len(r.due)-fitting, !r.fits(fitting)
	refences := r.refences(s, u, r.joined(fitting))
	c.Pending = c.Dropped > 0 || len(refences) > 0
	if len(refences) > 0 && m.upstreams[u.Number].refenceDue(now, s) {
		c.Operations = refences
	}
	return c
}

// refenceDue reports whether operations that give an upstream's slices new fencing tokens may be returned now, and records that they are.
func (l *upstreamLease) refenceDue(now time.Duration, s *state.State) bool {
	changed := s.LastSliceChange()
	if l.refencedIndex == changed && now-l.refencedAt < finishRetryPeriod {
		return false
	}
	l.refencedAt, l.refencedIndex = now, changed
	return true
}

// dropUnfitting drops handover data that does not fit in a response: that of ranges which the upstream already owns, as many as necessary,
// and that of moves which have waited for long. It returns the number of ranges whose data was dropped.
func (m *Manager) dropUnfitting(now time.Duration, service string, r *room) (dropped int) {
	drop := func(from, to uint64) {
		if r.data.covers(from, to) {
			m.DropHandover(service, from, to)
			r.data = m.handoverData[service]
			dropped++
		}
	}
	for _, g := range r.owned {
		if r.fits(0) {
			break
		}
		drop(g.From, g.To)
	}
	for _, d := range r.due[r.fitting():] {
		if now-d.handover.dueSince >= maxHandoverWait {
			drop(d.slice.Start, d.handover.last)
		}
	}
	return dropped
}
