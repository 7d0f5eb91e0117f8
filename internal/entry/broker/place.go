package broker

import (
	"context"
	"slices"
	"time"

	"github.com/pkg/errors"
	"go.uber.org/zap"

	"ebonyrill.dev/ebonyrill/internal/entry/route"
	"ebonyrill.dev/ebonyrill/internal/entry/sched"
	"ebonyrill.dev/ebonyrill/internal/entry/serve"
	"ebonyrill.dev/ebonyrill/internal/shared/events"
	"ebonyrill.dev/ebonyrill/internal/shared/table"
)

// Times of placing.
const (
	parkShare   = 0.6                   // part of the time left for which a key without owner is waited for
	parkPause   = 60 * time.Millisecond // pause between looks at a key without owner while nothing is told
	leaveMargin = 0.7                   // part of the time that a leaving upstream may be sent requests which is used; news and the way take the rest
)

// newOffice returns the part that asks dealers for slots, and deals where it is asked.
func (b *Broker) newOffice() *sched.Node {
	return sched.New(sched.Options{Self: sched.Host{Name: b.options.Host, Address: b.options.Address, DataCentre: b.options.DataCentre}, Clock: b.options.Clock,
		Retries: b.options.Retries, Hosts: b.dealers, Upstreams: b.seats, CanSchedule: b.options.ControlReachable,
		OnUnresponsive: func(service, dealer string, silent bool) {
			b.options.Log.Write(events.SchedulerSkipped, zap.String("service", service), zap.String("dealer", dealer), zap.Bool("silent", silent))
		}})
}

func (b *Broker) dealers() (list []sched.Host) {
	for _, e := range b.options.Table.View().Entries() {
		list = append(list, sched.Host{Name: e.Name, Address: e.Address, DataCentre: e.DataCentre})
	}
	return list
}

// seats returns the upstreams of a service as a dealer must know them.
func (b *Broker) seats(service string) (list []sched.Upstream) {
	now := b.options.Clock()
	for _, u := range b.options.Table.View().UpstreamsOf(service) {
		list = append(list, sched.Upstream{Number: u.Number, Slots: u.Slots, DataCentre: u.DataCentre, Draining: u.Leaving,
			Cold: b.stock.fresh(now, u)})
	}
	return list
}

// place returns the upstream for the next try, or the refusal where there is none.
func (j *job) place(ctx context.Context) (u table.Upstream, refusal *serve.Response) {
	if s := j.next; s != nil {
		j.next, j.slot = nil, s.slot
		return s.upstream, nil
	}
	switch {
	case ctx.Err() != nil:
		return u, j.outOfTime(ctx)
	case j.outlastsStop():
		return u, j.refuse(ReasonStopping, stoppingPause)
	case !j.allowed():
		return u, j.refuse(ReasonBudgetSpent, turnedPause)
	}
	if j.keyed {
		return j.placeKeyed(ctx)
	}
	u, refusal, err := j.askDealer(ctx, 0)
	if err == nil {
		return u, refusal
	}
	b := j.broker
	u, ok := b.stock.choose(b.options.Clock(), b.options.Table.View(), j.service, b.options.DataCentre, j.tried)
	if !ok {
		return u, j.refuse(ReasonNoUpstream, noUpstreamPause)
	}
	return u, nil
}

// allowed reports whether the budget for repeats lets the request be sent, and counts it if it was sent before.
func (j *job) allowed() bool {
	b := j.broker
	if j.sends > 0 && !j.spent {
		j.spent = b.repeats.spend(b.options.Clock(), j.service, len(b.options.Table.View().Entries()))
		return j.spent
	}
	return true
}

// askDealer asks the dealer for a slot, of one upstream or of any. An error tells that this host must decide by itself.
func (j *job) askDealer(ctx context.Context, only uint32) (u table.Upstream, refusal *serve.Response, err error) {
	b := j.broker
	began := b.options.Clock()
	s, err := j.ask(ctx, only, false)
	j.waited += b.options.Clock() - began
	var refused *sched.ErrRejected
	switch {
	case err == nil:
		j.slot = s.slot
		return s.upstream, nil, nil
	case ctx.Err() != nil:
		return u, j.outOfTime(ctx), nil
	case errors.As(err, &refused) && refused.Decision == sched.Overloaded:
		return u, j.refuse(ReasonOverloaded, refused.After), nil
	case errors.As(err, &refused) && refused.Decision == sched.BudgetSpent:
		return u, j.refuse(ReasonBudgetSpent, turnedPause), nil
	}
	return u, nil, err
}

// seat is a slot at an upstream.
type seat struct {
	upstream table.Upstream
	slot     *sched.Slot
}

