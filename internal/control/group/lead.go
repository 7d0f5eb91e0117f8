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

// Periods of the leader's duties.
const (
	planPeriod   = time.Second
	checkPeriod  = 60 * time.Millisecond
	gatherPeriod = 500 * time.Millisecond
	settledAge   = -time.Hour
	flapMemory   = 10 * time.Minute
	lostMemory   = time.Hour
)

// lead is what a host does while it leads; it ends with the leadership.
type lead struct {
	term       uint64
	keeper     *lease.Manager
	services   map[string]*serviceDuty
	upstreams  map[uint32]*upstreamNote
	losses     []loss
	lost       map[string]lostEntry
	followed   uint64
	pending    uint64
	joining    map[string]uint64
	health     *place.Health
	moved      float64
	avoided    map[uint32]bool
	homes      table.Homes
	reviewAt   time.Duration
	excludedAt map[uint32]time.Duration
	applicants map[raft.ReplicaID]applicant
	membersAt  time.Duration
	redundant  bool
	since      time.Duration
	paces      paces
}

// serviceDuty is what the leader keeps for one service.
type serviceDuty struct {
	policy     *place.Weighted
	loads      *place.Loads
	planAt     time.Duration
	checkAt    time.Duration
	changedAt  uint64
	shapedAt   uint64
	orphans    int
	readyAt    time.Duration
	joinedAt   time.Duration
	neverOwned bool
	numbered   bool
	members    int
}

// upstreamNote is what the leader remembers of an upstream.
type upstreamNote struct {
	name     string
	service  string
	joinedAt time.Duration
}

// loss is a lease that an upstream lost.
type loss struct {
	name string
	at   time.Duration
}

// lostEntry is an entry host that lost its lease and has not come back.
type lostEntry struct {
	host table.EntryHost
	at   time.Duration
}

func newLead(term uint64, terms lease.Timing, now time.Duration, s *state.State) *lead {
	l := &lead{term: term, since: now, keeper: lease.NewManager(terms, now, s), services: map[string]*serviceDuty{},
		upstreams: map[uint32]*upstreamNote{}, lost: map[string]lostEntry{},
		joining: map[string]uint64{}, health: place.NewHealth(), avoided: map[uint32]bool{},
		excludedAt: map[uint32]time.Duration{}, applicants: map[raft.ReplicaID]applicant{}, paces: newPaces()}
	for _, u := range s.Upstreams() {
		l.upstreams[u.Number] = &upstreamNote{name: u.Name, service: u.Service, joinedAt: settledAge}
	}
	l.follow(now, s)
	return l
}

// duties runs what the leader owes at a moment, if it leads.
func (g *Group) duties(now time.Duration) {
	if !g.core.LeaseValid(now) {
		if g.core.Role() != raft.Leader {
			g.lead = nil
		}
		return
	}
	if g.lead == nil || g.lead.term != g.core.Term() {
		g.lead = newLead(g.core.Term(), g.options.LeaseTiming, now, g.state)
		g.options.Log.Write(events.Leading, zap.Uint64("term", g.core.Term()))
	}
	l := g.lead
	l.follow(now, g.state)
	g.reviewMembers(now)
	if !g.redundant() {
		return
	}
	for _, c := range l.keeper.Due(now, g.state) {
		g.logDue(c)
		g.proposeDuty(c)
	}
	if g.state.Index() < l.pending {
		return
	}
	g.reviewHomes(now)
	operations := l.plan(now, g.state)
	g.logAvoided()
	if len(operations) > 0 {
		g.options.Log.Write(events.SlicesPlanned, zap.Int("operations", len(operations)))
		g.proposeDuty(state.Command{Plan: &state.Plan{Operations: operations}})
	}
}

// logAvoided tells of upstreams that began to be avoided.
func (g *Group) logAvoided() {
	for number, told := range g.lead.avoided {
		if told {
			continue
		}
		g.lead.avoided[number] = true
		u, _ := g.state.Upstream(number)
		g.options.Log.Write(events.UpstreamEjected, zap.String("upstream", u.Name))
	}
}

