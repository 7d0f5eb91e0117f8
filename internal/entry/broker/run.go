package broker

import (
	"context"
	"net/http"
	"slices"
	"strconv"
	"time"

	"github.com/pkg/errors"

	"ebonyrill.dev/ebonyrill/internal/entry/conns"
	"ebonyrill.dev/ebonyrill/internal/entry/route"
	"ebonyrill.dev/ebonyrill/internal/entry/serve"
	"ebonyrill.dev/ebonyrill/internal/shared/items"
	"ebonyrill.dev/ebonyrill/internal/shared/table"
)

// Times of tries.
const (
	firstTryShare = 0.55                  // part of the time left after which a first try that may be repeated gives way
	leastTry      = 20 * time.Millisecond // less time left is not worth a try
	ownerPause    = 60 * time.Millisecond // pause before an owner that turned a key away is asked again without news
	parkShare     = 0.6                   // part of the time left for which a key without owner is waited for
)

// run tries until there is a final answer.
func (j *job) run(ctx context.Context) *serve.Answer {
	for {
		if ctx.Err() != nil {
			return j.outOfTime(ctx)
		}
		u, refusal := j.place(ctx)
		if refusal != nil {
			return refusal
		}
		answer, again := j.try(ctx, u)
		if answer != nil {
			return answer
		}
		if !again || !j.mayRepeat() {
			return j.giveUp(ctx)
		}
	}
}

// place returns the upstream for the next try, or the refusal where there is none.
func (j *job) place(ctx context.Context) (u table.Upstream, refusal *serve.Answer) {
	if j.keyed {
		return j.placeKeyed(ctx)
	}
	b := j.broker
	now := b.options.Clock()
	u, ok := b.stock.choose(now, b.options.Table.View(), j.service, b.options.DataCentre, j.tried)
	if !ok {
		return u, j.refuse(ReasonNoUpstream, noUpstreamPause)
	}
	return u, nil
}

// placeKeyed returns the owner of the request's key. A key on its way to another owner is still asked for at the old one,
// which turns it away once it has let go; then the request waits for the next owner.
func (j *job) placeKeyed(ctx context.Context) (u table.Upstream, refusal *serve.Answer) {
	b := j.broker
	until := b.options.Clock() + time.Duration(parkShare*float64(j.expires-b.options.Clock()))
	for {
		view := b.options.Table.View()
		now := b.options.Clock()
		owner, start, ok := route.Owner(view, j.service, j.hash)
		if ok && !slices.Contains(j.tried, owner.Number) && b.stock.mayServe(now, owner, b.options.LeaveTime) {
			reachable, again := b.stock.reachable(now, owner)
			if reachable || j.expires-now < again {
				b.options.Observer.Arrived(j.service, start, j.hash)
				return owner, nil
			}
			return u, j.refuse(ReasonNotReached, again)
		}
		if now >= until {
			return u, j.refuse(ReasonNoOwner, noUpstreamPause/2)
		}
		began := now
		park, cancel := context.WithTimeout(ctx, min(until-now, ownerPause))
		err := b.options.Table.Await(park, view.Version())
		cancel()
		j.waited += b.options.Clock() - began
		if _, full := err.(*route.ErrParkedFull); full {
			return u, j.refuse(ReasonOverloaded, noUpstreamPause/2)
		}
		if err != nil && ctx.Err() == nil && len(j.tried) > 0 {
			j.tried = nil // the owner may have taken the key meanwhile
		}
	}
}

// try sends the request to an upstream once. It returns the final answer, or whether another try may bring one.
func (j *job) try(ctx context.Context, u table.Upstream) (answer *serve.Answer, again bool) {
	b := j.broker
	now := b.options.Clock()
	left := j.expires - now
	if left < leastTry {
		return j.outOfTime(ctx), false
	}
	tryCtx, cancel := ctx, context.CancelFunc(func() {})
	if j.idempotent() && !j.keyed && j.attempts == 0 && j.match.Route.MaxAttempts > 1 {
		tryCtx, cancel = context.WithTimeout(ctx, time.Duration(firstTryShare*float64(left)))
	}
	b.stock.begin(now, u)
	j.upstream = u.Name
	got, err := b.pool.Do(tryCtx, j.call(u, left))
	took := b.options.Clock() - now
	if err != nil {
		defer cancel()
		return j.failed(ctx, u, took, err)
	}
	return j.answered(u, took, got, cancel)
}

// call returns the request as it goes to the upstream.
func (j *job) call(u table.Upstream, left time.Duration) *conns.Call {
	d := j.broker.options.Dialect
	header := j.header.Clone()
	header.Set(d.TimeLeft, strconv.FormatInt(left.Milliseconds(), 10))
	header.Set(d.Instance, u.Name)
	r := j.request.HTTP
	return &conns.Call{Key: connKey(u), Address: u.Address, Method: r.Method, Target: r.RequestURI, Host: r.Host, Header: header,
		Body: j.request.Body, IDHeader: d.RequestID, ID: j.id, Idempotent: j.idempotent()}
}

