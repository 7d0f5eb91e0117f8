package broker

import (
	"context"
	"net/http"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"ebonyrill.dev/ebonyrill/internal/entry/sched"
	"ebonyrill.dev/ebonyrill/internal/shared/clock"
	"ebonyrill.dev/ebonyrill/internal/shared/evac"
	"ebonyrill.dev/ebonyrill/internal/shared/table"
)

// place puts upstreams into another data centre, "x".
func (f *fixture) place(numbers ...uint32) {
	f.c.Helper()
	var d table.Delta
	for _, number := range numbers {
		u, _ := f.table.View().Upstream(number)
		u.DataCentre = "x"
		d.Upstreams = append(d.Upstreams, u)
	}
	f.apply(d)
}

// evacuate takes data centre "x" out of service or back.
func (f *fixture) evacuate(out bool) {
	f.c.Helper()
	f.apply(table.Delta{Evacuations: []evac.Record{{DataCentre: "x", Out: out}}})
}

// assertOutOfService checks that a request is rejected at once as not run.
func (f *fixture) assertOutOfService(path string) {
	f.c.Helper()
	began := clock.Boot()
	resp := f.handle(path)
	f.c.Check(resp.Status, qt.Equals, http.StatusServiceUnavailable)
	f.c.Check(resp.Header.Get("Retry-After"), qt.Equals, "1.000")
	f.c.Check(f.recorder.last().Reason, qt.Equals, ReasonOutOfService)
	f.c.Check(clock.Boot()-began < 300*time.Millisecond, qt.IsTrue)
}

// TestEvacuatedUpstreamsGetNothing guards against requests to upstreams in a data centre out of service, also to one that joins there
// later, and against requests that wait although no upstream is left.
func TestEvacuatedUpstreamsGetNothing(t *testing.T) {
	f := newFixture(t, []http.HandlerFunc{respondOK, respondOK}, []http.HandlerFunc{respondOK})
	f.place(1, 3)
	f.evacuate(true)
	late := f.start("late", "plain", respondOK)
	late.DataCentre = "x"
	f.apply(table.Delta{Upstreams: []table.Upstream{late}})
	for range 20 {
		f.c.Assert(f.handle("/look/x").Status, qt.Equals, http.StatusOK)
		f.c.Assert(f.handle("/sign/x").Status, qt.Equals, http.StatusOK)
	}
	f.assertOutOfService("/keep/x")
	f.assertOutOfService("/sign/keyed/x")
	f.place(2)
	f.assertOutOfService("/sign/x")
	for _, i := range []int{0, 2, 3} {
		f.c.Check(f.servers[i].count(), qt.Equals, 0, qt.Commentf("%s", f.servers[i].name))
	}
	f.evacuate(false)
	f.c.Check(f.handle("/sign/x").Status, qt.Equals, http.StatusOK)
	f.c.Check(f.handle("/keep/x").Status, qt.Equals, http.StatusOK)
}

// TestKeyOfEvacuatedOwnerWaitsForTheNext guards against a keyed request that is sent to its owner in a data centre out of service while the
// key moves, and against one that is rejected although the key gets another owner in time.
func TestKeyOfEvacuatedOwnerWaitsForTheNext(t *testing.T) {
	f := newFixture(t, nil, []http.HandlerFunc{respondOK, respondOK})
	f.place(1)
	f.evacuate(true)
	f.apply(table.Delta{Tables: []table.SliceChanges{{Service: "keyed", All: singleSlice(1, 2, 1).Slices()}}})
	time.AfterFunc(150*time.Millisecond, func() {
		f.apply(table.Delta{Tables: []table.SliceChanges{{Service: "keyed", All: singleSlice(2, 0, 2).Slices()}}})
	})
	f.c.Check(f.handle("/keep/x").Status, qt.Equals, http.StatusOK)
	f.c.Check(f.servers[0].count(), qt.Equals, 0)
	f.c.Check(f.servers[1].count(), qt.Equals, 1)
}