func (g *Group) logDue(c state.Command) {
	switch {
	case c.DropUpstreams != nil:
		for _, number := range c.DropUpstreams.Numbers {
			u, _ := g.state.Upstream(number)
			g.options.Log.Write(events.UpstreamLost, zap.String("upstream", u.Name), zap.Uint64("incarnation", u.Incarnation))
		}
	case c.DropEntry != nil:
		e, _ := g.state.Entry(c.DropEntry.Name)
		g.lead.lost[e.Name] = lostEntry{host: e, at: g.now()}
		g.options.Log.Write(events.EntryLost, zap.String("entry", e.Name))
	}
}

// proposeDuty proposes a command of the leader's own; planning waits until it is applied.
func (g *Group) proposeDuty(c state.Command) {
	index, err := g.propose(c, nil)
	if err != nil {
		g.options.Log.Write(events.ProposalFailed, events.Cause(err))
		return
	}
	g.lead.pending = index
}

// follow brings the leader's notes in line with the state.
func (l *lead) follow(now time.Duration, s *state.State) {
	if l.followed == s.Index() && l.followed != 0 {
		return
	}
	l.followed = s.Index()
	l.keeper.Update(now, s)
	l.followUpstreams(now, s)
	l.followEntries(now, s)
	l.followServices(now, s)
}

func (l *lead) followUpstreams(now time.Duration, s *state.State) {
	for _, u := range s.Upstreams() {
		if l.upstreams[u.Number] == nil {
			l.upstreams[u.Number] = &upstreamNote{name: u.Name, service: u.Service, joinedAt: now}
		}
	}
	for number, n := range l.upstreams {
		if _, ok := s.Upstream(number); !ok {
			l.losses = append(l.losses, loss{name: n.name, at: now})
			delete(l.upstreams, number)
			delete(l.excludedAt, number)
		}
	}
	l.losses = slices.DeleteFunc(l.losses, func(x loss) bool { return now-x.at > flapMemory })
	for name, incarnation := range l.joining {
		if s.NewestIncarnation(name) >= incarnation {
			delete(l.joining, name)
		}
	}
}

func (l *lead) followEntries(now time.Duration, s *state.State) {
	l.homes = table.NewHomes(s.Entries())
	for _, e := range s.Entries() {
		delete(l.joining, entryKey(e.Name))
	}
	for name, e := range l.lost {
		if back, ok := s.Entry(name); ok && back.JoinedAt > e.host.JoinedAt || now-e.at > lostMemory {
			delete(l.lost, name)
		}
	}
}

func (l *lead) followServices(now time.Duration, s *state.State) {
	for _, v := range s.Services() {
		d := l.services[v.Name()]
		if d == nil {
			d = newServiceDuty(v)
			l.services[v.Name()] = d
		}
		d.follow(now, s, v.Name())
	}
}

// handoverLoadLife is in which time the load of numbered keys halves without news: the busiest change within seconds.
const handoverLoadLife = 2500 * time.Millisecond

func newServiceDuty(v *conf.Service) *serviceDuty {
	if v.Numbered() {
		return &serviceDuty{policy: place.NewTuned(place.HandoverTuning()), loads: place.NewLoadsOver(handoverLoadLife), numbered: true}
	}
	return &serviceDuty{policy: place.NewWeighted(), loads: place.NewLoads()}
}

// follow brings what the leader keeps for a service in line with its slices, as far as these changed.
func (d *serviceDuty) follow(now time.Duration, s *state.State, service string) {
	changed, shaped := s.ChangeIndexes(service)
	set, _ := s.Table(service)
	if shaped != d.shapedAt {
		d.shapedAt = shaped
		d.loads.Update(now, set)
	}
	if changed == d.changedAt {
		return
	}
	d.changedAt, d.orphans = changed, 0
	for i := range set.Len() {
		if e := set.At(i); e.Owner == 0 && !e.Moving() {
			d.orphans++
		}
	}
	d.neverOwned = d.orphans == set.Len()
}

