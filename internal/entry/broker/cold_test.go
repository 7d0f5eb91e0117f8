package broker

import (
	"net/http"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"ebonyrill.dev/ebonyrill/internal/entry/cold"
	"ebonyrill.dev/ebonyrill/internal/shared/clock"
	"ebonyrill.dev/ebonyrill/internal/shared/items"
	"ebonyrill.dev/ebonyrill/internal/shared/table"
)

// newColdFixture returns a fixture whose services state a rate for cold upstreams, of which the first and the keyed one are cold.
func newColdFixture(t *testing.T, schedules bool) *fixture {
	f, d := newUnconfigured(t, []http.HandlerFunc{respondOK, respondOK}, []http.HandlerFunc{respondOK})
	f.broker.options.Cold = cold.NewAllowance(1.5, 8)
	if !schedules {
		d.Entries = nil
	}
	for i, u := range d.Upstreams {
		if i != 1 {
			d.Upstreams[i].ColdLeft, d.Upstreams[i].ColdVersion = 1500*time.Millisecond, 1
		}
		d.Items = append(d.Items, items.Item{Kind: items.KindService, Name: u.Service, Version: 2,
			Service: &items.Service{Keyed: u.Service == "keyed", ColdStart: time.Second, ColdRate: 4.7}})
	}
	f.apply(d)
	return f
}

// TestNothingIsSentToColdUpstreamsWithoutScheduler guards against a host that chooses a cold upstream by itself.
func TestNothingIsSentToColdUpstreamsWithoutScheduler(t *testing.T) {
	f := newColdFixture(t, false)
	for range 5 {
		f.c.Check(f.handle("/look/x").Status, qt.Equals, http.StatusOK)
	}
	f.c.Check(f.servers[0].count(), qt.Equals, 0)
	assertCold := func(path string) {
		f.c.Helper()
		resp := f.handle(path)
		f.c.Check(resp.Status, qt.Equals, http.StatusServiceUnavailable)
		f.c.Check(f.recorder.last().Reason, qt.Equals, ReasonCold)
		after, _ := parsePause(resp.Header.Get("Retry-After"), time.Now())
		f.c.Check(after > 0 && after <= maxColdRetryAfter+returnSpread, qt.IsTrue, qt.Commentf("%v", after))
	}
	assertCold("/keep/x")
	f.apply(table.Delta{RemovedUpstreams: []uint32{2}})
	assertCold("/look/x")
	f.c.Check(f.servers[0].count()+f.servers[2].count(), qt.Equals, 0)
	time.Sleep(1500 * time.Millisecond)
	f.c.Check(f.handle("/keep/x").Status, qt.Equals, http.StatusOK)
}

// TestPermitsReachTheUpstream guards against requests to a cold upstream without a permit, or with one that ended before they were sent,
// as when the host was suspended.
func TestPermitsReachTheUpstream(t *testing.T) {
	f := newColdFixture(t, true)
	f.c.Assert(f.handle("/keep/x").Status, qt.Equals, http.StatusOK)
	granted, _ := f.broker.schedulerNode.Permits()
	f.c.Check(granted, qt.Equals, int64(1))
	u := f.mustUpstream(3)
	match, _ := f.table.View().Items().Router().Find("h", "/keep/x")
	j := &job{broker: f.broker, request: f.request("/keep/x"), match: match, service: "keyed", keyed: true,
		expires: clock.Boot() + time.Second}
	f.c.Check(j.checkPermit(u), qt.Equals, errCold)
	r, err := j.requestSlot(t.Context(), 3, false)
	f.c.Assert(err, qt.IsNil)
	j.slot = r.slot
	f.c.Check(j.checkPermit(u), qt.IsNil)
	time.Sleep(cold.PermitLifetime)
	f.c.Check(j.checkPermit(u), qt.Equals, errPermitEnded)
	for i := range maxColdRefusals {
		resp, again := j.refusedCold(u, 0)
		f.c.Check(again, qt.Equals, i < maxColdRefusals-1)
		f.c.Check(again || resp.Status == http.StatusServiceUnavailable, qt.IsTrue)
	}
}

// TestResponseStatesCold guards against an upstream that is taken for warm although its response says that it is cold.
func TestResponseStatesCold(t *testing.T) {
	f := newColdFixture(t, true)
	f.broker.readCold("id", f.mustUpstream(2), http.Header{"Cold": {"400"}})
	left, noted := f.broker.upstreams.coldLeft(clock.Boot(), f.mustUpstream(2))
	f.c.Check(left > 300*time.Millisecond && left == noted, qt.IsTrue)
	for _, text := range []string{"x", "-1", "NaN", "1e400"} {
		_, valid := headerNames.coldIn(http.Header{"Cold": {text}})
		f.c.Check(valid, qt.IsFalse, qt.Commentf("%s", text))
	}
	longest, _ := headerNames.coldIn(http.Header{"Cold": {"1e300"}})
	f.c.Check(longest, qt.Equals, maxColdNotice)
}

func (f *fixture) mustUpstream(number uint32) table.Upstream {
	u, ok := f.table.View().Upstream(number)
	f.c.Assert(ok, qt.IsTrue)
	return u
}
