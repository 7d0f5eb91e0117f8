package retry

import (
	"context"
	"sync"
	"time"

	"github.com/pkg/errors"
)

// ErrStopping is the cause of a context that ends because the host is shutting down.
var ErrStopping = errors.New("the host is shutting down")

// Bounds are conditions that cancel an attempt or a request before its deadline: a time limit and the host's shutdown. They are
// meant to be disarmed when the response begins, because a response that is being passed on may take until the request's
// deadline.
type Bounds struct {
	cancel     context.CancelCauseFunc
	disarmOnce func() bool
}

// Bound returns a context that ends with context.DeadlineExceeded as cause after the limit, unless that is zero, and with
// ErrStopping as cause when the context until ends.
func Bound(ctx context.Context, limit time.Duration, until context.Context) (context.Context, *Bounds) {
	b := &Bounds{}
	ctx, b.cancel = context.WithCancelCause(ctx)
	if until.Err() != nil {
		b.cancel(ErrStopping)
	}
	stop := context.AfterFunc(until, func() { b.cancel(ErrStopping) })
	var timer *time.Timer
	if limit > 0 {
		timer = time.AfterFunc(limit, func() { b.cancel(context.DeadlineExceeded) })
	}
	b.disarmOnce = sync.OnceValue(func() bool { return b.stopTriggers(stop, timer) })
	return ctx, b
}

// stopTriggers stops the bounds. If one has passed already, its function may not have run yet, so stopTriggers cancels the
// context itself. This ensures that the context has a cause.
func (b *Bounds) stopTriggers(stop func() bool, timer *time.Timer) (inTime bool) {
	inTime = true
	if timer != nil && !timer.Stop() {
		b.cancel(context.DeadlineExceeded)
		inTime = false
	}
	if !stop() {
		b.cancel(ErrStopping)
		inTime = false
	}
	return inTime
}

// Disarm removes the bounds and reports whether it was in time, that is, before any of them had passed.
func (b *Bounds) Disarm() bool { return b.disarmOnce() }

// End cancels the context with the given cause.
func (b *Bounds) End(cause error) { b.cancel(cause) }

// Cancel removes the bounds and cancels the context.
func (b *Bounds) Cancel() {
	b.Disarm()
	b.cancel(nil)
}
