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

// stopTimes are bounds that a test can wait for. The last phase is long enough for a busy machine.
var stopTimes = conf.NewStopTimes(500*time.Millisecond, 5*time.Second)

// patience is how long a test waits for what must come.
const patience = 20 * time.Second

// stand is a broker behind a callers' server on loopback, with one upstream of two slots whose answers hang on the path.
type stand struct {
	*fixture
	server  *serve.Server
	address string
	begun   chan string   // paths that reached the upstream
	release chan struct{} // closed once the upstream may end what it streams
	ended   chan error    // what the stop returned
	notice  chan struct{} // closed once the notice is over
}

func newStand(t *testing.T) *stand {
	s := &stand{begun: make(chan string, 16), release: make(chan struct{}), ended: make(chan error, 1), notice: make(chan struct{})}
	f, d := newBare(t, []http.HandlerFunc{s.serveUpstream}, nil)
	for _, i := range d.Items {
		if i.Route != nil {
			i.Route.Timeout = patience
		}
	}
	s.fixture = f
	f.apply(d)
	s.server = serve.New(serve.Options{Handler: s.broker.Handle, Limits: func() serve.Limits {
		return serve.Limits{HeaderBytes: 4000, BodyBytes: 1 << 20, HeaderTimeout: patience, IdleTimeout: patience}
	}, Clock: clock.Boot, OnRejected: s.broker.Rejected, OnUnanswered: s.broker.Unanswered})
	l, err := net.Listen("tcp", "127.0.0.1:0")
	s.c.Assert(err, qt.IsNil)
	s.address = l.Addr().String()
	go func() { _ = s.server.Serve(l) }()
	s.c.Cleanup(s.server.Close)
	s.c.Cleanup(sync.OnceFunc(s.free))
	return s
}

// free lets the upstream end what it streams.
func (s *stand) free() {
	select {
	case <-s.release:
	default:
		close(s.release)
	}
}

func (s *stand) serveUpstream(w http.ResponseWriter, r *http.Request) {
	s.begun <- r.URL.Path
	switch {
	case strings.HasSuffix(r.URL.Path, "/silent"):
		<-r.Context().Done()
	case strings.HasSuffix(r.URL.Path, "/slow"):
		select {
		case <-s.notice:
			answerWell(w, r)
		case <-r.Context().Done():
		}
	case strings.HasSuffix(r.URL.Path, "/long"):
		answer(w, r, http.StatusOK, strings.Repeat("x", 200<<10))
		_ = http.NewResponseController(w).Flush()
		<-s.release
		_, _ = io.WriteString(w, "end")
	default:
		answerWell(w, r)
	}
}

// TestStopPassesNoLateRequestOn holds that a request whose first bytes came before the end of the notice, and the rest long after it,
// is not passed on if it may outlast the stop.
func TestStopPassesNoLateRequestOn(t *testing.T) {
	f := newFixture(t, []http.HandlerFunc{answerWell}, nil)
	f.broker.beginStop(conf.NewStopTimes(10*time.Millisecond, time.Second))
	r := f.request("/look/x", func(r *http.Request) { r.Header.Set("Left", "1500") })
	time.Sleep(20 * time.Millisecond)
	r.CompletedAt = clock.Boot()
	f.c.Check(f.broker.Handle(context.Background(), r).Status, qt.Equals, http.StatusServiceUnavailable)
	f.c.Check(f.servers[0].count(), qt.Equals, 0)
}

// stop begins the stop; it goes on while the test looks at what callers see.
func (s *stand) stop() {
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), stopTimes.End())
		defer cancel()
		err := s.broker.Stop(ctx, s.server, stopTimes, func() { close(s.notice) })
		s.server.Close()
		s.ended <- err
	}()
}

// assertWhole holds that the stop left nothing unanswered.
func (s *stand) assertWhole() {
	s.c.Helper()
	select {
	case err := <-s.ended:
		s.c.Check(err, qt.IsNil)
	case <-time.After(patience):
		s.c.Fatal("the stop does not end")
	}
	s.records.mutex.Lock()
	defer s.records.mutex.Unlock()
	s.c.Check(s.records.cut, qt.Equals, 0)
}

// line is a caller's connection.
type line struct {
	c      *qt.C
	conn   net.Conn
	reader *bufio.Reader
}

func (s *stand) dial() *line {
	conn, err := net.Dial("tcp", s.address)
	s.c.Assert(err, qt.IsNil)
	s.c.Cleanup(func() { _ = conn.Close() })
	_ = conn.SetDeadline(time.Now().Add(patience))
	return &line{c: s.c, conn: conn, reader: bufio.NewReader(conn)}
}

