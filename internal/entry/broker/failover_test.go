package broker

import (
	"net"
	"net/http"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"ebonyrill.dev/ebonyrill/internal/entry/retry"
	"ebonyrill.dev/ebonyrill/internal/shared/table"
)

// lateResponseTime is the response time of an upstream that responds after the first attempt's share of the time and before the
// request's deadline of 1 s.
const lateResponseTime = 750 * time.Millisecond

func respondLate(w http.ResponseWriter, r *http.Request) {
	if r.Method == http.MethodPost {
		<-r.Context().Done()
		return
	}
	time.Sleep(lateResponseTime)
	respondOK(w, r)
}

// TestFirstAttemptContinuesWithoutAlternative checks that a first attempt that may be retried continues if no second attempt can begin.
func TestFirstAttemptContinuesWithoutAlternative(t *testing.T) {
	cases := []struct {
		name      string
		upstreams []http.HandlerFunc
		before    func(f *fixture)
	}{
		{"no other upstream", []http.HandlerFunc{respondLate}, func(*fixture) {}},
		{"retry budget spent", []http.HandlerFunc{respondLate, respondLate}, func(f *fixture) { f.broker.retries = newBudget(retry.Limits{Window: time.Second}) }},
		{"no slot free", []http.HandlerFunc{respondLate, respondLate}, func(f *fixture) { f.occupySlots(3) }},
		{"scheduler unresponsive", []http.HandlerFunc{respondLate, rejectWith(503)}, func(f *fixture) { time.AfterFunc(lateResponseTime/2, f.makeSchedulerUnresponsive) }},
		{"host begins to stop during the search", []http.HandlerFunc{respondLate, rejectWith(503)}, func(f *fixture) {
			time.AfterFunc(lateResponseTime/2, f.makeSchedulerUnresponsive)
			time.AfterFunc(600*time.Millisecond, func() { f.broker.beginStop(stopTimes) })
		}},
		{"host stops", []http.HandlerFunc{respondLate, respondLate}, func(f *fixture) { f.broker.beginStop(stopTimes) }},
	}
	for _, v := range cases {
		t.Run(v.name, func(t *testing.T) {
			f := newFixture(t, v.upstreams, nil)
			v.before(f)
			f.c.Check(f.handle("/look/x").Status, qt.Equals, http.StatusOK)
			f.c.Check(f.recorder.last().Attempts, qt.Equals, 1)
		})
	}
}

// makeSchedulerUnresponsive makes another entry host, one that never replies, the scheduler of all services.
func (f *fixture) makeSchedulerUnresponsive() {
	l, err := net.ListenPacket("udp", "127.0.0.1:0")
	f.c.Check(err, qt.IsNil)
	f.c.Cleanup(func() { _ = l.Close() })
	f.apply(table.Delta{Entries: []table.EntryHost{{Name: "z", Address: l.LocalAddr().String(), DataCentre: "d"}}, RemovedEntries: []string{"e"}})
}

// TestNoFailoverTooLate checks that a first attempt is not ended if, because of the route's latency objective, so little time is left
// that a second attempt would come too late.
func TestNoFailoverTooLate(t *testing.T) {
	unresponsive := func(_ http.ResponseWriter, r *http.Request) { <-r.Context().Done() }
	f := newFixture(t, []http.HandlerFunc{unresponsive, unresponsive}, nil)
	f.c.Check(f.handle("/look/x", func(r *http.Request) { r.Header.Set("Left", "620") }).Status, qt.Equals, http.StatusGatewayTimeout)
	f.c.Check(f.servers[0].count()+f.servers[1].count(), qt.Equals, 1)
}

// occupySlots occupies slots with requests that last until the route's timeout of 2 s.
func (f *fixture) occupySlots(slots int) {
	for range slots {
		go f.handle("/sign/x", func(r *http.Request) { r.Header.Set("Left", "5000") })
	}
	for busy, _ := f.broker.SchedulerNode().Load(); busy < slots; busy, _ = f.broker.SchedulerNode().Load() {
		time.Sleep(time.Millisecond)
	}
}

// TestFailoverFromUnresponsiveUpstream checks that a request whose first upstream does not respond is served by another one, and that no
// slot stays occupied.
func TestFailoverFromUnresponsiveUpstream(t *testing.T) {
	unresponsive := func(_ http.ResponseWriter, r *http.Request) { <-r.Context().Done() }
	f := newFixture(t, []http.HandlerFunc{unresponsive, respondOK}, nil)
	for f.servers[0].count() == 0 {
		f.c.Assert(f.handle("/look/x").Status, qt.Equals, http.StatusOK)
	}
	f.c.Check(f.recorder.last().Attempts, qt.Equals, 2)
	f.c.Check(f.recorder.last().Upstream, qt.Equals, "p1")
	for busy, _ := f.broker.SchedulerNode().Load(); busy > 0; busy, _ = f.broker.SchedulerNode().Load() {
		time.Sleep(time.Millisecond)
	}
}
