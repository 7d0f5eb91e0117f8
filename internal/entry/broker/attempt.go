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

// Timing of attempts.
const (
	firstAttemptShare = 0.55                  // share of the time left; a longer first attempt may be ended and retried at another upstream
	minAttemptTime    = 20 * time.Millisecond // no attempt is made with less time left
)

// serve makes attempts until there is a final response. It returns nil if the caller has disconnected.
func (j *job) serve(ctx context.Context) *serve.Response {
	defer j.refundRetry()
	defer j.releaseReserved()
	defer j.finishSlot(sched.Result{Completion: sched.Abandoned})
	for {
		if ctx.Err() != nil {
			return j.endedResponse(ctx)
		}
		waiting, bounds := retry.Bound(ctx, 0, j.broker.waitCtx)
		u, rejection := j.selectUpstream(waiting)
		bounds.Cancel()
		if rejection != nil {
			return rejection
		}
		response, again := j.attempt(ctx, u)
		if response != nil || j.completed {
			return response
		}
		if !again || !j.hasAttemptsLeft() {
			return j.giveUp(ctx)
		}
	}
}

// attempt sends the request to an upstream once. It returns the final response or, if there is none yet, whether another attempt may be
// made.
func (j *job) attempt(ctx context.Context, u table.Upstream) (response *serve.Response, again bool) {
	b := j.broker
	now := b.options.Clock()
	left := j.expires - now
	if left < minAttemptTime {
		j.finishSlot(sched.Result{Completion: sched.Abandoned})
		return j.endedResponse(ctx), false
	}
	attemptCtx, bounds := retry.Bound(ctx, 0, b.serveCtx)
	b.upstreams.requestStarted(now, u)
	j.upstream = u.Name
	j.sends++
	isRetry := j.retryTaken
	j.retryTaken = false
	got, err := j.send(attemptCtx, bounds, u, left)
	took := b.options.Clock() - now
	if err != nil {
		defer bounds.Cancel()
		j.retryTaken = j.retryTaken || isRetry && isNotSent(err)
		return j.handleFailure(ctx, u, took, err)
	}
	return j.handleResponse(ctx, u, took, got, bounds.Cancel)
}

// refundRetry returns to the retry budget a retry that was taken from it and not sent.
func (j *job) refundRetry() {
	if j.retryTaken {
		j.retryTaken = false
		j.broker.retries.refund(j.broker.options.Clock(), j.service)
	}
}

func isNotSent(err error) bool {
	var notSent *conns.ErrNotSent
	return errors.As(err, &notSent)
}

// isReset reports whether the upstream reset a new connection after it was sent the request, as one does that is full.
func isReset(err error) bool {
	var noResponse *conns.ErrNoResponse
	return errors.As(err, &noResponse) && noResponse.Reset
}

// upstreamCall returns the request as it is sent to the upstream.
func (j *job) upstreamCall(u table.Upstream, left time.Duration) *conns.Call {
	names := j.broker.options.Headers
	header := j.header.Clone()
	header.Set(names.TimeLeft, strconv.FormatInt(left.Milliseconds(), 10))
	header.Set(names.Instance, u.Name)
	r, hosts := j.request.HTTP, len(j.broker.options.Table.View().Entries())
	call := &conns.Call{Key: connKey(u), Address: u.Address, Method: r.Method, Target: r.RequestURI, Host: r.Host, Header: header,
		Body: j.request.Body, IDHeader: names.RequestID, ID: j.id, Idempotent: j.idempotent(),
		MaxIdle: idleConnections(u.Connections, hosts), MaxOpen: j.maxConnections(u, hosts), BeforeSend: func() error { return j.beforeSend(u) }, Hold: j.request.Hold, Ahead: j.request.IsAhead()}
	if j.transfer != nil {
		call.Pace = j.transfer.Body
	}
	return call
}

// idleShare is the share of the connections which an upstream accepts that all entry hosts together keep idle.
const idleShare = 0.8

// idleConnections returns how many idle connections to an upstream one of the hosts keeps.
func idleConnections(accepted, hosts int) int {
	return max(int(idleShare*float64(accepted)/float64(max(hosts, 1))), 1)
}

// errWithdrawn is the cause of a request that was not sent because its upstream was removed, or had been draining for too long, when
// the connection was open.
var errWithdrawn = errors.New("upstream is draining")

