package lease

import (
	"cmp"
	"slices"
	"time"

	"ebonyrill.dev/ebonyrill/internal/control/state"
	"ebonyrill.dev/ebonyrill/internal/shared/table"
)

// An upstream's reports show that it has released a slice only if it cannot get the slice back with the same fencing token: a report
// that lists the slice, and a later one that does not, may both arrive late. A grant is therefore offered to an upstream only if its
// report lists the grant, or while the fencing token is new. Otherwise the slices get a new fencing token first.

// offerShare is the part of a lease for which a new fencing token is offered to an upstream that does not report it. A grant that the
// upstream took in that time has not expired yet, even if the response took most of the lease to arrive.
const offerShare = 0.25

// tokenAges tells new fencing tokens, which are log indexes, from older ones.
type tokenAges struct {
	newFor  time.Duration
	old     uint64 // newest fencing token that is not new any more
	changes []tokenChange
}

// tokenChange is the log index of a slice change and when it was applied.
type tokenChange struct {
	index uint64
	at    time.Duration
}

// newTokenAges returns the ages after an election. No fencing token up to the log index counts as new.
func newTokenAges(t Timing, index uint64) tokenAges {
	return tokenAges{newFor: time.Duration(offerShare * float64(t.lease)), old: index}
}

// add records that a change of slices was applied, which may have set fencing tokens up to its log index.
func (t *tokenAges) add(now time.Duration, index uint64) {
	t.expire(now)
	t.changes = append(t.changes, tokenChange{index: index, at: now})
}

// expire removes the changes whose fencing tokens are not new any more.
func (t *tokenAges) expire(now time.Duration) {
	n := 0
	for n < len(t.changes) && now-t.changes[n].at >= t.newFor {
		t.old = t.changes[n].index
		n++
	}
	t.changes = slices.Delete(t.changes, 0, n)
}

// isNew reports whether a fencing token was set by this leader within newFor.
func (t *tokenAges) isNew(now time.Duration, fence uint64) bool {
	t.expire(now)
	return fence > t.old
}

// report is what an upstream lists as held, ordered by fencing token. Adjacent ranges with the same fencing token are one range.
type report []table.Grant

func newReport(holds []table.Grant) (r report) {
	ordered := slices.SortedFunc(slices.Values(holds), func(a, b table.Grant) int {
		return cmp.Or(cmp.Compare(a.Fence, b.Fence), cmp.Compare(a.From, b.From))
	})
	for _, h := range ordered {
		if n := len(r); n > 0 && r[n-1].Fence == h.Fence && (h.From <= r[n-1].To || h.From == r[n-1].To+1) {
			r[n-1].To = max(r[n-1].To, h.To)
			continue
		}
		r = append(r, h)
	}
	return r
}

// listsAll reports whether the report lists all hashes of a grant with its fencing token.
func (r report) listsAll(g table.Grant) bool {
	return slices.ContainsFunc(r, func(h table.Grant) bool { return h.Fence == g.Fence && h.From <= g.From && g.To <= h.To })
}

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
// has released the slice. It leaves out moves that this leader could not complete before the owner's lease from earlier leaders has
// expired: the owner serves the slices until then.
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

// reportOf returns the sequence number of the last report of a slice's owner if it lists the slice with the operation's fencing token.
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

// earlierLeasesExpired reports whether all leases from earlier leaders have expired for the upstreams too.
func (m *Manager) earlierLeasesExpired(now time.Duration) bool {
	return now-m.startedAt >= m.timing.expiry()
}
