package group

import (
	"context"
	"slices"
	"strings"

	"ebonyrill.dev/ebonyrill/internal/shared/oper"
	"ebonyrill.dev/ebonyrill/internal/shared/slice"
	"ebonyrill.dev/ebonyrill/internal/shared/table"
)

// targetVoters is the smallest number of voters with which a group counts as fully redundant.
const targetVoters = 3

func (g *Group) status(ctx context.Context, _ *oper.Empty) (answer *oper.StatusResponse, err error) {
	err = g.leaseRead(ctx, func(l *leaderState) error {
		answer = &oper.StatusResponse{Term: g.core.Term(), Commit: g.core.CommitIndex(), TableVersion: g.state.Version(),
			ConfigVersion: g.state.Config().Version, Handovers: l.leases.Handovers(), MovedShare: l.movedShare,
			Evacuations: g.state.Evacuations().All()}
		g.statusMembers(answer)
		g.statusEntries(l, answer)
		g.statusUpstreams(l, answer)
		return nil
	})
	return answer, err
}

func (g *Group) statusMembers(answer *oper.StatusResponse) {
	allCaughtUp, voters := true, 0
	for _, m := range g.core.Members() {
		s := oper.MemberStatus{ID: uint64(m.ID), Address: m.Address, DataCentre: m.DataCentre, Voter: m.Voter, Standby: m.Standby,
			Leader: m.ID == g.core.ID(), Heard: g.core.HeardWithin(g.now(), m.ID, contactPeriod),
			Match: g.core.MatchIndex(m.ID)}
		s.CaughtUp = s.Match >= g.core.CommitIndex()
		allCaughtUp = allCaughtUp && s.Heard && s.CaughtUp
		if m.Voter {
			voters++
		}
		answer.Members = append(answer.Members, s)
	}
	answer.FullRedundancy = allCaughtUp && voters >= targetVoters && g.core.MembersCommitted()
}

func (g *Group) statusEntries(l *leaderState, answer *oper.StatusResponse) {
	now := g.now()
	for _, e := range g.state.Entries() {
		s := oper.EntryStatus{Name: e.Name, Address: e.Address, DataCentre: e.DataCentre,
			Live: l.leases.EntryLive(now, e.Name), Applied: l.leases.EntryApplied(e.Name)}
		s.Behind, s.All = g.itemsChangedSince(s.Applied)
		answer.Entries = append(answer.Entries, s)
	}
	for _, e := range l.lost {
		answer.Entries = append(answer.Entries, oper.EntryStatus{Name: e.host.Name, Address: e.host.Address,
			DataCentre: e.host.DataCentre, Lost: true})
	}
	slices.SortFunc(answer.Entries, func(a, b oper.EntryStatus) int { return strings.Compare(a.Name, b.Name) })
}

// itemsChangedSince returns the configuration items that changed after the table version that a host has applied,
// oper.MaxBehind at most. all is true if the state no longer knows which items changed, so that the host needs all of them.
func (g *Group) itemsChangedSince(applied uint64) (list []oper.ItemVersion, all bool) {
	keys, known := g.state.ItemsChangedSince(applied)
	for _, k := range keys[:min(len(keys), oper.MaxBehind)] {
		i, _ := g.state.Items().Get(k)
		list = append(list, oper.ItemVersion{Kind: k.Kind, Name: k.Name, Version: i.Version})
	}
	return list, !known
}

func (g *Group) statusUpstreams(l *leaderState, answer *oper.StatusResponse) {
	now := g.now()
	owned := map[uint32]ownership{}
	for _, name := range g.state.TableNames() {
		set, _ := g.state.Table(name)
		rates := make([]float64, set.Len())
		if svc := l.services[name]; svc != nil {
			answer.Unowned += svc.unowned
			rates = svc.loads.Rates(now, set)
		}
		addOwnership(owned, set, rates)
	}
	for _, u := range g.state.Upstreams() {
		o := owned[u.Number]
		answer.Upstreams = append(answer.Upstreams, oper.UpstreamStatus{Upstream: u, Live: l.leases.Live(now, u.Number),
			Draining: g.state.Drained(u) || g.state.OutOfService(u), Slices: o.slices, Share: o.share, Rate: o.rate})
	}
}

// ownership sums up the slices that an upstream owns: their number, their share of the key space, and their load in requests
// per second.
type ownership struct {
	slices int
	share  float64
	rate   float64
}

// addOwnership adds each slice of a set, with its rate, to the ownership of its owner.
func addOwnership(owned map[uint32]ownership, set slice.Set, rates []float64) {
	for i := range set.Len() {
		owner := set.At(i).Owner
		o := owned[owner]
		o.slices++
		o.share += set.Share(i)
		o.rate += rates[i]
		owned[owner] = o
	}
}

// owners looks up the owner of a key, the next owner if the key is being moved, and the owner's home.
func (g *Group) owners(ctx context.Context, r *oper.OwnersRequest) (answer *oper.OwnersResponse, err error) {
	err = g.leaseRead(ctx, func(*leaderState) error {
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
