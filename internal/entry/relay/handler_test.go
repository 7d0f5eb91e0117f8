package relay

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"ebonyrill.dev/ebonyrill/internal/shared/table"
)

func TestIdempotentIsRetried(t *testing.T) {
	first := func(bad script) script {
		var once sync.Once
		return func(conn net.Conn, r *http.Request) {
			spoilt := false
			once.Do(func() { spoilt = true })
			if spoilt {
				bad(conn, r)
				return
			}
			writeResponse(conn, r, "mine")
		}
	}
	cases := []struct {
		name string
		bad  script
	}{
		{"reset", closeConn},
		{"no response", neverRespond},
		{"truncated", func(conn net.Conn, r *http.Request) {
			writeRaw(conn, r.Header.Get(HeaderAttemptID), 100, "short")
			_ = conn.Close()
		}},
		{"crossed", func(conn net.Conn, r *http.Request) { writeRaw(conn, "other", 6, "theirs") }},
	}
	for _, v := range cases {
		t.Run(v.name, func(t *testing.T) {
			f, u := withUpstream(t, first(v.bad))
			g := f.do("GET", "/frames/k")
			assertOutcome(f.c, g, Done, u, 2)
			f.c.Assert(g.body, qt.Equals, "mine")
		})
	}
}

// TestLateAndDuplicateResponsesAreDiscarded checks that each request gets its own response although the upstream sends late and
// duplicate responses on the same connections. A duplicate response that is read for the next request costs a retry. How
// often that happens depends on timing, so that the service allows a retry for each request.
func TestLateAndDuplicateResponsesAreDiscarded(t *testing.T) {
	f, u := withUpstream(t, func(conn net.Conn, r *http.Request) {
		writeResponse(conn, r, "ok "+r.URL.Path)
		writeResponse(conn, r, "again "+r.URL.Path)
	})
	f.configure("retryShare = 1\n")
	for i := range 20 {
		path := fmt.Sprintf("/frames/k%d", i)
		g := f.do("GET", path)
		f.c.Assert(g.body, qt.Equals, "ok "+path)
	}
	given := make(chan struct{})
	u.set(func(conn net.Conn, r *http.Request) {
		if strings.HasSuffix(r.URL.Path, "late") {
			<-given
		}
		writeResponse(conn, r, r.URL.Path)
	})
	g := f.do("POST", "/frames/late", HeaderTimeout, "1000")
	close(given)
	f.c.Assert(g.outcome, qt.Equals, Unknown)
	for i := range 10 {
		path := fmt.Sprintf("/frames/p%d", i)
		f.c.Assert(f.do("POST", path).body, qt.Equals, path)
		time.Sleep(20 * time.Millisecond)
	}
}

func TestTruncatedLongResponseAbortsTheConnection(t *testing.T) {
	long := strings.Repeat("x", bufferedBytes+1000)
	t.Run("with a length", func(t *testing.T) {
		f, _ := withUpstream(t, func(conn net.Conn, r *http.Request) {
			writeRaw(conn, r.Header.Get(HeaderAttemptID), len(long)+500, long)
			_ = conn.Close()
		})
		f.c.Assert(f.do("GET", "/frames/k").err, qt.ErrorIs, io.ErrUnexpectedEOF)
	})
	t.Run("in chunks", func(t *testing.T) {
		f, _ := withUpstream(t, func(conn net.Conn, r *http.Request) {
			_, _ = fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n%s: %s\r\n\r\n%x\r\n%s\r\n", HeaderAttemptID,
				r.Header.Get(HeaderAttemptID), len(long), long)
			_ = conn.Close()
		})
		f.c.Assert(f.do("GET", "/frames/k").err, qt.ErrorIs, io.ErrUnexpectedEOF)
	})
}

func TestLongResponseIsComplete(t *testing.T) {
	long := strings.Repeat("y", 3*bufferedBytes+17)
	f, u := withUpstream(t, func(conn net.Conn, r *http.Request) { writeResponse(conn, r, long) })
	for range 5 {
		g := f.do("GET", "/frames/k")
		f.c.Assert(g.err, qt.IsNil)
		f.c.Assert(g.body == long, qt.IsTrue)
	}
	f.c.Assert(u.runs.Load(), qt.Equals, int64(5))
	busy, waiting := f.handler.Load()
	f.c.Assert([]int{busy, waiting}, qt.DeepEquals, []int{0, 0})
}

