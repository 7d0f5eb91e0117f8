package serve

import (
	"bufio"
	"context"
	"io"
	"net/http"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// assertEnds holds that a connection ends in order, not by a reset.
func (c *caller) assertEnds() {
	c.c.Helper()
	_, err := c.reader.ReadByte()
	c.c.Check(err, qt.Equals, io.EOF)
}

// assertTaken holds that what a caller sends behind the last answer is taken for a while. A reset shows in its writes only, as the
// end of the connection has come before.
func (c *caller) assertTaken() {
	c.c.Helper()
	for until := time.Now().Add(lingerTime / 4); time.Now().Before(until); time.Sleep(time.Millisecond) {
		_, err := io.WriteString(c.conn, "x")
		c.c.Assert(err, qt.IsNil)
	}
}

// TestStopWaitsForTheAnswerBeingWritten holds that a stop is not over while the last answer of a connection is on its way.
func TestStopWaitsForTheAnswerBeingWritten(t *testing.T) {
	rest, source := io.Pipe()
	started, finish := make(chan struct{}), make(chan struct{})
	f := newFixture(t, func(context.Context, *Request) *Response {
		close(started)
		<-finish
		return &Response{Status: http.StatusOK, Header: http.Header{}, Body: []byte("a"), Rest: rest, Length: 2}
	})
	c := f.dial()
	c.send(get("/"))
	<-started
	f.server.Drain()
	close(finish)
	r, err := http.ReadResponse(c.reader, nil)
	f.c.Assert(err, qt.IsNil)
	ctx, cancel := context.WithTimeout(context.Background(), 100*time.Millisecond)
	defer cancel()
	f.c.Check(f.server.Shutdown(ctx), qt.ErrorIs, context.DeadlineExceeded)
	go func() {
		_, _ = io.WriteString(source, "b")
		_ = source.Close()
	}()
	body, err := io.ReadAll(r.Body)
	f.c.Check(err, qt.IsNil)
	f.c.Check(string(body), qt.Equals, "ab")
	_ = c.conn.Close()
	f.c.Check(f.server.Shutdown(context.Background()), qt.IsNil)
}

// TestStopAnswersWhatIdleConnectionsWereSent holds that a request that has come to an idle connection when the stop begins is answered,
// whether its first byte was read or not.
func TestStopAnswersWhatIdleConnectionsWereSent(t *testing.T) {
	f := newFixture(t, echo)
	var callers []*caller
	for range 64 {
		c := f.dial()
		c.send(get("/before"))
		status, _, _ := c.answer()
		f.c.Assert(status, qt.Equals, http.StatusOK)
		callers = append(callers, c)
	}
	for _, c := range callers {
		c.send(get("/crossing"))
	}
	stopped := make(chan error, 1)
	go func() { stopped <- f.server.Shutdown(context.Background()) }()
	for _, c := range callers {
		status, _, _ := c.answer()
		f.c.Check(status, qt.Equals, http.StatusOK)
		c.assertEnds()
		_ = c.conn.Close()
	}
	f.c.Check(<-stopped, qt.IsNil)
}

// TestLastAnswerIsNotReset holds that bytes that come behind the last answer do not make the connection end by a reset, which may
// destroy the answer on its way.
func TestLastAnswerIsNotReset(t *testing.T) {
	extra := strings.Repeat("x", 64<<10)
	cases := []struct {
		name   string
		text   string
		before func(f *fixture)
	}{
		{"behind a request that asks to be closed", "GET /1 HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n", func(*fixture) {}},
		{"behind a request that is refused", get("/1") + "what\r\n\r\n", func(*fixture) { time.Sleep(lingerTime + 100*time.Millisecond) }},
		{"behind the last answer of a stop", get("/1"), func(f *fixture) { f.server.Drain() }},
	}
	for _, v := range cases {
		t.Run(v.name, func(t *testing.T) {
			started, finish := make(chan struct{}), make(chan struct{})
			f := newFixture(t, func(context.Context, *Request) *Response {
				close(started)
				<-finish
				return Text(http.StatusOK, "")
			})
			c := f.dial()
			c.send(v.text)
			<-started
			v.before(f)
			c.send(extra)
			close(finish)
			status, _, _ := c.answer()
			f.c.Check(status, qt.Equals, http.StatusOK)
			c.assertTaken()
		})
	}
}

// TestExpectedBodyIsAskedForBetweenAnswers holds that the word to go on with a body does not come before, or within, the answer to an
// earlier request.
func TestExpectedBodyIsAskedForBetweenAnswers(t *testing.T) {
	finish := make(chan struct{})
	f := newFixture(t, func(_ context.Context, r *Request) *Response {
		if r.HTTP.URL.Path == "/1" {
			<-finish
		}
		return Text(http.StatusOK, string(r.Body))
	})
	c := f.dial()
	c.send(get("/1") + "POST /2 HTTP/1.1\r\nHost: h\r\nContent-Length: 2\r\nExpect: 100-continue\r\n\r\n")
	time.Sleep(50 * time.Millisecond)
	close(finish)
	var got []int
	for range 2 {
		r, err := http.ReadResponse(c.reader, nil)
		f.c.Assert(err, qt.IsNil)
		_, _ = io.Copy(io.Discard, r.Body)
		got = append(got, r.StatusCode)
	}
	f.c.Check(got, qt.DeepEquals, []int{http.StatusOK, http.StatusContinue})
	c.send("ab")
	_, body, _ := c.answer()
	f.c.Check(body, qt.Equals, "ab\n")
}

// TestPanicEndsOneRequest holds that a handler that panics costs no other request its answer.
func TestPanicEndsOneRequest(t *testing.T) {
	f := newFixture(t, func(_ context.Context, r *Request) *Response {
		if r.HTTP.URL.Path == "/1" {
			panic("on purpose")
		}
		return Text(http.StatusOK, "")
	})
	told := make(chan any, 1)
	f.server.options.OnPanic = func(_ *Request, v any) { told <- v }
	c := f.dial()
	c.send(get("/1") + get("/2"))
	status, _, _ := c.answer()
	f.c.Check(status, qt.Equals, http.StatusBadGateway)
	status, _, _ = c.answer()
	f.c.Check(status, qt.Equals, http.StatusOK)
	f.c.Check(<-told, qt.Equals, "on purpose")
}

// TestHeadGetsNoBody holds that an answer of the host's own to a request for the header alone leaves the connection in step.
func TestHeadGetsNoBody(t *testing.T) {
	f := newFixture(t, echo)
	c := f.dial()
	c.send("HEAD /1 HTTP/1.1\r\nHost: h\r\n\r\n" + get("/2"))
	r, err := http.ReadResponse(c.reader, &http.Request{Method: http.MethodHead})
	f.c.Assert(err, qt.IsNil)
	f.c.Check(r.ContentLength, qt.Equals, int64(len("/1\n")))
	status, body, _ := c.answer()
	f.c.Check(status, qt.Equals, http.StatusOK)
	f.c.Check(body, qt.Equals, "/2\n")
}

// TestSlowBodyCostsNoOtherAnswer holds that a body that does not come whole ends the connection behind the answers before it.
func TestSlowBodyCostsNoOtherAnswer(t *testing.T) {
	refused := make(chan int, 1)
	f := newFixture(t, func(ctx context.Context, _ *Request) *Response {
		select {
		case <-refused:
			return Text(http.StatusOK, "")
		case <-ctx.Done():
			return nil
		}
	})
	f.server.bodyTime = 50 * time.Millisecond
	f.server.options.OnRejected = func(_ string, status int, _ string) { refused <- status }
	c := f.dial()
	c.send(get("/1") + "POST /2 HTTP/1.1\r\nHost: h\r\nContent-Length: 2\r\n\r\na")
	status, _, _ := c.answer()
	f.c.Check(status, qt.Equals, http.StatusOK)
	status, _, closes := c.answer()
	f.c.Check([]any{status, closes}, qt.DeepEquals, []any{http.StatusRequestTimeout, true})
	c.reader = bufio.NewReader(c.conn)
	c.assertEnds()
}
