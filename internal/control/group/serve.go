package group

import (
	"context"
	"net/http"
	"net/netip"
	"regexp"
	"slices"
	"strings"
	"time"

	"go.uber.org/zap"

	"ebonyrill.dev/ebonyrill/internal/control/raft"
	"ebonyrill.dev/ebonyrill/internal/control/state"
	"ebonyrill.dev/ebonyrill/internal/shared/conf"
	"ebonyrill.dev/ebonyrill/internal/shared/events"
	"ebonyrill.dev/ebonyrill/internal/shared/oper"
	"ebonyrill.dev/ebonyrill/internal/shared/table"
	"ebonyrill.dev/ebonyrill/internal/shared/wire"
)

// Serve registers the control host's RPC procedures on mux.
func (g *Group) Serve(mux *http.ServeMux) {
	wire.Handle(mux, oper.Deliver, g.deliver)
	wire.Handle(mux, oper.Identify, g.identify)
	wire.Handle(mux, oper.Bootstrap, g.bootstrap)
	wire.Handle(mux, oper.Renew, g.renew)
	wire.Handle(mux, oper.RenewMany, g.renewMany)
	wire.Handle(mux, oper.Watch, g.watch)
	wire.Handle(mux, oper.Publish, g.publish)
	wire.Handle(mux, oper.Current, g.current)
	wire.Handle(mux, oper.Drain, g.drain)
	wire.Handle(mux, oper.Members, g.changeMembers)
	wire.Handle(mux, oper.Status, g.status)
	wire.Handle(mux, oper.Owners, g.owners)
	wire.Handle(mux, oper.Enrol, g.enrol)
	wire.Handle(mux, oper.Patch, g.patchAsLeader)
	wire.Handle(mux, oper.Items, func(ctx context.Context, r *oper.Empty) (*oper.ItemsResponse, error) { return g.Items(ctx, r) })
	wire.Handle(mux, oper.Leave, g.leaveAsLeader)
	wire.Handle(mux, oper.Evacuate, g.evacuateAsLeader)
}

// deliver receives messages from a peer. Messages that exceed the inbox are dropped, as the sender's core sends them again.
func (g *Group) deliver(_ context.Context, b *batch) (*oper.Empty, error) {
	for _, m := range b.Messages {
		g.accept(m)
	}
	return &oper.Empty{}, nil
}

// accept queues a message for the loop, or drops it if the inbox is full.
func (g *Group) accept(m raft.Message) {
	select {
	case g.inbox <- m:
	default:
	}
}

func (g *Group) identify(ctx context.Context, _ *oper.Empty) (answer *oper.Identity, err error) {
	err = g.do(ctx, func() { answer = g.identity() })
	return answer, err
}

func (g *Group) identity() *oper.Identity {
	return &oper.Identity{ID: uint64(g.store.ID()), Joined: g.store.Joined(), Name: g.options.Name,
		Address: g.options.Address, DataCentre: g.options.DataCentre, Standby: g.options.Formation.Standby}
}

// bootstrap starts a group with the given members on this host. It is idempotent: a retry with the same members succeeds.
func (g *Group) bootstrap(ctx context.Context, r *oper.BootstrapRequest) (answer *oper.Identity, err error) {
	var members raft.Members
	for _, m := range r.Members {
		members = append(members, raft.Replica{ID: raft.ReplicaID(m.ID), Address: m.Address, DataCentre: m.DataCentre, Voter: true})
	}
	members = raft.NewMembers(members...)
	doErr := g.do(ctx, func() { answer, err = g.bootstrapInLoop(members) })
	if doErr != nil {
		return nil, doErr
	}
	return answer, err
}

// bootstrapInLoop makes this host a voter of a new group with the given members, or returns its identity if it is one already.
func (g *Group) bootstrapInLoop(members raft.Members) (*oper.Identity, error) {
	if !members.IsVoter(g.store.ID()) {
		return nil, &oper.ErrInvalid{Reason: "the members do not include this host's identity; it may have lost its disk"}
	}
	if g.store.Joined() {
		if slices.Equal(g.core.Members(), members) {
			return g.identity(), nil
		}
		return nil, &oper.ErrRefused{Reason: "this host already belongs to a group with other members"}
	}
	if err := g.store.Bootstrap(members); err != nil {
		return nil, err
	}
	return g.identity(), g.restore()
}

// renewInLoop answers a renewal as the leader. It checks the leader lease before and after, so that no answer is given on
// behalf of a leader that has been replaced.
func (g *Group) renewInLoop(r *table.Renewal) (answer *table.RenewalResponse, err error) {
	l, err := g.servingLeader()
	if err != nil {
		return nil, err
	}
	now := g.now()
	l.sync(now, g.state)
	answer = &table.RenewalResponse{Version: g.state.Version(), LeaseMillis: g.options.LeaseTiming.Lease().Milliseconds()}
	answer.Joined = !r.Leaving && l.leases.RenewEntry(now, *r)
	g.proposeEntryChange(r)
	for _, a := range r.Announcements {
		answer.Grants = append(answer.Grants, g.renewUpstream(now, l, a))
	}
	for _, p := range r.LeavingUpstreams {
		g.recordLeaving(l, p, "response")
	}
	l.recordLoad(now, r)
	if _, err = g.servingLeader(); err != nil {
		return nil, err
	}
	return answer, nil
}

