package lease

import (
	"slices"
	"time"

	"ebonyrill.dev/ebonyrill/internal/control/state"
	"ebonyrill.dev/ebonyrill/internal/shared/table"
)

// takeReport takes in what an upstream says it holds and has released. A slice that is on its way to another owner is free
// once a new report no longer holds any of it: the upstream has ended its last answer by then, one way or the other, so that
// no earlier grant can reach it any more.
func (k *Manager) takeReport(s *state.State, u table.Upstream, a table.Announcement, isNew bool) {
	t := k.tokens[u.Service]
	for _, r := range a.Released {
		t = t.with(r)
	}
	for _, g := range a.Holds {
		t = t.without(g.From, g.To)
	}
	k.tokens[u.Service] = t
	if !isNew {
		return
	}
	for name, h := range k.handovers {
		if h.owner == u.Number && !holdsAny(a.Holds, name.start, h.last) {
			h.freed = true
		}
	}
}

// DropHandover drops what was left for the next owner of keys whose last owner was lost without a word.
func (k *Manager) DropHandover(service string, from, to uint64) {
	k.tokens[service] = k.tokens[service].without(from, to)
}

// Evict drops what was left for upstreams whose processes have ended, and renews them no more.
func (k *Manager) Evict(s *state.State, numbers []uint32) {
	for _, number := range numbers {
		if l := k.upstreams[number]; l != nil {
			l.condemned = true
		}
		if u, ok := s.Upstream(number); ok {
			k.forgetOwned(s, u)
		}
	}
}

func holdsAny(holds []table.Grant, from, to uint64) bool {
	return slices.ContainsFunc(holds, func(g table.Grant) bool { return g.From <= to && from <= g.To })
}

// tokens are what past owners left for the next ones, by run of hashes; runs do not overlap.
type tokens []table.Release

// with returns the tokens with one added in place of what it overlaps.
func (t tokens) with(r table.Release) tokens {
	return append(t.without(r.From, r.To), r)
}

// without returns the tokens less a run; one that it cuts keeps its other parts.
func (t tokens) without(from, to uint64) (kept tokens) {
	for _, r := range t {
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

// mark returns the grants with their tokens; a grant is cut where its tokens begin and end.
func (t tokens) mark(grants []table.Grant) (marked []table.Grant) {
	if len(t) == 0 {
		return grants
	}
	for _, g := range grants {
		marked = append(marked, t.cut(g)...)
	}
	return marked
}

func (t tokens) cut(g table.Grant) (parts []table.Grant) {
	inside := slices.DeleteFunc(slices.Clone(t), func(r table.Release) bool { return r.To < g.From || g.To < r.From })
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

// finishPause is how long a handover that was proposed is not proposed again; a commit takes less.
const finishPause = 400 * time.Millisecond

// FinishMovesTo returns the operations that complete handovers to an upstream; pending tells that some are under way.
func (k *Manager) FinishMovesTo(now time.Duration, s *state.State, number uint32) (operations []state.Operation, pending bool) {
	for name, h := range k.handovers {
		set, ok := s.Table(name.service)
		if !ok {
			continue
		}
		e, ok := set.StartsAt(name.start)
		if !ok || e.Next != number || e.Fence != h.fence || !k.released(now, s, h) {
			continue
		}
		pending = true
		if h.finishing != 0 && now-h.finishing < finishPause {
			continue
		}
		h.finishing = now
		operations = append(operations, state.Operation{Kind: state.FinishMove, Service: name.service, Start: e.Start, Fence: e.Fence, To: number})
	}
	return operations, pending
}
