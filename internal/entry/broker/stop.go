package broker

import (
	"context"
	"time"

	"github.com/pkg/errors"

	"ebonyrill.dev/ebonyrill/internal/entry/serve"
	"ebonyrill.dev/ebonyrill/internal/shared/conf"
)

// stoppingPause is the pause that a caller is told to make whom a stopping host turns away; other hosts serve at once.
const stoppingPause = 10 * time.Millisecond

// stop is a stop under way: its beginning, and its bounds by the broker's clock.
type stop struct {
	began       time.Duration
	noticeEnds  time.Duration
	servingEnds time.Duration
}

// Stop takes the callers' server through a stop. All requests are served until the notice ends and leave is called; then connections
// end with the answers that are due. Later no request waits for a slot, then none for an upstream, and at last none for the rest of an
// answer: each has an answer of the host's own then, so that the answers behind it are written too. An answer that is being passed on
// has until the end.
func (b *Broker) Stop(ctx context.Context, front *serve.Server, times conf.StopTimes, leave func()) (err error) {
	defer func() { err = errors.WithMessage(err, "stop serving callers") }()
	b.beginStop(times)
	waiting := time.AfterFunc(times.Waiting(), b.stopWaiting)
	defer waiting.Stop()
	serving := time.AfterFunc(times.Serving(), func() {
		b.stopServing()
		front.RejectIncomplete()
	})
	defer serving.Stop()
	coming := time.AfterFunc(times.Receiving(), b.stopComing)
	defer coming.Stop()
	select {
	case <-ctx.Done():
	case <-time.After(times.Notice()):
	}
	leave()
	return front.Shutdown(ctx)
}

func (b *Broker) beginStop(times conf.StopTimes) {
	now := b.options.Clock()
	b.stopping.Store(&stop{began: now, noticeEnds: now + times.Notice(), servingEnds: now + times.Serving()})
}

// sinceStop returns how long ago the host was told to stop, if it was.
func (b *Broker) sinceStop() (since time.Duration, stopping bool) {
	s := b.stopping.Load()
	if s == nil {
		return 0, false
	}
	return b.options.Clock() - s.began, true
}

func (b *Broker) isStopping() bool { return b.stopping.Load() != nil }

// outlastsStop reports whether a request that came whole after the notice may still be at its upstream when the stop ends that.
func (j *job) outlastsStop() bool {
	s := j.broker.stopping.Load()
	return s != nil && j.request.CompletedAt > s.noticeEnds && j.expires > s.servingEnds
}