// beforeSend marks the request as forwarded, or returns an error if it must no longer be sent.
func (j *job) beforeSend(u table.Upstream) error {
	if err := j.checkUpstream(u); err != nil {
		return err
	}
	if err := j.checkPermit(u); err != nil {
		return err
	}
	if j.slot != nil {
		j.slot.MarkSent()
	}
	j.request.SetStage(serve.StageForwarded)
	return nil
}

// errPaused is the cause of a request that was not sent because its upstream asked for a pause meanwhile.
var errPaused = errors.New("upstream asked for a pause")

// checkUpstream returns an error if the upstream may no longer be sent requests, as opening a connection to it may have taken a while.
func (j *job) checkUpstream(u table.Upstream) error {
	b := j.broker
	now := b.options.Clock()
	current, ok := b.options.Table.View().Upstream(u.Number)
	switch {
	case b.options.Table.View().Evacuated(u.DataCentre):
		return errOutOfService
	case !ok || !b.mayServe(now, current):
		return errWithdrawn
	case b.upstreams.notices.pause(now, current) > 0:
		return errPaused
	}
	return nil
}

func (j *job) idempotent() bool { return j.match.Route.Idempotent }

// handleFailure handles an attempt that ended without a complete response. It returns the final response, if there is one, and
// otherwise whether another attempt may be made.
func (j *job) handleFailure(ctx context.Context, u table.Upstream, took time.Duration, err error) (response *serve.Response, again bool) {
	b := j.broker
	j.cause = err.Error()
	if isNotSent(err) && isColdRefusal(err) && ctx.Err() == nil {
		return j.refusedCold(u, took)
	}
	if isNotSent(err) {
		result := resultConnectFailed
		j.reason = ReasonNotReached
		notItsFault := []error{errWithdrawn, errOutOfService, errPaused, retry.ErrStopping}
		if ctx.Err() != nil || slices.ContainsFunc(notItsFault, func(cause error) bool { return errors.Is(err, cause) }) {
			result = resultAbandoned
		}
		if errors.Is(err, errPaused) {
			j.reason = ReasonPaused
		}
		var tooMany *conns.ErrTooManyConnections
		atLimit := errors.As(err, &tooMany)
		if atLimit {
			result, j.reason = resultAbandoned, ReasonOverloaded
		}
		j.sends--
		j.request.SetStage(serve.StageWaiting)
		j.finishAttempt(u, result, took, nil)
		j.exclude(u)
		return nil, !(atLimit && j.keyed)
	}
	j.attempts++
	j.mayHaveRun = true
	j.reason = ReasonUnanswered
	j.exclude(u)
	switch {
	case ctx.Err() == context.Canceled:
		j.finishAttempt(u, resultAbandoned, took, nil)
		return j.endedResponse(ctx), false
	case errors.Is(err, retry.ErrStopping):
		j.finishAttempt(u, resultAbandoned, took, nil)
		return j.reject(ReasonStopping, stoppingRetryAfter), false
	case errors.Is(err, context.DeadlineExceeded) || errors.Is(err, errFailover):
		j.finishAttempt(u, resultFailed, took, nil)
		b.pool.CloseIdle(connKey(u))
	case b.options.Windows && isReset(err):
		b.options.Observer.Noticed(j.service, NoticeFull)
		j.finishAttempt(u, resultFull, took, nil)
	default:
		j.finishAttempt(u, resultFailed, took, nil)
	}
	return nil, j.idempotent()
}

// handleResponse handles an upstream's response. It returns the final response or, if the request did not run or failed at the
// upstream, possibly none and whether another attempt may be made.
func (j *job) handleResponse(ctx context.Context, u table.Upstream, took time.Duration, got *conns.Response, cancel context.CancelFunc) (response *serve.Response, again bool) {
	b := j.broker
	names := b.options.Headers
	j.attempts++
	j.cause = "responded with status " + strconv.Itoa(got.Status)
	load := j.reportedLoad(got)
	notRun := got.Header.Get(names.NotRun) != "" || got.Status == http.StatusMisdirectedRequest
	if got.Status != http.StatusMisdirectedRequest {
		b.staleOwners.accepted(u.Number)
	}
	switch {
	case notRun:
		j.discard(got, cancel)
		j.request.SetStage(serve.StageWaiting)
		result := resultRejected
		if got.Status == http.StatusMisdirectedRequest {
			result = resultAbandoned // a misdirected request is not the upstream's fault
			if j.keyed {
				b.staleOwners.add(b.options.Clock(), j.service, j.owner)
			}
			j.attempts--
		}
		j.finishAttempt(u, result, took, load)
		j.exclude(u)
		j.reason = ReasonTurnedAway
		return nil, true
	case !j.fromUpstream(got):
		j.discard(got, cancel)
		j.finishAttempt(u, resultFailed, took, load)
		j.exclude(u)
		j.mayHaveRun, j.reason = true, ReasonUnanswered
		return nil, j.idempotent()
	case got.Status >= http.StatusInternalServerError && j.idempotent() && got.Rest == nil && j.attempts < j.match.Route.MaxAttempts:
		defer cancel()
		j.finishAttempt(u, resultFailed, took, load)
		j.mayHaveRun, j.lastResponse, j.reason = true, got, ReasonUnanswered
		j.exclude(u)
		return nil, true
	}
	return j.finalResponse(ctx, u, took, load, got, cancel), false
}

