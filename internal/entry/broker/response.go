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
	"ebonyrill.dev/ebonyrill/internal/entry/route"
	"ebonyrill.dev/ebonyrill/internal/entry/serve"
)

// upstreamHeader returns the header fields of a request that are forwarded to the upstream, without those that the broker sets itself.
func upstreamHeader(h http.Header, names HeaderNames) http.Header {
	next := endToEndHeader(h)
	delete(next, http.CanonicalHeaderKey(names.TimeLeft))
	delete(next, http.CanonicalHeaderKey(names.Instance))
	return next
}

// endToEndHeader returns a copy of a header without hop-by-hop fields and without fields that are set anew for each connection.
func endToEndHeader(h http.Header) http.Header {
	next := h.Clone()
	relay.RemoveHopByHop(next, "Content-Length", "Expect")
	return next
}

// callerResponse converts an upstream's response to the one that is sent to the caller.
func (j *job) callerResponse(got *conns.Response) *serve.Response {
	header := endToEndHeader(got.Header)
	header.Del(j.broker.options.Headers.Load)
	return &serve.Response{Status: got.Status, Header: header, Body: got.Body, Rest: got.Rest, Length: got.Length}
}

// isRejection reports whether a status tells callers that the request did not run and will not run.
func isRejection(status int) bool {
	switch status {
	case http.StatusRequestTimeout, http.StatusMisdirectedRequest, http.StatusTooManyRequests, http.StatusServiceUnavailable:
		return true
	}
	return false
}

// passOn records the request as answered and returns the upstream's response, which has been read completely. A response whose status
// is that of a rejection is replaced, because the upstream may have run the request and the caller would send it again.
func (j *job) passOn(got *conns.Response) *serve.Response {
	if isRejection(got.Status) {
		j.complete(http.StatusBadGateway, relay.Unknown, ReasonAmbiguous)
		return serve.Text(http.StatusBadGateway, "the request may have run: the upstream responded with status "+strconv.Itoa(got.Status))
	}
	j.complete(got.Status, relay.Done, ReasonAnswered)
	return j.callerResponse(got)
}

// reject returns the response to a request that has not run and will not run. retryAfter is the Retry-After time. If an earlier attempt
// may have run, it returns the response for an unknown outcome instead.
func (j *job) reject(reason Reason, retryAfter time.Duration) *serve.Response {
	if j.mayHaveRun {
		return j.unknownOutcome(reason)
	}
	j.complete(http.StatusServiceUnavailable, relay.NotRun, reason)
	resp := serve.Text(http.StatusServiceUnavailable, "not run: "+string(reason))
	resp.Header.Set("Retry-After", strconv.FormatFloat(max(retryAfter, time.Millisecond).Seconds(), 'f', 3, 64))
	return resp
}

// unknownOutcome returns the response to a request that may have run: the last response of an upstream if there is one.
func (j *job) unknownOutcome(reason Reason) *serve.Response {
	if j.lastResponse != nil {
		return j.passOn(j.lastResponse)
	}
	j.complete(http.StatusBadGateway, relay.Unknown, reason)
	return serve.Text(http.StatusBadGateway, "no answer came from the upstream: "+string(reason))
}

// clientError returns the response to a request that is not forwarded because the request itself is wrong.
func (j *job) clientError(status int, reason Reason) *serve.Response {
	j.complete(status, relay.NotRun, reason)
	return serve.Text(status, string(reason))
}

// endedResponse returns the response after the context has ended: the deadline of the caller or the route has passed, the host stops, or
// the caller has disconnected. In the last case there is no response.
func (j *job) endedResponse(ctx context.Context) *serve.Response {
	if errors.Is(context.Cause(ctx), retry.ErrStopping) {
		return j.reject(ReasonStopping, stoppingRetryAfter)
	}
	if ctx.Err() == context.Canceled {
		j.complete(0, relay.Unknown, ReasonCallerGone)
		return nil
	}
	if !j.mayHaveRun {
		return j.reject(ReasonTimeout, rejectedRetryAfter)
	}
	if j.lastResponse != nil {
		return j.passOn(j.lastResponse)
	}
	j.complete(http.StatusGatewayTimeout, relay.Unknown, ReasonTimeout)
	return serve.Text(http.StatusGatewayTimeout, "the upstream did not answer in time")
}

// giveUp returns the response when no further attempt is allowed.
func (j *job) giveUp(ctx context.Context) *serve.Response {
	if ctx.Err() != nil {
		return j.endedResponse(ctx)
	}
	if pause := j.pauseLeft(); pause > 0 {
		return j.reject(ReasonPaused, spreadReturn(pause))
	}
	return j.reject(j.reason, rejectedRetryAfter)
}

// pauseLeft returns how long the upstreams that could run the request still pause, or zero if one of them does not.
func (j *job) pauseLeft() time.Duration {
	b := j.broker
	now, view := b.options.Clock(), b.options.Table.View()
	if j.keyed {
		return b.upstreams.notices.pause(now, route.Owner(view, j.service, j.hash).Upstream)
	}
	return b.upstreams.pauseOf(now, view, j.service)
}

// complete records the final response for the observer and the log.
func (j *job) complete(status int, outcome relay.Outcome, reason Reason) {
	b := j.broker
	j.completed = true
	r := Record{ID: j.id, Route: j.match.Name, Service: j.service, Upstream: j.upstream, Attempts: j.attempts, Status: status,
		Outcome: outcome, Reason: reason, Took: b.options.Clock() - j.arrived, Waited: j.waited, Version: b.options.Table.View().Version()}
	if j.match.Route != nil {
		r.Priority, r.Objective = j.match.Route.Priority, j.match.Route.Objective
	}
	b.options.Observer.Completed(r)
	b.logRecord(r)
}
