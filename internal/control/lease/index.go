package lease

import (
	"ebonyrill.dev/ebonyrill/internal/control/state"
	"ebonyrill.dev/ebonyrill/internal/shared/slice"
	"ebonyrill.dev/ebonyrill/internal/shared/table"
)

// grantIndex holds the grants of all upstreams at one log index. It is made in one pass when the first upstream asks, as
// after a loss all of them ask at once.
type grantIndex struct {
	index   uint64
	byOwner map[uint32][]table.Grant
}

// of returns the runs of hashes that the upstream owns now.
func (g *grantIndex) of(s *state.State, u table.Upstream) []table.Grant {
	if g.byOwner == nil || g.index != s.LastSliceChange() {
		g.index, g.byOwner = s.LastSliceChange(), map[uint32][]table.Grant{}
		for _, name := range s.TableNames() {
			set, _ := s.Table(name)
			g.add(set)
		}
	}
	return g.byOwner[u.Number]
}

// add adds the grants of one service; a slice that is being handed over is left out.
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