func (l *line) write(text string) {
	_, err := io.WriteString(l.conn, text)
	l.c.Assert(err, qt.IsNil)
}

// get sends a request for each path, one right behind the other.
func (l *line) get(paths ...string) {
	text := ""
	for _, p := range paths {
		text += "GET " + p + " HTTP/1.1\r\nHost: h\r\nId: " + p + "\r\n\r\n"
	}
	l.write(text)
}

// seen is what a caller sees of one answer; status 0 is the end of the connection.
type seen struct {
	status int
	closes bool
	length int
}

func (l *line) see() seen {
	l.c.Helper()
	r, err := http.ReadResponse(l.reader, nil)
	if err != nil {
		l.c.Check(err, qt.ErrorMatches, "(unexpected )?EOF")
		return seen{}
	}
	body, err := io.ReadAll(r.Body)
	l.c.Check(err, qt.IsNil)
	return seen{r.StatusCode, r.Close, len(body)}
}

// assertSees holds what a caller sees in order, and that the connection then ends.
func (l *line) assertSees(statuses ...int) {
	l.c.Helper()
	var got []int
	for range len(statuses) + 1 {
		x := l.see()
		got = append(got, x.status)
		if x.status == 0 {
			break
		}
	}
	l.c.Check(got, qt.DeepEquals, append(statuses, 0))
}

// awaitBegun waits until requests have reached the upstream, in any order.
func (s *stand) awaitBegun(paths ...string) {
	s.c.Helper()
	for len(paths) > 0 {
		select {
		case got := <-s.begun:
			i := slices.Index(paths, got)
			s.c.Assert(i >= 0, qt.IsTrue, qt.Commentf("%s", got))
			paths = slices.Delete(paths, i, i+1)
		case <-time.After(patience):
			s.c.Fatalf("%v do not reach the upstream", paths)
		}
	}
}

// TestStopAnswersEveryRequestThatWasRead holds, for each place where a request may stand when the host is told to stop, what its
// caller sees: a complete answer to all that was read, in order, and then the end of the connection.
func TestStopAnswersEveryRequestThatWasRead(t *testing.T) {
	cases := []struct {
		name string
		play func(s *stand, l *line)
		want []int
	}{
		{"at an upstream that answers in time", func(s *stand, l *line) {
			l.get("/look/slow")
			s.awaitBegun("/look/slow")
		}, []int{200}},
		{"at an upstream that never answers", func(s *stand, l *line) {
			l.get("/look/silent")
			s.awaitBegun("/look/silent")
		}, []int{502}},
		{"not idempotent, at an upstream that never answers", func(s *stand, l *line) {
			l.get("/sign/silent")
			s.awaitBegun("/sign/silent")
		}, []int{502}},
		{"answered, behind one that never is", func(s *stand, l *line) {
			l.get("/look/silent", "/look/quick")
			s.awaitBegun("/look/silent", "/look/quick")
		}, []int{502, 200}},
		{"waiting for a slot", func(s *stand, l *line) {
			s.fill()
			l.get("/look/quick")
			s.awaitWaiting()
		}, []int{503}},
		{"waiting for a slot, behind one at an upstream", func(s *stand, l *line) {
			s.fill()
			l.get("/look/quick", "/look/quick")
			s.awaitWaiting()
		}, []int{503, 503}},
		{"no owner of its key yet", func(s *stand, l *line) {
			l.write("GET /keep/x HTTP/1.1\r\nHost: h\r\nId: k\r\nKey: 17\r\n\r\n")
		}, []int{503}},
		{"body half read, the rest comes", func(s *stand, l *line) {
			l.write("POST /sign/quick HTTP/1.1\r\nHost: h\r\nId: b\r\nLeft: 1500\r\nContent-Length: 4\r\n\r\nab")
			go func() {
				<-s.notice
				_, _ = io.WriteString(l.conn, "cd")
			}()
		}, []int{200}},
		{"body half read, the rest never comes", func(_ *stand, l *line) {
			l.write("POST /sign/quick HTTP/1.1\r\nHost: h\r\nId: b\r\nContent-Length: 4\r\n\r\nab")
		}, []int{503}},
		{"header half read, behind one at an upstream", func(s *stand, l *line) {
			l.get("/look/slow")
			l.write("GET /look/quick HTTP/1.1\r\nHo")
			s.awaitBegun("/look/slow")
		}, []int{200}},
		{"asks to be closed", func(s *stand, l *line) {
			l.write("GET /look/slow HTTP/1.0\r\nHost: h\r\nId: o\r\n\r\n")
			s.awaitBegun("/look/slow")
		}, []int{200}},
		{"no request", func(*stand, *line) {}, nil},
	}
	for _, v := range cases {
		t.Run(v.name, func(t *testing.T) {
			t.Parallel()
			s := newStand(t)
			l := s.dial()
			v.play(s, l)
			s.stop()
			l.assertSees(v.want...)
			s.assertWhole()
		})
	}
}

