package broker

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"ebonyrill.dev/ebonyrill/internal/entry/serve"
	"ebonyrill.dev/ebonyrill/internal/shared/clock"
	"ebonyrill.dev/ebonyrill/internal/shared/conf"
)

// stopTimes are short enough for a test to wait for. The last phase is long enough for a busy machine.
var stopTimes = conf.NewStopTimes(500*time.Millisecond, 5*time.Second)

// testTimeout is how long a test waits for an expected event.
const testTimeout = 20 * time.Second

// stopFixture is a broker behind a callers' server on loopback, with one upstream of two slots whose responses depend on the path.
type stopFixture struct {
	*fixture
	server  *serve.Server
	address string
	begun   chan string   // paths of the requests that reached the upstream
	release chan struct{} // closed once the upstream may finish its streamed responses
	ended   chan error    // the result of the stop
	notice  chan struct{} // closed once the notice is over
}

func newStopFixture(t *testing.T) *stopFixture {
	s := &stopFixture{begun: make(chan string, 16), release: make(chan struct{}), ended: make(chan error, 1), notice: make(chan struct{})}
	f, d := newUnconfigured(t, []http.HandlerFunc{s.serveUpstream}, nil)
	for _, i := range d.Items {
		if i.Route != nil {
			i.Route.Timeout = testTimeout
		}
	}
	s.fixture = f
	f.apply(d)
	s.server = serve.New(serve.Options{Handler: s.broker.Handle, Limits: func() serve.Limits {
		return serve.Limits{HeaderBytes: 4000, BodyBytes: 1 << 20, HeaderTimeout: testTimeout, IdleTimeout: testTimeout}
	}, Clock: clock.Boot, OnRejected: s.broker.Rejected, OnUnanswered: s.broker.Unanswered})
	l, err := net.Listen("tcp", "127.0.0.1:0")
	s.c.Assert(err, qt.IsNil)
	s.address = l.Addr().String()
	go func() { _ = s.server.Serve(l) }()
	s.c.Cleanup(s.server.Close)
	s.c.Cleanup(sync.OnceFunc(s.releaseStream))
	return s
}

// releaseStream lets the upstream finish its streamed responses.
func (s *stopFixture) releaseStream() {
	select {
	case <-s.release:
	default:
		close(s.release)
	}
}

func (s *stopFixture) serveUpstream(w http.ResponseWriter, r *http.Request) {
	s.begun <- r.URL.Path
	switch {
	case strings.HasSuffix(r.URL.Path, "/silent"):
		<-r.Context().Done()
	case strings.HasSuffix(r.URL.Path, "/slow"):
		select {
		case <-s.notice:
			respondOK(w, r)
		case <-r.Context().Done():
		}
	case strings.HasSuffix(r.URL.Path, "/long"):
		respond(w, r, http.StatusOK, strings.Repeat("x", 200<<10))
		_ = http.NewResponseController(w).Flush()
		<-s.release
		_, _ = io.WriteString(w, "end")
	default:
		respondOK(w, r)
	}
}

// TestStopDoesNotForwardLateRequests checks that a request whose first bytes arrived before the end of the notice, and the rest long
// after it, is not forwarded if it may outlast the stop.
func TestStopDoesNotForwardLateRequests(t *testing.T) {
	f := newFixture(t, []http.HandlerFunc{respondOK}, nil)
	f.broker.beginStop(conf.NewStopTimes(10*time.Millisecond, time.Second))
	r := f.request("/look/x", func(r *http.Request) { r.Header.Set("Left", "1500") })
	time.Sleep(20 * time.Millisecond)
	r.CompletedAt = clock.Boot()
	f.c.Check(f.broker.Handle(context.Background(), r).Status, qt.Equals, http.StatusServiceUnavailable)
	f.c.Check(f.servers[0].count(), qt.Equals, 0)
}

