package group

import (
	"context"
	"slices"
	"sync"
	"time"

	"go.uber.org/zap"

	"ebonyrill.dev/ebonyrill/internal/control/raft"
	"ebonyrill.dev/ebonyrill/internal/shared/events"
	"ebonyrill.dev/ebonyrill/internal/shared/oper"
	"ebonyrill.dev/ebonyrill/internal/shared/wire"
)

// Periods and timeouts of group formation and membership changes.
const (
	enrolPeriod     = 250 * time.Millisecond  // allows several attempts before callers connect
	enrolTimeout    = 400 * time.Millisecond  // a host that is not up yet must not delay the next attempt
	leaderlessTime  = 3 * time.Second         // a member that knows no leader for longer may have been removed
	deadVoterTime   = 1800 * time.Millisecond // a voter silent for longer can be replaced; several elections long
	joinRequestAge  = 2 * time.Second         // a join request that is not repeated within this time expires
	growthTime      = 4 * time.Second         // hosts that start together with the first one are added well before it ends
	memberStepPause = 50 * time.Millisecond   // pause between membership changes; lasts several commits
)

// Formation configures how a control host finds or starts its group.
type Formation struct {
	// Seeds are the peer addresses that the host contacts first. Without seeds, operators choose the members.
	Seeds []string
	// Bootstrap makes this host bootstrap the group if its data folder is empty.
	Bootstrap bool
	// Voters is the intended number of voters; further hosts remain learners.
	Voters int
	// Standby marks this host as a standby, which gets no vote unless the leader is a standby too. It may be lost in
	// addition to the hosts whose loss the group tolerates.
	Standby bool
}

// joinRequest is a control host's request to be added to the group, and when the leader last received it.
type joinRequest struct {
	identity oper.Identity
	at       time.Duration
}

// formationState holds the addresses of other control hosts that this host may ask to add it to the group.
type formationState struct {
	mutex    sync.Mutex
	seeds    []string
	members  []string
	enrolled bool
}

// SetSeeds replaces the additional seed addresses after a change of settings. Those in Options stay.
func (g *Group) SetSeeds(seeds []string) {
	g.formation.mutex.Lock()
	defer g.formation.mutex.Unlock()
	g.formation.seeds = slices.Clone(seeds)
}

// RunFormation bootstraps or joins the group and keeps retrying until ctx ends.
func (g *Group) RunFormation(ctx context.Context) error {
	if len(g.options.Formation.Seeds) == 0 {
		<-ctx.Done()
		return nil
	}
	ticker := time.NewTicker(enrolPeriod)
	defer ticker.Stop()
	for {
		if g.options.Formation.Bootstrap {
			g.tryBootstrap(ctx)
		}
		if g.mustEnrol(ctx) {
			g.enrolWithPeers(ctx)
		}
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
		}
	}
}

// tryBootstrap starts a group with this host as its only member, unless the host belongs to a group already. Other hosts
// join it later. The caller retries it, as the disk write may fail.
func (g *Group) tryBootstrap(ctx context.Context) {
	err := g.do(ctx, func() {
		if g.store.Joined() {
			return
		}
		_, err := g.bootstrapInLoop(raft.NewMembers(g.bootstrapMember()))
		if err != nil {
			g.options.Log.Write(events.ProposalFailed, events.Cause(err))
			return
		}
		g.options.Log.Write(events.GroupBootstrapped, zap.Uint64("replica", uint64(g.store.ID())))
	})
	if err != nil {
		g.options.Log.Write(events.ProposalFailed, events.Cause(err))
	}
}

// bootstrapMember returns this host as the first voter of a new group.
func (g *Group) bootstrapMember() raft.Replica {
	return raft.Replica{ID: g.store.ID(), Address: g.options.Address, DataCentre: g.options.DataCentre, Voter: true,
		Standby: g.options.Formation.Standby}
}

// mustEnrol reports whether this host should send a join request: it belongs to no group, has known no leader for
// leaderlessTime, or has not reported its settings to the leader since it started.
func (g *Group) mustEnrol(ctx context.Context) (needed bool) {
	if !g.formation.isEnrolled() {
		return true
	}
	err := g.do(ctx, func() { needed = g.mustEnrolInLoop() })
	return err == nil && needed
}

// mustEnrolInLoop reports whether this host belongs to no group or has known no leader for leaderlessTime.
func (g *Group) mustEnrolInLoop() bool {
	return g.core == nil || g.core.LeaderID() == 0 && g.now()-g.leaderSeenAt > leaderlessTime
}

