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

// Serve adds the control host's procedures to the mux.
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
	wire.Handle(mux, oper.Patch, g.patchHere)
	wire.Handle(mux, oper.Items, func(ctx context.Context, r *oper.Empty) (*oper.ItemsResponse, error) { return g.Items(ctx, r) })
	wire.Handle(mux, oper.Leave, g.leaveHere)
}

// deliver takes in messages of a peer; what finds no room is dropped, as the sender repeats itself.
func (g *Group) deliver(_ context.Context, b *batch) (*oper.Empty, error) {
	for _, m := range b.Messages {
		g.accept(m)
	}
	return &oper.Empty{}, nil
}

// accept takes a message in, or drops it where there is no room.
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

// bootstrap starts the group on this host; a resend with the same members succeeds again.
func (g *Group) bootstrap(ctx context.Context, r *oper.BootstrapRequest) (answer *oper.Identity, err error) {
	var members raft.Members
	for _, m := range r.Members {
		members = append(members, raft.Replica{ID: raft.ReplicaID(m.ID), Address: m.Address, DataCentre: m.DataCentre, Voter: true})
	}
	members = raft.NewMembers(members...)
	doErr := g.do(ctx, func() { answer, err = g.bootstrapNow(members) })
	if doErr != nil {
		return nil, doErr
	}
	return answer, err
}