func TestBadRequestsChangeNothing(t *testing.T) {
	cases := []struct {
		name    string
		path    string
		headers []string
		body    int
		status  int
		reason  Reason
	}{
		{"no key", "/frames", nil, 1, http.StatusBadRequest, ReasonNoKey},
		{"no service", "/other/k", nil, 1, http.StatusNotFound, ReasonNoService},
		{"escaped slash in the service's prefix", "/frames%2Fk/closure", nil, 1, http.StatusNotFound, ReasonNoService},
		{"long id", "/frames/k/closure", []string{HeaderRequestID, strings.Repeat("i", 129)}, 1, http.StatusBadRequest, ReasonBadRequest},
		{"bad attempt", "/frames/k/closure", []string{HeaderAttempt, "first"}, 1, http.StatusBadRequest, ReasonBadRequest},
		{"bad timeout", "/frames/k/closure", []string{HeaderTimeout, "-5"}, 1, http.StatusBadRequest, ReasonBadRequest},
		{"large header", "/frames/k/closure", []string{"X-Large", strings.Repeat("h", 9<<10)}, 1, http.StatusRequestHeaderFieldsTooLarge, ReasonTooLarge},
		{"large body", "/frames/k/closure", nil, 2 << 20, http.StatusRequestEntityTooLarge, ReasonTooLarge},
	}
	for _, v := range cases {
		t.Run(v.name, func(t *testing.T) {
			f, u := withUpstream(t, closeConn)
			r, err := http.NewRequest("POST", f.server.URL+v.path, strings.NewReader(strings.Repeat("b", v.body)))
			f.c.Assert(err, qt.IsNil)
			for i := 0; i+1 < len(v.headers); i += 2 {
				r.Header.Set(v.headers[i], v.headers[i+1])
			}
			response, err := f.server.Client().Do(r)
			f.c.Assert(err, qt.IsNil)
			_ = response.Body.Close()
			f.c.Assert(response.StatusCode, qt.Equals, v.status)
			f.c.Assert(Reason(response.Header.Get(HeaderReason)), qt.Equals, v.reason)
			f.c.Assert(Outcome(response.Header.Get(HeaderOutcome)), qt.Equals, NotRun)
			f.c.Assert(u.runs.Load(), qt.Equals, int64(0))
		})
	}
}

func TestCallersCannotSetFences(t *testing.T) {
	f, _ := withUpstream(t, func(conn net.Conn, r *http.Request) { writeResponse(conn, r, r.Header.Get(HeaderFence)) })
	g := f.do("POST", "/frames/k/closure", HeaderFence, "999", HeaderKeyHash, "1", HeaderHop, "1")
	f.c.Assert(g.body, qt.Equals, "7")
}

// mustPair returns two entry hosts, of which home is the home host of the upstream. far reaches it at its address, or at the
// address that via, if not nil, returns for it.
func mustPair(t *testing.T, s script, via func(c *qt.C, address string) string) (far, home *fixture, u *scripted) {
	u = mustScripted(qt.New(t), s)
	info := upstreamAt(1, u.address())
	far, home = mustFixture(t, "far", info), mustFixture(t, "home", info)
	hops := httptest.NewServer(http.HandlerFunc(home.handler.ServeHop))
	home.c.Cleanup(hops.Close)
	address := hops.Listener.Addr().String()
	if via != nil {
		address = via(home.c, address)
	}
	entries := []table.EntryHost{{Name: "home", Address: address, DataCentre: "dc"}}
	far.delta.Entries, home.delta.Entries = entries, entries
	far.own(1, 7, 11)
	home.own(1, 7, 11)
	return far, home, u
}

