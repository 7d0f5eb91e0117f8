package group

import (
	"slices"
	"time"

	"go.uber.org/zap"

	"ebonyrill.dev/ebonyrill/internal/control/lease"
	"ebonyrill.dev/ebonyrill/internal/control/place"
	"ebonyrill.dev/ebonyrill/internal/control/raft"
	"ebonyrill.dev/ebonyrill/internal/control/state"
	"ebonyrill.dev/ebonyrill/internal/shared/conf"
	"ebonyrill.dev/ebonyrill/internal/shared/events"
	"ebonyrill.dev/ebonyrill/internal/shared/slice"
	"ebonyrill.dev/ebonyrill/internal/shared/table"
)

// Periods and time windows of the leader's periodic tasks.
const (
	planPeriod         = time.Second
	planCheckPeriod    = 60 * time.Millisecond
	gatherTime         = 500 * time.Millisecond
	settledJoinTime    = -time.Hour // join time assumed for upstreams that a new leader finds in the state
	flapWindow         = 10 * time.Minute
	lostEntryRetention = time.Hour
)

// leaderState is what a host keeps in memory while it is the leader of one term; it is discarded with the leadership.
type leaderState struct {
	term         uint64
	leases       *lease.Manager
	services     map[string]*serviceState
	upstreams    map[uint32]*upstreamInfo
	losses       []leaseLoss
	lost         map[string]lostEntry
	syncedIndex  uint64                 // log index of the state at the last sync
	pendingIndex uint64                 // log index of the last own proposal; placement waits until it is applied
	joining      map[string]uint64      // incarnations whose join was proposed, by upstream name or entryKey
	leaving      map[table.Process]bool // processes that are proposed to be recorded as leaving
	health       *place.Health
	movedShare   float64         // sum of the key space shares that were moved or assigned
	ejected      map[uint32]bool // upstreams that placement avoids for failures, by number; true once logged
	homes        table.Homes
	homeReviewAt time.Duration
	excludedAt   map[uint32]time.Duration // when the excluded home of an upstream last changed
	joinRequests map[raft.ReplicaID]joinRequest
	memberStepAt time.Duration
	redundant    bool // whether changes could be acknowledged, as last logged
	since        time.Duration
	latencies    latencies
	coldChanges  []state.ColdUpstream // noted by reviewCold and not proposed yet
}

// serviceState is the leader's state of one service. changeIndex and boundsChangeIndex are log indexes: of the last
// change to the service's slices, and of the last split, merge or creation of one.
type serviceState struct {
	policy            *place.Weighted
	loads             *place.Loads
	planAt            time.Duration
	checkAt           time.Duration
	changeIndex       uint64
	boundsChangeIndex uint64
	unowned           int
	lastNotReady      time.Duration
	membersChangedAt  time.Duration
	allUnowned        bool
	numbered          bool
	memberCount       int
}

// upstreamInfo is what the leader keeps about an upstream; it outlives the upstream's removal from the state by one sync.
type upstreamInfo struct {
	name     string
	service  string
	joinedAt time.Duration
	cold     lease.ColdTime
}

// leaseLoss records that an upstream was removed because its lease expired or a newer process replaced it.
type leaseLoss struct {
	name string
	at   time.Duration
}

// lostEntry is an entry host that lost its lease and has not rejoined.
type lostEntry struct {
	host table.EntryHost
	at   time.Duration
}

func newLeaderState(term uint64, timing lease.Timing, now time.Duration, s *state.State) *leaderState {
	l := &leaderState{term: term, since: now, leases: lease.NewManager(timing, now, s), services: map[string]*serviceState{},
		upstreams: map[uint32]*upstreamInfo{}, lost: map[string]lostEntry{},
		joining: map[string]uint64{}, leaving: map[table.Process]bool{}, health: place.NewHealth(), ejected: map[uint32]bool{},
		excludedAt: map[uint32]time.Duration{}, joinRequests: map[raft.ReplicaID]joinRequest{}, latencies: newLatencies()}
	for _, u := range s.Upstreams() {
		l.upstreams[u.Number] = &upstreamInfo{name: u.Name, service: u.Service, joinedAt: settledJoinTime, cold: lease.NewColdTime(now, 0)}
	}
	l.sync(now, s)
	return l
}

