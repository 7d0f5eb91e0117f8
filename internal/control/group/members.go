package group

import (
	"context"
	"time"

	"go.uber.org/zap"

	"ebonyrill.dev/ebonyrill/internal/control/raft"
	"ebonyrill.dev/ebonyrill/internal/shared/events"
	"ebonyrill.dev/ebonyrill/internal/shared/oper"
	"ebonyrill.dev/ebonyrill/internal/shared/wire"
)

// heardPeriod is how lately a member must have answered to count as heard.
const heardPeriod = time.Second

// changeMembers changes the control group by one step; a step that is already done succeeds again.
func (g *Group) changeMembers(ctx context.Context, r *oper.MembersRequest) (_ *oper.Empty, err error) {
	var added raft.Replica
	if r.Action == oper.AddLearner {
		if added, err = g.askIdentity(ctx, r.Address); err != nil {
			return nil, err
		}
	}
	var index uint64
	err = g.read(ctx, func(*lead) (err error) {
		index, err = g.changeMembersNow(r, added)
		return err
	})
	if err != nil || index == 0 {
		return &oper.Empty{}, err
	}
	return &oper.Empty{}, g.awaitApplied(ctx, index)
}

func (g *Group) askIdentity(ctx context.Context, address string) (r raft.Replica, err error) {
	i, err := wire.Call[oper.Empty, oper.Identity](ctx, g.options.Client, address, oper.Identify, &oper.Empty{})
	if err != nil {
		return r, &oper.ErrInvalid{Reason: "the host at " + address + " does not answer as a control host: " + err.Error()}
	}
	return raft.Replica{ID: raft.ReplicaID(i.ID), Address: i.Address, DataCentre: i.DataCentre}, nil
}

// changeMembersNow proposes the step and returns its index, or zero where it is done already.
func (g *Group) changeMembersNow(r *oper.MembersRequest, added raft.Replica) (index uint64, err error) {
	members := g.core.Members()
	id := raft.ReplicaID(r.ID)
	member, found := members.Find(id)
	switch r.Action {
	case oper.AddLearner:
		if _, in := members.Find(added.ID); in {
			return 0, nil
		}
		return g.proposeMembers(members.With(added))
	case oper.Promote:
		if !found || member.Voter {
			return 0, doneOrMissing(found, r.ID)
		}
		if !g.mayVote(member) {
			return 0, &oper.ErrRefused{Reason: "the host's settings do not count it among those that vote"}
		}
		if g.core.MatchIndex(id) < g.core.CommitIndex() {
			return 0, &oper.ErrRefused{Reason: "the learner does not hold every committed entry yet"}
		}
		member.Voter = true
		return g.proposeMembers(members.With(member))
	case oper.Remove:
		if !found {
			return 0, nil
		}
		return g.removeNow(members, id)
	}
	return 0, &oper.ErrInvalid{Reason: "unknown action " + string(r.Action)}
}

func doneOrMissing(found bool, id uint64) error {
	if found {
		return nil
	}
	return &oper.ErrInvalid{Reason: "no member has that id"}
}

func (g *Group) removeNow(members raft.Members, id raft.ReplicaID) (index uint64, err error) {
	if id == g.core.ID() {
		g.core.TransferLeadership(g.now())
		return 0, &wire.ErrNoLeader{}
	}
	if !g.canLose(g.now(), members, id) {
		return 0, &oper.ErrRefused{Reason: "the members that would remain are not a quorum of live hosts, or too few for the losses that are tolerated"}
	}
	return g.proposeMembers(members.Without(id))
}

// canLose reports whether the members that stay without one are a quorum of live hosts, on as many disks as must decide.
func (g *Group) canLose(now time.Duration, members raft.Members, id raft.ReplicaID) bool {
	rest := members.Without(id)
	heard := 0
	for _, m := range rest {
		if m.Voter && g.core.HeardWithin(now, m.ID, heardPeriod) {
			heard++
		}
	}
	return rest.Voters() > 0 && heard >= rest.Quorum() && rest.Quorum() > g.options.Formation.Voters/2
}

func (g *Group) proposeMembers(next raft.Members) (index uint64, err error) {
	index, _, err = g.core.ProposeMembers(g.now(), next)
	if err != nil {
		return 0, &oper.ErrRefused{Reason: err.Error()}
	}
	g.noteMembers(next, "an operator asked")
	return index, nil
}

func (g *Group) noteMembers(next raft.Members, reason string) {
	g.options.Log.Write(events.MembersChanged, zap.String("reason", reason), zap.Int("members", len(next)),
		zap.Int("voters", next.Voters()), zap.Int("quorum", next.Quorum()), zap.Int("standBy", next.Standbys()))
}

// awaitApplied waits until the index is applied here.
func (g *Group) awaitApplied(ctx context.Context, index uint64) (err error) {
	for {
		applied := false
		err = g.read(ctx, func(*lead) error {
			applied = g.state.Index() >= index
			return nil
		})
		if err != nil || applied {
			return err
		}
		select {
		case <-ctx.Done():
			return &oper.ErrOutcomeUnknown{}
		case <-time.After(tickPeriod):
		}
	}
}

// TransferLeadership gives up leadership in favour of the voter whose log reaches furthest, if this host leads.
func (g *Group) TransferLeadership(ctx context.Context) {
	_ = g.do(ctx, func() {
		if g.core != nil {
			g.core.TransferLeadership(g.now())
		}
	})
}
