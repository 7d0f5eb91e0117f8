package broker

import (
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"ebonyrill.dev/ebonyrill/internal/entry/serve"
	"ebonyrill.dev/ebonyrill/internal/shared/clock"
	"ebonyrill.dev/ebonyrill/internal/shared/table"
)

var testDate = time.Date(2026, 1, 2, 15, 4, 5, 0, time.UTC)

func TestNoticeInResponse(t *testing.T) {
	in := func(after time.Duration) string { return testDate.Add(after).Format(http.TimeFormat) }
	cases := []struct {
		name, leaving, retryAfter string
		status                    int
		want                      notice
	}{
		{"nothing", "", "", 200, notice{}},
		{"leaving", "1", "", 200, notice{leaving: true}},
		{"leaving, with a failure", " 1 ", "", 500, notice{leaving: true}},
		{"not leaving", "0", "", 200, notice{}},
		{"leaving in other words", "yes", "", 200, notice{invalid: "Leaving"}},
		{"pause", "", "2", 503, notice{pause: 2 * time.Second}},
		{"pause with a fraction", "", "0.25", 503, notice{pause: 250 * time.Millisecond}},
		{"leaving and pause", "1", "1", 503, notice{leaving: true, pause: time.Second}},
		{"Retry-After of another status", "", "2", 429, notice{}},
		{"zero", "", "0", 503, notice{}},
		{"negative", "", "-3", 503, notice{invalid: "Retry-After"}},
		{"too long", "", "99999999", 503, notice{pause: maxPause, invalid: "Retry-After"}},
		{"no finite number", "", strings.Repeat("9", 400), 503, notice{pause: maxPause, invalid: "Retry-After"}},
		{"infinity", "", "Inf", 503, notice{invalid: "Retry-After"}},
		{"not a number", "", "NaN", 503, notice{invalid: "Retry-After"}},
		{"malformed", "", "1.2.3", 503, notice{invalid: "Retry-After"}},
		{"words", "", "soon", 503, notice{invalid: "Retry-After"}},
		{"date", "", in(3 * time.Second), 503, notice{pause: 3 * time.Second}},
		{"date long ago", "", in(-time.Hour), 503, notice{}},
		{"date far ahead", "", in(time.Hour), 503, notice{pause: maxDatedPause, invalid: "Retry-After"}},
	}
	for _, v := range cases {
		t.Run(v.name, func(t *testing.T) {
			h := http.Header{"Leaving": {v.leaving}, "Retry-After": {v.retryAfter}}
			qt.Check(t, headerNames.noticeIn(v.status, h, testDate), qt.Equals, v.want)
		})
	}
}

// FuzzNoticeInResponse checks that no header field leads to a pause beyond its limit, and that unreadable ones are reported.
func FuzzNoticeInResponse(f *testing.F) {
	for _, text := range []string{"1", "0.5", "-1", "1e9", "Fri, 02 Jan 2026 15:04:05 GMT", "\x00"} {
		f.Add(text, text)
	}
	f.Fuzz(func(t *testing.T, leaving, retryAfter string) {
		n := headerNames.noticeIn(http.StatusServiceUnavailable, http.Header{"Leaving": {leaving}, "Retry-After": {retryAfter}}, testDate)
		qt.Check(t, n.pause >= 0 && n.pause <= maxPause, qt.IsTrue)
		qt.Check(t, n.leaving, qt.Equals, strings.TrimSpace(leaving) == "1")
		if _, err := strconv.ParseFloat(strings.TrimSpace(retryAfter), 64); err != nil && n.pause == maxPause {
			qt.Check(t, n.invalid, qt.Not(qt.Equals), "")
		}
	})
}

// viewOf returns a view with the upstreams of one service.
func viewOf(c *qt.C, upstreams ...table.Upstream) *table.View {
	v, err := table.NewView().Apply(table.Delta{To: 1, Full: true, Upstreams: upstreams})
	c.Assert(err, qt.IsNil)
	return v
}

// TestLeavingIsFinal checks that a process that said that it leaves stays so whatever the table says later, and that no other one is
// affected.
func TestLeavingIsFinal(t *testing.T) {
	c := qt.New(t)
	u := table.Upstream{Number: 1, Name: "a", Incarnation: 7, Service: "s", Address: "x"}
	n := newNotices()
	c.Assert(n.leave(0, u), qt.IsTrue)
	c.Assert(n.leave(time.Second, u), qt.IsFalse)
	assertLeaving := func(u table.Upstream, want bool) {
		c.Helper()
		_, leaving := n.leavingSince(u)
		c.Check(leaving, qt.Equals, want)
	}
	n.update(time.Second, viewOf(c, u))
	assertLeaving(u, true)
	n.update(2*time.Second, viewOf(c))
	rejoined := u
	rejoined.Number = 5
	n.update(3*time.Second, viewOf(c, rejoined))
	assertLeaving(rejoined, true)
	numbers, _ := n.unwilling(3*time.Second, "s")
	c.Check(numbers, qt.DeepEquals, []uint32{5})
	restarted, other := u, u
	restarted.Incarnation, other.Name = 8, "b"
	assertLeaving(restarted, false)
	assertLeaving(other, false)
	n.update(4*time.Second, viewOf(c))
	n.update(5*time.Second+noticeRetention, viewOf(c))
	c.Check(n.processes, qt.HasLen, 0)
}

