package serve

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"runtime"
	"strings"
	"sync"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// fixture is a server on loopback whose handler the test gives.
type fixture struct {
	c       *qt.C
	server  *Server
	address string
}

func newFixture(t *testing.T, h Handler) *fixture {
	return newLimited(t, h, Limits{HeaderBytes: 2000, BodyBytes: 5000, HeaderTimeout: time.Second, IdleTimeout: 5 * time.Second})
}

func newLimited(t *testing.T, h Handler, limits Limits) *fixture {
	return newFixtureBehind(t, h, limits, func(l net.Listener) net.Listener { return l })
}

// newFixtureBehind returns a server that takes connections by way of another listener.
func newFixtureBehind(t *testing.T, h Handler, limits Limits, behind func(l net.Listener) net.Listener) *fixture {
	f := &fixture{c: qt.New(t)}
	start := time.Now()
	f.server = New(Options{Handler: h, Clock: func() time.Duration { return time.Since(start) }, Limits: func() Limits { return limits }})
	l, err := net.Listen("tcp", "127.0.0.1:0")
	f.c.Assert(err, qt.IsNil)
	f.address = l.Addr().String()
	go func() { _ = f.server.Serve(behind(l)) }()
	f.c.Cleanup(f.server.Close)
	return f
}

// caller is a connection to the server.
type caller struct {
	c      *qt.C
	conn   net.Conn
	reader *bufio.Reader
}

func (f *fixture) dial() *caller {
	conn, err := net.Dial("tcp", f.address)
	f.c.Assert(err, qt.IsNil)
	f.c.Cleanup(func() { _ = conn.Close() })
	_ = conn.SetDeadline(time.Now().Add(10 * time.Second))
	return &caller{c: f.c, conn: conn, reader: bufio.NewReader(conn)}
}

func (c *caller) send(text string) {
	_, err := io.WriteString(c.conn, text)
	c.c.Assert(err, qt.IsNil)
}

// answer reads one answer with its body; no answer is status 0.
func (c *caller) answer() (status int, body string, closes bool) {
	r, err := http.ReadResponse(c.reader, nil)
	if err != nil {
		return 0, "", true
	}
	data, err := io.ReadAll(r.Body)
	c.c.Assert(err, qt.IsNil)
	return r.StatusCode, string(data), r.Close
}

func get(path string) string { return "GET " + path + " HTTP/1.1\r\nHost: h\r\n\r\n" }

func echo(_ context.Context, r *Request) *Response {
	a := Text(http.StatusOK, r.HTTP.URL.Path+string(r.Body))
	return a
}

// TestPipelinedRequestsRunTogether holds that a request is read before the answer to the one before it, and that answers keep
// the order of their requests.
func TestPipelinedRequestsRunTogether(t *testing.T) {
	var both sync.WaitGroup
	both.Add(2)
	f := newFixture(t, func(_ context.Context, r *Request) *Response {
		both.Done()
		both.Wait()
		if r.HTTP.URL.Path == "/1" {
			time.Sleep(20 * time.Millisecond)
		}
		return Text(http.StatusOK, r.HTTP.URL.Path)
	})
	c := f.dial()
	c.send(get("/1") + get("/2"))
	for _, want := range []string{"/1\n", "/2\n"} {
		_, body, _ := c.answer()
		f.c.Assert(body, qt.Equals, want)
	}
}

func TestBadRequests(t *testing.T) {
	long := strings.Repeat("x", 4000)
	cases := []struct {
		name, text string
		status     int
	}{
		{"not HTTP", "what\r\n\r\n", http.StatusBadRequest},
		{"header too large", "GET / HTTP/1.1\r\nHost: h\r\nX: " + long + "\r\n\r\n", http.StatusRequestHeaderFieldsTooLarge},
		{"body too large", "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 6000\r\n\r\n", http.StatusRequestEntityTooLarge},
		{"chunked body too large", "POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n1388\r\n" + strings.Repeat("y", 5000) + "\r\n5\r\nabcde\r\n0\r\n\r\n", http.StatusRequestEntityTooLarge},
		{"bad chunk", "POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\nzz\r\n", http.StatusBadRequest},
	}
	for _, v := range cases {
		t.Run(v.name, func(t *testing.T) {
			f := newFixture(t, echo)
			c := f.dial()
			c.send(v.text)
			status, _, closes := c.answer()
			f.c.Assert(status, qt.Equals, v.status)
			f.c.Assert(closes, qt.IsTrue)
		})
	}
}

