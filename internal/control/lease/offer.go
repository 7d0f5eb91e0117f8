package lease

import (
	"time"

	"ebonyrill.dev/ebonyrill/internal/control/state"
	"ebonyrill.dev/ebonyrill/internal/shared/table"
)

// An upstream's reports show that it has released a slice only if it cannot get the slice back with the same fencing token: a report
// that lists the slice, and a later one that does not, may both arrive late. A grant is therefore offered to an upstream only if its
// report lists the grant, or while the fencing token is new. Otherwise the slices get a new fencing token first.

// offered returns the grants that a response to the last report of an upstream may contain, and those whose slices need a new fencing
// token first.
func (m *Manager) offered(now time.Duration, s *state.State, u table.Upstream) (offered, withheld []table.Grant) {
	reported := m.upstreams[u.Number].report
	for _, g := range m.grants.ownedBy(s, u) {
		if m.tokens.isNew(now, g.Fence) || reported.listsAll(g) {
			offered = append(offered, g)
		} else {
			withheld = append(withheld, g)
		}
	}
	return offered, withheld
}

// AddReports sets the sequence numbers of operations that begin moves, so that the next leader knows from which report on the owner
// has released the slice. It leaves out moves of slices with a fencing token from this leader that the owner has not reported yet.
// Once such a move has begun, the owner is not offered the token again, so no report could list it, and the slice would stay without an
// owner until the leases from earlier leaders have expired.
func (m *Manager) AddReports(now time.Duration, s *state.State, operations []state.Operation) (added []state.Operation) {
	for _, o := range operations {
		if o.Kind == state.BeginMove {
			sequence, reports := m.reportOf(s, o)
			if reports && sequence == 0 && o.Fence > m.electedIndex && !m.earlierLeasesExpired(now) {
				continue
			}
			o.Sequence = sequence
		}
		added = append(added, o)
	}
	return added
}

// reportOf returns the sequence number of the last report of a slice's owner if it lists the slice with the operation's fencing token,
// else zero, and whether the owner reports what it holds.
func (m *Manager) reportOf(s *state.State, o state.Operation) (sequence uint64, reports bool) {
	set, ok := s.Table(o.Service)
	if !ok {
		return 0, false
	}
	e, ok := set.StartsAt(o.Start)
	owner, joined := s.Upstream(e.Owner)
	l := m.upstreams[e.Owner]
	if !ok || !joined || l == nil || !owner.Reports {
		return 0, false
	}
	if l.report.listsAll(table.Grant{From: e.Start, To: set.Last(set.Position(e.Start)), Fence: o.Fence}) {
		sequence = l.sequence
	}
	return sequence, true
}
