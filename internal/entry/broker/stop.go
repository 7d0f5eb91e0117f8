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