// stop begins the stop, which continues in the background while the test checks what callers receive.
func (s *stopFixture) stop() {
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), stopTimes.End())
		defer cancel()
		err := s.broker.Stop(ctx, s.server, stopTimes, func() { close(s.notice) })
		s.server.Close()
		s.ended <- err
	}()
}

// assertAllAnswered checks that the stop ended and left no request unanswered.
func (s *stopFixture) assertAllAnswered() {
	s.c.Helper()
	select {
	case err := <-s.ended:
		s.c.Check(err, qt.IsNil)
	case <-time.After(testTimeout):
		s.c.Fatal("the stop did not end")
	}
	s.recorder.mutex.Lock()
	defer s.recorder.mutex.Unlock()
	s.c.Check(s.recorder.unanswered, qt.Equals, 0)
}

// callerConn is the caller's end of a connection.
type callerConn struct {
	c      *qt.C
	conn   net.Conn
	reader *bufio.Reader
}

func (s *stopFixture) dial() *callerConn {
	conn, err := net.Dial("tcp", s.address)
	s.c.Assert(err, qt.IsNil)
	s.c.Cleanup(func() { _ = conn.Close() })
	_ = conn.SetDeadline(time.Now().Add(testTimeout))
	return &callerConn{c: s.c, conn: conn, reader: bufio.NewReader(conn)}
}

func (l *callerConn) write(text string) {
	_, err := io.WriteString(l.conn, text)
	l.c.Assert(err, qt.IsNil)
}

// get sends a request for each path without waiting for responses.
func (l *callerConn) get(paths ...string) {
	text := ""
	for _, p := range paths {
		text += "GET " + p + " HTTP/1.1\r\nHost: h\r\nId: " + p + "\r\n\r\n"
	}
	l.write(text)
}

// received is one response as the caller receives it; status 0 is the end of the connection.
type received struct {
	status int
	closes bool
	length int
}

func (l *callerConn) readResponse() received {
	l.c.Helper()
	r, err := http.ReadResponse(l.reader, nil)
	if err != nil {
		l.c.Check(err, qt.ErrorMatches, "(unexpected )?EOF")
		return received{}
	}
	body, err := io.ReadAll(r.Body)
	l.c.Check(err, qt.IsNil)
	return received{r.StatusCode, r.Close, len(body)}
}

// assertStatuses checks the statuses that a caller receives, in order, and that the connection then ends.
func (l *callerConn) assertStatuses(statuses ...int) {
	l.c.Helper()
	var got []int
	for range len(statuses) + 1 {
		x := l.readResponse()
		got = append(got, x.status)
		if x.status == 0 {
			break
		}
	}
	l.c.Check(got, qt.DeepEquals, append(statuses, 0))
}

// awaitBegun waits until requests have reached the upstream, in any order.
func (s *stopFixture) awaitBegun(paths ...string) {
	s.c.Helper()
	for len(paths) > 0 {
		select {
		case got := <-s.begun:
			i := slices.Index(paths, got)
			s.c.Assert(i >= 0, qt.IsTrue, qt.Commentf("%s", got))
			paths = slices.Delete(paths, i, i+1)
		case <-time.After(testTimeout):
			s.c.Fatalf("requests for %v did not reach the upstream", paths)
		}
	}
}

