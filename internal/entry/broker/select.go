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
	"ebonyrill.dev/ebonyrill/internal/shared/items"
	"ebonyrill.dev/ebonyrill/internal/shared/table"
)

// Timing of the selection of an upstream.
const (
	ownerWaitShare  = 0.6                   // share of the time left for which a request waits for an owner of its key, or for a configuration
	ownerPollPeriod = 60 * time.Millisecond // pause between checks for an owner while the table does not change
	remoteDelay     = 60 * time.Millisecond // longest additional wait in the own data centre; an eighth of the shortest objectives
	leaveMargin     = 0.7                   // share of the leave time in which a draining upstream is sent requests; the rest covers propagation delays
)

// newSchedulerNode returns this host's endpoint of the slot scheduling protocol. It requests slots from the hosts that run the
// schedulers of a service, and runs schedulers for the subsets for which hosts ask this one.
func (b *Broker) newSchedulerNode() *sched.Node {
	remote := time.Duration(0)
	if b.options.Link != nil { // bytes count on a host that states its link
		remote = remoteDelay
	}
	return sched.New(sched.Options{RemoteDelay: remote,
		Self: sched.Host{Name: b.options.Host, Address: b.options.Address, DataCentre: b.options.DataCentre}, Clock: b.options.Clock,
		Retries: b.options.Retries, Hosts: b.schedulerHosts, Upstreams: b.schedulerUpstreams, CanSchedule: b.options.ControlReachable,
		OnUnresponsive: func(service, scheduler string, unresponsive bool) {
			b.options.Log.Write(events.SchedulerSkipped, zap.String("service", service), zap.String("dealer", scheduler), zap.Bool("silent", unresponsive))
		},
		OnEvicted: func(service string, e sched.Eviction) {
			b.options.Log.Write(events.WaitingEvicted, zap.String("service", service), zap.Uint32("route", e.Route), zap.Int("priority", e.Priority),
				zap.Float64("value", e.Value), zap.Float64("work", e.Work.Seconds()), zap.Float64("wait", e.Wait.Seconds()))
		}})
}

// schedulerHosts returns the entry hosts, which divide the scheduling of services among them.
func (b *Broker) schedulerHosts() []sched.Host {
	return sched.HostsOf(b.options.Table.View().Entries())
}

// schedulerUpstreams returns the upstreams of a service in the form that the scheduler needs.
func (b *Broker) schedulerUpstreams(service string) []sched.Upstream {
	view := b.options.Table.View()
	return closeEvacuated(view, b.upstreams.describe(b.options.Clock(), view.UpstreamsOf(service), b.coldLimit(service)))
}

// selectUpstream returns the upstream for the next attempt, or the response to send if there is none.
func (j *job) selectUpstream(ctx context.Context) (u table.Upstream, rejection *serve.Response) {
	before := j.broker.options.Table.View()
	if r := j.reserved; r != nil && !before.Evacuated(r.upstream.DataCentre) {
		j.reserved, j.slot = nil, r.slot
		return r.upstream, nil
	}
	j.releaseReserved()
	switch {
	case ctx.Err() != nil:
		return u, j.endedResponse(ctx)
	case before.AllEvacuated(j.service):
		return u, j.reject(ReasonOutOfService, noUpstreamRetryAfter)
	case j.outlastsStop():
		return u, j.reject(ReasonStopping, stoppingRetryAfter)
	case !j.withinBudget():
		return u, j.reject(ReasonBudgetSpent, rejectedRetryAfter)
	}
	if j.keyed {
		return j.selectOwner(ctx)
	}
	u, rejection, err := j.acquireSlot(ctx, 0)
	if err == nil {
		return u, rejection
	}
	if j.broker.evacuationsChanged(before) {
		return j.selectUpstream(ctx)
	}
	b := j.broker
	now, view := b.options.Clock(), b.options.Table.View()
	u, wait, ok := j.chooseUnscheduled(now, view)
	if ok {
		return u, nil
	}
	if wait > 0 {
		return u, j.reject(ReasonOverloaded, wait)
	}
	pause := b.upstreams.pauseOf(now, view, j.service)
	if left := b.upstreams.soonestWarm(now, view, j.service); pause == 0 && left > 0 {
		return u, j.rejectCold(left)
	}
	if pause == 0 {
		return u, j.reject(ReasonNoUpstream, noUpstreamRetryAfter)
	}
	if rejection = j.awaitPause(ctx, pause); rejection != nil {
		return u, rejection
	}
	return j.selectUpstream(ctx)
}

