package broker

import (
	"context"
	"time"

	"github.com/pkg/errors"

	"ebonyrill.dev/ebonyrill/internal/entry/serve"
	"ebonyrill.dev/ebonyrill/internal/shared/conf"
)

// stoppingRetryAfter is the Retry-After time of requests that a stopping host rejects; other hosts can serve them immediately.
const stoppingRetryAfter = 10 * time.Millisecond

// stop is a stop in progress: when it began and when its phases end, by the broker's clock.
type stop struct {
	began       time.Duration
	noticeEnds  time.Duration
	servingEnds time.Duration
}

// Stop shuts the callers' server down in phases. All requests are served until the notice ends. Connections are
// then closed once their pending responses are written, and leave is called. Later no request may wait for a slot, then none may be at an upstream, and at
// last no response may still be received: such requests get a response of this host, so that the responses behind them on the
// connection are written too. A response that is being streamed to the caller may continue until the context ends.
func (b *Broker) Stop(ctx context.Context, server *serve.Server, times conf.StopTimes, leave func()) (err error) {
	defer func() { err = errors.WithMessage(err, "stop serving callers") }()
	b.beginStop(times)
	waiting := time.AfterFunc(times.Waiting(), b.stopWaiting)
	defer waiting.Stop()
	serving := time.AfterFunc(times.Serving(), func() {
		b.stopServing()
		server.RejectIncomplete()
	})
	defer serving.Stop()
	receiving := time.AfterFunc(times.Receiving(), b.stopReceiving)
	defer receiving.Stop()
	select {
	case <-ctx.Done():
	case <-time.After(times.Notice()):
	}
	server.Drain()
	leave()
	return server.Shutdown(ctx)
}

func (b *Broker) beginStop(times conf.StopTimes) {
	now := b.options.Clock()
	b.stopping.Store(&stop{began: now, noticeEnds: now + times.Notice(), servingEnds: now + times.Serving()})
}

// sinceStop returns how long ago the stop began, if it has begun.
func (b *Broker) sinceStop() (since time.Duration, stopping bool) {
	s := b.stopping.Load()
	if s == nil {
		return 0, false
	}
	return b.options.Clock() - s.began, true
}

func (b *Broker) isStopping() bool { return b.stopping.Load() != nil }

// outlastsStop reports whether a request that was completely read after the notice may still be at its upstream when the serving phase
// of the stop ends.
func (j *job) outlastsStop() bool {
	s := j.broker.stopping.Load()
	return s != nil && j.request.CompletedAt > s.noticeEnds && j.expires > s.servingEnds
}
