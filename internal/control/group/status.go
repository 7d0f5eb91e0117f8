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

func (g *Group) status(ctx context.Context, _ *oper.Empty) (answer *oper.StatusAnswer, err error) {
	err = g.read(ctx, func(l *lead) error {
		answer = &oper.StatusAnswer{Term: g.core.Term(), Commit: g.core.CommitIndex(), TableVersion: g.state.Version(),
			ConfigVersion: g.state.Config().Version, Handovers: l.keeper.Handovers(), MovedShare: l.moved}
		g.statusMembers(answer)
		g.statusEntries(l, answer)
		g.statusUpstreams(l, answer)
		return nil
	})
	return answer, err
}

func (g *Group) statusMembers(answer *oper.StatusAnswer) {
	whole, voters := true, 0
	for _, m := range g.core.Members() {
		s := oper.MemberStatus{ID: uint64(m.ID), Address: m.Address, DataCentre: m.DataCentre, Voter: m.Voter,
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

func (g *Group) statusEntries(l *lead, answer *oper.StatusAnswer) {
	now := g.now()
	for _, e := range g.state.Entries() {
		answer.Entries = append(answer.Entries, oper.EntryStatus{Name: e.Name, Address: e.Address, DataCentre: e.DataCentre,
			Live: l.keeper.EntryLive(now, e.Name), Applied: l.keeper.EntryApplied(e.Name)})
	}
	for _, e := range l.lost {
		answer.Entries = append(answer.Entries, oper.EntryStatus{Name: e.host.Name, Address: e.host.Address,
			DataCentre: e.host.DataCentre, Lost: true})
	}
	slices.SortFunc(answer.Entries, func(a, b oper.EntryStatus) int { return strings.Compare(a.Name, b.Name) })
}

func (g *Group) statusUpstreams(l *lead, answer *oper.StatusAnswer) {
	now := g.now()
	for _, u := range g.state.Upstreams() {
		s := oper.UpstreamStatus{Upstream: u, Live: l.keeper.Live(now, u.Number), Draining: g.state.Drained(u)}
		if set, ok := g.state.Table(u.Service); ok {
			g.statusSlices(l, u, set, &s)
		}
		answer.Upstreams = append(answer.Upstreams, s)
	}
	for _, v := range g.state.Services() {
		if d := l.services[v.Name()]; d != nil {
			answer.Unowned += d.orphans
		}
	}
}

func (g *Group) statusSlices(l *lead, u table.Upstream, set slice.Set, s *oper.UpstreamStatus) {
	var rates []float64
	if d := l.services[u.Service]; d != nil {
		rates = d.loads.Rates(g.now(), set)
	}
	for i := range set.Len() {
		if set.At(i).Owner != u.Number {
			continue
		}
		s.Slices++
		s.Share += set.Share(i)
		if rates != nil {
			s.Rate += rates[i]
		}
	}
}

func (g *Group) owners(ctx context.Context, r *oper.OwnersRequest) (answer *oper.OwnersAnswer, err error) {
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
		answer = &oper.OwnersAnswer{Service: r.Service, Key: r.Key, Hash: hash, Owner: owner.Name, Address: owner.Address,
			Next: next.Name, Fence: e.Fence, Home: home.Name}
		return nil
	})
	return answer, err
}
