package broker

import (
	"context"
	"net/http"
	"time"

	"github.com/pkg/errors"

	"ebonyrill.dev/ebonyrill/internal/entry/conns"
	"ebonyrill.dev/ebonyrill/internal/entry/retry"
	"ebonyrill.dev/ebonyrill/internal/entry/sched"
	"ebonyrill.dev/ebonyrill/internal/shared/table"
)

// Timing of the failover from a slow first attempt to another upstream.
const (
	lastFailoverShare = 0.8                    // share of the time left after which a second attempt would come too late
	failoverPause     = 150 * time.Millisecond // pause between searches; a slot becomes free in about this time
)

// errFailover is the cause of an attempt that was ended because another upstream has a slot for the request.
var errFailover = errors.New("no response within the first attempt's share of the time")

// exchangeResult is the result of sending a request once.
type exchangeResult struct {
	response *conns.Response
	err      error
}

// send sends the request and returns the response. A first attempt that may be retried is ended once its share of the time is over and
// another upstream has a free slot; without one it continues, as its upstream may still respond. The time bounds of the attempt apply
// until the response begins. The response, or the buffered start of one that is streamed, must be received before receiveCtx ends.
func (j *job) send(ctx context.Context, bounds *retry.Bounds, u table.Upstream, left time.Duration) (*conns.Response, error) {
	call := j.upstreamCall(u, left)
	begun, markBegun := context.WithCancel(ctx)
	disarm := func() bool { return false }
	call.OnHeader = func(status int, header http.Header) {
		j.broker.readNotice(j.id, u, status, header)
		j.broker.readCold(j.id, u, header)
		if bounds.Disarm() {
			disarm = context.AfterFunc(j.broker.receiveCtx, func() { bounds.End(retry.ErrStopping) })
		}
		markBegun()
	}
	exchange := func() exchangeResult {
		defer markBegun()
		resp, err := j.broker.pool.Do(ctx, call)
		return exchangeResult{response: resp, err: err}
	}
	r := j.exchangeOrFailOver(begun, bounds, u, left, exchange)
	if inTime := disarm(); r.err == nil && r.response.Rest != nil && (!inTime || ctx.Err() != nil) {
		r.response.Finish(false)
		bounds.End(retry.ErrStopping)
		return nil, &conns.ErrNoResponse{Cause: context.Cause(ctx)}
	}
	return r.response, r.err
}

// exchangeOrFailOver runs the exchange of an attempt. During a first attempt that may be retried it searches for another upstream and
// ends the attempt when it finds one.
func (j *job) exchangeOrFailOver(begun context.Context, bounds *retry.Bounds, u table.Upstream, left time.Duration, exchange func() exchangeResult) exchangeResult {
	wait := j.firstAttemptTime(left)
	if wait == 0 {
		return exchange()
	}
	result := make(chan exchangeResult, 1)
	go func() { result <- exchange() }()
	if j.awaitAlternative(begun, u, wait, left) {
		bounds.End(errFailover)
	}
	return <-result
}

// firstAttemptTime returns how long a first attempt runs before a failover is considered, or zero if the attempt must not be ended for
// another one.
func (j *job) firstAttemptTime(left time.Duration) time.Duration {
	if !j.idempotent() || j.keyed || j.attempts > 0 || j.match.Route.MaxAttempts < 2 {
		return 0
	}
	return max(time.Duration(firstAttemptShare*float64(left)), j.match.Route.Objective)
}

// awaitAlternative waits for the given time and then searches for another upstream with a free slot, repeatedly while there is enough
// time for a second attempt. The context ends with the attempt or when its response begins, which ends the search.
func (j *job) awaitAlternative(ctx context.Context, u table.Upstream, wait, left time.Duration) (found bool) {
	last := j.broker.options.Clock() + time.Duration(lastFailoverShare*float64(left))
	for pause := wait; j.broker.options.Clock()+pause <= last; pause = failoverPause {
		select {
		case <-ctx.Done():
			return false
		case <-time.After(pause):
		}
		if j.reserveAlternative(ctx, u) {
			return ctx.Err() == nil
		}
	}
	return false
}

// reserveAlternative reserves a free slot at another upstream while an attempt is in progress. It reports false, and the attempt
// continues, if the retry budget is spent, if no scheduler grants a slot, because only a granted slot is certain to be free, or if the
// host is stopping, because that leaves no time for a second attempt.
func (j *job) reserveAlternative(ctx context.Context, u table.Upstream) bool {
	if j.broker.isStopping() || !j.withinBudget() {
		return false
	}
	j.exclude(u)
	r, err := j.requestSlot(ctx, 0, true)
	if err == nil {
		j.reserved = &r
	}
	if err == nil && !j.broker.isStopping() {
		return true
	}
	j.releaseReserved()
	j.refundRetry()
	return false
}

// releaseReserved releases a slot that was reserved for a second attempt and is not needed.
func (j *job) releaseReserved() {
	if j.reserved != nil {
		j.reserved.slot.Finish(sched.Result{Completion: sched.Abandoned})
	}
	j.reserved = nil
}