// runLeaderTasks runs the leader's periodic tasks if this host holds the leader lease: membership changes, expiry of leases,
// choice of homes, and placement of slices.
func (g *Group) runLeaderTasks(now time.Duration) {
	if !g.core.LeaseValid(now) {
		if g.core.Role() != raft.Leader {
			g.leader = nil
		}
		return
	}
	if g.leader == nil || g.leader.term != g.core.Term() {
		g.leader = newLeaderState(g.core.Term(), g.options.LeaseTiming, now, g.state)
		g.options.Log.Write(events.Leading, zap.Uint64("term", g.core.Term()))
	}
	l := g.leader
	l.sync(now, g.state)
	g.stepMembers(now)
	if !g.redundant() {
		return
	}
	for _, c := range l.leases.Due(now, g.state) {
		g.logLeaseLosses(c)
		g.proposeNoWait(c)
	}
	g.proposeCold(l)
	if g.state.Index() < l.pendingIndex {
		return
	}
	g.reviewHomes(now)
	operations := l.plan(now, g.state)
	g.logEjected()
	if len(operations) > 0 {
		g.options.Log.Write(events.SlicesPlanned, zap.Int("operations", len(operations)))
		g.proposeNoWait(state.Command{Plan: &state.Plan{Operations: operations}})
	}
}

// logEjected logs upstreams newly ejected from placement because they fail their requests, once each.
func (g *Group) logEjected() {
	for number, logged := range g.leader.ejected {
		if logged {
			continue
		}
		g.leader.ejected[number] = true
		u, _ := g.state.Upstream(number)
		g.options.Log.Write(events.UpstreamEjected, zap.String("upstream", u.Name))
	}
}

// logLeaseLosses logs the hosts that a command removes because their leases expired.
func (g *Group) logLeaseLosses(c state.Command) {
	switch {
	case c.DropUpstreams != nil:
		for _, number := range c.DropUpstreams.Numbers {
			u, _ := g.state.Upstream(number)
			g.options.Log.Write(events.UpstreamLost, zap.String("upstream", u.Name), zap.Uint64("incarnation", u.Incarnation))
		}
	case c.DropEntry != nil:
		e, _ := g.state.Entry(c.DropEntry.Name)
		g.leader.lost[e.Name] = lostEntry{host: e, at: g.now()}
		g.options.Log.Write(events.EntryLost, zap.String("entry", e.Name))
	}
}

// proposeNoWait proposes a command without waiting for it, and reports whether that succeeded. Placement pauses until the command is
// applied, so that no plan is made from an outdated state.
func (g *Group) proposeNoWait(c state.Command) (proposed bool) {
	index, err := g.propose(c, nil)
	if err != nil {
		g.options.Log.Write(events.ProposalFailed, events.Cause(err))
		return false
	}
	g.leader.pendingIndex = index
	return true
}

// sync updates the leader state after the replicated state has changed.
func (l *leaderState) sync(now time.Duration, s *state.State) {
	if l.syncedIndex == s.Index() && l.syncedIndex != 0 {
		return
	}
	l.syncedIndex = s.Index()
	l.leases.Update(now, s)
	l.syncUpstreams(now, s)
	l.syncEntries(now, s)
	l.syncServices(now, s)
}