func TestBodies(t *testing.T) {
	f := newFixture(t, echo)
	c := f.dial()
	c.send("POST /a HTTP/1.1\r\nHost: h\r\nContent-Length: 3\r\n\r\nabc" +
		"POST /b HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nde\r\n0\r\n\r\n")
	_, body, _ := c.answer()
	f.c.Assert(body, qt.Equals, "/aabc\n")
	_, body, _ = c.answer()
	f.c.Assert(body, qt.Equals, "/bde\n")
}

// TestCallerThatGoesIsTold holds that a handler's context ends when its caller closes.
func TestCallerThatGoesIsTold(t *testing.T) {
	gone := make(chan struct{})
	f := newFixture(t, func(ctx context.Context, _ *Request) *Response {
		<-ctx.Done()
		close(gone)
		return nil
	})
	c := f.dial()
	c.send(get("/"))
	time.Sleep(20 * time.Millisecond)
	_ = c.conn.Close()
	select {
	case <-gone:
	case <-time.After(5 * time.Second):
		t.Fatal("the handler was not told")
	}
}

// TestRequestBehindTheLastAnswerIsNotHandled holds that nothing that was sent behind an answer that closes is run.
func TestRequestBehindTheLastAnswerIsNotHandled(t *testing.T) {
	var mutex sync.Mutex
	var seen []string
	f := newFixture(t, func(_ context.Context, r *Request) *Response {
		mutex.Lock()
		seen = append(seen, r.HTTP.URL.Path)
		mutex.Unlock()
		a := Text(http.StatusOK, "")
		a.Close = true
		return a
	})
	c := f.dial()
	c.send(get("/1"))
	_, _, closes := c.answer()
	f.c.Assert(closes, qt.IsTrue)
	_, _ = io.WriteString(c.conn, get("/2"))
	status, _, _ := c.answer()
	f.c.Assert(status, qt.Equals, 0)
	mutex.Lock()
	defer mutex.Unlock()
	f.c.Assert(seen, qt.DeepEquals, []string{"/1"})
}

// TestStop holds that a stop ends idle connections at once, busy ones behind the answers to all that was read, and takes no
// new ones.
func TestStop(t *testing.T) {
	started, finish := make(chan struct{}, 2), make(chan struct{})
	f := newFixture(t, func(_ context.Context, r *Request) *Response {
		started <- struct{}{}
		<-finish
		return Text(http.StatusOK, r.HTTP.URL.Path)
	})
	idle, busy := f.dial(), f.dial()
	busy.send(get("/1") + get("/2"))
	<-started
	<-started
	stopped := make(chan error)
	go func() { stopped <- f.server.Shutdown(context.Background()) }()
	status, _, _ := idle.answer()
	f.c.Assert(status, qt.Equals, 0)
	_, err := net.Dial("tcp", f.address)
	f.c.Assert(err, qt.IsNotNil)
	close(finish)
	status, _, closes := busy.answer()
	f.c.Assert([]any{status, closes}, qt.DeepEquals, []any{200, false})
	status, body, closes := busy.answer()
	f.c.Assert([]any{status, body, closes}, qt.DeepEquals, []any{200, "/2\n", true})
	f.c.Assert(<-stopped, qt.IsNil)
}

// TestStopTakesNothingMoreFromBusyConnections holds that a request that comes behind others while the server stops is not handled:
// the connection ends with the answer before it, so that a caller who always has one more under way does not outlive the stop.
func TestStopTakesNothingMoreFromBusyConnections(t *testing.T) {
	started, finish := make(chan string, 4), make(chan struct{})
	f := newFixture(t, func(_ context.Context, r *Request) *Response {
		started <- r.HTTP.URL.Path
		<-finish
		return Text(http.StatusOK, r.HTTP.URL.Path)
	})
	busy := f.dial()
	busy.send(get("/1"))
	<-started
	f.server.Drain()
	busy.send(get("/2") + get("/3"))
	time.Sleep(50 * time.Millisecond)
	close(finish)
	status, body, closes := busy.answer()
	f.c.Assert([]any{status, body, closes}, qt.DeepEquals, []any{200, "/1\n", true})
	status, _, _ = busy.answer()
	f.c.Assert(status, qt.Equals, 0)
	f.c.Assert(started, qt.HasLen, 0)
}

