package group

import (
	"context"
	"slices"
	"strings"

	"ebonyrill.dev/ebonyrill/internal/shared/oper"
	"ebonyrill.dev/ebonyrill/internal/shared/slice"
	"ebonyrill.dev/ebonyrill/internal/shared/table"
)

// targetVoters is the number of voters below which a group is not fully redundant.
const targetVoters = 3

func (g *Group) status(ctx context.Context, _ *oper.Empty) (answer *oper.StatusResponse, err error) {
	err = g.read(ctx, func(l *lead) error {
		answer = &oper.StatusResponse{Term: g.core.Term(), Commit: g.core.CommitIndex(), TableVersion: g.state.Version(),
			ConfigVersion: g.state.Config().Version, Handovers: l.keeper.Handovers(), MovedShare: l.moved}
		g.statusMembers(answer)
		g.statusEntries(l, answer)
		g.statusUpstreams(l, answer)
		return nil
	})
	return answer, err
}

func (g *Group) statusMembers(answer *oper.StatusResponse) {
	whole, voters := true, 0
	for _, m := range g.core.Members() {
		s := oper.MemberStatus{ID: uint64(m.ID), Address: m.Address, DataCentre: m.DataCentre, Voter: m.Voter, Standby: m.Standby,
			Leader: m.ID == g.core.ID(), Heard: g.core.HeardWithin(g.now(), m.ID, heardPeriod),
			Match: g.core.MatchIndex(m.ID)}
		s.CaughtUp = s.Match >= g.core.CommitIndex()
		whole = whole && s.Heard && s.CaughtUp
		if m.Voter {
			voters++
		}
		answer.Members = append(answer.Members, s)
	}
	answer.FullRedundancy = whole && voters >= targetVoters && g.core.MembersCommitted()
}

func (g *Group) statusEntries(l *lead, answer *oper.StatusResponse) {
	now := g.now()
	for _, e := range g.state.Entries() {
		s := oper.EntryStatus{Name: e.Name, Address: e.Address, DataCentre: e.DataCentre,
			Live: l.keeper.EntryLive(now, e.Name), Applied: l.keeper.EntryApplied(e.Name)}
		s.Behind, s.All = g.itemsBehind(s.Applied)
		answer.Entries = append(answer.Entries, s)
	}
	for _, e := range l.lost {
		answer.Entries = append(answer.Entries, oper.EntryStatus{Name: e.host.Name, Address: e.host.Address,
			DataCentre: e.host.DataCentre, Lost: true})
	}
	slices.SortFunc(answer.Entries, func(a, b oper.EntryStatus) int { return strings.Compare(a.Name, b.Name) })
}

// itemsBehind returns the items whose newest version a host at a table version does not have yet.
func (g *Group) itemsBehind(applied uint64) (list []oper.ItemVersion, all bool) {
	keys, known := g.state.ItemsChangedSince(applied)
	for _, k := range keys[:min(len(keys), oper.MaxBehind)] {
		i, _ := g.state.Items().Get(k)
		list = append(list, oper.ItemVersion{Kind: k.Kind, Name: k.Name, Version: i.Version})
	}
	return list, !known
}

func (g *Group) statusUpstreams(l *lead, answer *oper.StatusResponse) {
	now := g.now()
	holdings := map[uint32]holding{}
	for _, name := range g.state.TableNames() {
		set, _ := g.state.Table(name)
		rates := make([]float64, set.Len())
		if d := l.services[name]; d != nil {
			answer.Unowned += d.orphans
			rates = d.loads.Rates(now, set)
		}
		addHoldings(holdings, set, rates)
	}
	for _, u := range g.state.Upstreams() {
		h := holdings[u.Number]
		answer.Upstreams = append(answer.Upstreams, oper.UpstreamStatus{Upstream: u, Live: l.keeper.Live(now, u.Number),
			Draining: g.state.Drained(u), Slices: h.slices, Share: h.share, Rate: h.rate})
	}
}

// holding is what an upstream owns of its service: slices, the share of the key space, and requests a second.
type holding struct {
	slices int
	share  float64
	rate   float64
}

// addHoldings counts each slice for its owner, in one pass.
func addHoldings(holdings map[uint32]holding, set slice.Set, rates []float64) {
	for i := range set.Len() {
		owner := set.At(i).Owner
		h := holdings[owner]
		h.slices++
		h.share += set.Share(i)
		h.rate += rates[i]
		holdings[owner] = h
	}
}

func (g *Group) owners(ctx context.Context, r *oper.OwnersRequest) (answer *oper.OwnersResponse, err error) {
	err = g.read(ctx, func(*lead) error {
		set, ok := g.state.Table(r.Service)
		if !ok {
			return &oper.ErrInvalid{Reason: "no service has the name " + r.Service}
		}
		hash := slice.HashKey(r.Key)
		e := set.Find(hash)
		owner, _ := g.state.Upstream(e.Owner)
		next, _ := g.state.Upstream(e.Next)
		home, _ := table.NewHomes(g.state.Entries()).Of(owner)
		answer = &oper.OwnersResponse{Service: r.Service, Key: r.Key, Hash: hash, Owner: owner.Name, Address: owner.Address,
			Next: next.Name, Fence: e.Fence, Home: home.Name}
		return nil
	})
	return answer, err
}
