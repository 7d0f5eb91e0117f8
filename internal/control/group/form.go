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

// Times of forming the group.
const (
	enrolPeriod  = 250 * time.Millisecond  // a few tries fit into the time before callers come
	enrolTimeout = 400 * time.Millisecond  // a host that is not there yet must not hold up the next try
	orphanTime   = 3 * time.Second         // a member that hears no leader for so long may have been taken out
	deadTime     = 1800 * time.Millisecond // a voter unheard for longer gives way if a caught-up host stands by; several elections long
	applicantAge = 2 * time.Second         // an applicant that stopped asking is not taken in
	growTime     = 4 * time.Second         // hosts that start with the first are taken in well before
	stepPause    = 50 * time.Millisecond   // pause between steps of membership, several commits long
)

// Formation tells how a control host finds its group.
type Formation struct {
	// Seeds are peer addresses to ask first; none means that operators form the group.
	Seeds []string
	// Found tells that this host starts the group if its folder is empty.
	Bootstrap bool
	// Voters is how many hosts are to vote; others stand by.
	Voters int
	// StandsBy tells that this host may be lost beside those that the group is to survive: it gets no vote.
	Standby bool
}

// applicant is a control host that asks to be taken in.
type applicant struct {
	identity oper.Identity
	at       time.Duration
}

// former is what a control host knows of others before it belongs to a group.
type former struct {
	mutex      sync.Mutex
	seeds      []string
	known      []string
	introduced bool
}

// SetSeeds changes the addresses that are asked for the group, as settings have changed.
func (g *Group) SetSeeds(seeds []string) {
	g.former.mutex.Lock()
	defer g.former.mutex.Unlock()
	g.former.seeds = slices.Clone(seeds)
}

// RunFormation founds or finds the group until the context ends.
func (g *Group) RunFormation(ctx context.Context) error {
	if len(g.options.Formation.Seeds) == 0 {
		<-ctx.Done()
		return nil
	}
	ticker := time.NewTicker(enrolPeriod)
	defer ticker.Stop()
	for {
		if g.options.Formation.Bootstrap {
			g.found(ctx)
		}
		if g.outside(ctx) {
			g.askToEnrol(ctx)
		}
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
		}
	}
}