// TestStopAnswersEveryRequestRead checks, for each state in which a request may be when the stop begins, that its caller receives
// complete responses to all requests that were read, in order, and then the end of the connection.
func TestStopAnswersEveryRequestRead(t *testing.T) {
	cases := []struct {
		name string
		send func(s *stopFixture, l *callerConn)
		want []int
	}{
		{"at an upstream that responds in time", func(s *stopFixture, l *callerConn) {
			l.get("/look/slow")
			s.awaitBegun("/look/slow")
		}, []int{200}},
		{"at an upstream that never responds", func(s *stopFixture, l *callerConn) {
			l.get("/look/silent")
			s.awaitBegun("/look/silent")
		}, []int{502}},
		{"not idempotent, at an upstream that never responds", func(s *stopFixture, l *callerConn) {
			l.get("/sign/silent")
			s.awaitBegun("/sign/silent")
		}, []int{502}},
		{"answered by the upstream, behind one that never is", func(s *stopFixture, l *callerConn) {
			l.get("/look/silent", "/look/quick")
			s.awaitBegun("/look/silent", "/look/quick")
		}, []int{502, 200}},
		{"waiting for a slot", func(s *stopFixture, l *callerConn) {
			s.occupyUpstream()
			l.get("/look/quick")
			s.awaitWaiting()
		}, []int{503}},
		{"waiting for a slot, behind one at an upstream", func(s *stopFixture, l *callerConn) {
			s.occupyUpstream()
			l.get("/look/quick", "/look/quick")
			s.awaitWaiting()
		}, []int{503, 503}},
		{"no owner of its key yet", func(s *stopFixture, l *callerConn) {
			l.write("GET /keep/x HTTP/1.1\r\nHost: h\r\nId: k\r\nKey: 17\r\n\r\n")
		}, []int{503}},
		{"body half read, the rest arrives", func(s *stopFixture, l *callerConn) {
			l.write("POST /sign/quick HTTP/1.1\r\nHost: h\r\nId: b\r\nLeft: 1500\r\nContent-Length: 4\r\n\r\nab")
			go func() {
				<-s.notice
				_, _ = io.WriteString(l.conn, "cd")
			}()
		}, []int{200}},
		{"body half read, the rest never arrives", func(_ *stopFixture, l *callerConn) {
			l.write("POST /sign/quick HTTP/1.1\r\nHost: h\r\nId: b\r\nContent-Length: 4\r\n\r\nab")
		}, []int{503}},
		{"header half read, behind one at an upstream", func(s *stopFixture, l *callerConn) {
			l.get("/look/slow")
			l.write("GET /look/quick HTTP/1.1\r\nHo")
			s.awaitBegun("/look/slow")
		}, []int{200}},
		{"header half read, nothing before it", func(_ *stopFixture, l *callerConn) {
			l.write("GET /look/quick HTTP/1.1\r\nHo")
		}, []int{503}},
		{"HTTP/1.0, connection not persistent", func(s *stopFixture, l *callerConn) {
			l.write("GET /look/slow HTTP/1.0\r\nHost: h\r\nId: o\r\n\r\n")
			s.awaitBegun("/look/slow")
		}, []int{200}},
		{"no request", func(*stopFixture, *callerConn) {}, nil},
	}
	for _, v := range cases {
		t.Run(v.name, func(t *testing.T) {
			t.Parallel()
			s := newStopFixture(t)
			l := s.dial()
			v.send(s, l)
			s.stop()
			l.assertStatuses(v.want...)
			s.assertAllAnswered()
		})
	}
}

// TestStopDrainsConnectionsBeforeTheHostLeaves checks that a response that is written while the host leaves is the last on its connection:
// the rest of a half-read request behind it could no longer be served.
func TestStopDrainsConnectionsBeforeTheHostLeaves(t *testing.T) {
	s := newStopFixture(t)
	l := s.dial()
	l.get("/look/slow")
	l.write("GET /look/quick HTTP/1.1\r\nHo")
	s.awaitBegun("/look/slow")
	var last received
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), stopTimes.End())
		defer cancel()
		s.ended <- s.broker.Stop(ctx, s.server, stopTimes, func() {
			close(s.notice)
			last = l.readResponse()
		})
	}()
	s.assertAllAnswered()
	s.c.Check([]any{last.status, last.closes}, qt.DeepEquals, []any{200, true})
}

// occupyUpstream occupies both slots of the upstream.
func (s *stopFixture) occupyUpstream() {
	for i := range 2 {
		path := fmt.Sprintf("/look/%d/silent", i)
		s.dial().get(path)
		s.awaitBegun(path)
	}
}

