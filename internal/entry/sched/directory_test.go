package sched

import (
	"fmt"
	"math/rand/v2"
	"runtime"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"ebonyrill.dev/ebonyrill/internal/entry/retry"
)

// TestChoiceOfASchedulerAllocatesLittle checks that a host chooses the scheduler for a slot request without making lists of all entry
// hosts or upstreams.
func TestChoiceOfASchedulerAllocatesLittle(t *testing.T) {
	var hosts []Host
	for i := range 300 {
		hosts = append(hosts, Host{Name: fmt.Sprint("host-", i), Address: fmt.Sprintf("10.0.%d.%d:1", i/250, i%250), DataCentre: fmt.Sprint("d", i%5)})
	}
	var upstreams []Upstream
	for i := range 400 {
		upstreams = append(upstreams, Upstream{Number: uint32(i + 1), Slots: 3, DataCentre: fmt.Sprint("d", i%5)})
	}
	n := New(Options{Self: hosts[0], Hosts: func() []Host { return append([]Host(nil), hosts...) }, Retries: retry.Limits{Window: time.Second},
		Upstreams: func(string) []Upstream { return append([]Upstream(nil), upstreams...) }, Clock: func() time.Duration { return 0 }})
	choose := func() {
		d := n.directoryOf("s")
		ordered := d.order("d1", []uint32{7}, n.hintedWait, rand.Float64)
		_ = d.forSubset(ordered[0], SlotRequest{Exclude: []uint32{7}}, time.Second, true)
		n.mutex.Lock()
		defer n.mutex.Unlock()
		qt.Check(t, n.candidates(0, ordered[0]), qt.HasLen, maxHostsTried)
	}
	const runs, most = 2000, 8 << 10
	for range 1000 { // all subsets are chosen once
		choose()
	}
	var before, after runtime.MemStats
	runtime.ReadMemStats(&before)
	for range runs {
		choose()
	}
	runtime.ReadMemStats(&after)
	perRequest := (after.TotalAlloc - before.TotalAlloc) / runs
	qt.Check(t, perRequest < most, qt.IsTrue, qt.Commentf("%d bytes", perRequest))
}

// TestWarmConnectionIsPreferred checks that, among equally good upstreams, a host gets the one to which it probably has an idle
// connection, and that it gets another one if that is busier.
func TestWarmConnectionIsPreferred(t *testing.T) {
	c := qt.New(t)
	s := newScheduler(upstreamsOf(4, 4, 4, 4, 4, 4, 4, 4))
	assign := func(now time.Duration, host string, id uint64) uint32 {
		c.Helper()
		r := replyFor(s.Submit(now, host, SlotRequest{ID: id, Timeout: time.Second, Objective: time.Second, DataCentre: "d"}), id)
		c.Assert(r.Decision, qt.Equals, Assigned)
		return r.Upstream
	}
	first, other := assign(0, "a", 1), assign(0, "b", 1)
	c.Assert(first, qt.Not(qt.Equals), other)
	s.Finish(0, "a", Result{ID: 1, Completion: Answered, Took: initialAvgTime})
	s.Finish(0, "b", Result{ID: 1, Completion: Answered, Took: initialAvgTime})
	for id := uint64(2); id < 6; id++ {
		c.Check(assign(time.Second, "a", id), qt.Equals, first)
		s.Finish(time.Second, "a", Result{ID: id, Completion: Answered, Took: initialAvgTime})
	}
	c.Check(assign(time.Second, "b", 2), qt.Equals, other)
	seen := map[uint32]bool{}
	for id := uint64(6); id < 20; id++ {
		seen[assign(time.Second, "a", id)] = true
	}
	c.Check(len(seen) > 3, qt.IsTrue)
}
