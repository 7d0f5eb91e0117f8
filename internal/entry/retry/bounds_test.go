package retry

import (
	"context"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// TestEndedBoundsSayWhy holds that a context whose bound has passed has a cause as soon as that is told: the bound ends it in a
// goroutine of its own, and a failure without a cause ended the handler of the request.
func TestEndedBoundsSayWhy(t *testing.T) {
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

// TestBoundThatHasPassedEndsAtOnce holds that nothing begins behind a bound that has passed.
func TestBoundThatHasPassedEndsAtOnce(t *testing.T) {
	until, stop := context.WithCancel(context.Background())
	stop()
	ctx, b := Bound(context.Background(), 0, until)
	defer b.Cancel()
	qt.Check(t, context.Cause(ctx), qt.Equals, ErrStopping)
}

// TestLiftedBoundsDoNotEnd holds that bounds that were taken away end nothing, however often they are.
func TestLiftedBoundsDoNotEnd(t *testing.T) {
	until, stop := context.WithCancel(context.Background())
	ctx, b := Bound(context.Background(), time.Hour, until)
	qt.Check(t, b.Disarm(), qt.IsTrue)
	stop()
	qt.Check(t, b.Disarm(), qt.IsTrue)
	qt.Check(t, ctx.Err(), qt.IsNil)
	b.Cancel()
	qt.Check(t, ctx.Err(), qt.Equals, context.Canceled)
}