// awaitPause waits until the upstreams of the request want requests again. It returns a response at once if that takes too long.
func (j *job) awaitPause(ctx context.Context, pause time.Duration) (rejection *serve.Response) {
	began := j.broker.options.Clock()
	if pause > time.Duration(pauseWaitShare*float64(j.expires-began)) {
		return j.reject(ReasonPaused, spreadReturn(pause))
	}
	timer := time.NewTimer(pause)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
	j.waited += j.broker.options.Clock() - began
	return nil
}

// withinBudget reports whether the retry budget allows the request to be sent, and counts a retry if the request was sent before.
func (j *job) withinBudget() bool {
	b := j.broker
	if j.sends > 0 && !j.retryTaken {
		j.retryTaken = b.retries.spend(b.options.Clock(), j.service, len(b.options.Table.View().Entries()))
		return j.retryTaken
	}
	return true
}

// acquireSlot requests a slot from the scheduler, at the upstream with the number only or, if that is zero, at any. It returns an error
// if the scheduler neither granted a slot nor rejected the request; this host then selects an upstream by itself.
func (j *job) acquireSlot(ctx context.Context, number uint32) (u table.Upstream, rejection *serve.Response, err error) {
	b := j.broker
	began := b.options.Clock()
	r, err := j.requestSlot(ctx, number, false)
	j.waited += b.options.Clock() - began
	var rejected *sched.ErrRejected
	switch {
	case err == nil:
		j.slot = r.slot
		return r.upstream, nil, nil
	case ctx.Err() != nil:
		return u, j.endedResponse(ctx), nil
	case errors.As(err, &rejected) && rejected.Decision == sched.Overloaded:
		return u, j.reject(ReasonOverloaded, rejected.After), nil
	case errors.As(err, &rejected) && rejected.Decision == sched.BudgetSpent:
		return u, j.reject(ReasonBudgetSpent, rejectedRetryAfter), nil
	}
	return u, nil, err
}

// reservation is a slot that the scheduler granted, with its upstream.
type reservation struct {
	upstream table.Upstream
	slot     *sched.Slot
}

// requestSlot requests a slot from the scheduler, at the upstream with the number only or, if that is zero, at any. With noQueue the
// request is not queued: only a slot that is free now is granted.
func (j *job) requestSlot(ctx context.Context, number uint32, noQueue bool) (r reservation, err error) {
	b := j.broker
	now := b.options.Clock()
	route := j.match.Route
	r.slot, err = b.schedulerNode.Acquire(ctx, j.service, sched.SlotRequest{Upstream: number, Priority: route.Priority, Timeout: j.expires - now,
		Objective: max(route.Objective-(now-j.arrived), 0), DataCentre: b.options.DataCentre, Exclude: b.excludedFor(now, j), Retry: j.sends > 0, NoQueue: noQueue,
		Route: routeID(j.match)})
	if err != nil {
		return reservation{}, err
	}
	view := b.options.Table.View()
	u, ok := view.Upstream(r.slot.Upstream)
	if !ok || view.Evacuated(u.DataCentre) {
		r.slot.Finish(sched.Result{Completion: sched.Abandoned})
		return reservation{}, errors.New("scheduler granted a slot at an upstream that is not in this host's table or is out of service")
	}
	r.upstream = u
	return r, nil
}

// routeID returns the identifier by which the scheduler orders a route's requests, or zero if the route states no objective.
func routeID(m items.Match) uint32 {
	if m.Route.Objective <= 0 {
		return 0
	}
	return sched.RouteID(m.Name)
}

// excludedFor returns the upstreams that must not be used for a request: those that were tried already, those that leave or pause
// or are out of service, which the scheduler may not know yet, and those that this host cannot connect to.
func (b *Broker) excludedFor(now time.Duration, j *job) []uint32 {
	list := slices.Clone(j.excluded)
	unusable := append(b.upstreams.unusable(now, j.service), b.options.Table.View().EvacuatedOf(j.service)...)
	for _, number := range unusable {
		if !slices.Contains(list, number) {
			list = append(list, number)
		}
	}
	return list
}