// fill takes both slots of the upstream.
func (s *stand) fill() {
	for i := range 2 {
		path := fmt.Sprintf("/look/%d/silent", i)
		s.dial().get(path)
		s.awaitBegun(path)
	}
}

// awaitWaiting waits until a request waits for a slot.
func (s *stand) awaitWaiting() {
	s.c.Helper()
	for until := time.Now().Add(patience); time.Now().Before(until); time.Sleep(time.Millisecond) {
		if _, waiting := s.broker.SchedulerNode().Load(); waiting > 0 {
			return
		}
	}
	s.c.Fatal("no request waits")
}

// TestStopDoesNotCutLongAnswers holds that an answer of which the caller has a part comes to its end, however late in the stop.
func TestStopDoesNotCutLongAnswers(t *testing.T) {
	s := newStand(t)
	l := s.dial()
	l.get("/look/long")
	s.awaitBegun("/look/long")
	r, err := http.ReadResponse(l.reader, nil)
	s.c.Assert(err, qt.IsNil)
	s.stop()
	for s.broker.mayWork.Err() == nil {
		time.Sleep(time.Millisecond)
	}
	s.free()
	body, err := io.ReadAll(r.Body)
	s.c.Check(err, qt.IsNil)
	s.c.Check(len(body), qt.Equals, 200<<10+len("end"))
	s.assertWhole()
}

// TestStopPassesNothingOnThatItWouldCut holds that a request that comes after the notice reaches an upstream only if its time is over
// before the stop ends it there.
func TestStopPassesNothingOnThatItWouldCut(t *testing.T) {
	f := newFixture(t, []http.HandlerFunc{answerWell}, nil)
	f.broker.beginStop(conf.NewStopTimes(0, time.Second))
	left := func(ms string) func(*http.Request) { return func(r *http.Request) { r.Header.Set("Left", ms) } }
	f.c.Check(f.ask("/look/x", left("1500")).Status, qt.Equals, http.StatusServiceUnavailable)
	f.c.Check(f.records.last().Reason, qt.Equals, ReasonStopping)
	f.c.Check(f.servers[0].count(), qt.Equals, 0)
	f.c.Check(f.ask("/look/x", left("300")).Status, qt.Equals, http.StatusOK)
}

// TestStopTakesAnswersThatHaveBegun holds that the end of the time for upstreams does not cut an answer whose start is there, and that
// one that does not come to its end is given up before the stop is over.
func TestStopTakesAnswersThatHaveBegun(t *testing.T) {
	const length, first = 40000, 30000
	for _, whole := range []bool{true, false} {
		t.Run(fmt.Sprint("whole ", whole), func(t *testing.T) {
			begun, goOn := make(chan struct{}), make(chan struct{})
			f := newFixture(t, []http.HandlerFunc{func(w http.ResponseWriter, r *http.Request) {
				w.Header().Set("Content-Length", fmt.Sprint(length))
				answer(w, r, http.StatusOK, strings.Repeat("x", first))
				_ = http.NewResponseController(w).Flush()
				close(begun)
				select {
				case <-goOn:
					_, _ = io.WriteString(w, strings.Repeat("x", length-first))
				case <-r.Context().Done():
				}
			}}, nil)
			go func() {
				<-begun
				time.Sleep(50 * time.Millisecond)
				f.broker.stopServing()
				time.Sleep(50 * time.Millisecond)
				if whole {
					close(goOn)
				} else {
					f.broker.stopComing()
				}
			}()
			a := f.ask("/sign/x", func(r *http.Request) { r.Header.Set("Left", "30000") })
			if whole {
				f.c.Check(a.Status, qt.Equals, http.StatusOK)
				f.c.Check(a.Body, qt.HasLen, length)
				return
			}
			f.c.Check(a.Status, qt.Equals, http.StatusBadGateway)
			f.c.Check(f.records.last().Reason, qt.Equals, ReasonStopping)
		})
	}
}