// TestPauseOfAProcess checks that a pause ends by itself, is not shortened by a later one, and survives a new number of the process.
func TestPauseOfAProcess(t *testing.T) {
	c := qt.New(t)
	u := table.Upstream{Number: 1, Name: "a", Incarnation: 7, Service: "s"}
	n := newNotices()
	n.setPause(0, u, 2*time.Second)
	n.setPause(time.Second, u, 100*time.Millisecond)
	c.Check(n.pause(time.Second, u), qt.Equals, time.Second)
	n.update(time.Second, viewOf(c))
	u.Number = 2
	n.update(time.Second, viewOf(c, u))
	numbers, soonest := n.unwilling(1500*time.Millisecond, "s")
	c.Check(numbers, qt.DeepEquals, []uint32{2})
	c.Check(soonest, qt.Equals, 500*time.Millisecond)
	c.Check(n.pause(2*time.Second, u), qt.Equals, time.Duration(0))
	n.update(2*time.Second, viewOf(c, u))
	c.Check(n.processes, qt.HasLen, 0)
}

// TestLeavingInAnyResponseEndsUse checks that an upstream gets no more requests once any response of it says that it leaves: at once
// those that another upstream can serve, and after the leave time those for its keys. The table keeps saying that the upstream is well.
func TestLeavingInAnyResponseEndsUse(t *testing.T) {
	leaving := func(h http.HandlerFunc) http.HandlerFunc {
		return func(w http.ResponseWriter, r *http.Request) {
			w.Header().Set("Leaving", "1")
			h(w, r)
		}
	}
	cases := []struct {
		name string
		h    http.HandlerFunc
	}{
		{"200", respondOK},
		{"404", func(w http.ResponseWriter, r *http.Request) { respond(w, r, http.StatusNotFound, "none") }},
		{"500", func(w http.ResponseWriter, r *http.Request) { respond(w, r, http.StatusInternalServerError, "") }},
		{"503, not run", rejectWith(http.StatusServiceUnavailable)},
		{"421", rejectWith(http.StatusMisdirectedRequest)},
		{"without proof", func(w http.ResponseWriter, r *http.Request) { w.Header().Set("Id", r.Header.Get("Id")) }},
		{"broken off after the header", func(w http.ResponseWriter, r *http.Request) {
			w.Header().Set("Content-Length", "100")
			respond(w, r, http.StatusOK, "part")
			_ = http.NewResponseController(w).Flush()
			panic(http.ErrAbortHandler)
		}},
		{"long", func(w http.ResponseWriter, r *http.Request) {
			respond(w, r, http.StatusOK, strings.Repeat("x", 1<<20))
		}},
	}
	for _, v := range cases {
		t.Run(v.name+", without a key", func(t *testing.T) {
			f := newFixture(t, []http.HandlerFunc{leaving(v.h), respondOK}, nil)
			f.untilNoticed(1)
			f.discard(f.handle("/look/x"))
			count := f.servers[0].count()
			for range 10 {
				f.discard(f.handle("/look/x"))
				f.discard(f.handle("/sign/x"))
			}
			f.c.Check(f.servers[0].count(), qt.Equals, count)
		})
		t.Run(v.name+", with a key", func(t *testing.T) {
			f := newFixture(t, nil, []http.HandlerFunc{leaving(v.h)})
			f.discard(f.handle("/keep/x"))
			time.Sleep(f.broker.leaveTime())
			count := f.servers[0].count()
			resp := f.handle("/keep/x", func(r *http.Request) { r.Header.Set("Left", "100") })
			f.c.Check(resp.Status, qt.Equals, http.StatusServiceUnavailable)
			f.c.Check(f.servers[0].count(), qt.Equals, count)
		})
	}
}

// untilNoticed sends requests until the upstream with the number has said that it leaves.
func (f *fixture) untilNoticed(number uint32) {
	f.c.Helper()
	u, _ := f.table.View().Upstream(number)
	for range 200 {
		if _, leaving := f.broker.upstreams.notices.leavingSince(u); leaving {
			return
		}
		f.discard(f.handle("/sign/x"))
	}
	f.c.Fatal("the upstream was not used")
}

// discard reads a response to its end, as the caller's server does.
func (f *fixture) discard(resp *serve.Response) {
	if resp.Rest != nil {
		_, err := io.Copy(io.Discard, resp.Rest)
		resp.Done(err == nil)
	}
}

// TestLeavingIsReportedOnce checks that control is told of each process once, and by its incarnation.
func TestLeavingIsReportedOnce(t *testing.T) {
	f := newFixture(t, []http.HandlerFunc{func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set("Leaving", "1")
		respondOK(w, r)
	}}, nil)
	var reported []table.Process
	f.broker.options.OnLeaving = func(p table.Process) { reported = append(reported, p) }
	u, _ := f.table.View().Upstream(1)
	for range 3 {
		f.broker.readNotice("id", u, 200, http.Header{"Leaving": {"1"}})
	}
	f.c.Check(reported, qt.DeepEquals, []table.Process{{Name: "p0", Incarnation: 1}})
}

