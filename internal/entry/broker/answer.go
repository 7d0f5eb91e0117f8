package broker

import (
	"context"
	"net/http"
	"strconv"
	"time"

	"github.com/pkg/errors"

	"ebonyrill.dev/ebonyrill/internal/entry/conns"
	"ebonyrill.dev/ebonyrill/internal/entry/relay"
	"ebonyrill.dev/ebonyrill/internal/entry/retry"
	"ebonyrill.dev/ebonyrill/internal/entry/serve"
)

// forwarded returns the headers of a request that go on to the upstream, less those that the broker sets itself.
func forwarded(h http.Header, d HeaderNames) http.Header {
	next := withoutHops(h)
	delete(next, http.CanonicalHeaderKey(d.TimeLeft))
	delete(next, http.CanonicalHeaderKey(d.Instance))
	return next
}

// withoutHops returns a copy of a header without what concerns one connection, or is made anew for each.
func withoutHops(h http.Header) http.Header {
	next := h.Clone()
	relay.RemoveHopByHop(next, "Content-Length", "Expect")
	return next
}

// answerOf returns an upstream's answer as the caller gets it.
func (j *job) answerOf(got *conns.Response) *serve.Response {
	header := withoutHops(got.Header)
	header.Del(j.broker.options.Headers.Load)
	return &serve.Response{Status: got.Status, Header: header, Body: got.Body, Rest: got.Rest, Length: got.Length}
}

// pass returns an upstream's whole answer.
func (j *job) pass(got *conns.Response) *serve.Response {
	j.settle(got.Status, relay.Done, ReasonAnswered)
	return j.answerOf(got)
}

// refuse returns the answer to a request that has not run and will not run; pause is when another try makes sense. Where an
// earlier try may have run nothing is promised.
func (j *job) refuse(reason Reason, pause time.Duration) *serve.Response {
	if j.mayRan {
		return j.unknown(reason)
	}
	j.settle(http.StatusServiceUnavailable, relay.NotRun, reason)
	a := serve.Text(http.StatusServiceUnavailable, "not run: "+string(reason))
	a.Header.Set("Retry-After", strconv.FormatFloat(max(pause, time.Millisecond).Seconds(), 'f', 3, 64))
	return a
}

// unknown returns the answer to a request that may have run.
func (j *job) unknown(reason Reason) *serve.Response {
	if j.last != nil {
		return j.pass(j.last)
	}
	j.settle(http.StatusBadGateway, relay.Unknown, reason)
	return serve.Text(http.StatusBadGateway, "no answer came from the upstream: "+string(reason))
}

// fail returns an answer to a request that is not forwarded.
func (j *job) fail(status int, reason Reason) *serve.Response {
	j.settle(status, relay.NotRun, reason)
	return serve.Text(status, string(reason))
}

// outOfTime returns the answer once the caller's time or the route's is over, or the caller has gone.
func (j *job) outOfTime(ctx context.Context) *serve.Response {
	if errors.Is(context.Cause(ctx), retry.ErrStopping) {
		return j.refuse(ReasonStopping, stoppingPause)
	}
	if ctx.Err() == context.Canceled {
		j.settle(0, relay.Unknown, ReasonCallerGone)
		return nil
	}
	if !j.mayRan {
		return j.refuse(ReasonTimeout, turnedPause)
	}
	if j.last != nil {
		return j.pass(j.last)
	}
	j.settle(http.StatusGatewayTimeout, relay.Unknown, ReasonTimeout)
	return serve.Text(http.StatusGatewayTimeout, "the upstream did not answer in time")
}

// giveUp returns the answer once no further try is allowed.
func (j *job) giveUp(ctx context.Context) *serve.Response {
	if ctx.Err() != nil {
		return j.outOfTime(ctx)
	}
	return j.refuse(j.reason, turnedPause)
}

// settle notes the final answer.
func (j *job) settle(status int, o relay.Outcome, reason Reason) {
	b := j.broker
	j.settled = true
	r := Record{ID: j.id, Route: j.match.Name, Service: j.service, Upstream: j.upstream, Attempts: j.attempts, Status: status,
		Outcome: o, Reason: reason, Took: b.options.Clock() - j.arrived, Waited: j.waited, Version: b.options.Table.View().Version()}
	if j.match.Route != nil {
		r.Priority, r.Objective = j.match.Route.Priority, j.match.Route.Objective
	}
	b.options.Observer.Completed(r)
	b.logRecord(r)
}
