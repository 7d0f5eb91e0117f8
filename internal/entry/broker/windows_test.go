package broker

import (
	"net/http"
	"strconv"
	"testing"

	qt "github.com/frankban/quicktest"

	"ebonyrill.dev/ebonyrill/internal/entry/relay"
	"ebonyrill.dev/ebonyrill/internal/shared/clock"
)

// TestResetMeansFull guards against an upstream that is avoided as failing because it had no room, and against a reset request that is
// not idempotent and is sent again. Without the setting a reset counts as a failure.
func TestResetMeansFull(t *testing.T) {
	for _, windows := range []bool{true, false} {
		t.Run(strconv.FormatBool(windows), func(t *testing.T) {
			f := newFixture(t, []http.HandlerFunc{resetConnection}, nil)
			f.broker.options.Windows = windows
			f.c.Check(f.handle("/sign/x").Status, qt.Equals, http.StatusBadGateway)
			f.c.Check(f.recorder.last().Outcome, qt.Equals, relay.Unknown)
			f.c.Check(f.servers[0].count(), qt.Equals, 1)
			f.c.Check(f.recorder.failed == 0, qt.Equals, windows)
			s := f.broker.upstreams.upstreams[1]
			f.c.Check(s.decayedFailureRate(clock.Boot()) == 0, qt.Equals, windows)
		})
	}
}

// TestWindowBoundsRequestsWithoutScheduler guards against hosts that fill an upstream when no scheduler replies: beyond the window the
// request is rejected at once as not run, and the window opens again.
func TestWindowBoundsRequestsWithoutScheduler(t *testing.T) {
	for path, keyed := range map[string]bool{"/sign/x": false, "/sign/keyed/x": true} {
		t.Run(path, func(t *testing.T) {
			release := make(chan struct{})
			handlers := []http.HandlerFunc{func(w http.ResponseWriter, r *http.Request) {
				<-release
				respondOK(w, r)
			}}
			f := newFixture(t, handlers, nil)
			if keyed {
				f = newFixture(t, nil, handlers)
			}
			f.broker.options.Windows = true
			f.makeSchedulerUnresponsive()
			statuses := make(chan int, 3)
			for range 3 {
				go func() {
					statuses <- f.handle(path, func(r *http.Request) { r.Header.Set("Left", "2000") }).Status
				}()
			}
			f.c.Check(<-statuses, qt.Equals, http.StatusServiceUnavailable) // the upstream has 2 slots and this is the only host
			f.c.Check(f.recorder.last().Reason, qt.Equals, ReasonOverloaded)
			close(release)
			f.c.Check([]int{<-statuses, <-statuses}, qt.DeepEquals, []int{http.StatusOK, http.StatusOK})
			f.c.Check(f.servers[0].count(), qt.Equals, 2)
			f.c.Check(f.handle(path).Status, qt.Equals, http.StatusOK)
		})
	}
}

// TestWindowClosesAfterResets guards against a host that keeps sending to a full upstream without a scheduler, and against a Retry-After
// that is not the time until it may send again: with two seconds for a request, the pause after the second reset is 3 to 5 s.
func TestWindowClosesAfterResets(t *testing.T) {
	f := newFixture(t, []http.HandlerFunc{resetConnection}, nil)
	f.broker.options.Windows = true
	f.broker.upstreams.averageLatency["plain"] = 2
	f.makeSchedulerUnresponsive()
	f.handle("/sign/x")
	f.handle("/sign/x")
	resp := f.handle("/sign/x")
	f.c.Check(resp.Status, qt.Equals, http.StatusServiceUnavailable)
	f.c.Check(f.servers[0].count(), qt.Equals, 2)
	seconds, err := strconv.ParseFloat(resp.Header.Get("Retry-After"), 64)
	f.c.Assert(err, qt.IsNil)
	f.c.Check(seconds > 1 && seconds < 5, qt.IsTrue)
}
