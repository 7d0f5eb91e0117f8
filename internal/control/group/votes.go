package group

import (
	"time"

	"go.uber.org/zap"

	"ebonyrill.dev/ebonyrill/internal/control/raft"
	"ebonyrill.dev/ebonyrill/internal/shared/events"
)

// promotion gives a caught-up learner a vote where one is wanted, and takes it from a member that gives way where a learner is
// to follow.
func (l *lead) promotion(now time.Duration, g *Group, members raft.Members) (next raft.Members, reason string) {
	for _, m := range members {
		if m.Voter || !g.mayVote(m) || !g.caughtUp(now, m) {
			continue
		}
		if members.Voters() < g.options.Formation.Voters {
			m.Voter = true
			return members.With(m), "a learner is caught up"
		}
		if old, found := g.predecessor(now, members, m); found {
			g.options.Log.Write(events.MemberReplaced, zap.String("address", old.Address), zap.Bool("standsBy", old.Standby))
			return members.Without(old.ID), "a voter gives way"
		}
	}
	return nil, ""
}

// predecessor returns the voter that makes room for a caught-up learner: the identity that the learner's host had before it lost
// its disk, or else one that gives way. It keeps its vote until then, so that a quorum never becomes smaller for longer than it
// takes to pass the vote on.
func (g *Group) predecessor(now time.Duration, members raft.Members, learner raft.Replica) (found raft.Replica, ok bool) {
	for _, old := range members {
		lostDisk := old.Voter && old.ID != g.core.ID() && old.Address == learner.Address
		if lostDisk && g.canLose(now, members, old.ID) {
			return old, true
		}
		if !ok && g.givesWay(now, old) && g.canLose(now, members, old.ID) {
			found, ok = old, true
		}
	}
	return found, ok
}

// abandoned returns a learner that is unheard for long at an address at which another member stands: its disk is gone.
func (g *Group) abandoned(now time.Duration, members raft.Members) (found raft.Replica, ok bool) {
	for _, m := range members {
		if m.Voter || g.core.HeardWithin(now, m.ID, deadTime) {
			continue
		}
		for _, other := range members {
			if other.ID != m.ID && other.Address == m.Address {
				return m, true
			}
		}
	}
	return raft.Replica{}, false
}

// caughtUp reports whether a member is heard and holds all that is committed.
func (g *Group) caughtUp(now time.Duration, m raft.Replica) bool {
	return g.core.HeardWithin(now, m.ID, heardPeriod) && g.core.MatchIndex(m.ID) >= g.core.CommitIndex()
}

// mayVote reports whether a member may be given a vote. One that is lost beside those that the group is to survive would make
// a majority of disks that may all be lost; where the founder is such a host, none is told apart.
func (g *Group) mayVote(m raft.Replica) bool { return !m.Standby || g.options.Formation.Standby }

// givesWay reports whether a voter is to make room for a learner: it is gone for long, or should not have a vote.
func (g *Group) givesWay(now time.Duration, m raft.Replica) bool {
	return m.Voter && m.ID != g.core.ID() && (!g.mayVote(m) || !g.core.HeardWithin(now, m.ID, deadTime))
}

// redundant reports whether changes may be acknowledged: every quorum is on more disks than may be lost at once. A group that has
// decided nothing yet waits a while for all its voters, as it is to have a quorum after the losses too; later, one voter is missing
// while its vote is passed on.
func (g *Group) redundant() bool {
	members := g.core.Members()
	growing := g.state.Version() == 0 && g.now()-g.lead.since < growTime && members.Voters() < g.options.Formation.Voters
	return members.Quorum() > g.options.Formation.Voters/2 && !growing
}

// noteRedundancy tells when changes begin to be acknowledged and when they no longer are.
func (g *Group) noteRedundancy() {
	enough := g.redundant()
	if enough == g.lead.redundant {
		return
	}
	g.lead.redundant = enough
	members := g.core.Members()
	g.options.Log.Write(events.RedundancyChanged, zap.Bool("enough", enough), zap.Int("voters", members.Voters()),
		zap.Int("quorum", members.Quorum()))
}
