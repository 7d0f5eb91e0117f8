package relay

import (
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// withUpstream returns a fixture with one scripted upstream.
func withUpstream(t testing.TB, s script) (*fixture, *scripted) {
	u := mustScripted(qt.New(t), s)
	return mustFixture(t, "entry1", upstreamAt(1, u.address())), u
}

func closeConn(conn net.Conn, _ *http.Request) { _ = conn.Close() }

func neverRespond(net.Conn, *http.Request) { time.Sleep(2500 * time.Millisecond) }

func TestNonIdempotentRunsAtMostOnce(t *testing.T) {
	cases := []struct {
		name   string
		script script
		reason Reason
	}{
		{"reset after the request", closeConn, ReasonBroken},
		{"no response to the request", neverRespond, ReasonTimeout},
		{"part of the response header", func(conn net.Conn, r *http.Request) {
			_, _ = conn.Write([]byte("HTTP/1.1 200 OK\r\nContent-Le"))
			_ = conn.Close()
		}, ReasonBroken},
		{"part of the response body", func(conn net.Conn, r *http.Request) {
			writeRaw(conn, r.Header.Get(HeaderAttemptID), 100, "short")
			_ = conn.Close()
		}, ReasonTruncated},
		{"status 000", func(conn net.Conn, r *http.Request) {
			_, _ = conn.Write([]byte("HTTP/1.1 000 x\r\nEbonyrill-Attempt-Id: " + r.Header.Get(HeaderAttemptID) + "\r\nContent-Length: 2\r\n\r\nok"))
		}, ReasonBroken},
		{"a length and chunks", func(conn net.Conn, r *http.Request) {
			_, _ = conn.Write([]byte("HTTP/1.1 200 OK\r\nEbonyrill-Attempt-Id: " + r.Header.Get(HeaderAttemptID) +
				"\r\nContent-Length: 2\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n\r\n"))
		}, ReasonBroken},
		{"another request's response", func(conn net.Conn, r *http.Request) { writeRaw(conn, "other", 5, "other") }, ReasonTruncated},
		{"a response without a length", func(conn net.Conn, r *http.Request) {
			_, _ = conn.Write([]byte("HTTP/1.0 200 OK\r\nEbonyrill-Attempt-Id: " + r.Header.Get(HeaderAttemptID) + "\r\n\r\nhello"))
			_ = conn.Close()
		}, ReasonTruncated},
	}
	for _, method := range []string{"POST /frames/k/closure", "GET /frames/k/count"} {
		for _, v := range cases {
			t.Run(method+" "+v.name, func(t *testing.T) {
				f, u := withUpstream(t, v.script)
				verb, path, _ := strings.Cut(method, " ")
				g := f.do(verb, path, HeaderRequestID, "id1", HeaderAttempt, "1")
				assertOutcome(f.c, g, Unknown, u, 1)
				f.c.Assert(g.reason, qt.Equals, v.reason)
			})
		}
	}
}

func TestNonIdempotentOnClosedIdleConnection(t *testing.T) {
	// If an upstream closes an idle connection while a request is written to it, net/http's transport would by itself
	// send the request again.
	for _, header := range []string{"X-None", "Idempotency-Key", "X-Idempotency-Key"} {
		t.Run(header, func(t *testing.T) {
			f, u := withUpstream(t, func(conn net.Conn, r *http.Request) { writeResponse(conn, r, "ok") })
			assertOutcome(f.c, f.do("POST", "/frames/k/closure"), Done, u, 1)
			u.set(closeConn)
			g := f.do("POST", "/frames/k/closure", header, "1")
			assertOutcome(f.c, g, Unknown, u, 2)
		})
	}
}

func TestNotRunOnlyWhenProven(t *testing.T) {
	t.Run("no connection", func(t *testing.T) {
		c := qt.New(t)
		u := mustScripted(c, closeConn)
		_ = u.listener.Close()
		f := mustFixture(t, "entry1", upstreamAt(1, u.address()))
		assertOutcome(f.c, f.do("POST", "/frames/k/closure"), NotRun, u, 0)
	})
	t.Run("owner rejects before running", func(t *testing.T) {
		f, u := withUpstream(t, func(conn net.Conn, r *http.Request) {
			_, _ = conn.Write([]byte("HTTP/1.1 503 x\r\nContent-Length: 0\r\nEbonyrill-Attempt-Id: " + r.Header.Get(HeaderAttemptID) +
				"\r\nEbonyrill-Outcome: notRun\r\nEbonyrill-Reason: shed\r\n\r\n"))
		})
		g := f.do("POST", "/frames/k/closure")
		assertOutcome(f.c, g, NotRun, u, 1)
		f.c.Assert(g.reason, qt.Equals, ReasonShed)
	})
	t.Run("no owner in time", func(t *testing.T) {
		f, u := withUpstream(t, closeConn)
		f.own(0, 8, 11)
		g := f.do("POST", "/frames/k/closure", HeaderTimeout, "80")
		assertOutcome(f.c, g, NotRun, u, 0)
		f.c.Assert(g.reason, qt.Equals, ReasonNoOwner)
	})
}

func TestRequestIDRunsOnce(t *testing.T) {
	slow := func(conn net.Conn, r *http.Request) {
		time.Sleep(50 * time.Millisecond)
		writeResponse(conn, r, "closed")
	}
	t.Run("twice at once", func(t *testing.T) {
		f, u := withUpstream(t, slow)
		var wait sync.WaitGroup
		var both [2]got
		for i := range both {
			wait.Go(func() { both[i] = f.do("POST", "/frames/k/closure", HeaderRequestID, "id1", HeaderAttempt, "1") })
		}
		wait.Wait()
		for _, g := range both {
			assertOutcome(f.c, g, Done, u, 1)
			f.c.Assert(g.body, qt.Equals, "closed")
		}
		f.c.Assert(both[0].duplicate != both[1].duplicate, qt.IsTrue)
	})
	t.Run("after an unknown outcome", func(t *testing.T) {
		f, u := withUpstream(t, closeConn)
		assertOutcome(f.c, f.do("POST", "/frames/k/closure", HeaderRequestID, "id1", HeaderAttempt, "1"), Unknown, u, 1)
		u.set(slow)
		assertOutcome(f.c, f.do("POST", "/frames/k/closure", HeaderRequestID, "id1", HeaderAttempt, "2"), Unknown, u, 1)
	})
	t.Run("resend to a host that took over", func(t *testing.T) {
		f, u := withUpstream(t, slow)
		for _, attempt := range []string{"2", ""} {
			headers := []string{HeaderRequestID, "id1"}
			if attempt != "" {
				headers = append(headers, HeaderAttempt, attempt)
			}
			g := f.do("POST", "/frames/k/closure", headers...)
			assertOutcome(f.c, g, Unknown, u, 0)
			f.c.Assert(g.reason, qt.Equals, ReasonAmbiguous)
		}
	})
	t.Run("resend after the owner changed", func(t *testing.T) {
		f, u := withUpstream(t, slow)
		assertOutcome(f.c, f.do("POST", "/frames/k/closure", HeaderRequestID, "id1", HeaderAttempt, "1"), Done, u, 1)
		f.own(1, 9, 12)
		assertOutcome(f.c, f.do("POST", "/frames/k/closure", HeaderRequestID, "id1", HeaderAttempt, "2"), Done, u, 1)
		assertOutcome(f.c, f.do("POST", "/frames/k/closure", HeaderRequestID, "id2", HeaderAttempt, "2"), Unknown, u, 1)
	})
	t.Run("caller closes before the response", func(t *testing.T) {
		f, u := withUpstream(t, slow)
		r, err := http.NewRequest("POST", f.server.URL+"/frames/k/closure", strings.NewReader("x"))
		f.c.Assert(err, qt.IsNil)
		r.Header.Set(HeaderRequestID, "id1")
		r.Header.Set(HeaderAttempt, "1")
		client := &http.Client{Timeout: 20 * time.Millisecond}
		_, err = client.Do(r)
		f.c.Assert(err, qt.IsNotNil)
		g := f.do("POST", "/frames/k/closure", HeaderRequestID, "id1", HeaderAttempt, "2")
		assertOutcome(f.c, g, Done, u, 1)
		f.c.Assert(g.body, qt.Equals, "closed")
	})
}

func TestMoveDuringRequest(t *testing.T) {
	release := make(chan struct{})
	f, u := withUpstream(t, func(conn net.Conn, r *http.Request) {
		<-release
		writeResponse(conn, r, "from the old owner")
	})
	old := f.table.OldestInFlight()
	result := make(chan got)
	go func() { result <- f.do("POST", "/frames/k/closure") }()
	for u.runs.Load() == 0 {
		time.Sleep(time.Millisecond)
	}
	f.own(0, 9, 12)
	f.c.Assert(f.table.OldestInFlight(), qt.Equals, old, qt.Commentf("the handover must wait for the request"))
	close(release)
	assertOutcome(f.c, <-result, Done, u, 1)
	f.c.Assert(f.table.OldestInFlight(), qt.Equals, uint64(12))
}

func TestFenceRejectionIsRetriedAtNewOwner(t *testing.T) {
	c := qt.New(t)
	next := mustScripted(c, func(conn net.Conn, r *http.Request) { writeResponse(conn, r, r.Header.Get(HeaderFence)) })
	var f *fixture
	old := mustScripted(c, func(conn net.Conn, r *http.Request) {
		f.own(2, 20, 12)
		_, _ = conn.Write([]byte("HTTP/1.1 503 x\r\nContent-Length: 0\r\nEbonyrill-Attempt-Id: " + r.Header.Get(HeaderAttemptID) +
			"\r\nEbonyrill-Outcome: notRun\r\nEbonyrill-Reason: fence\r\n\r\n"))
	})
	f = mustFixture(t, "entry1", upstreamAt(1, old.address()), upstreamAt(2, next.address()))
	g := f.do("POST", "/frames/k/closure")
	assertOutcome(c, g, Done, next, 1)
	c.Assert(g.body, qt.Equals, "20")
}

func TestUncheckedUpstreamNeedsALease(t *testing.T) {
	unchecked := func(t *testing.T, lease func() time.Time) (*fixture, *scripted) {
		u := mustScripted(qt.New(t), func(conn net.Conn, r *http.Request) { writeResponse(conn, r, r.Header.Get(HeaderDeadline)) })
		info := upstreamAt(1, u.address())
		info.ChecksFence = false
		f := mustFixture(t, "entry1", info)
		f.handler.options.LeaseEnd = lease
		return f, u
	}
	t.Run("without", func(t *testing.T) {
		f, u := unchecked(t, func() time.Time { return time.Now().Add(-time.Millisecond) })
		assertOutcome(f.c, f.do("POST", "/frames/k/closure", HeaderTimeout, "100"), NotRun, u, 0)
	})
	t.Run("with, deadline within the maximum hold", func(t *testing.T) {
		f, u := unchecked(t, func() time.Time { return time.Now().Add(time.Second) })
		before := time.Now()
		g := f.do("POST", "/frames/k/closure")
		assertOutcome(f.c, g, Done, u, 1)
		deadline, err := strconv.ParseInt(g.body, 10, 64)
		f.c.Assert(err, qt.IsNil)
		f.c.Assert(time.UnixMilli(deadline).After(time.Now().Add(f.handler.options.MaxHold)), qt.IsFalse)
		f.c.Assert(time.UnixMilli(deadline).Before(before), qt.IsFalse)
	})
}

func TestRequestThatMayLieInASocketDelaysTheMove(t *testing.T) {
	u := mustScripted(qt.New(t), closeConn)
	info := upstreamAt(1, u.address())
	info.ChecksFence = false
	f := mustFixture(t, "entry1", info)
	assertOutcome(f.c, f.do("POST", "/frames/k/closure"), Unknown, u, 1)
	f.own(0, 9, 12)
	f.c.Assert(f.table.OldestInFlight(), qt.Equals, uint64(10))
}