// TestQueuedRequestsOfEvacuatedUpstream guards against requests that keep waiting for a slot at an upstream which they must not be sent to,
// or that are sent there once a slot is free.
func TestQueuedRequestsOfEvacuatedUpstream(t *testing.T) {
	for _, path := range []string{"/sign/x", "/sign/keyed/x"} {
		t.Run(path, func(t *testing.T) {
			free := make(chan struct{})
			wait := func(w http.ResponseWriter, r *http.Request) { <-free; respondOK(w, r) }
			f := newFixture(t, []http.HandlerFunc{wait}, []http.HandlerFunc{wait})
			f.place(1, 2)
			ended := make(chan int, 5)
			for range 5 {
				r := f.request(path, func(r *http.Request) { r.Header.Set("Left", "20000") })
				go func() { ended <- f.broker.Handle(context.Background(), r).Status }()
			}
			running := func() int { return f.servers[0].count() + f.servers[1].count() }
			for running() < 2 || f.queued() < 3 {
				time.Sleep(time.Millisecond)
			}
			f.evacuate(true)
			for range 3 {
				f.c.Check(<-ended, qt.Equals, http.StatusServiceUnavailable)
				f.c.Check(f.recorder.last().Reason, qt.Equals, ReasonOutOfService)
			}
			close(free)
			for range 2 {
				f.c.Check(<-ended, qt.Equals, http.StatusOK)
			}
			f.c.Check(running(), qt.Equals, 2)
		})
	}
}

func (f *fixture) queued() int {
	_, waiting := f.broker.SchedulerNode().Load()
	return waiting
}

// TestEvacuationBetweenSelectionAndSend guards against a request that is sent because its upstream was selected, or its slot reserved,
// before the data centre was taken out of service.
func TestEvacuationBetweenSelectionAndSend(t *testing.T) {
	f := newFixture(t, []http.HandlerFunc{respondOK, respondOK}, nil)
	ctx := context.Background()
	slot, err := f.broker.schedulerNode.Acquire(ctx, "plain", sched.SlotRequest{Timeout: time.Second, Objective: time.Second, DataCentre: "d"})
	f.c.Assert(err, qt.IsNil)
	f.place(slot.Upstream)
	reserved, _ := f.table.View().Upstream(slot.Upstream)
	match, _ := f.table.View().Items().Router().Find("h", "/sign/x")
	j := &job{broker: f.broker, request: f.request("/sign/x"), service: "plain", match: match, expires: clock.Boot() + time.Second,
		reserved: &reservation{upstream: reserved, slot: slot}}
	f.c.Assert(j.checkUpstream(reserved), qt.IsNil)
	f.evacuate(true)
	f.c.Check(j.checkUpstream(reserved), qt.ErrorIs, errOutOfService)
	f.c.Check(f.broker.excludedFor(clock.Boot(), j), qt.DeepEquals, []uint32{reserved.Number}, qt.Commentf("for a scheduler with an older table"))
	u, rejection := j.selectUpstream(ctx)
	f.c.Assert(rejection, qt.IsNil)
	f.c.Check(u.Number, qt.Not(qt.Equals), reserved.Number)
	f.evacuate(false)
	f.c.Check(j.checkUpstream(reserved), qt.IsNil)
}

// TestChoiceWithoutSchedulerAvoidsEvacuated guards against the choice that a host makes alone when no scheduler replies.
func TestChoiceWithoutSchedulerAvoidsEvacuated(t *testing.T) {
	f := newFixture(t, []http.HandlerFunc{respondOK, respondOK}, nil)
	f.place(1)
	f.evacuate(true)
	for range 50 {
		u, ok := f.broker.upstreams.choose(clock.Boot(), f.table.View(), "plain", "d", nil)
		f.c.Assert(ok, qt.IsTrue)
		f.c.Assert(u.Number, qt.Equals, uint32(2))
	}
}