// found starts a group of this host alone; others join it. It is tried until the folder, which never joined, takes it.
func (g *Group) found(ctx context.Context) {
	err := g.do(ctx, func() {
		if g.store.Joined() {
			return
		}
		_, err := g.bootstrapNow(raft.NewMembers(g.founder()))
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

// founder returns the only member of a group that this host starts.
func (g *Group) founder() raft.Replica {
	return raft.Replica{ID: g.store.ID(), Address: g.options.Address, DataCentre: g.options.DataCentre, Voter: true,
		Standby: g.options.Formation.Standby}
}

// outside reports whether this host belongs to no group or has heard of no leader for long, or has not told the group its
// settings since it started.
func (g *Group) outside(ctx context.Context) (outside bool) {
	if !g.former.isIntroduced() {
		return true
	}
	err := g.do(ctx, func() { outside = g.outsideNow() })
	return err == nil && outside
}

func (g *Group) outsideNow() bool {
	return g.core == nil || g.core.LeaderID() == 0 && g.now()-g.ledAt > orphanTime
}

// askToEnrol tells every control host it knows that this one stands ready.
func (g *Group) askToEnrol(ctx context.Context) {
	var identity *oper.Identity
	if g.do(ctx, func() { identity = g.identity() }) != nil {
		return
	}
	g.options.Log.Write(events.JoinRequested, zap.Uint64("replica", identity.ID), zap.Bool("joined", identity.Joined),
		zap.Bool("standsBy", identity.Standby))
	var wait sync.WaitGroup
	for _, address := range g.acquaintances() {
		wait.Go(func() { g.enrolAt(ctx, address, identity) })
	}
	wait.Wait()
}

func (g *Group) enrolAt(ctx context.Context, address string, identity *oper.Identity) {
	ctx, cancel := context.WithTimeout(ctx, enrolTimeout)
	defer cancel()
	answer, err := wire.Call[oper.Identity, oper.EnrolResponse](ctx, g.options.Client, address, oper.Enrol, identity)
	if err != nil {
		return // not there yet, or knows no leader: asked again next time
	}
	g.meet(answer.Addresses)
}

// acquaintances returns the addresses of other control hosts known so far.
func (g *Group) acquaintances() (list []string) {
	g.former.mutex.Lock()
	defer g.former.mutex.Unlock()
	for _, a := range slices.Concat(g.options.Formation.Seeds, g.former.seeds, g.former.known) {
		if a != g.options.Address && !slices.Contains(list, a) {
			list = append(list, a)
		}
	}
	return list
}

func (g *Group) meet(addresses []string) {
	g.former.mutex.Lock()
	defer g.former.mutex.Unlock()
	g.former.known, g.former.introduced = slices.Clone(addresses), true
}

func (f *former) isIntroduced() bool {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	return f.introduced
}

// enrol notes a control host that asks to be taken in, at the leader.
func (g *Group) enrol(ctx context.Context, i *oper.Identity) (*oper.EnrolResponse, error) {
	return atLeader(ctx, g, oper.Enrol, i, g.enrolHere)
}

func (g *Group) enrolHere(ctx context.Context, i *oper.Identity) (answer *oper.EnrolResponse, err error) {
	if len(g.options.Formation.Seeds) == 0 {
		return nil, &oper.ErrRefused{Reason: "operators choose the members of this group"}
	}
	doErr := g.do(ctx, func() {
		var l *lead
		if l, err = g.leadingMembers(); err == nil {
			answer = g.enrolNow(l, i)
		}
	})
	if doErr != nil {
		return nil, doErr
	}
	return answer, err
}

func (g *Group) enrolNow(l *lead, i *oper.Identity) (answer *oper.EnrolResponse) {
	l.applicants[raft.ReplicaID(i.ID)] = applicant{identity: *i, at: g.now()}
	answer = &oper.EnrolResponse{}
	for _, m := range g.core.Members() {
		answer.Addresses = append(answer.Addresses, m.Address)
	}
	return answer
}

// reviewMembers takes the next step of membership that is due: take an applicant in, give it a vote, or let it replace a
// member that is gone. One step at a time, each committed before the next.
func (g *Group) reviewMembers(now time.Duration) {
	l := g.lead
	if len(g.options.Formation.Seeds) == 0 || now < l.membersAt || !g.core.MembersCommitted() {
		return
	}
	l.membersAt = now + stepPause
	g.noteRedundancy()
	next, reason := l.nextMembers(now, g)
	if next == nil {
		return
	}
	if _, _, err := g.core.ProposeMembers(now, next); err != nil {
		g.options.Log.Write(events.ProposalFailed, events.Cause(err))
		return
	}
	g.noteMembers(next, reason)
}

// nextMembers returns the membership after the next step, or none.
func (l *lead) nextMembers(now time.Duration, g *Group) (next raft.Members, reason string) {
	members := g.core.Members()
	if old, found := g.abandoned(now, members); found {
		return members.Without(old.ID), "the learner at " + old.Address + " has lost its disk"
	}
	for id, a := range l.applicants {
		if now-a.at > applicantAge {
			delete(l.applicants, id)
			continue
		}
		if member, in := members.Find(id); in {
			if member.Standby != a.identity.Standby {
				member.Standby = a.identity.Standby
				return members.With(member), "the settings of the host at " + member.Address + " have changed"
			}
			continue
		}
		if a.identity.Address == g.options.Address {
			continue
		}
		return members.With(raft.Replica{ID: id, Address: a.identity.Address, DataCentre: a.identity.DataCentre,
			Standby: a.identity.Standby}), "a host asks to be taken in"
	}
	return l.promotion(now, g, members)
}