func (j *job) idempotent() bool { return j.match.Route.Idempotent }

// failed takes in a try without an answer.
func (j *job) failed(ctx context.Context, u table.Upstream, took time.Duration, err error) (answer *serve.Answer, again bool) {
	b := j.broker
	now := b.options.Clock()
	var notSent *conns.ErrNotSent
	if errors.As(err, &notSent) {
		v := verdictNotReached
		if ctx.Err() != nil {
			v = verdictAbandoned
		}
		b.stock.end(now, u, v, took, nil)
		j.avoid(u)
		j.reason = ReasonNotReached
		return nil, true
	}
	j.attempts++
	j.mayRan = true
	j.reason = ReasonUnanswered
	j.avoid(u)
	switch {
	case ctx.Err() == context.Canceled:
		b.stock.end(now, u, verdictAbandoned, took, nil)
		return j.outOfTime(ctx), false
	case errors.Is(err, context.DeadlineExceeded):
		b.stock.end(now, u, verdictFailed, took, nil)
		b.pool.Forget(connKey(u))
	default:
		b.stock.end(now, u, verdictFailed, took, nil)
	}
	return nil, j.idempotent()
}

// answered takes in an upstream's answer: the final one, or a sign that the request did not run or failed there.
func (j *job) answered(u table.Upstream, took time.Duration, got *conns.Answer, cancel context.CancelFunc) (answer *serve.Answer, again bool) {
	b := j.broker
	d := b.options.Dialect
	j.attempts++
	now := b.options.Clock()
	load := j.reading(got)
	notRun := got.Header.Get(d.NotRun) != "" || got.Status == http.StatusMisdirectedRequest
	switch {
	case notRun:
		j.discard(got, cancel)
		v := verdictTurnedAway
		if got.Status == http.StatusMisdirectedRequest {
			v = verdictAbandoned
		}
		b.stock.end(now, u, v, took, load)
		j.avoid(u)
		j.reason = ReasonTurnedAway
		return nil, true
	case !j.credible(got):
		j.discard(got, cancel)
		b.stock.end(now, u, verdictFailed, took, load)
		j.avoid(u)
		j.mayRan, j.reason = true, ReasonUnanswered
		return nil, j.idempotent()
	case got.Status >= http.StatusInternalServerError:
		b.stock.end(now, u, verdictFailed, took, load)
		if j.idempotent() && got.Rest == nil && j.attempts < j.match.Route.MaxAttempts {
			defer cancel()
			j.mayRan, j.last, j.reason = true, got, ReasonUnanswered
			j.avoid(u)
			return nil, true
		}
		return j.pass(got, cancel), false
	}
	b.stock.end(now, u, verdictAnswered, took, load)
	return j.pass(got, cancel), false
}

// credible reports whether an answer is the upstream's own: a success bears its proof and its body as it was made.
func (j *job) credible(got *conns.Answer) bool {
	if got.Status >= 300 {
		return true
	}
	return got.Header.Get(j.broker.options.Dialect.Proof) != "" && got.Header.Get("Content-Encoding") == ""
}

func (j *job) reading(got *conns.Answer) *reading {
	running, waiting, slots, ok := j.broker.options.Dialect.loadOf(got.Header)
	if !ok {
		return nil
	}
	return &reading{running: running, waiting: waiting, slots: slots}
}

func (j *job) discard(got *conns.Answer, cancel context.CancelFunc) {
	if got.End != nil {
		got.End(false)
	}
	cancel()
}

// avoid keeps an upstream from being tried again for this request.
func (j *job) avoid(u table.Upstream) { j.tried = append(j.tried, u.Number) }

// mayRepeat reports whether another try is allowed, by the route and by the budget, and counts it. A try that reached no
// upstream is free.
func (j *job) mayRepeat() bool {
	if j.attempts == 0 {
		return len(j.tried) < maxUnreached
	}
	if j.attempts >= j.match.Route.MaxAttempts {
		return false
	}
	b := j.broker
	if !b.budgetOf(j.service).spend(b.options.Clock(), max(len(b.options.Table.View().Entries()), 1)) {
		j.reason = ReasonBudgetSpent
		return false
	}
	return true
}

// maxUnreached is how many upstreams that cannot be connected to are passed over for one request.
const maxUnreached = 4

// limitsOf returns the limits on callers that are in force.
func limitsOf(l items.Limits) serve.Limits {
	return serve.Limits{HeaderBytes: l.MaxHeaderBytes, BodyBytes: l.MaxBodyBytes, HeaderTimeout: l.HeaderTimeout, IdleTimeout: l.IdleTimeout}
}

// Limits returns the limits on callers that are in force.
func (b *Broker) Limits() serve.Limits { return limitsOf(b.options.Table.View().Items().Limits()) }