func (l *leaderState) syncUpstreams(now time.Duration, s *state.State) {
	for _, u := range s.Upstreams() {
		if l.upstreams[u.Number] == nil {
			l.upstreams[u.Number] = &upstreamInfo{name: u.Name, service: u.Service, joinedAt: now, cold: lease.NewColdTime(now, u.ColdLeft)}
		}
	}
	for number, info := range l.upstreams {
		if _, ok := s.Upstream(number); !ok {
			l.losses = append(l.losses, leaseLoss{name: info.name, at: now})
			delete(l.upstreams, number)
			delete(l.excludedAt, number)
		}
	}
	l.losses = slices.DeleteFunc(l.losses, func(x leaseLoss) bool { return now-x.at > flapWindow })
	for p := range l.leaving {
		if s.HasLeft(p) {
			delete(l.leaving, p)
		}
	}
	for name, incarnation := range l.joining {
		if s.NewestIncarnation(name) >= incarnation {
			delete(l.joining, name)
		}
	}
}

func (l *leaderState) syncEntries(now time.Duration, s *state.State) {
	l.homes = table.NewHomes(s.Entries())
	for _, e := range s.Entries() {
		delete(l.joining, entryKey(e.Name))
	}
	for name, e := range l.lost {
		if back, ok := s.Entry(name); ok && back.JoinedAt > e.host.JoinedAt || now-e.at > lostEntryRetention {
			delete(l.lost, name)
		}
	}
}

func (l *leaderState) syncServices(now time.Duration, s *state.State) {
	for _, v := range s.Services() {
		svc := l.services[v.Name()]
		if svc == nil {
			svc = newServiceState(v)
			l.services[v.Name()] = svc
		}
		svc.sync(now, s, v.Name())
	}
}

// numberedLoadHalfLife is the half-life of load estimates for numbered keys; which of them are busiest changes within
// seconds.
const numberedLoadHalfLife = 2500 * time.Millisecond

func newServiceState(v *conf.Service) *serviceState {
	if v.Numbered() {
		return &serviceState{policy: place.NewTuned(place.HandoverTuning()), loads: place.NewLoadsOver(numberedLoadHalfLife), numbered: true}
	}
	return &serviceState{policy: place.NewWeighted(), loads: place.NewLoads()}
}

// sync updates the service state if the service's slices have changed since the last call.
func (svc *serviceState) sync(now time.Duration, s *state.State, service string) {
	changed, boundsChanged := s.ChangeIndexes(service)
	set, _ := s.Table(service)
	if boundsChanged != svc.boundsChangeIndex {
		svc.boundsChangeIndex = boundsChanged
		svc.loads.Update(now, set)
	}
	if changed == svc.changeIndex {
		return
	}
	svc.changeIndex, svc.unowned = changed, 0
	for i := range set.Len() {
		if e := set.At(i); e.Owner == 0 && !e.Moving() {
			svc.unowned++
		}
	}
	svc.allUnowned = svc.unowned == set.Len()
}

// plan returns the placement operations of all services for which a plan is due.
func (l *leaderState) plan(now time.Duration, s *state.State) (operations []state.Operation) {
	for _, v := range s.Services() {
		svc := l.services[v.Name()]
		if svc == nil {
			continue
		}
		if svc.unowned == 0 && now < svc.checkAt {
			continue
		}
		svc.checkAt = now + planCheckPeriod
		set, _ := s.Table(v.Name())
		members := l.placementMembers(now, s, v.Name(), v.MaxEjectShare())
		if !svc.planDue(now, members, set) {
			continue
		}
		svc.planAt = now + planPeriod
		view := place.NewView(v.Name(), set, svc.loads.Rates(now, set), members, svc.loads.HotKeys(now), v.Weights())
		if v.Numbered() {
			view = view.WithUnit(slice.NumberUnit)
		}
		operations = append(operations, svc.policy.Plan(now, view)...)
	}
	operations = l.leases.AddReports(now, s, operations)
	for _, o := range operations {
		if set, ok := s.Table(o.Service); ok && (o.Kind == state.BeginMove || o.Kind == state.Assign) {
			l.movedShare += set.Share(set.Position(o.Start))
		}
	}
	return operations
}

