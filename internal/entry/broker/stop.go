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

// errStopping ends the wait for a slot, or for an upstream's answer, where the host stops.
var errStopping = errors.New("the host stops")

// stop is a stop under way: its beginning, and its bounds by the broker's clock.
type stop struct {
	began       time.Duration
	noticeEnds  time.Duration
	servingEnds time.Duration
}

// Stop takes the callers' server through a stop. All requests are served until the notice ends and leave is called; then connections
// end with the answers that are due. Later no request waits for a slot, and at last none for an upstream: each has an answer of the
// host's own then, so that the answers behind it are written too. An answer that is being passed on has until the end.
func (b *Broker) Stop(ctx context.Context, front *serve.Server, times conf.StopTimes, leave func()) (err error) {
	defer func() { err = errors.WithMessage(err, "stop serving callers") }()
	b.beginStop(times)
	waiting := time.AfterFunc(times.Waiting(), b.stopWaiting)
	defer waiting.Stop()
	serving := time.AfterFunc(times.Serving(), func() {
		b.stopServing()
		front.Finish()
	})
	defer serving.Stop()
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

// outlastsStop reports whether a request that came after the notice may still be at its upstream when the stop ends that.
func (j *job) outlastsStop() bool {
	s := j.broker.stopping.Load()
	return s != nil && j.arrived > s.noticeEnds && j.expires > s.servingEnds
}

// untilStop returns a context that also ends once waiting is over.
func (b *Broker) untilStop(ctx context.Context) (context.Context, context.CancelFunc) {
	ctx, cancel := context.WithCancelCause(ctx)
	stop := context.AfterFunc(b.mayWait, func() { cancel(errStopping) })
	return ctx, func() {
		stop()
		cancel(nil)
	}
}

// tryBounds are what ends a try before its request's time is over: the stop of the host, or that it gives way to another try. They
// hold until the answer begins: one that is being passed on may take as long as the request has time.
type tryBounds struct {
	end  context.CancelCauseFunc
	stop func() bool
}

// bounded returns the context of a try.
func (b *Broker) bounded(ctx context.Context) (context.Context, *tryBounds) {
	t := &tryBounds{}
	ctx, t.end = context.WithCancelCause(ctx)
	t.stop = context.AfterFunc(b.mayWork, func() { t.end(errStopping) })
	return ctx, t
}

// lift takes the bounds away, and reports whether the stop has not ended the try.
func (t *tryBounds) lift() bool { return t.stop() }

// cancel ends the try.
func (t *tryBounds) cancel() {
	t.lift()
	t.end(nil)
}
