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

// announcePollPeriod is the pause between two attempts of an announcement whose effect is not committed yet; about the time
// of one commit.
const announcePollPeriod = 8 * time.Millisecond

// Announce renews an upstream's lease, here or at the leader. It returns the answer once the group has committed what the
// announcement reports: that the upstream joined or leaves, and the handovers to it.
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
		if announcementCommitted(a, answer) {
			return answer, nil
		}
		select {
		case <-ctx.Done():
			return nil, ctx.Err()
		case <-time.After(announcePollPeriod):
		}
	}
}

// announcementCommitted reports whether the group has committed everything that an announcement reports.
func announcementCommitted(a table.Announcement, g *table.GrantResponse) bool {
	switch {
	case g.Status == table.GrantRefused:
		return true
	case g.Status == table.GrantJoining, a.Leaving && !g.Left:
		return false
	}
	return !g.Pending
}

// Patch sets and removes configuration items, here or at the leader. It returns once they are committed.
func (g *Group) Patch(ctx context.Context, r *oper.PatchRequest) (*oper.PatchResponse, error) {
	return atLeader(ctx, g, oper.Patch, r, g.patchAsLeader)
}

func (g *Group) patchAsLeader(ctx context.Context, r *oper.PatchRequest) (*oper.PatchResponse, error) {
	result, err := g.proposeAndWait(ctx, state.Command{Patch: &state.Patch{Items: r.Items}})
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

// Items returns the configuration items in force, as of the leader's state.
func (g *Group) Items(ctx context.Context, r *oper.Empty) (*oper.ItemsResponse, error) {
	return atLeader(ctx, g, oper.Items, r, func(ctx context.Context, _ *oper.Empty) (answer *oper.ItemsResponse, err error) {
		err = g.leaseRead(ctx, func(*leaderState) error {
			answer = &oper.ItemsResponse{Items: g.state.Items().InForce()}
			return nil
		})
		return answer, err
	})
}

// Leader returns the peer address of the current leader, which may be this host, or an empty string if none is known.
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

// atLeader handles a call with here if this host is the leader, and otherwise forwards it to the leader once.
func atLeader[Req, Res any](ctx context.Context, g *Group, procedure string, r *Req, here func(context.Context, *Req) (*Res, error)) (*Res, error) {
	answer, err := here(ctx, r)
	var elsewhere *wire.ErrNoLeader
	if !errors.As(err, &elsewhere) || elsewhere.Leader == "" || elsewhere.Leader == g.options.Address {
		return answer, err
	}
	answer, err = wire.Call[Req, Res](ctx, g.options.Client, elsewhere.Leader, procedure, r)
	return answer, wire.Remote(err)
}

// finishHandovers proposes to complete the handovers to an upstream that has just announced itself, so that entry hosts and
// the upstream learn of them at the same time. It reports whether any is still in progress.
func (g *Group) finishHandovers(now time.Duration, u table.Upstream) (pending bool) {
	c := g.leader.leases.FinishMovesTo(now, g.state, u.Number)
	if len(c.Operations) > 0 {
		g.proposeNoWait(state.Command{Plan: &state.Plan{Operations: c.Operations}})
	}
	if c.Withheld > 0 && len(c.Operations) > 0 {
		g.options.Log.Write(events.GrantsRefenced, zap.String("upstream", u.Name), zap.Uint64("version", g.state.Version()),
			zap.Int("grants", c.Withheld), zap.Int("operations", len(c.Operations)))
	}
	if c.Exceeded || c.Dropped > 0 || c.Waiting > 0 && len(c.Operations) > 0 {
		g.options.Log.Write(events.GrantsLimited, zap.String("upstream", u.Name), zap.Uint64("version", g.state.Version()),
			zap.Int("operations", len(c.Operations)), zap.Int("waiting", c.Waiting), zap.Int("dropped", c.Dropped), zap.Bool("exceeded", c.Exceeded))
	}
	return c.Pending
}

// unknownService returns why an upstream that reports its keys cannot join: its service is not a configuration item. It
// returns an empty string if there is no objection.
func (g *Group) unknownService(a table.Announcement) string {
	if !a.Reports {
		return ""
	}
	if _, ok := g.state.Items().Service(a.Service); !ok {
		return "unknown service " + a.Service
	}
	return ""
}

// supersededBy returns the numbers of the upstreams whose processes must have ended, as a newer process announces itself:
// older incarnations of the same name, and older processes at the same address.
func (g *Group) supersededBy(a table.Announcement) (numbers []uint32) {
	for _, u := range g.state.Upstreams() {
		older := u.Incarnation < a.Incarnation
		if older && u.Reports && (u.Name == a.Name || u.Address == a.Address) {
			numbers = append(numbers, u.Number)
		}
	}
	return numbers
}

// supersededAtAddress reports whether a newer process under another name has joined with the announcement's address.
func (g *Group) supersededAtAddress(a table.Announcement) bool {
	for _, u := range g.state.Upstreams() {
		if u.Address == a.Address && u.Name != a.Name && u.Incarnation > a.Incarnation {
			return true
		}
	}
	return false
}

// Keyed reports whether the keys of a service are divided among its upstreams, according to the items that this host has
// applied.
func (g *Group) Keyed(service string) bool {
	v, ok := g.latestItems.Load().Service(service)
	return ok && v.Keyed
}

// MaxConnections returns how many connections an upstream of the service accepts, according to the items that this host has
// applied; zero if the service is unknown.
func (g *Group) MaxConnections(service string) int {
	v, _ := g.latestItems.Load().Service(service)
	return v.MaxConnections
}