// proposeEntryChange proposes that an entry host join or leave if its renewal asks for that and the state differs.
func (g *Group) proposeEntryChange(r *table.Renewal) {
	known, in := g.state.Entry(r.Host.Name)
	current := in && known.Incarnation == r.Host.Incarnation
	switch {
	case r.Leaving && current:
		g.proposeNoWait(state.Command{DropEntry: &state.DropEntry{Name: r.Host.Name, Incarnation: r.Host.Incarnation}})
	case !r.Leaving && !current && g.leader.joining[entryKey(r.Host.Name)] != r.Host.Incarnation:
		if !conf.IsWord(r.Host.Name) || !conf.IsWord(r.Host.DataCentre) {
			return
		}
		g.leader.joining[entryKey(r.Host.Name)] = r.Host.Incarnation
		g.options.Log.Write(events.EntryJoined, zap.String("entry", r.Host.Name), zap.String("address", r.Host.Address))
		g.proposeNoWait(state.Command{JoinEntry: &r.Host})
	}
}

// entryKey returns the key of an entry host in leaderState.joining; the prefix keeps it distinct from upstreams' names.
func entryKey(name string) string { return "entry/" + name }

// renewUpstream answers an upstream's announcement: it renews the lease, or proposes that the upstream join or leave.
func (g *Group) renewUpstream(now time.Duration, l *leaderState, a table.Announcement) table.GrantResponse {
	if reason := announcementFault(a); reason != "" {
		g.options.Log.Write(events.AnnouncementRejected, zap.String("upstream", a.Name), zap.String("reason", reason))
		return table.GrantResponse{Name: a.Name, Incarnation: a.Incarnation, Sequence: a.Sequence,
			Status: table.GrantRefused, Reason: reason}
	}
	if reason := g.unknownService(a); reason != "" {
		return table.GrantResponse{Name: a.Name, Incarnation: a.Incarnation, Sequence: a.Sequence, Status: table.GrantRefused, Reason: reason}
	}
	answer := l.leases.RenewUpstream(now, g.state, a)
	u, _ := g.state.UpstreamNamed(a.Name)
	if answer.Status == table.GrantHeld {
		g.reviewCold(now, l, u, a)
	}
	if answer.Status == table.GrantHeld && a.Reports {
		answer.Pending = g.finishHandovers(now, u)
		if n := l.leases.TakeUnproven(u.Number); n > 0 {
			g.options.Log.Write(events.ReleaseUnproven, zap.String("upstream", a.Name), zap.Uint64("sequence", a.Sequence), zap.Int("slices", n),
				zap.Uint64("version", g.state.Version()))
		}
		if n, isNew := l.leases.UnheldGrants(now, u.Number); isNew {
			g.options.Log.Write(events.GrantsNotHeld, zap.String("upstream", a.Name), zap.Int("grants", n), zap.Uint64("version", g.state.Version()))
		}
	}
	switch {
	case answer.Status == table.GrantJoining && a.Reports && g.supersededAtAddress(a):
		answer.Status, answer.Reason = table.GrantStale, "a newer process stands at the address"
	case answer.Status == table.GrantJoining && l.joining[a.Name] < a.Incarnation:
		l.joining[a.Name] = a.Incarnation
		if numbers := g.supersededBy(a); a.Reports && len(numbers) > 0 {
			g.options.Log.Write(events.UpstreamReplaced, zap.String("upstream", a.Name), zap.Uint32s("numbers", numbers))
			l.leases.Evict(g.state, numbers)
			g.proposeNoWait(state.Command{DropUpstreams: &state.DropUpstreams{Numbers: numbers}})
		}
		g.options.Log.Write(events.UpstreamJoined, zap.String("upstream", a.Name), zap.Uint64("incarnation", a.Incarnation))
		g.proposeNoWait(state.Command{JoinUpstream: &table.Upstream{Name: a.Name, Incarnation: a.Incarnation,
			Service: a.Service, Address: a.Address, DataCentre: a.DataCentre, ChecksFence: a.ChecksFence,
			ChecksRequestID: a.ChecksRequestID, Slots: a.Slots, Connections: a.Connections, Leaving: a.Leaving, Reports: a.Reports,
			ColdLeft: g.coldOnJoin(a)}})
	}
	if a.Leaving && answer.Status != table.GrantJoining && answer.Status != table.GrantRefused {
		answer.Left = g.recordLeaving(l, a.Process(), "heartbeat")
	}
	return answer
}