// finalResponse ends the attempt and returns the upstream's response for the caller.
func (j *job) finalResponse(ctx context.Context, u table.Upstream, took time.Duration, load *loadReport, got *conns.Response, cancel context.CancelFunc) *serve.Response {
	result := resultAnswered
	if got.Status >= http.StatusInternalServerError || isRejection(got.Status) {
		result = resultFailed
	}
	if got.Rest != nil && !isRejection(got.Status) {
		j.releaseSlot(u, result, took, load)
		return j.stream(ctx, u, result, took, got, cancel)
	}
	defer j.discard(got, cancel)
	j.finishAttempt(u, result, took, load)
	return j.passOn(got)
}

// fromUpstream reports false if a response with a status below 300 may have been generated or altered between this host and the
// upstream's own server. Such a response must have the proof header, and no content encoding, because its body must be as the server
// generated it. Responses with other statuses are not checked.
func (j *job) fromUpstream(got *conns.Response) bool {
	if got.Status >= 300 {
		return true
	}
	return got.Header.Get(j.broker.options.Headers.Proof) != "" && got.Header.Get("Content-Encoding") == ""
}

func (j *job) reportedLoad(got *conns.Response) *loadReport {
	r, ok := j.broker.options.Headers.load(got.Header)
	if !ok {
		return nil
	}
	return &r
}

func (j *job) discard(got *conns.Response, cancel context.CancelFunc) {
	if got.Finish != nil {
		got.Finish(false)
	}
	cancel()
}

// exclude prevents further attempts of this request at the upstream.
func (j *job) exclude(u table.Upstream) {
	if !slices.Contains(j.excluded, u.Number) {
		j.excluded = append(j.excluded, u.Number)
	}
}

// finishAttempt releases the slot and records the result of the attempt.
func (j *job) finishAttempt(u table.Upstream, result attemptResult, took time.Duration, load *loadReport) {
	j.releaseSlot(u, result, took, load)
	j.recordAttempt(u, result, took)
}

// releaseSlot updates the state of the upstream and releases the slot with the result of the attempt.
func (j *job) releaseSlot(u table.Upstream, result attemptResult, took time.Duration, load *loadReport) {
	b := j.broker
	b.upstreams.requestEnded(b.options.Clock(), u, result, took, load)
	r := sched.Result{Completion: result.completion(), Took: took, ColdLeft: j.coldResult(u)}
	if load != nil {
		r.Running, r.Waiting, r.Slowness = load.running, load.waiting, load.slowness
	}
	j.finishSlot(r)
}

// recordAttempt reports the result of an attempt to the observer and the log.
func (j *job) recordAttempt(u table.Upstream, result attemptResult, took time.Duration) {
	b := j.broker
	if result == resultAnswered || result == resultFailed {
		b.options.Observer.Attempted(u.Number, result == resultFailed, took)
	}
	if result != resultAnswered {
		b.logAttempt(j, u, result, took)
	}
}

// hasAttemptsLeft reports whether the route allows another attempt. Attempts that could not connect, or whose upstream does not own the
// key, do not count towards the route's limit; their number has a limit of its own.
func (j *job) hasAttemptsLeft() bool {
	return j.attempts < j.match.Route.MaxAttempts && len(j.excluded) < maxSkippedUpstreams+j.match.Route.MaxAttempts
}

// maxSkippedUpstreams is how many upstreams that cannot be connected to, or do not own the key, are skipped for one request.
const maxSkippedUpstreams = 4

// Limits returns the current limits on callers' requests.
func (b *Broker) Limits() serve.Limits {
	l := b.options.Table.View().Items().Limits()
	return serve.Limits{HeaderBytes: l.MaxHeaderBytes, BodyBytes: l.MaxBodyBytes, HeaderTimeout: l.HeaderTimeout, IdleTimeout: l.IdleTimeout}
}
