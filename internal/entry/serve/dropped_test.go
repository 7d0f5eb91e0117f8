package serve

import (
	"context"
	"io"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// TestShutdownWaitsForAnswersBeingWritten holds that a stop has not ended while the last answer of a connection is on its way.
func TestShutdownWaitsForAnswersBeingWritten(t *testing.T) {
	rest, upstream := io.Pipe()
	f := newFixture(t, func(context.Context, *Request) *Response {
		return &Response{Status: http.StatusOK, Header: http.Header{}, Body: []byte("start"), Rest: rest, Length: 8}
	})
	f.server.Drain()
	c := f.dial()
	c.send(get("/1"))
	r, err := http.ReadResponse(c.reader, nil)
	f.c.Assert(err, qt.IsNil)
	stopped := make(chan error, 1)
	go func() { stopped <- f.server.Shutdown(context.Background()) }()
	select {
	case <-stopped:
		f.c.Error("the stop ended while an answer was being written")
	case <-time.After(5 * pollPeriod):
	}
	_, err = io.WriteString(upstream, "end")
	f.c.Assert(err, qt.IsNil)
	_ = upstream.Close()
	body, err := io.ReadAll(r.Body)
	f.c.Assert(err, qt.IsNil)
	f.c.Check(string(body), qt.Equals, "startend")
}

// TestNothingThatWasReadIsDropped sends requests on idle connections in the moment in which the server closes them: each is answered,
// or nothing of it was read.
func TestNothingThatWasReadIsDropped(t *testing.T) {
	const rounds, callers = 30, 40
	c := qt.New(t)
	for range rounds {
		taken := &sync.Map{}
		f := newFixtureBehind(t, echo, Limits{HeaderBytes: 2000, BodyBytes: 5000, HeaderTimeout: time.Second, IdleTimeout: 5 * time.Second}, func(l net.Listener) net.Listener { return countedListener{Listener: l, taken: taken} })
		begin := make(chan struct{})
		var all sync.WaitGroup
		var dropped atomic.Int64
		for n := range callers {
			caller := f.dial()
			caller.send(get("/first"))
			_, _, _ = caller.answer()
			all.Go(func() {
				<-begin
				time.Sleep(time.Duration(n) * 10 * time.Microsecond)
				_, _ = io.WriteString(caller.conn, get("/second"))
				status, _, _ := caller.answer()
				count, _ := taken.Load(caller.conn.LocalAddr().String())
				if status == 0 && count.(*atomic.Int64).Load() > int64(len(get("/first"))) {
					dropped.Add(1)
				}
			})
		}
		close(begin)
		_ = f.server.Shutdown(context.Background())
		all.Wait()
		c.Assert(dropped.Load(), qt.Equals, int64(0))
	}
}

// TestIdleConnectionsEndBehindTheBusyOnes holds that a stop does not close an idle connection while answers are due or on their way on
// others: its end would wait behind them, and what its caller sends meanwhile would get nothing.
func TestIdleConnectionsEndBehindTheBusyOnes(t *testing.T) {
	finish := make(chan struct{})
	f := newFixture(t, func(_ context.Context, r *Request) *Response {
		if r.HTTP.URL.Path == "/busy" {
			<-finish
		}
		return Text(http.StatusOK, r.HTTP.URL.Path)
	})
	idle, busy := f.dial(), f.dial()
	idle.send(get("/first"))
	_, _, _ = idle.answer()
	busy.send(get("/busy"))
	for f.server.Busy() == 0 {
		time.Sleep(time.Millisecond)
	}
	stopped := make(chan error, 1)
	go func() { stopped <- f.server.Shutdown(context.Background()) }()
	time.Sleep(5 * pollPeriod)
	idle.send(get("/second"))
	status, body, closes := idle.answer()
	f.c.Check(status, qt.Equals, http.StatusOK)
	f.c.Check(body, qt.Equals, "/second\n")
	f.c.Check(closes, qt.IsTrue)
	close(finish)
	status, _, _ = busy.answer()
	f.c.Check(status, qt.Equals, http.StatusOK)
	_, _ = idle.conn.Close(), busy.conn.Close()
	f.c.Check(<-stopped, qt.IsNil)
}

// countedListener counts what is read from each connection that it takes.
type countedListener struct {
	net.Listener
	taken *sync.Map // of *atomic.Int64, by the caller's address
}

// countedConn counts what is read from a connection.
type countedConn struct {
	*net.TCPConn
	taken *atomic.Int64
}

// Accept takes a connection.
func (l countedListener) Accept() (net.Conn, error) {
	raw, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	counted := &countedConn{TCPConn: raw.(*net.TCPConn), taken: &atomic.Int64{}}
	l.taken.Store(raw.RemoteAddr().String(), counted.taken)
	return counted, nil
}

// Read counts what it reads.
func (c *countedConn) Read(b []byte) (n int, err error) {
	n, err = c.TCPConn.Read(b)
	c.taken.Add(int64(n))
	return n, err
}
