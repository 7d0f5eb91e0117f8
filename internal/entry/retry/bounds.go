package retry

import (
	"context"
	"sync"
	"time"

	"github.com/pkg/errors"
)

// ErrStopping is the cause where a wait ends because the host stops.
var ErrStopping = errors.New("the host stops")

// Bounds are what ends a try, or a request, before its time is over. They hold until the answer begins: one that is being passed on may
// take as long as the request has time.
type Bounds struct {
	end  context.CancelCauseFunc
	lift func() bool
}

// Bound returns a context that also ends after some time, if that is not zero, and with the other context, by ErrStopping.
func Bound(ctx context.Context, most time.Duration, until context.Context) (context.Context, *Bounds) {
	b := &Bounds{}
	ctx, b.end = context.WithCancelCause(ctx)
	if until.Err() != nil {
		b.end(ErrStopping)
	}
	stop := context.AfterFunc(until, func() { b.end(ErrStopping) })
	var timer *time.Timer
	if most > 0 {
		timer = time.AfterFunc(most, func() { b.end(context.DeadlineExceeded) })
	}
	b.lift = sync.OnceValue(func() bool { return b.disarm(stop, timer) })
	return ctx, b
}

// disarm takes the bounds away. Where one has passed its function may not have run yet, so that the context is ended here.
func (b *Bounds) disarm(stop func() bool, timer *time.Timer) (inTime bool) {
	inTime = true
	if timer != nil && !timer.Stop() {
		b.end(context.DeadlineExceeded)
		inTime = false
	}
	if !stop() {
		b.end(ErrStopping)
		inTime = false
	}
	return inTime
}

// Disarm takes the bounds away, and reports whether none of them has ended the context.
func (b *Bounds) Disarm() bool { return b.lift() }

// End ends the context for a cause of the caller's.
func (b *Bounds) End(cause error) { b.end(cause) }

// Cancel ends the context.
func (b *Bounds) Cancel() {
	b.Disarm()
	b.end(nil)
}