// awaitWaiting waits until a request waits for a slot.
func (s *stopFixture) awaitWaiting() {
	s.c.Helper()
	for until := time.Now().Add(testTimeout); time.Now().Before(until); time.Sleep(time.Millisecond) {
		if _, waiting := s.broker.SchedulerNode().Load(); waiting > 0 {
			return
		}
	}
	s.c.Fatal("no request waits for a slot")
}

// TestStopDoesNotCutStreams checks that a response that is being streamed to the caller reaches its end even late in the stop.
func TestStopDoesNotCutStreams(t *testing.T) {
	s := newStopFixture(t)
	l := s.dial()
	l.get("/look/long")
	s.awaitBegun("/look/long")
	r, err := http.ReadResponse(l.reader, nil)
	s.c.Assert(err, qt.IsNil)
	s.stop()
	for s.broker.serveCtx.Err() == nil {
		time.Sleep(time.Millisecond)
	}
	s.releaseStream()
	body, err := io.ReadAll(r.Body)
	s.c.Check(err, qt.IsNil)
	s.c.Check(len(body), qt.Equals, 200<<10+len("end"))
	s.assertAllAnswered()
}

// TestStopForwardsOnlyWhatEndsInTime checks that a request that arrives after the notice is forwarded only if its deadline is before
// the end of the serving phase.
func TestStopForwardsOnlyWhatEndsInTime(t *testing.T) {
	f := newFixture(t, []http.HandlerFunc{respondOK}, nil)
	f.broker.beginStop(conf.NewStopTimes(0, time.Second))
	left := func(ms string) func(*http.Request) { return func(r *http.Request) { r.Header.Set("Left", ms) } }
	f.c.Check(f.handle("/look/x", left("1500")).Status, qt.Equals, http.StatusServiceUnavailable)
	f.c.Check(f.recorder.last().Reason, qt.Equals, ReasonStopping)
	f.c.Check(f.servers[0].count(), qt.Equals, 0)
	f.c.Check(f.handle("/look/x", left("300")).Status, qt.Equals, http.StatusOK)
}

// TestStopAwaitsResponsesThatHaveBegun checks that the end of the serving phase does not cut short a response that has begun, and that
// one that does not reach its end is given up before the stop is over.
func TestStopAwaitsResponsesThatHaveBegun(t *testing.T) {
	const length, first = 40000, 30000
	for _, complete := range []bool{true, false} {
		t.Run(fmt.Sprint("complete ", complete), func(t *testing.T) {
			begun, resume := make(chan struct{}), make(chan struct{})
			f := newFixture(t, []http.HandlerFunc{func(w http.ResponseWriter, r *http.Request) {
				w.Header().Set("Content-Length", fmt.Sprint(length))
				respond(w, r, http.StatusOK, strings.Repeat("x", first))
				_ = http.NewResponseController(w).Flush()
				close(begun)
				select {
				case <-resume:
					_, _ = io.WriteString(w, strings.Repeat("x", length-first))
				case <-r.Context().Done():
				}
			}}, nil)
			go func() {
				<-begun
				time.Sleep(50 * time.Millisecond)
				f.broker.stopServing()
				time.Sleep(50 * time.Millisecond)
				if complete {
					close(resume)
				} else {
					f.broker.stopReceiving()
				}
			}()
			resp := f.handle("/sign/x", func(r *http.Request) { r.Header.Set("Left", "30000") })
			if complete {
				f.c.Check(resp.Status, qt.Equals, http.StatusOK)
				f.c.Check(resp.Body, qt.HasLen, length)
				return
			}
			f.c.Check(resp.Status, qt.Equals, http.StatusBadGateway)
			f.c.Check(f.recorder.last().Reason, qt.Equals, ReasonStopping)
		})
	}
}
