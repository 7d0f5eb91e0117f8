package broker

import (
	"context"
	"net/http"
	"slices"
	"strconv"
	"time"

	"github.com/pkg/errors"

	"ebonyrill.dev/ebonyrill/internal/entry/conns"
	"ebonyrill.dev/ebonyrill/internal/entry/retry"
	"ebonyrill.dev/ebonyrill/internal/entry/sched"
	"ebonyrill.dev/ebonyrill/internal/entry/serve"
	"ebonyrill.dev/ebonyrill/internal/shared/table"
)

// Times of tries.
const (
	firstTryShare = 0.55                  // part of the time left after which another upstream is looked for beside a first try
	leastTry      = 20 * time.Millisecond // less time left is not worth a try
)

// run tries until there is a final answer.
func (j *job) run(ctx context.Context) *serve.Response {
	defer j.giveBack()
	defer j.leaveNext()
	for {
		if ctx.Err() != nil {
			return j.outOfTime(ctx)
		}
		waiting, bounds := retry.Bound(ctx, 0, j.broker.mayWait)
		u, refusal := j.place(waiting)
		bounds.Cancel()
		if refusal != nil {
			return refusal
		}
		answer, again := j.try(ctx, u)
		if answer != nil || j.settled {
			return answer
		}
		if !again || !j.mayRepeat() {
			return j.giveUp(ctx)
		}
	}
}

// try sends the request to an upstream once. It returns the final answer, or whether another try may bring one.
func (j *job) try(ctx context.Context, u table.Upstream) (answer *serve.Response, again bool) {
	b := j.broker
	now := b.options.Clock()
	left := j.expires - now
	if left < leastTry {
		j.release(sched.Result{Completion: sched.Abandoned})
		return j.outOfTime(ctx), false
	}
	tryCtx, bounds := retry.Bound(ctx, 0, b.mayWork)
	b.stock.begin(now, u)
	j.upstream = u.Name
	j.sends++
	repeat := j.spent
	j.spent = false
	got, err := j.send(tryCtx, bounds, u, left)
	took := b.options.Clock() - now
	if err != nil {
		defer bounds.Cancel()
		j.spent = j.spent || repeat && isNotSent(err)
		return j.failed(ctx, u, took, err)
	}
	return j.answered(ctx, u, took, got, bounds.Cancel)
}

// giveBack takes back a repeat that was counted and not sent.
func (j *job) giveBack() {
	if j.spent {
		j.spent = false
		j.broker.repeats.giveBack(j.broker.options.Clock(), j.service)
	}
}

func isNotSent(err error) bool {
	var notSent *conns.ErrNotSent
	return errors.As(err, &notSent)
}

// call returns the request as it goes to the upstream.
func (j *job) call(u table.Upstream, left time.Duration) *conns.Call {
	d := j.broker.options.Headers
	header := j.header.Clone()
	header.Set(d.TimeLeft, strconv.FormatInt(left.Milliseconds(), 10))
	header.Set(d.Instance, u.Name)
	r := j.request.HTTP
	return &conns.Call{Key: connKey(u), Address: u.Address, Method: r.Method, Target: r.RequestURI, Host: r.Host, Header: header,
		Body: j.request.Body, IDHeader: d.RequestID, ID: j.id, Idempotent: j.idempotent(), BeforeSend: func() error { return j.depart(u) }}
}

// errWithdrawn is the cause where an upstream's time ran out while a connection to it was made.
var errWithdrawn = errors.New("the upstream leaves")

// depart reports whether the request may be sent now, and notes that it is.
func (j *job) depart(u table.Upstream) error {
	if err := j.fits(u); err != nil {
		return err
	}
	j.request.SetStage(serve.StageForwarded)
	return nil
}

// fits reports whether an upstream may still be sent the request; connecting to it may have taken a while.
func (j *job) fits(u table.Upstream) error {
	current, ok := j.broker.options.Table.View().Upstream(u.Number)
	if !ok || !j.broker.mayServe(j.broker.options.Clock(), current) {
		return errWithdrawn
	}
	return nil
}

func (j *job) idempotent() bool { return j.match.Route.Idempotent }

// failed takes in a try without an answer.
func (j *job) failed(ctx context.Context, u table.Upstream, took time.Duration, err error) (answer *serve.Response, again bool) {
	b := j.broker
	j.cause = err.Error()
	if isNotSent(err) {
		v := verdictNotReached
		if ctx.Err() != nil || errors.Is(err, errWithdrawn) || errors.Is(err, retry.ErrStopping) {
			v = verdictAbandoned
		}
		j.sends--
		j.request.SetStage(serve.StageWaiting)
		j.end(u, v, took, nil)
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
		j.end(u, verdictAbandoned, took, nil)
		return j.outOfTime(ctx), false
	case errors.Is(err, retry.ErrStopping):
		j.end(u, verdictAbandoned, took, nil)
		return j.refuse(ReasonStopping, stoppingPause), false
	case errors.Is(err, context.DeadlineExceeded) || errors.Is(err, errGaveWay):
		j.end(u, verdictFailed, took, nil)
		b.pool.CloseIdle(connKey(u))
	default:
		j.end(u, verdictFailed, took, nil)
	}
	return nil, j.idempotent()
}

