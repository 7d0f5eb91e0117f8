package lease

import (
	"ebonyrill.dev/ebonyrill/internal/control/state"
	"ebonyrill.dev/ebonyrill/internal/shared/slice"
	"ebonyrill.dev/ebonyrill/internal/shared/table"
)

// grantIndex caches the grants of all upstreams for one version of the slices. It is built in one pass: after a loss all
// upstreams need their new grants at once, and a pass for each would be too slow.
type grantIndex struct {
	// index is the log index of the last slice change that the cache contains.
	index   uint64
	byOwner map[uint32][]table.Grant
}

// ownedBy returns the grants of an upstream, rebuilding the cache if slices have changed.
func (g *grantIndex) ownedBy(s *state.State, u table.Upstream) []table.Grant {
	if g.byOwner == nil || g.index != s.LastSliceChange() {
		g.index, g.byOwner = s.LastSliceChange(), map[uint32][]table.Grant{}
		for _, name := range s.TableNames() {
			set, _ := s.Table(name)
			g.add(set)
		}
	}
	return g.byOwner[u.Number]
}

// add adds the grants of one service. A slice that is being moved is granted to nobody. Adjacent slices with the same owner
// and fencing token become one grant.
func (g *grantIndex) add(set slice.Set) {
	for i := range set.Len() {
		e := set.At(i)
		if e.Owner == 0 || e.Moving() {
			continue
		}
		grants := g.byOwner[e.Owner]
		if n := len(grants); n > 0 && grants[n-1].Fence == e.Fence && grants[n-1].To+1 == e.Start {
			grants[n-1].To = set.Last(i)
			continue
		}
		g.byOwner[e.Owner] = append(grants, table.Grant{From: e.Start, To: set.Last(i), Fence: e.Fence})
	}
}
