package group

import (
	"time"

	"go.uber.org/zap"

	"ebonyrill.dev/ebonyrill/internal/control/raft"
	"ebonyrill.dev/ebonyrill/internal/shared/events"
)

// promotion returns the change that brings a caught-up learner closer to a vote: its promotion, if the group has fewer voters
// than intended, or else the removal of a voter that it is to replace.
func (l *leaderState) promotion(now time.Duration, g *Group, members raft.Members) (next raft.Members, reason string) {
	for _, m := range members {
		if m.Voter || !g.mayVote(m) || !g.caughtUp(now, m) {
			continue
		}
		if members.Voters() < g.options.Formation.Voters {
			m.Voter = true
			return members.With(m), "a learner caught up with the log"
		}
		if old, found := g.replaceableVoter(now, members, m); found {
			g.options.Log.Write(events.MemberReplaced, zap.String("address", old.Address), zap.Bool("standsBy", old.Standby))
			return members.Without(old.ID), "a voter is replaced by a caught-up learner"
		}
	}
	return nil, ""
}

// replaceableVoter returns the voter to remove in favour of a caught-up learner: the former identity of the learner's host, if
// the host lost its disk, or else a voter for which isReplaceable holds. A voter is removed only once its replacement has
// caught up, so that the quorum is smaller only for the time between the two membership changes.
func (g *Group) replaceableVoter(now time.Duration, members raft.Members, learner raft.Replica) (found raft.Replica, ok bool) {
	for _, old := range members {
		lostDisk := old.Voter && old.ID != g.core.ID() && old.Address == learner.Address
		if lostDisk && g.canRemove(now, members, old.ID) {
			return old, true
		}
		if !ok && g.isReplaceable(now, old) && g.canRemove(now, members, old.ID) {
			found, ok = old, true
		}
	}
	return found, ok
}

// staleLearner returns a learner that has not answered for deadVoterTime while another member has the same address: its host
// has lost the learner's disk and joined under a new identity.
func (g *Group) staleLearner(now time.Duration, members raft.Members) (found raft.Replica, ok bool) {
	for _, m := range members {
		if m.Voter || g.core.HeardWithin(now, m.ID, deadVoterTime) {
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

// caughtUp reports whether a member is reachable and its log holds all committed entries.
func (g *Group) caughtUp(now time.Duration, m raft.Replica) bool {
	return g.core.HeardWithin(now, m.ID, contactPeriod) && g.core.MatchIndex(m.ID) >= g.core.CommitIndex()
}

// mayVote reports whether a member may be given a vote. Standby hosts may be lost in addition to the losses that the group
// tolerates, so with their votes a quorum could consist only of disks that are lost together. If this host is itself a
// standby, standby hosts are treated like the others.
func (g *Group) mayVote(m raft.Replica) bool { return !m.Standby || g.options.Formation.Standby }

// isReplaceable reports whether a voter should be replaced by a learner: it has not answered for deadVoterTime, or is a standby
// that should have no vote.
func (g *Group) isReplaceable(now time.Duration, m raft.Replica) bool {
	return m.Voter && m.ID != g.core.ID() && (!g.mayVote(m) || !g.core.HeardWithin(now, m.ID, deadVoterTime))
}

// redundant reports whether changes may be acknowledged: every quorum must include more disks than may be lost at once. A
// group without any change yet also waits up to growthTime for all its voters, so that a quorum remains after such losses.
// Later one voter may be missing, as it is while a voter is being replaced.
func (g *Group) redundant() bool {
	members := g.core.Members()
	growing := g.state.Version() == 0 && g.now()-g.leader.since < growthTime && members.Voters() < g.options.Formation.Voters
	return members.Quorum() > g.options.Formation.Voters/2 && !growing
}

// updateRedundancy logs when the group becomes able to acknowledge changes, and when it no longer is.
func (g *Group) updateRedundancy() {
	enough := g.redundant()
	if enough == g.leader.redundant {
		return
	}
	g.leader.redundant = enough
	members := g.core.Members()
	g.options.Log.Write(events.RedundancyChanged, zap.Bool("enough", enough), zap.Int("voters", members.Voters()),
		zap.Int("quorum", members.Quorum()))
}