// TestLongAnswers holds that answers with a rest are written whole, with a length or in chunks, and that one that breaks off
// never looks whole.
func TestLongAnswers(t *testing.T) {
	cases := []struct {
		name   string
		length int64
		rest   io.Reader
		whole  bool
	}{
		{"with a length", 8, strings.NewReader("rest"), true},
		{"without a length", -1, strings.NewReader("rest"), true},
		{"cut, with a length", 9, strings.NewReader("rest"), false},
		{"broken, without a length", -1, io.MultiReader(strings.NewReader("rest"), &broken{}), false},
	}
	for _, v := range cases {
		t.Run(v.name, func(t *testing.T) {
			done := make(chan bool, 1)
			f := newFixture(t, func(context.Context, *Request) *Response {
				return &Response{Status: 200, Header: http.Header{}, Body: []byte("body"), Rest: v.rest, Length: v.length, Done: func(w bool) { done <- w }}
			})
			c := f.dial()
			c.send(get("/"))
			r, err := http.ReadResponse(c.reader, nil)
			f.c.Assert(err, qt.IsNil)
			body, err := io.ReadAll(r.Body)
			f.c.Assert(err == nil, qt.Equals, v.whole)
			f.c.Assert(string(body), qt.Equals, "bodyrest")
			f.c.Assert(<-done, qt.Equals, v.whole)
		})
	}
}

// broken is a reader whose source breaks off.
type broken struct{}

func (*broken) Read([]byte) (int, error) { return 0, fmt.Errorf("broken off") }

// TestOldCallersReadLongAnswers holds that a caller that knows no chunks gets an answer of unknown length as it is, and that one that
// breaks off does not look whole.
func TestOldCallersReadLongAnswers(t *testing.T) {
	cases := []struct {
		name  string
		rest  io.Reader
		whole bool
	}{
		{"whole", strings.NewReader("rest"), true},
		{"broken", &broken{}, false},
	}
	for _, v := range cases {
		t.Run(v.name, func(t *testing.T) {
			f := newFixture(t, func(context.Context, *Request) *Response {
				return &Response{Status: 200, Header: http.Header{}, Body: []byte("body"), Rest: v.rest, Length: -1}
			})
			c := f.dial()
			c.send("GET / HTTP/1.0\r\nHost: h\r\n\r\n")
			r, err := http.ReadResponse(c.reader, nil)
			f.c.Assert(err, qt.IsNil)
			body, err := io.ReadAll(r.Body)
			f.c.Check(err == nil, qt.Equals, v.whole)
			if v.whole {
				f.c.Check(r.TransferEncoding, qt.HasLen, 0)
				f.c.Check(string(body), qt.Equals, "bodyrest")
			}
		})
	}
}

// TestAnnouncedBodyTakesNoMemory holds that a caller who announces a body and sends none of it costs little memory.
func TestAnnouncedBodyTakesNoMemory(t *testing.T) {
	const (
		callers   = 20
		announced = 64 << 20      // bytes
		most      = 256 * callers // KiB
	)
	f := newLimited(t, echo, Limits{HeaderBytes: 2000, BodyBytes: announced, HeaderTimeout: time.Second, IdleTimeout: 5 * time.Second})
	var before, after runtime.MemStats
	runtime.ReadMemStats(&before)
	for range callers {
		c := f.dial()
		c.send(fmt.Sprintf("POST / HTTP/1.1\r\nHost: h\r\nExpect: 100-continue\r\nContent-Length: %d\r\n\r\n", announced))
		status, _, _ := c.answer()
		f.c.Assert(status, qt.Equals, http.StatusContinue)
		c.send("x")
	}
	time.Sleep(100 * time.Millisecond)
	runtime.ReadMemStats(&after)
	taken := (after.TotalAlloc - before.TotalAlloc) >> 10
	f.c.Check(taken < most, qt.IsTrue, qt.Commentf("%d KiB allocated", taken))
}

func TestBodyOfKnownLength(t *testing.T) {
	for _, length := range []int{1, firstBody - 1, firstBody, firstBody + 1, 5*firstBody + 7} {
		text := strings.Repeat("abcdefg", length/7+1)[:length]
		body, err := readKnown(strings.NewReader(text+"behind"), int64(length))
		qt.Assert(t, err, qt.IsNil)
		qt.Check(t, string(body) == text, qt.IsTrue)
		qt.Check(t, cap(body), qt.Equals, length)
		_, err = readKnown(strings.NewReader(text[:length-1]), int64(length))
		qt.Check(t, err, qt.Not(qt.IsNil))
	}
}
