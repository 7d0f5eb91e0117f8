package group

import (
	"context"
	"time"

	"github.com/pkg/errors"
	"go.uber.org/zap"

	"ebonyrill.dev/ebonyrill/internal/control/state"
	"ebonyrill.dev/ebonyrill/internal/shared/events"
	"ebonyrill.dev/ebonyrill/internal/shared/oper"
	"ebonyrill.dev/ebonyrill/internal/shared/table"
	"ebonyrill.dev/ebonyrill/internal/shared/wire"
)

// announcePause is how long an announcement waits before it is looked at again while what it tells is being committed;
// about the time of one commit.
const announcePause = 8 * time.Millisecond

// Announce renews an upstream's lease, here or at the leader, and returns its answer once what the announcement tells is
// committed: that the upstream exists, and that it leaves.
func (g *Group) Announce(ctx context.Context, a table.Announcement) (answer *table.GrantResponse, err error) {
	defer func() { err = errors.WithMessage(err, "announce") }()
	arrived, age := g.now(), a.Age
	for {
		a.Age = age + table.Age(g.now()-arrived)
		reply, err := g.renew(ctx, &table.Renewal{Announcements: []table.Announcement{a}})
		if err != nil {
			return nil, err
		}
		if len(reply.Grants) != 1 {
			return nil, g.stopped()
		}
		answer = &reply.Grants[0]
		if settled(a, answer) {
			return answer, nil
		}
		select {
		case <-ctx.Done():
			return nil, ctx.Err()
		case <-time.After(announcePause):
		}
	}
}

// settled reports whether all that an announcement tells is committed.
func settled(a table.Announcement, g *table.GrantResponse) bool {
	switch g.Status {
	case table.GrantJoining:
		return false
	case table.GrantHeld:
		return (!a.Leaving || g.Draining) && !g.Pending
	}
	return true
}

// Leave notes that an upstream leaves, here or at the leader; it returns once that is committed.
func (g *Group) Leave(ctx context.Context, r *oper.LeaveRequest) (_ *oper.Empty, err error) {
	return atLeader(ctx, g, oper.Leave, r, g.leaveHere)
}

func (g *Group) leaveHere(ctx context.Context, r *oper.LeaveRequest) (*oper.Empty, error) {
	known := false
	err := g.read(ctx, func(*lead) error {
		u, ok := g.state.UpstreamNamed(r.Name)
		known = ok && (r.Incarnation == 0 || r.Incarnation >= u.Incarnation)
		return nil
	})
	if err != nil || !known {
		return &oper.Empty{}, err
	}
	g.options.Log.Write(events.UpstreamLeaving, zap.String("upstream", r.Name), zap.Uint64("incarnation", r.Incarnation))
	_, err = g.decide(ctx, state.Command{Drain: &state.Drain{Name: r.Name, On: true, Self: true}})
	return &oper.Empty{}, err
}

// Patch takes configuration items in, here or at the leader; it returns once they are committed.
func (g *Group) Patch(ctx context.Context, r *oper.PatchRequest) (*oper.PatchResponse, error) {
	return atLeader(ctx, g, oper.Patch, r, g.patchHere)
}

func (g *Group) patchHere(ctx context.Context, r *oper.PatchRequest) (*oper.PatchResponse, error) {
	result, err := g.decide(ctx, state.Command{Patch: &state.Patch{Items: r.Items}})
	if err != nil {
		return nil, err
	}
	g.options.Log.Write(events.ItemsPatched, zap.Int("items", len(r.Items)), zap.Int("changed", result.Changed),
		zap.String("refused", result.Rejection))
	if result.Rejection != "" {
		return nil, &oper.ErrInvalid{Reason: result.Rejection}
	}
	return &oper.PatchResponse{Changed: result.Changed}, nil
}

// Items returns the configuration items in force, as the leader knows them.
func (g *Group) Items(ctx context.Context, r *oper.Empty) (*oper.ItemsResponse, error) {
	return atLeader(ctx, g, oper.Items, r, func(ctx context.Context, _ *oper.Empty) (answer *oper.ItemsResponse, err error) {
		err = g.read(ctx, func(*lead) error {
			answer = &oper.ItemsResponse{Items: g.state.Items().InForce()}
			return nil
		})
		return answer, err
	})
}

// Leader returns the peer address of the leader that this host follows or is, or an empty text.
func (g *Group) Leader(ctx context.Context) (address string) {
	err := g.do(ctx, func() {
		if g.core != nil {
			address = g.leaderAddress()
		}
	})
	if err != nil {
		return ""
	}
	return address
}

// atLeader runs a call here if this host leads, and passes it on to the leader once otherwise.
func atLeader[Req, Res any](ctx context.Context, g *Group, procedure string, r *Req, here func(context.Context, *Req) (*Res, error)) (*Res, error) {
	answer, err := here(ctx, r)
	var elsewhere *wire.ErrNoLeader
	if !errors.As(err, &elsewhere) || elsewhere.Leader == "" || elsewhere.Leader == g.options.Address {
		return answer, err
	}
	answer, err = wire.Call[Req, Res](ctx, g.options.Client, elsewhere.Leader, procedure, r)
	return answer, wire.Remote(err)
}

// finishFor completes the handovers to an upstream that has just announced itself, so that entry hosts and the upstream learn
// of them at the same time; it reports whether any is under way.
func (g *Group) finishFor(now time.Duration, u table.Upstream) (pending bool) {
	operations, pending := g.lead.keeper.FinishMovesTo(now, g.state, u.Number)
	if len(operations) > 0 {
		g.proposeDuty(state.Command{Plan: &state.Plan{Operations: operations}})
	}
	return pending
}

// unknownService returns why an upstream that reports its keys cannot be taken in: its service is no configuration item.
func (g *Group) unknownService(a table.Announcement) string {
	if !a.Reports {
		return ""
	}
	if _, ok := g.state.Items().Service(a.Service); !ok {
		return "unknown service " + a.Service
	}
	return ""
}

// displaced returns the upstreams that a newer process has surely ended: earlier incarnations under its name, and older
// processes that stood at its address.
func (g *Group) displaced(a table.Announcement) (numbers []uint32) {
	for _, u := range g.state.Upstreams() {
		older := u.Incarnation < a.Incarnation
		if older && u.Reports && (u.Name == a.Name || u.Address == a.Address) {
			numbers = append(numbers, u.Number)
		}
	}
	return numbers
}

// outdated reports whether a newer process stands at the announcement's address.
func (g *Group) outdated(a table.Announcement) bool {
	for _, u := range g.state.Upstreams() {
		if u.Address == a.Address && u.Name != a.Name && u.Incarnation > a.Incarnation {
			return true
		}
	}
	return false
}

// Keyed reports whether a service's keys are divided, as far as this host knows.
func (g *Group) Keyed(service string) bool {
	v, ok := g.known.Load().Service(service)
	return ok && v.Keyed
}

// MaxConnections returns how many connections an upstream of the service takes, as far as this host knows.
func (g *Group) MaxConnections(service string) int {
	v, _ := g.known.Load().Service(service)
	return v.MaxConnections
}