// pausing responds with 503 and a pause.
func pausing(pause string) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set("Retry-After", pause)
		rejectWith(http.StatusServiceUnavailable)(w, r)
	}
}

// TestPausedUpstreamGetsNoRequests checks that an upstream that asked for a pause gets nothing until its end, however often callers
// repeat, while another one serves.
func TestPausedUpstreamGetsNoRequests(t *testing.T) {
	f := newFixture(t, []http.HandlerFunc{pausing("30"), respondOK}, nil)
	for range 60 {
		f.c.Assert(f.handle("/sign/x").Status, qt.Equals, http.StatusOK)
	}
	f.c.Check(f.servers[0].count() <= 1, qt.IsTrue, qt.Commentf("%d", f.servers[0].count()))
}

// TestAllUpstreamsPaused checks that requests are rejected at once, with Retry-After times after the end of the shortest pause and spread,
// when every upstream that could run them pauses. No upstream gets more than the request that it turned away.
func TestAllUpstreamsPaused(t *testing.T) {
	for _, path := range []string{"/look/x", "/sign/x", "/keep/x"} {
		t.Run(path, func(t *testing.T) {
			f := newFixture(t, []http.HandlerFunc{pausing("20"), pausing("10")}, []http.HandlerFunc{pausing("10")})
			seen := map[string]bool{}
			for i := range 20 {
				began := clock.Boot()
				resp := f.handle(path)
				f.c.Assert(resp.Status, qt.Equals, http.StatusServiceUnavailable)
				after, err := strconv.ParseFloat(resp.Header.Get("Retry-After"), 64)
				f.c.Assert(err, qt.IsNil)
				seen[resp.Header.Get("Retry-After")] = true
				if i == 0 {
					continue
				}
				f.c.Check(f.recorder.last().Reason, qt.Equals, ReasonPaused)
				f.c.Check(after > 8 && after <= 10+returnSpread.Seconds(), qt.IsTrue, qt.Commentf("%v", after))
				f.c.Check(clock.Boot()-began < time.Second/2, qt.IsTrue)
			}
			f.c.Check(len(seen) > 10, qt.IsTrue)
			for _, s := range f.servers {
				f.c.Check(s.count() <= 1, qt.IsTrue)
			}
		})
	}
}

// TestShortPauseIsWaitedFor checks that a request waits for the end of a pause that is short against its time.
func TestShortPauseIsWaitedFor(t *testing.T) {
	for _, path := range []string{"/look/x", "/keep/x"} {
		t.Run(path, func(t *testing.T) {
			f := newFixture(t, []http.HandlerFunc{respondOK}, []http.HandlerFunc{respondOK})
			for number := range uint32(2) {
				u, _ := f.table.View().Upstream(number + 1)
				f.broker.upstreams.notices.setPause(clock.Boot(), u, 150*time.Millisecond)
			}
			f.c.Check(f.handle(path).Status, qt.Equals, http.StatusOK)
			f.c.Check(f.recorder.last().Waited >= 100*time.Millisecond, qt.IsTrue)
		})
	}
}

// TestUnwillingUpstreamsAreListed checks what operators see of upstreams that leave or pause.
func TestUnwillingUpstreamsAreListed(t *testing.T) {
	c := qt.New(t)
	n := newNotices()
	a, b := table.Upstream{Number: 1, Name: "a", Incarnation: 7, Service: "s"}, table.Upstream{Number: 2, Name: "b", Incarnation: 8, Service: "s"}
	n.setPause(0, b, 2*time.Second)
	n.leave(0, a)
	c.Check(n.list(500*time.Millisecond, time.Second), qt.DeepEquals, []UnwillingUpstream{
		{Name: "a", Incarnation: 7, Service: "s", Leaving: true, UsableMs: 500}, {Name: "b", Incarnation: 8, Service: "s", PausedMs: 1500}})
	c.Check(n.list(3*time.Second, time.Second), qt.DeepEquals, []UnwillingUpstream{{Name: "a", Incarnation: 7, Service: "s", Leaving: true}})
}

// TestPauseWhileConnecting checks that a request is not sent to an upstream that asked for a pause while the connection was opened.
func TestPauseWhileConnecting(t *testing.T) {
	f := newFixture(t, []http.HandlerFunc{respondOK}, nil)
	j := &job{broker: f.broker}
	u, _ := f.table.View().Upstream(1)
	f.c.Assert(j.checkUpstream(u), qt.IsNil)
	f.broker.upstreams.notices.setPause(clock.Boot(), u, time.Minute)
	f.c.Check(j.checkUpstream(u), qt.ErrorIs, errPaused)
	f.c.Check(fmt.Sprint(f.handle("/sign/x").Status), qt.Equals, "503")
	f.c.Check(f.servers[0].count(), qt.Equals, 0)
}
