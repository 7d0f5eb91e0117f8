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

// contactPeriod is how recently a member must have answered the leader to count as reachable (in contact).
const contactPeriod = time.Second

// changeMembers makes one membership change on an operator's request. It is idempotent: a change already made succeeds.
func (g *Group) changeMembers(ctx context.Context, r *oper.MembersRequest) (_ *oper.Empty, err error) {
	var added raft.Replica
	if r.Action == oper.AddLearner {
		if added, err = g.fetchIdentity(ctx, r.Address); err != nil {
			return nil, err
		}
	}
	var index uint64
	err = g.leaseRead(ctx, func(*leaderState) (err error) {
		index, err = g.changeMembersInLoop(r, added)
		return err
	})
	if err != nil || index == 0 {
		return &oper.Empty{}, err
	}
	return &oper.Empty{}, g.awaitApplied(ctx, index)
}

// fetchIdentity asks the control host at an address for its replica identity.
func (g *Group) fetchIdentity(ctx context.Context, address string) (r raft.Replica, err error) {
	i, err := wire.Call[oper.Empty, oper.Identity](ctx, g.options.Client, address, oper.Identify, &oper.Empty{})
	if err != nil {
		return r, &oper.ErrInvalid{Reason: "the host at " + address + " does not answer as a control host: " + err.Error()}
	}
	return raft.Replica{ID: raft.ReplicaID(i.ID), Address: i.Address, DataCentre: i.DataCentre}, nil
}

// changeMembersInLoop proposes the change and returns its log index, or zero if it is already made.
func (g *Group) changeMembersInLoop(r *oper.MembersRequest, added raft.Replica) (index uint64, err error) {
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
			return 0, errIfMissing(found, r.ID)
		}
		if !g.mayVote(member) {
			return 0, &oper.ErrRefused{Reason: "the host is configured as a standby, which gets no vote"}
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
		return g.removeInLoop(members, id)
	}
	return 0, &oper.ErrInvalid{Reason: "unknown action " + string(r.Action)}
}

// errIfMissing returns nil for a member that was found, as the change is already made then, and else an error.
func errIfMissing(found bool, id uint64) error {
	if found {
		return nil
	}
	return &oper.ErrInvalid{Reason: "no member has that id"}
}

// removeInLoop proposes the removal of a member. If that is this host, it transfers leadership instead and returns
// ErrNoLeader, so that the caller retries at the next leader.
func (g *Group) removeInLoop(members raft.Members, id raft.ReplicaID) (index uint64, err error) {
	if id == g.core.ID() {
		g.core.TransferLeadership(g.now())
		return 0, &wire.ErrNoLeader{}
	}
	if !g.canRemove(g.now(), members, id) {
		return 0, &oper.ErrRefused{Reason: "the remaining members would not be a quorum of reachable hosts, or would be too few for the losses to be tolerated"}
	}
	return g.proposeMembers(members.Without(id))
}

// canRemove reports whether a member can be removed: the reachable voters among the rest must be a quorum of the rest, and
// this quorum must be more than half the configured number of voters, so that what it commits survives the tolerated
// losses.
func (g *Group) canRemove(now time.Duration, members raft.Members, id raft.ReplicaID) bool {
	rest := members.Without(id)
	reachable := 0
	for _, m := range rest {
		if m.Voter && g.core.HeardWithin(now, m.ID, contactPeriod) {
			reachable++
		}
	}
	return rest.Voters() > 0 && reachable >= rest.Quorum() && rest.Quorum() > g.options.Formation.Voters/2
}

func (g *Group) proposeMembers(next raft.Members) (index uint64, err error) {
	index, _, err = g.core.ProposeMembers(g.now(), next)
	if err != nil {
		return 0, &oper.ErrRefused{Reason: err.Error()}
	}
	g.logMembersChange(next, "requested by an operator")
	return index, nil
}

// logMembersChange logs a proposed membership and the reason for it.
func (g *Group) logMembersChange(next raft.Members, reason string) {
	g.options.Log.Write(events.MembersChanged, zap.String("reason", reason), zap.Int("members", len(next)),
		zap.Int("voters", next.Voters()), zap.Int("quorum", next.Quorum()), zap.Int("standBy", next.Standbys()))
}

// awaitApplied waits until this host, as the leader, has applied the log entry at index.
func (g *Group) awaitApplied(ctx context.Context, index uint64) (err error) {
	for {
		applied := false
		err = g.leaseRead(ctx, func(*leaderState) error {
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

// TransferLeadership transfers leadership to a voter that holds the complete log, if this host is the leader and
// there is one.
func (g *Group) TransferLeadership(ctx context.Context) {
	_ = g.do(ctx, func() {
		if g.core != nil {
			g.core.TransferLeadership(g.now())
		}
	})
}