// ask asks the dealer for a slot, of one upstream or of any; in a hurry only for one that is free now.
func (j *job) ask(ctx context.Context, only uint32, hurry bool) (s seat, err error) {
	b := j.broker
	now := b.options.Clock()
	route := j.match.Route
	s.slot, err = b.office.Acquire(ctx, j.service, sched.SlotRequest{Upstream: only, Priority: route.Priority, Timeout: j.expires - now,
		Objective: max(route.Objective-(now-j.arrived), 0), DataCentre: b.options.DataCentre, Exclude: b.avoided(now, j), Retry: j.sends > 0, NoQueue: hurry})
	if err != nil {
		return seat{}, err
	}
	u, ok := b.options.Table.View().Upstream(s.slot.Upstream)
	if !ok {
		s.slot.Finish(sched.Result{Completion: sched.Abandoned})
		return seat{}, errors.New("the dealer knows an upstream that this host does not")
	}
	s.upstream = u
	return s, nil
}

// avoided returns the upstreams that must not be used for the request: those tried, those that leave, which the dealer may not
// know yet, and those this host cannot reach.
func (b *Broker) avoided(now time.Duration, j *job) []uint32 {
	list := slices.Clone(j.tried)
	for _, u := range b.options.Table.View().UpstreamsOf(j.service) {
		reachable, _ := b.stock.reachable(now, u)
		if (u.Leaving || !reachable) && !slices.Contains(list, u.Number) {
			list = append(list, u.Number)
		}
	}
	return list
}

// placeKeyed returns the owner of the request's key once it has a slot. A key on its way to another owner is still asked for
// at the old one, which turns it away once it has let go; then the request waits for the next owner.
func (j *job) placeKeyed(ctx context.Context) (u table.Upstream, refusal *serve.Response) {
	b := j.broker
	now := b.options.Clock()
	until := now + time.Duration(parkShare*float64(j.expires-now))
	for {
		view := b.options.Table.View()
		now = b.options.Clock()
		o := route.Owner(view, j.service, j.hash)
		switch {
		case o.Known && !b.stale.holds(now, j.service, o) && b.mayServe(now, o.Upstream):
			u, refusal, again := j.atOwner(ctx, o)
			if !again {
				return u, refusal
			}
		case now >= until:
			return u, j.refuse(ReasonNoOwner, noUpstreamPause/2)
		default:
			if refusal = j.park(ctx, view, until-now); refusal != nil {
				return u, refusal
			}
		}
		if ctx.Err() != nil {
			return u, j.outOfTime(ctx)
		}
	}
}

// mayServe reports whether an upstream may still be sent requests.
func (b *Broker) mayServe(now time.Duration, u table.Upstream) bool {
	return b.stock.mayServe(now, u, time.Duration(leaveMargin*float64(b.options.LeaveTime)))
}

// atOwner asks for a slot at the owner; again tells that the owner changed while the request waited.
func (j *job) atOwner(ctx context.Context, o route.Holder) (u table.Upstream, refusal *serve.Response, again bool) {
	b := j.broker
	now := b.options.Clock()
	if reachable, pause := b.stock.reachable(now, o.Upstream); !reachable {
		return u, j.refuse(ReasonNotReached, min(pause, j.expires-now)), false
	}
	if !j.counted {
		j.counted = true
		b.options.Observer.Arrived(j.service, o.Start, j.hash)
	}
	u, refusal, err := j.askDealer(ctx, o.Upstream.Number)
	if err != nil {
		j.holder = o
		return o.Upstream, nil, false
	}
	if refusal != nil {
		return u, refusal, false
	}
	current := route.Owner(b.options.Table.View(), j.service, j.hash)
	if current.Upstream.Number != u.Number || !b.mayServe(b.options.Clock(), current.Upstream) {
		j.release(sched.Result{Completion: sched.Abandoned})
		return u, nil, true
	}
	j.holder = o
	return u, nil, false
}

// park waits for news of the table.
func (j *job) park(ctx context.Context, view *table.View, most time.Duration) (refusal *serve.Response) {
	b := j.broker
	began := b.options.Clock()
	park, cancel := context.WithTimeout(ctx, min(most, parkPause))
	err := b.options.Table.Await(park, view.Version())
	cancel()
	j.waited += b.options.Clock() - began
	var full *route.ErrTooManyParked
	if errors.As(err, &full) {
		return j.refuse(ReasonOverloaded, noUpstreamPause/2)
	}
	return nil
}

// release gives the slot back, if a dealer gave one.
func (j *job) release(r sched.Result) {
	if j.slot != nil {
		j.slot.Finish(r)
		j.slot = nil
	}
}