// planDue reports whether a plan is due now. While no slice of the service has an owner, planning waits briefly for more
// upstreams to join.
func (svc *serviceState) planDue(now time.Duration, members []place.Member, set slice.Set) bool {
	ready := slices.ContainsFunc(members, func(m place.Member) bool { return m.State() == place.Ready })
	if !ready {
		svc.lastNotReady = now
		return false
	}
	if svc.allUnowned && svc.awaitingUpstreams(now, len(members)) {
		return false
	}
	return svc.unowned > 0 || now >= svc.planAt || drainingOwnSlices(members, set)
}

// awaitingUpstreams reports whether the first plan of a service should wait for more upstreams. The wait ends gatherTime
// after the first upstream is ready. A service with numbered keys instead waits until none has joined for gatherQuietTime,
// but no longer than maxGatherTime.
func (svc *serviceState) awaitingUpstreams(now time.Duration, members int) bool {
	if !svc.numbered {
		return now-svc.lastNotReady < gatherTime
	}
	if members != svc.memberCount {
		svc.memberCount, svc.membersChangedAt = members, now
	}
	return now-svc.membersChangedAt < gatherQuietTime && now-svc.lastNotReady < maxGatherTime
}

// Times that the first plan of a service with numbered keys waits for upstreams.
const (
	gatherQuietTime = 1200 * time.Millisecond // upstreams send at least one heartbeat within this time
	maxGatherTime   = 4 * time.Second         // upper bound, as keys stay unserved until then
)

// drainingOwnSlices reports whether a draining or expired upstream owns a slice that is not being moved to another.
func drainingOwnSlices(members []place.Member, set slice.Set) bool {
	draining := map[uint32]bool{}
	for _, m := range members {
		if m.State() == place.Draining || m.State() == place.Expired {
			draining[m.Number()] = true
		}
	}
	for i := 0; len(draining) > 0 && i < set.Len(); i++ {
		if e := set.At(i); !e.Moving() && draining[e.Owner] {
			return true
		}
	}
	return false
}

// placementMembers returns the upstreams of a service as input to placement. Of those that fail their requests, at most
// ejectShare of all upstreams of the service are ejected, which means that they are marked as draining.
func (l *leaderState) placementMembers(now time.Duration, s *state.State, service string, ejectShare float64) (members []place.Member) {
	total, ejected := 0, 0
	for _, u := range s.Upstreams() {
		if u.Service == service {
			total++
		}
	}
	for _, u := range s.Upstreams() {
		if u.Service != service {
			continue
		}
		m := l.placementState(now, s, u)
		if m == place.Ready && !u.Reports && float64(ejected+1) <= ejectShare*float64(total) && l.shouldEject(now, u) {
			m = place.Draining
			ejected++
		}
		info := l.upstreams[u.Number]
		members = append(members, place.NewMember(u.Number, float64(u.Slots)/l.latencyRatio(u), m, info.joinedAt, l.flapCount(u.Name)).
			WithMaxRanges(l.leases.MaxRanges(s, u.Number)))
	}
	return members
}

func (l *leaderState) placementState(now time.Duration, s *state.State, u table.Upstream) place.MemberState {
	switch {
	case !l.leases.Live(now, u.Number) && !u.ChecksFence:
		return place.Expired
	case s.Drained(u) || s.OutOfService(u):
		return place.Draining
	case !l.leases.RecentlyRenewed(now, u.Number):
		return place.Unresponsive
	}
	return place.Ready
}

// shouldEject reports whether the upstream fails its requests, and records when that begins or ends for logEjected.
func (l *leaderState) shouldEject(now time.Duration, u table.Upstream) bool {
	home, _ := l.homes.Of(u)
	if !l.health.Failing(now, u.Number, home.Name, l.homes.Len() < 2) {
		delete(l.ejected, u.Number)
		return false
	}
	if _, known := l.ejected[u.Number]; !known {
		l.ejected[u.Number] = false
	}
	return true
}

// flapCount returns how often upstreams of this name lost their lease within flapWindow.
func (l *leaderState) flapCount(name string) (n int) {
	for _, x := range l.losses {
		if x.name == name {
			n++
		}
	}
	return n
}