func (g *Group) bootstrapNow(members raft.Members) (*oper.Identity, error) {
	if !members.IsVoter(g.store.ID()) {
		return nil, &oper.ErrInvalid{Reason: "this host's identity is not among the members; it may have lost its disk"}
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

func (g *Group) renewNow(r *table.Renewal) (answer *table.RenewalResponse, err error) {
	l, err := g.leading()
	if err != nil {
		return nil, err
	}
	now := g.now()
	l.follow(now, g.state)
	answer = &table.RenewalResponse{Version: g.state.Version(), LeaseMillis: g.options.LeaseTiming.Lease().Milliseconds()}
	answer.Joined = !r.Leaving && l.keeper.RenewEntry(now, *r)
	g.followEntry(r)
	for _, a := range r.Announcements {
		answer.Grants = append(answer.Grants, g.renewUpstream(now, l, a))
	}
	l.takeLoad(now, r)
	if _, err = g.leading(); err != nil {
		return nil, err
	}
	return answer, nil
}

// followEntry proposes the join or the leave of an entry host.
func (g *Group) followEntry(r *table.Renewal) {
	known, in := g.state.Entry(r.Host.Name)
	current := in && known.Incarnation == r.Host.Incarnation
	switch {
	case r.Leaving && current:
		g.proposeDuty(state.Command{DropEntry: &state.DropEntry{Name: r.Host.Name, Incarnation: r.Host.Incarnation}})
	case !r.Leaving && !current && g.lead.joining[entryKey(r.Host.Name)] != r.Host.Incarnation:
		if !conf.IsWord(r.Host.Name) || !conf.IsWord(r.Host.DataCentre) {
			return
		}
		g.lead.joining[entryKey(r.Host.Name)] = r.Host.Incarnation
		g.options.Log.Write(events.EntryJoined, zap.String("entry", r.Host.Name), zap.String("address", r.Host.Address))
		g.proposeDuty(state.Command{JoinEntry: &r.Host})
	}
}

// entryKey keeps entry hosts apart from upstreams of the same name.
func entryKey(name string) string { return "entry/" + name }

func (g *Group) renewUpstream(now time.Duration, l *lead, a table.Announcement) table.GrantResponse {
	if reason := announcementFault(a); reason != "" {
		g.options.Log.Write(events.AnnouncementRejected, zap.String("upstream", a.Name), zap.String("reason", reason))
		return table.GrantResponse{Name: a.Name, Incarnation: a.Incarnation, Sequence: a.Sequence,
			Status: table.GrantRefused, Reason: reason}
	}
	if reason := g.unknownService(a); reason != "" {
		return table.GrantResponse{Name: a.Name, Incarnation: a.Incarnation, Sequence: a.Sequence, Status: table.GrantRefused, Reason: reason}
	}
	answer := l.keeper.RenewUpstream(now, g.state, a)
	u, _ := g.state.UpstreamNamed(a.Name)
	if answer.Status == table.GrantHeld && a.Reports {
		answer.Pending = g.finishFor(now, u)
	}
	switch {
	case answer.Status == table.GrantJoining && a.Reports && g.outdated(a):
		answer.Status, answer.Reason = table.GrantStale, "a newer process stands at the address"
	case answer.Status == table.GrantJoining && l.joining[a.Name] < a.Incarnation:
		l.joining[a.Name] = a.Incarnation
		if numbers := g.displaced(a); a.Reports && len(numbers) > 0 {
			g.options.Log.Write(events.UpstreamReplaced, zap.String("upstream", a.Name), zap.Uint32s("numbers", numbers))
			l.keeper.Evict(g.state, numbers)
			g.proposeDuty(state.Command{DropUpstreams: &state.DropUpstreams{Numbers: numbers}})
		}
		g.options.Log.Write(events.UpstreamJoined, zap.String("upstream", a.Name), zap.Uint64("incarnation", a.Incarnation))
		g.proposeDuty(state.Command{JoinUpstream: &table.Upstream{Name: a.Name, Incarnation: a.Incarnation,
			Service: a.Service, Address: a.Address, DataCentre: a.DataCentre, ChecksFence: a.ChecksFence,
			ChecksRequestID: a.ChecksRequestID, Slots: a.Slots, Connections: a.Connections, Leaving: a.Leaving, Reports: a.Reports}})
	case answer.Status == table.GrantHeld && a.Leaving && !u.Leaving:
		g.options.Log.Write(events.UpstreamLeaving, zap.String("upstream", a.Name), zap.Uint64("incarnation", a.Incarnation))
		g.proposeDuty(state.Command{Drain: &state.Drain{Name: a.Name, On: true, Self: true}})
	}
	return answer
}

// Bounds of what an upstream may announce.
const (
	maxSlots       = 100000
	maxConnections = 1000000
)

// announcementFault returns why an announcement is not valid, or an empty text.
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

// takeLoad takes in the counts of an entry host.
func (l *lead) takeLoad(now time.Duration, r *table.Renewal) {
	for _, c := range r.Slices {
		if d := l.services[c.Service]; d != nil && c.Count > 0 {
			d.loads.AddSlice(now, c)
		}
	}
	for _, c := range r.Keys {
		if d := l.services[c.Service]; d != nil && c.Count > 0 {
			d.loads.AddKey(now, c)
		}
	}
	for _, v := range r.UpstreamStats {
		l.health.Add(now, r.Host.Name, v)
		l.paces.add(v)
	}
}

// publishID is the form of a publish id: time of day first, so that ids sort by age.
var publishID = regexp.MustCompile(`^\d{8}T\d{6}\.\d{3}Z-[A-Za-z0-9_-]{4,40}$`)

// publishMaxSkew is how far ahead the time in a publish id may be.
const publishMaxSkew = time.Hour

func (g *Group) publish(ctx context.Context, r *oper.PublishRequest) (answer *table.PublishResult, err error) {
	if !publishID.MatchString(r.ID) {
		return nil, &oper.ErrInvalid{Reason: "publish id must be a time such as 20260102T150405.000Z, a dash and 4 to 40 letters or digits"}
	}
	at, err := time.Parse(oper.PublishTime, strings.SplitN(r.ID, "-", 2)[0])
	if err != nil || time.Until(at) > publishMaxSkew {
		return nil, &oper.ErrInvalid{Reason: "the time in the publish id lies in the future"}
	}
	if _, err = conf.ParseSet(r.Files); err != nil {
		return nil, &oper.ErrInvalid{Reason: err.Error()}
	}
	result, err := g.decide(ctx, state.Command{Publish: &state.Publish{ID: r.ID, Base: r.Base, By: r.By,
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

// read runs a function in the loop while the lease is valid before and after it.
func (g *Group) read(ctx context.Context, f func(*lead) error) (err error) {
	doErr := g.do(ctx, func() {
		var l *lead
		if l, err = g.leading(); err != nil {
			return
		}
		l.follow(g.now(), g.state)
		if err = f(l); err == nil {
			_, err = g.leading()
		}
	})
	if doErr != nil {
		return doErr
	}
	return err
}

func (g *Group) current(ctx context.Context, _ *oper.Empty) (answer *table.Config, err error) {
	err = g.read(ctx, func(*lead) error {
		config := g.state.Config()
		answer = &config
		return nil
	})
	return answer, err
}

func (g *Group) drain(ctx context.Context, r *oper.DrainRequest) (*oper.Empty, error) {
	err := g.read(ctx, func(*lead) error {
		if _, ok := g.state.UpstreamNamed(r.Name); !ok && r.On {
			return &oper.ErrInvalid{Reason: "no upstream has the name " + r.Name}
		}
		return nil
	})
	if err != nil {
		return nil, err
	}
	_, err = g.decide(ctx, state.Command{Drain: &state.Drain{Name: r.Name, On: r.On}})
	return &oper.Empty{}, err
}