// answered takes in an upstream's answer: the final one, or a sign that the request did not run or failed there.
func (j *job) answered(ctx context.Context, u table.Upstream, took time.Duration, got *conns.Response, cancel context.CancelFunc) (answer *serve.Response, again bool) {
	b := j.broker
	d := b.options.Headers
	j.attempts++
	j.cause = "answered " + strconv.Itoa(got.Status)
	load := j.reading(got)
	notRun := got.Header.Get(d.NotRun) != "" || got.Status == http.StatusMisdirectedRequest
	switch {
	case notRun:
		j.discard(got, cancel)
		j.request.SetStage(serve.StageWaiting)
		v := verdictTurnedAway
		if got.Status == http.StatusMisdirectedRequest {
			v = verdictAbandoned
			if j.keyed {
				b.stale.note(b.options.Clock(), j.service, j.holder)
			}
			j.attempts--
		}
		j.end(u, v, took, load)
		j.avoid(u)
		j.reason = ReasonTurnedAway
		return nil, true
	case !j.credible(got):
		j.discard(got, cancel)
		j.end(u, verdictFailed, took, load)
		j.avoid(u)
		j.mayRan, j.reason = true, ReasonUnanswered
		return nil, j.idempotent()
	case got.Status >= http.StatusInternalServerError && j.idempotent() && got.Rest == nil && j.attempts < j.match.Route.MaxAttempts:
		defer cancel()
		j.end(u, verdictFailed, took, load)
		j.mayRan, j.last, j.reason = true, got, ReasonUnanswered
		j.avoid(u)
		return nil, true
	}
	return j.final(ctx, u, took, load, got, cancel), false
}

// final returns an upstream's answer to the caller.
func (j *job) final(ctx context.Context, u table.Upstream, took time.Duration, load *reading, got *conns.Response, cancel context.CancelFunc) *serve.Response {
	v := verdictAnswered
	if got.Status >= http.StatusInternalServerError {
		v = verdictFailed
	}
	if got.Rest != nil {
		j.free(u, v, took, load)
		return j.stream(ctx, u, v, took, got, cancel)
	}
	defer cancel()
	j.end(u, v, took, load)
	return j.pass(got)
}

// credible reports whether an answer is the upstream's own: a success bears its proof and its body as it was made.
func (j *job) credible(got *conns.Response) bool {
	if got.Status >= 300 {
		return true
	}
	return got.Header.Get(j.broker.options.Headers.Proof) != "" && got.Header.Get("Content-Encoding") == ""
}

func (j *job) reading(got *conns.Response) *reading {
	running, waiting, slots, ok := j.broker.options.Headers.loadOf(got.Header)
	if !ok {
		return nil
	}
	return &reading{running: running, waiting: waiting, slots: slots}
}

func (j *job) discard(got *conns.Response, cancel context.CancelFunc) {
	if got.Finish != nil {
		got.Finish(false)
	}
	cancel()
}

// avoid keeps an upstream from being tried again for this request.
func (j *job) avoid(u table.Upstream) {
	if !slices.Contains(j.tried, u.Number) {
		j.tried = append(j.tried, u.Number)
	}
}

// end gives the slot back and takes in how the try went.
func (j *job) end(u table.Upstream, v verdict, took time.Duration, load *reading) {
	j.free(u, v, took, load)
	j.judge(u, v, took)
}

// free gives the slot back.
func (j *job) free(u table.Upstream, v verdict, took time.Duration, load *reading) {
	b := j.broker
	b.stock.end(b.options.Clock(), u, v, took, load)
	r := sched.Result{Completion: v.fate(), Took: took}
	if load != nil {
		r.Running, r.Waiting = load.running, load.waiting
	}
	j.release(r)
}

// judge tells how the try went.
func (j *job) judge(u table.Upstream, v verdict, took time.Duration) {
	b := j.broker
	if v == verdictAnswered || v == verdictFailed {
		b.options.Observer.Attempted(u.Number, v == verdictFailed, took)
	}
	if v != verdictAnswered {
		b.logTry(j, u, v, took)
	}
}

// mayRepeat reports whether the route allows another try. One that reached no upstream, or whose upstream does not hold the
// key, does not count; tries of that kind are bounded too.
func (j *job) mayRepeat() bool {
	return j.attempts < j.match.Route.MaxAttempts && len(j.tried) < maxTries+j.match.Route.MaxAttempts
}

// maxTries is how many upstreams that cannot be connected to, or do not hold the key, are passed over for one request.
const maxTries = 4

// Limits returns the limits on callers that are in force.
func (b *Broker) Limits() serve.Limits {
	l := b.options.Table.View().Items().Limits()
	return serve.Limits{HeaderBytes: l.MaxHeaderBytes, BodyBytes: l.MaxBodyBytes, HeaderTimeout: l.HeaderTimeout, IdleTimeout: l.IdleTimeout}
}
