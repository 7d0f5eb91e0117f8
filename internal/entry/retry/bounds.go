package retry

import (
	"context"
	"time"

	"github.com/pkg/errors"
)

// ErrStopping is the cause where a wait ends because the host stops.
var ErrStopping = errors.New("the host stops")

// Bounds are what ends a try, or a request, before its time is over. They hold until the answer begins: one that is being passed on may
// take as long as the request has time.
type Bounds struct {
	end   context.CancelCauseFunc
	stop  func() bool
	timer *time.Timer
}

// Bound returns a context that also ends after some time, if that is not zero, and with the other context, by ErrStopping.
func Bound(ctx context.Context, most time.Duration, until context.Context) (context.Context, *Bounds) {
	b := &Bounds{}
	ctx, b.end = context.WithCancelCause(ctx)
	b.stop = context.AfterFunc(until, func() { b.end(ErrStopping) })
	if most > 0 {
		b.timer = time.AfterFunc(most, func() { b.end(context.DeadlineExceeded) })
	}
	return ctx, b
}

// Lift takes the bounds away, and reports whether none of them has ended the context.
func (b *Bounds) Lift() bool {
	inTime := b.timer == nil || b.timer.Stop()
	return b.stop() && inTime
}

// End ends the context for a cause of the caller's.
func (b *Bounds) End(cause error) { b.end(cause) }

// Cancel ends the context.
func (b *Bounds) Cancel() {
	b.Lift()
	b.end(nil)
}
