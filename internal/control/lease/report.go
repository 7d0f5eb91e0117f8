package lease

import (
	"cmp"
	"slices"
	"time"

	"ebonyrill.dev/ebonyrill/internal/control/state"
	"ebonyrill.dev/ebonyrill/internal/shared/table"
)

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

// applyReport records the slices that an upstream reports as held and as released. A slice that is being moved counts as
// released once a new report no longer lists any part of it. An upstream sends a new report only after it has received or
// given up the answer to the previous one, so an earlier grant of this leader can no longer reach it. A report may be older than a
// grant of an earlier leader, whose responses this leader does not know. Until those leases have expired, a release also needs an
// older report that lists the slice.
func (m *Manager) applyReport(now time.Duration, u table.Upstream, a table.Announcement, isNew bool) {
	data := m.handoverData[u.Service]
	for _, r := range a.Released {
		data = data.with(r)
	}
	for _, g := range a.Holds {
		data = data.without(g.From, g.To)
	}
	m.handoverData[u.Service] = data
	l := m.upstreams[u.Number]
	l.report = newReport(a.Holds)
	if !isNew {
		return
	}
	for key, h := range m.handovers {
		if h.owner != u.Number {
			continue
		}
		switch {
		case l.report.listsAll(table.Grant{From: key.start, To: h.last, Fence: h.fence}):
			h.reportedIn = max(h.reportedIn, a.Sequence)
		case holdsAny(a.Holds, key.start, h.last):
		case h.reportedIn != 0 && a.Sequence > h.reportedIn || m.earlierLeasesExpired(now):
			h.released = true
		case !h.unproven:
			h.unproven = true
			l.unproven++
		}
	}
}

// TakeUnproven returns how many slices the reports of an upstream have left out for the first time since the last call, without proof
// that the upstream has released them.
func (m *Manager) TakeUnproven(number uint32) (count int) {
	if l := m.upstreams[number]; l != nil {
		count, l.unproven = l.unproven, 0
	}
	return count
}

// DropHandover drops the handover data of a range of hashes whose last owner was lost before it released them.
func (m *Manager) DropHandover(service string, from, to uint64) {
	m.handoverData[service] = m.handoverData[service].without(from, to)
}

// Evict ends the leases of upstreams whose processes have been replaced, and drops their handover data.
func (m *Manager) Evict(s *state.State, numbers []uint32) {
	for _, number := range numbers {
		if l := m.upstreams[number]; l != nil {
			l.ended = true
		}
		if u, ok := s.Upstream(number); ok {
			m.dropHandoverDataFor(s, u)
		}
	}
}

func holdsAny(holds []table.Grant, from, to uint64) bool {
	return slices.ContainsFunc(holds, func(g table.Grant) bool { return g.From <= to && from <= g.To })
}

// handoverData holds what previous owners left for the next owners of their keys, by range of hashes. Ranges do not overlap.
type handoverData []table.Release

// with returns the handover data with a range added, which replaces any part that it overlaps.
func (d handoverData) with(r table.Release) handoverData {
	return append(d.without(r.From, r.To), r)
}

// covers reports whether there is handover data for any of the hashes from..to.
func (d handoverData) covers(from, to uint64) bool {
	return slices.ContainsFunc(d, func(r table.Release) bool { return r.From <= to && from <= r.To })
}

// without returns the handover data with the hashes from..to removed. A range that overlaps them keeps its other hashes.
func (d handoverData) without(from, to uint64) (kept handoverData) {
	for _, r := range d {
		if r.To < from || to < r.From {
			kept = append(kept, r)
			continue
		}
		if r.From < from {
			kept = append(kept, table.Release{From: r.From, To: from - 1, Handover: r.Handover})
		}
		if r.To > to {
			kept = append(kept, table.Release{From: to + 1, To: r.To, Handover: r.Handover})
		}
	}
	return kept
}

// attach returns the grants with their handover data. A grant is split where a range of handover data starts or ends.
func (d handoverData) attach(grants []table.Grant) (attached []table.Grant) {
	if len(d) == 0 {
		return grants
	}
	for _, g := range grants {
		attached = append(attached, d.attachTo(g)...)
	}
	return attached
}

func (d handoverData) attachTo(g table.Grant) (parts []table.Grant) {
	inside := slices.DeleteFunc(slices.Clone(d), func(r table.Release) bool { return r.To < g.From || g.To < r.From })
	slices.SortFunc(inside, func(a, b table.Release) int {
		if a.From < b.From {
			return -1
		}
		return 1
	})
	next := g.From
	for _, r := range inside {
		from, to := max(r.From, g.From), min(r.To, g.To)
		if next < from {
			parts = append(parts, table.Grant{From: next, To: from - 1, Fence: g.Fence})
		}
		parts = append(parts, table.Grant{From: from, To: to, Fence: g.Fence, Handover: r.Handover})
		if to == g.To {
			return parts
		}
		next = to + 1
	}
	return append(parts, table.Grant{From: next, To: g.To, Fence: g.Fence})
}