// selectOwner acquires a slot at the owner of the request's key and returns the owner. While the key moves to another owner, requests
// still go to the old one, which rejects them once it has released the slice; then they wait for the next owner.
func (j *job) selectOwner(ctx context.Context) (u table.Upstream, rejection *serve.Response) {
	b := j.broker
	now := b.options.Clock()
	until := now + time.Duration(ownerWaitShare*float64(j.expires-now))
	for {
		view := b.options.Table.View()
		now = b.options.Clock()
		o := route.Owner(view, j.service, j.hash)
		switch {
		case view.AllEvacuated(j.service):
			return u, j.reject(ReasonOutOfService, noUpstreamRetryAfter)
		case o.Known && !b.staleOwners.skip(now, j.service, o) && b.mayServe(now, o.Upstream):
			if pause := b.upstreams.notices.pause(now, o.Upstream); pause > 0 {
				if rejection = j.awaitPause(ctx, pause); rejection != nil {
					return u, rejection
				}
				break
			}
			u, rejection, again := j.acquireAtOwner(ctx, o)
			if !again {
				return u, rejection
			}
		case now >= until:
			return u, j.reject(ReasonNoOwner, noUpstreamRetryAfter/2)
		default:
			if rejection = j.awaitTable(ctx, view, until-now); rejection != nil {
				return u, rejection
			}
		}
		if ctx.Err() != nil {
			return u, j.endedResponse(ctx)
		}
	}
}

// mayServe reports whether an upstream may still be sent requests, which ends some time after it began to drain, or at once when its data
// centre is taken out of service.
func (b *Broker) mayServe(now time.Duration, u table.Upstream) bool {
	return !b.options.Table.View().Evacuated(u.DataCentre) && b.upstreams.mayServe(now, u, b.leaveTime())
}

// leaveTime is how long an upstream is still sent requests after this host learned that it leaves. The time for which they wait on
// this host's link is not available.
func (b *Broker) leaveTime() time.Duration {
	return time.Duration(leaveMargin*float64(b.options.LeaveTime)) - b.linkDelay()
}

// acquireAtOwner acquires a slot at the owner. It returns again as true if the owner changed while the request waited.
func (j *job) acquireAtOwner(ctx context.Context, o route.Holder) (u table.Upstream, rejection *serve.Response, again bool) {
	b := j.broker
	now := b.options.Clock()
	if reachable, pause := b.upstreams.reachable(now, o.Upstream); !reachable {
		return u, j.reject(ReasonNotReached, min(pause, j.expires-now)), false
	}
	if !j.arrivalCounted {
		j.arrivalCounted = true
		b.options.Observer.Arrived(j.service, o.Start, j.hash)
	}
	u, rejection, err := j.acquireSlot(ctx, o.Upstream.Number)
	if err != nil && b.options.Table.View().Evacuated(o.Upstream.DataCentre) {
		return u, nil, true
	}
	if left := b.coldLeft(b.options.Clock(), o.Upstream); err != nil && left > 0 {
		return u, j.rejectCold(left), false
	}
	if err != nil {
		if wait := j.takeWindow(o.Upstream); wait > 0 {
			return u, j.reject(ReasonOverloaded, wait), false
		}
		j.owner = o
		return o.Upstream, nil, false
	}
	if rejection != nil {
		return u, rejection, false
	}
	current := route.Owner(b.options.Table.View(), j.service, j.hash)
	if current.Upstream.Number != u.Number || !b.mayServe(b.options.Clock(), current.Upstream) {
		j.finishSlot(sched.Result{Completion: sched.Abandoned})
		return u, nil, true
	}
	j.owner = o
	return u, nil, false
}

// awaitTable waits until the table is newer than the view, for maxWait or ownerPollPeriod, whichever is shorter. It returns a response
// if too many requests are waiting already.
func (j *job) awaitTable(ctx context.Context, view *table.View, maxWait time.Duration) (rejection *serve.Response) {
	b := j.broker
	began := b.options.Clock()
	waitCtx, cancel := context.WithTimeout(ctx, min(maxWait, ownerPollPeriod))
	err := b.options.Table.Await(waitCtx, view.Version())
	cancel()
	j.waited += b.options.Clock() - began
	var tooMany *route.ErrTooManyParked
	if errors.As(err, &tooMany) {
		return j.reject(ReasonOverloaded, noUpstreamRetryAfter/2)
	}
	return nil
}

// finishSlot releases the slot with the result of the attempt, if a scheduler granted one, and otherwise the request's part of the window.
func (j *job) finishSlot(r sched.Result) {
	j.releaseWindow(r.Completion)
	if j.slot != nil {
		j.slot.Finish(r)
		j.slot = nil
	}
}
