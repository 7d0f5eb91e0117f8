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

// stream is the rest of a long answer, read while it is written to the caller.
type stream struct {
	from   io.Reader
	began  time.Time
	waited time.Duration
	err    error
}

// Read notes how long the upstream was waited for, and how its answer broke off.
func (s *stream) Read(b []byte) (n int, err error) {
	start := time.Now()
	n, err = s.from.Read(b)
	s.waited += time.Since(start)
	if err != nil && err != io.EOF {
		s.err = errors.WithMessage(err, "the answer's body broke off")
	}
	return n, err
}

// slowShare is the part of a stream's time that must have gone by waiting for the upstream for its end to be the upstream's fault;
// while a caller is waited for, what the upstream sent lies ready.
const slowShare = 0.25

// slow reports whether the upstream was waited for, not the caller.
func (s *stream) slow() bool {
	return s.waited.Seconds() > slowShare*time.Since(s.began).Seconds()
}

// stream returns a long answer, whose rest is read while it is written; only its end tells how the try went.
func (j *job) stream(ctx context.Context, u table.Upstream, v verdict, took time.Duration, got *conns.Response, cancel context.CancelFunc) *serve.Response {
	s := &stream{from: got.Rest, began: time.Now()}
	a := j.answerOf(got)
	a.Rest = s
	a.Done = func(written bool) {
		got.Finish(written)
		o, reason, at := s.ended(ctx, written)
		if at == verdictFailed {
			v = verdictFailed
			j.cause = s.err.Error()
			j.broker.stock.brokeOff(j.broker.options.Clock(), u)
		}
		cancel()
		j.judge(u, v, took)
		j.settle(got.Status, o, reason)
	}
	return a
}

// ended returns how a stream went that was written whole or not: the outcome of the request, and whether its upstream failed.
func (s *stream) ended(ctx context.Context, written bool) (o relay.Outcome, reason Reason, v verdict) {
	switch {
	case written:
		return relay.Done, ReasonAnswered, verdictAnswered
	case s.err == nil || ctx.Err() == context.Canceled:
		return relay.Unknown, ReasonCallerGone, verdictAnswered
	case ctx.Err() == nil:
		return relay.Unknown, ReasonTruncated, verdictFailed
	case s.slow():
		return relay.Unknown, ReasonTimeout, verdictFailed
	}
	return relay.Unknown, ReasonTimeout, verdictAnswered
}
