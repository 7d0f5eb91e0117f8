package broker

import (
	"context"
	"io"
	"time"

	"github.com/pkg/errors"

	"ebonyrill.dev/ebonyrill/internal/entry/conns"
	"ebonyrill.dev/ebonyrill/internal/entry/relay"
	"ebonyrill.dev/ebonyrill/internal/entry/serve"
	"ebonyrill.dev/ebonyrill/internal/shared/table"
)

// stream reads the rest of a long response from the upstream while it is written to the caller. waited is the total time spent waiting
// for the upstream.
type stream struct {
	body   io.Reader
	began  time.Time
	waited time.Duration
	err    error
}

// Read reads from the upstream, and records how long that took and any error other than the end of the body.
func (s *stream) Read(b []byte) (n int, err error) {
	start := time.Now()
	n, err = s.body.Read(b)
	s.waited += time.Since(start)
	if err != nil && err != io.EOF {
		s.err = errors.WithMessage(err, "response body was cut short")
	}
	return n, err
}

// slowUpstreamShare is the share of a stream's time that must have been spent waiting for the upstream for a timeout to count as the
// upstream's failure. While the host waits for a slow caller, the upstream's data is already in the receive buffer.
const slowUpstreamShare = 0.25

// slow reports whether the stream was slowed down by the upstream and not by the caller.
func (s *stream) slow() bool {
	return s.waited.Seconds() > slowUpstreamShare*time.Since(s.began).Seconds()
}

// stream returns a long response whose rest is read while it is written. The result of the attempt is recorded when the stream ends.
func (j *job) stream(ctx context.Context, u table.Upstream, result attemptResult, took time.Duration, got *conns.Response, cancel context.CancelFunc) *serve.Response {
	s := &stream{body: got.Rest, began: time.Now()}
	resp := j.callerResponse(got)
	resp.Rest = s
	resp.Done = func(written bool) {
		got.Finish(written)
		outcome, reason, final := s.result(ctx, written)
		if final == resultFailed {
			result = resultFailed
			j.cause = s.err.Error()
			j.broker.upstreams.bodyFailed(j.broker.options.Clock(), u)
		}
		cancel()
		j.recordAttempt(u, result, took)
		j.complete(got.Status, outcome, reason)
	}
	return resp
}

// result returns the outcome of the request, and whether the upstream failed, for a stream that was or was not written completely.
func (s *stream) result(ctx context.Context, written bool) (outcome relay.Outcome, reason Reason, result attemptResult) {
	switch {
	case written:
		return relay.Done, ReasonAnswered, resultAnswered
	case s.err == nil || ctx.Err() == context.Canceled:
		return relay.Unknown, ReasonCallerGone, resultAnswered
	case ctx.Err() == nil:
		return relay.Unknown, ReasonTruncated, resultFailed
	case s.slow():
		return relay.Unknown, ReasonTimeout, resultFailed
	}
	return relay.Unknown, ReasonTimeout, resultAnswered
}