// enrolWithPeers sends a join request to every control host it knows, in parallel, and waits for the answers.
func (g *Group) enrolWithPeers(ctx context.Context) {
	var identity *oper.Identity
	if g.do(ctx, func() { identity = g.identity() }) != nil {
		return
	}
	g.options.Log.Write(events.JoinRequested, zap.Uint64("replica", identity.ID), zap.Bool("joined", identity.Joined),
		zap.Bool("standsBy", identity.Standby))
	var wait sync.WaitGroup
	for _, address := range g.peerAddresses() {
		wait.Go(func() { g.enrolAt(ctx, address, identity) })
	}
	wait.Wait()
}

// enrolAt sends a join request to one control host, which forwards it to the leader.
func (g *Group) enrolAt(ctx context.Context, address string, identity *oper.Identity) {
	ctx, cancel := context.WithTimeout(ctx, enrolTimeout)
	defer cancel()
	answer, err := wire.Call[oper.Identity, oper.EnrolResponse](ctx, g.options.Client, address, oper.Enrol, identity)
	if err != nil {
		return // not up yet, or knows no leader; the next round retries
	}
	g.noteEnrolled(answer.Addresses)
}

// peerAddresses returns the addresses of the other control hosts that this host knows: seeds and members.
func (g *Group) peerAddresses() (list []string) {
	g.formation.mutex.Lock()
	defer g.formation.mutex.Unlock()
	for _, a := range slices.Concat(g.options.Formation.Seeds, g.formation.seeds, g.formation.members) {
		if a != g.options.Address && !slices.Contains(list, a) {
			list = append(list, a)
		}
	}
	return list
}

// noteEnrolled records that the leader received this host's join request, and the members' addresses in its answer.
func (g *Group) noteEnrolled(addresses []string) {
	g.formation.mutex.Lock()
	defer g.formation.mutex.Unlock()
	g.formation.members, g.formation.enrolled = slices.Clone(addresses), true
}

func (f *formationState) isEnrolled() bool {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	return f.enrolled
}

// enrol records the join request of a control host, at this host or by forwarding it to the leader.
func (g *Group) enrol(ctx context.Context, i *oper.Identity) (*oper.EnrolResponse, error) {
	return atLeader(ctx, g, oper.Enrol, i, g.enrolAsLeader)
}

func (g *Group) enrolAsLeader(ctx context.Context, i *oper.Identity) (answer *oper.EnrolResponse, err error) {
	if len(g.options.Formation.Seeds) == 0 {
		return nil, &oper.ErrRefused{Reason: "operators choose the members of this group"}
	}
	doErr := g.do(ctx, func() {
		var l *leaderState
		if l, err = g.leaseholder(); err == nil {
			answer = g.enrolInLoop(l, i)
		}
	})
	if doErr != nil {
		return nil, doErr
	}
	return answer, err
}

// enrolInLoop records a join request at the leader and returns the members' addresses.
func (g *Group) enrolInLoop(l *leaderState, i *oper.Identity) (answer *oper.EnrolResponse) {
	l.joinRequests[raft.ReplicaID(i.ID)] = joinRequest{identity: *i, at: g.now()}
	answer = &oper.EnrolResponse{}
	for _, m := range g.core.Members() {
		answer.Addresses = append(answer.Addresses, m.Address)
	}
	return answer
}

// stepMembers proposes the next membership change that is due: add a host as a learner, promote a learner to voter, or
// remove a member to be replaced. Each change is committed before the next is proposed.
func (g *Group) stepMembers(now time.Duration) {
	l := g.leader
	if len(g.options.Formation.Seeds) == 0 || now < l.memberStepAt || !g.core.MembersCommitted() {
		return
	}
	l.memberStepAt = now + memberStepPause
	g.updateRedundancy()
	next, reason := l.nextMembers(now, g)
	if next == nil {
		return
	}
	if _, _, err := g.core.ProposeMembers(now, next); err != nil {
		g.options.Log.Write(events.ProposalFailed, events.Cause(err))
		return
	}
	g.logMembersChange(next, reason)
}

// nextMembers returns the members after the next change and the reason for it, or nil if no change is due.
func (l *leaderState) nextMembers(now time.Duration, g *Group) (next raft.Members, reason string) {
	members := g.core.Members()
	if old, found := g.staleLearner(now, members); found {
		return members.Without(old.ID), "the learner at " + old.Address + " lost its disk"
	}
	for id, request := range l.joinRequests {
		if now-request.at > joinRequestAge {
			delete(l.joinRequests, id)
			continue
		}
		if member, in := members.Find(id); in {
			if member.Standby != request.identity.Standby {
				member.Standby = request.identity.Standby
				return members.With(member), "the settings of the host at " + member.Address + " changed"
			}
			continue
		}
		if request.identity.Address == g.options.Address {
			continue
		}
		return members.With(raft.Replica{ID: id, Address: request.identity.Address, DataCentre: request.identity.DataCentre,
			Standby: request.identity.Standby}), "a host requested to join"
	}
	return l.promotion(now, g, members)
}