// plan returns the operations of all services that are due.
func (l *lead) plan(now time.Duration, s *state.State) (operations []state.Operation) {
	for _, v := range s.Services() {
		d := l.services[v.Name()]
		if d == nil {
			continue
		}
		if d.orphans == 0 && now < d.checkAt {
			continue
		}
		d.checkAt = now + checkPeriod
		set, _ := s.Table(v.Name())
		members := l.members(now, s, v.Name(), v.MaxEjectShare())
		if !d.due(now, members, set) {
			continue
		}
		d.planAt = now + planPeriod
		view := place.NewView(v.Name(), set, d.loads.Rates(now, set), members, d.loads.HotKeys(now), v.Weights())
		if v.Numbered() {
			view = view.WithUnit(slice.NumberUnit)
		}
		operations = append(operations, d.policy.Plan(now, view)...)
	}
	for _, o := range operations {
		if set, ok := s.Table(o.Service); ok && (o.Kind == state.BeginMove || o.Kind == state.Assign) {
			l.moved += set.Share(set.Position(o.Start))
		}
	}
	return operations
}

// due reports whether a plan is wanted now; a service that never had an owner waits a little for more upstreams.
func (d *serviceDuty) due(now time.Duration, members []place.Member, set slice.Set) bool {
	ready := slices.ContainsFunc(members, func(m place.Member) bool { return m.State() == place.Ready })
	if !ready {
		d.readyAt = now
		return false
	}
	if d.neverOwned && d.gathering(now, len(members)) {
		return false
	}
	return d.orphans > 0 || now >= d.planAt || leavingOwn(members, set)
}

// gathering reports whether more upstreams of a service that never had an owner are likely to come soon. Those that report
// their keys are waited for until none has come for more than a heartbeat.
func (d *serviceDuty) gathering(now time.Duration, members int) bool {
	if !d.numbered {
		return now-d.readyAt < gatherPeriod
	}
	if members != d.members {
		d.members, d.joinedAt = members, now
	}
	return now-d.joinedAt < quietPeriod && now-d.readyAt < longestGather
}

// Times of gathering upstreams that report their keys.
const (
	quietPeriod   = 1200 * time.Millisecond // a heartbeat comes at least once in this time
	longestGather = 4 * time.Second         // keys are not left unserved for longer, however many come
)

// leavingOwn reports whether an upstream that is to be emptied owns a slice that is not on its way to another.
func leavingOwn(members []place.Member, set slice.Set) bool {
	leaving := map[uint32]bool{}
	for _, m := range members {
		if m.State() == place.Draining || m.State() == place.Expired {
			leaving[m.Number()] = true
		}
	}
	for i := 0; len(leaving) > 0 && i < set.Len(); i++ {
		if e := set.At(i); !e.Moving() && leaving[e.Owner] {
			return true
		}
	}
	return false
}

// members returns the upstreams of a service as placement sees them; at most a share of them is avoided for failures.
func (l *lead) members(now time.Duration, s *state.State, service string, ejectShare float64) (members []place.Member) {
	total, avoided := 0, 0
	for _, u := range s.Upstreams() {
		if u.Service == service {
			total++
		}
	}
	for _, u := range s.Upstreams() {
		if u.Service != service {
			continue
		}
		m := l.memberState(now, s, u)
		if m == place.Ready && !u.Reports && float64(avoided+1) <= ejectShare*float64(total) && l.avoid(now, u) {
			m = place.Draining
			avoided++
		}
		note := l.upstreams[u.Number]
		members = append(members, place.NewMember(u.Number, float64(u.Slots)/l.pace(u), m, note.joinedAt, l.flaps(u.Name)))
	}
	return members
}

func (l *lead) memberState(now time.Duration, s *state.State, u table.Upstream) place.MemberState {
	switch {
	case !l.keeper.Live(now, u.Number) && !u.ChecksFence:
		return place.Expired
	case s.Drained(u):
		return place.Draining
	case !l.keeper.RecentlyRenewed(now, u.Number):
		return place.Unresponsive
	}
	return place.Ready
}

// avoid reports whether the upstream fails its requests, and notes when that begins or ends.
func (l *lead) avoid(now time.Duration, u table.Upstream) bool {
	home, _ := l.homes.Of(u)
	if !l.health.Failing(now, u.Number, home.Name, l.homes.Len() < 2) {
		delete(l.avoided, u.Number)
		return false
	}
	if _, noted := l.avoided[u.Number]; !noted {
		l.avoided[u.Number] = false
	}
	return true
}

func (l *lead) flaps(name string) (n int) {
	for _, x := range l.losses {
		if x.name == name {
			n++
		}
	}
	return n
}
