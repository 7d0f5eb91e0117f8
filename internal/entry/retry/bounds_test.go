package retry

import (
	"context"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// TestEndedBoundsHaveCause checks that the context has a cause as soon as Disarm reports that a bound has passed. The bound
// cancels the context in a goroutine of its own, which may run later. Without a cause the request's handler failed.
func TestEndedBoundsHaveCause(t *testing.T) {
	for range 1000 {
		until, stop := context.WithCancel(context.Background())
		ctx, b := Bound(context.Background(), 0, until)
		stop()
		if !b.Disarm() {
			qt.Assert(t, context.Cause(ctx), qt.Equals, ErrStopping)
		}
		b.Cancel()
	}
}

// TestPassedBoundEndsAtOnce checks that the context is cancelled from the start if a bound has passed already.
func TestPassedBoundEndsAtOnce(t *testing.T) {
	until, stop := context.WithCancel(context.Background())
	stop()
	ctx, b := Bound(context.Background(), 0, until)
	defer b.Cancel()
	qt.Check(t, context.Cause(ctx), qt.Equals, ErrStopping)
}

// TestDisarmedBoundsDoNotEnd checks that removed bounds do not cancel the context, and that they may be removed repeatedly.
func TestDisarmedBoundsDoNotEnd(t *testing.T) {
	until, stop := context.WithCancel(context.Background())
	ctx, b := Bound(context.Background(), time.Hour, until)
	qt.Check(t, b.Disarm(), qt.IsTrue)
	stop()
	qt.Check(t, b.Disarm(), qt.IsTrue)
	qt.Check(t, ctx.Err(), qt.IsNil)
	b.Cancel()
	qt.Check(t, ctx.Err(), qt.Equals, context.Canceled)
}