// Limits on the values that an upstream may announce.
const (
	maxSlots       = 100000
	maxConnections = 1000000
)

// announcementFault returns why an announcement is invalid, or an empty string. The text is sent to the upstream.
func announcementFault(a table.Announcement) string {
	_, err := netip.ParseAddrPort(a.Address)
	switch {
	case !conf.IsWord(a.Name):
		return "name must be 1 to 40 letters, digits, - or _"
	case !conf.IsWord(a.Service):
		return "service must be 1 to 40 letters, digits, - or _"
	case !conf.IsWord(a.DataCentre):
		return "dataCentre must be 1 to 40 letters, digits, - or _"
	case err != nil:
		return "address must be an IP address and a port"
	case a.Incarnation == 0 || a.Sequence == 0:
		return "incarnation and sequence must be above 0"
	case a.Slots < 1 || a.Slots > maxSlots:
		return "slots must be 1 to 100000"
	case a.Connections < 1 || a.Connections > maxConnections:
		return "connections must be 1 to 1000000"
	}
	return ""
}

// recordLoad adds the request counts and upstream statistics that an entry host reports.
func (l *leaderState) recordLoad(now time.Duration, r *table.Renewal) {
	for _, c := range r.Slices {
		if svc := l.services[c.Service]; svc != nil && c.Count > 0 {
			svc.loads.AddSlice(now, c)
		}
	}
	for _, c := range r.Keys {
		if svc := l.services[c.Service]; svc != nil && c.Count > 0 {
			svc.loads.AddKey(now, c)
		}
	}
	for _, v := range r.UpstreamStats {
		l.health.Add(now, r.Host.Name, v)
		l.latencies.add(v)
	}
}

// publishID matches a publish id. It begins with a UTC timestamp, so that ids sort by age.
var publishID = regexp.MustCompile(`^\d{8}T\d{6}\.\d{3}Z-[A-Za-z0-9_-]{4,40}$`)

// publishMaxSkew is how far in the future the time in a publish id may be.
const publishMaxSkew = time.Hour

// publish proposes a set of service files as the new configuration. A retry with the same id returns the same outcome.
func (g *Group) publish(ctx context.Context, r *oper.PublishRequest) (answer *table.PublishResult, err error) {
	if !publishID.MatchString(r.ID) {
		return nil, &oper.ErrInvalid{Reason: "publish id must be a time such as 20260102T150405.000Z, a dash and 4 to 40 letters or digits"}
	}
	at, err := time.Parse(oper.PublishTime, strings.SplitN(r.ID, "-", 2)[0])
	if err != nil || time.Until(at) > publishMaxSkew {
		return nil, &oper.ErrInvalid{Reason: "the time in the publish id is in the future"}
	}
	if _, err = conf.ParseSet(r.Files); err != nil {
		return nil, &oper.ErrInvalid{Reason: err.Error()}
	}
	result, err := g.proposeAndWait(ctx, state.Command{Publish: &state.Publish{ID: r.ID, Base: r.Base, By: r.By,
		Digest: state.Digest(r.Files), Files: r.Files}})
	if err != nil {
		return nil, err
	}
	if result.Rejection != "" {
		return nil, &oper.ErrRefused{Reason: result.Rejection}
	}
	event := events.ConfigAccepted
	if !result.Outcome.Accepted {
		event = events.ConfigRejected
	}
	g.options.Log.Write(event, zap.String("id", r.ID), zap.Uint64("version", result.Outcome.Version), zap.String("by", r.By))
	return result.Outcome, nil
}

// leaseRead runs f in the loop and checks that this host holds the leader lease before and after it, so that f reads the
// newest committed state.
func (g *Group) leaseRead(ctx context.Context, f func(*leaderState) error) (err error) {
	doErr := g.do(ctx, func() {
		var l *leaderState
		if l, err = g.servingLeader(); err != nil {
			return
		}
		l.sync(g.now(), g.state)
		if err = f(l); err == nil {
			_, err = g.servingLeader()
		}
	})
	if doErr != nil {
		return doErr
	}
	return err
}

func (g *Group) current(ctx context.Context, _ *oper.Empty) (answer *table.Config, err error) {
	err = g.leaseRead(ctx, func(*leaderState) error {
		config := g.state.Config()
		answer = &config
		return nil
	})
	return answer, err
}

func (g *Group) drain(ctx context.Context, r *oper.DrainRequest) (*oper.Empty, error) {
	err := g.leaseRead(ctx, func(*leaderState) error {
		if _, ok := g.state.UpstreamNamed(r.Name); !ok && r.On {
			return &oper.ErrInvalid{Reason: "no upstream has the name " + r.Name}
		}
		return nil
	})
	if err != nil {
		return nil, err
	}
	_, err = g.proposeAndWait(ctx, state.Command{Drain: &state.Drain{Name: r.Name, On: r.On}})
	return &oper.Empty{}, err
}