// TestHop sends requests through a second entry host, the home host of the upstream.
func TestHop(t *testing.T) {
	pair := func(t *testing.T, s script) (far, home *fixture, u *scripted) { return mustPair(t, s, nil) }
	t.Run("complete response", func(t *testing.T) {
		far, _, u := pair(t, func(conn net.Conn, r *http.Request) { writeResponse(conn, r, r.URL.Path) })
		g := far.do("GET", "/frames/k7")
		assertOutcome(far.c, g, Done, u, 1)
		far.c.Assert(g.body, qt.Equals, "/frames/k7")
	})
	t.Run("same id through both hosts at once", func(t *testing.T) {
		far, home, u := pair(t, func(conn net.Conn, r *http.Request) {
			time.Sleep(40 * time.Millisecond)
			writeResponse(conn, r, "closed")
		})
		var wait sync.WaitGroup
		responses := make([]got, 6)
		for i := range responses {
			f := []*fixture{far, home}[i%2]
			wait.Go(func() { responses[i] = f.do("POST", "/frames/k/closure", HeaderRequestID, "id1", HeaderAttempt, "1") })
		}
		wait.Wait()
		for _, g := range responses {
			assertOutcome(far.c, g, Done, u, 1)
		}
	})
	t.Run("unknown stays unknown", func(t *testing.T) {
		far, _, u := pair(t, closeConn)
		assertOutcome(far.c, far.do("POST", "/frames/k/closure"), Unknown, u, 1)
	})
	t.Run("home closes with a request in flight", func(t *testing.T) {
		far, _, u := pair(t, closeConn)
		closing := mustScripted(far.c, closeConn)
		far.delta.Entries = []table.EntryHost{{Name: "home", Address: closing.address(), DataCentre: "dc"}}
		far.own(1, 7, 12)
		assertOutcome(far.c, far.do("POST", "/frames/k/closure"), Unknown, u, 0)
		far.c.Assert(closing.runs.Load(), qt.Equals, int64(1))
	})
	t.Run("home is gone", func(t *testing.T) {
		far, _, u := pair(t, closeConn)
		gone := mustScripted(far.c, closeConn)
		_ = gone.listener.Close()
		far.delta.Entries = []table.EntryHost{{Name: "home", Address: gone.address(), DataCentre: "dc"}}
		far.own(1, 7, 12)
		assertOutcome(far.c, far.do("POST", "/frames/k/closure", HeaderTimeout, "100"), NotRun, u, 0)
	})
	t.Run("home with an older table waits for the newer one", func(t *testing.T) {
		far, home, u := pair(t, func(conn net.Conn, r *http.Request) { writeResponse(conn, r, r.Header.Get(HeaderFence)) })
		far.own(1, 30, 15)
		go func() {
			time.Sleep(30 * time.Millisecond)
			home.own(1, 30, 15)
		}()
		g := far.do("POST", "/frames/k/closure")
		assertOutcome(far.c, g, Done, u, 1)
		far.c.Assert(g.body, qt.Equals, "30")
	})
}

func TestRetriesStayInBudget(t *testing.T) {
	f, u := withUpstream(t, closeConn)
	const requests = 200
	for range requests {
		f.do("GET", "/frames/k")
	}
	f.c.Assert(u.runs.Load() <= requests*11/10+5, qt.IsTrue, qt.Commentf("%d runs for %d requests", u.runs.Load(), requests))
}

// TestTwoHomesForAMoment makes two entry hosts each act as the home host, as happens while a new table reaches them. Together
// they may use at most twice the upstream's slots; once both have the table of the second host, only its slots are used.
func TestTwoHomesForAMoment(t *testing.T) {
	c := qt.New(t)
	var busy, peak atomic.Int64
	u := mustScripted(c, func(conn net.Conn, r *http.Request) {
		now := busy.Add(1)
		for last := peak.Load(); now > last && !peak.CompareAndSwap(last, now); last = peak.Load() {
		}
		time.Sleep(20 * time.Millisecond)
		busy.Add(-1)
		writeResponse(conn, r, "ok")
	})
	info := upstreamAt(1, u.address())
	homes := []*fixture{mustFixture(t, "entry1", info), mustFixture(t, "entry2", info)}
	load := func(each int) {
		peak.Store(0)
		var wait sync.WaitGroup
		for _, f := range homes {
			for range each {
				wait.Go(func() { c.Check(f.do("GET", "/frames/k").outcome, qt.Equals, Done) })
			}
		}
		wait.Wait()
	}
	load(20)
	c.Assert(peak.Load() <= int64(2*info.Slots), qt.IsTrue, qt.Commentf("%d at once", peak.Load()))
	hops := httptest.NewServer(http.HandlerFunc(homes[1].handler.ServeHop))
	c.Cleanup(hops.Close)
	for _, f := range homes {
		f.delta.Entries = []table.EntryHost{{Name: "entry2", Address: hops.Listener.Addr().String(), DataCentre: "dc"}}
		f.own(1, 7, 11)
	}
	load(20)
	c.Assert(peak.Load() <= int64(info.Slots), qt.IsTrue, qt.Commentf("%d at once", peak.Load()))
}
