package broker

import (
	"context"
	"time"

	"github.com/pkg/errors"
)

// stoppingPause is the pause that a caller is told to make whom a stopping host turns away; other hosts serve at once.
const stoppingPause = 10 * time.Millisecond

// errStopping ends the wait for a slot where the host stops.
var errStopping = errors.New("the host stops")

// BeginStop notes that the host was told to stop.
func (b *Broker) BeginStop() { b.stopAt.CompareAndSwap(0, int64(b.options.Clock())) }

// sinceStop returns how long ago the host was told to stop, if it was.
func (b *Broker) sinceStop() (since time.Duration, stopping bool) {
	at := time.Duration(b.stopAt.Load())
	if at == 0 {
		return 0, false
	}
	return b.options.Clock() - at, true
}

// StopWaiting turns away the requests that wait for a slot, now or later: a stop cannot outlast them. Requests at an upstream are
// not touched.
func (b *Broker) StopWaiting() { b.stopWaiting() }

// untilStop returns a context that also ends once waiting is over.
func (b *Broker) untilStop(ctx context.Context) (context.Context, context.CancelFunc) {
	ctx, cancel := context.WithCancelCause(ctx)
	stop := context.AfterFunc(b.mayWait, func() { cancel(errStopping) })
	return ctx, func() {
		stop()
		cancel(nil)
	}
}
