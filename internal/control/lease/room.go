package lease

import (
	"slices"
	"sort"

	"ebonyrill.dev/ebonyrill/internal/control/state"
	"ebonyrill.dev/ebonyrill/internal/shared/table"
)

// room computes how many of the due moves to an upstream fit in its next response, together with what it owns.
type room struct {
	limit responseLimit
	data  handoverData
	owned []table.Grant
	due   []dueMove
	// fence is a fencing token at least as long as those that the next commands set.
	fence uint64
}

// fitsAsIs reports whether all moves fit while the slices that the upstream owns keep their fencing tokens.
func (r *room) fitsAsIs() bool {
	return r.limit.bytes == 0 || r.limit.allows(r.data.attach(joinGrants(slices.Concat(r.owned, r.dueGrants(len(r.due))))))
}

// fits reports whether the first n moves fit if all adjacent slices become one grant.
func (r *room) fits(n int) bool { return r.limit.allows(r.data.attach(r.joined(n))) }

// fitting returns how many moves fit if all adjacent slices become one grant.
func (r *room) fitting() int {
	return sort.Search(len(r.due), func(n int) bool { return !r.fits(n + 1) })
}

// joined returns the grants after the first n moves if all of them get the same fencing token.
func (r *room) joined(n int) []table.Grant {
	grants := slices.Concat(r.owned, r.dueGrants(n))
	for i := range grants {
		grants[i].Fence = r.fence
	}
	return joinGrants(grants)
}

func (r *room) dueGrants(n int) (grants []table.Grant) {
	for _, d := range r.due[:n] {
		grants = append(grants, table.Grant{From: d.slice.Start, To: d.handover.last, Fence: r.fence})
	}
	return grants
}

// refences returns the operations that give a new fencing token to the slices of each grant that differs from those the upstream has.
func (r *room) refences(s *state.State, u table.Upstream, grants []table.Grant) (operations []state.Operation) {
	for _, g := range grants {
		if slices.ContainsFunc(r.owned, func(o table.Grant) bool { return o.From == g.From && o.To == g.To }) {
			continue
		}
		operations = append(operations, refencesOf(s, u, g)...)
	}
	return operations
}

// refencesOf returns the operations that give a new fencing token to the slices of an upstream's grant.
func refencesOf(s *state.State, u table.Upstream, g table.Grant) (operations []state.Operation) {
	set, ok := s.Table(u.Service)
	if !ok {
		return nil
	}
	for i := set.Position(g.From); i < set.Len() && set.At(i).Start <= g.To; i++ {
		if e := set.At(i); e.Owner == u.Number && !e.Moving() {
			operations = append(operations, state.Operation{Kind: state.Refence, Service: u.Service, Start: e.Start, Fence: e.Fence})
		}
	}
	return operations
}
