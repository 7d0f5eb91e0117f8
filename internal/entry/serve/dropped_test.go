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

// TestShutdownWaitsForResponsesBeingWritten checks that Shutdown does not return while the last response of a connection is
// being written.
func TestShutdownWaitsForResponsesBeingWritten(t *testing.T) {
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
		f.c.Error("Shutdown returned while a response was being written")
	case <-time.After(5 * pollPeriod):
	}
	_, err = io.WriteString(upstream, "end")
	f.c.Assert(err, qt.IsNil)
	_ = upstream.Close()
	body, err := io.ReadAll(r.Body)
	f.c.Assert(err, qt.IsNil)
	f.c.Check(string(body), qt.Equals, "startend")
}

// TestShutdownDropsNoReadRequest sends requests on idle connections while the server closes them. Each must get a response
// unless the server has read nothing of it: a caller cannot safely resend a request that was read and dropped.
func TestShutdownDropsNoReadRequest(t *testing.T) {
	const rounds, callers = 30, 40
	c := qt.New(t)
	for range rounds {
		received := &sync.Map{}
		f := newFixtureWithListener(t, echo, Limits{HeaderBytes: 2000, BodyBytes: 5000, HeaderTimeout: time.Second, IdleTimeout: 5 * time.Second}, func(l net.Listener) net.Listener { return countedListener{Listener: l, received: received} })
		begin := make(chan struct{})
		var all sync.WaitGroup
		var dropped atomic.Int64
		for n := range callers {
			caller := f.dial()
			caller.send(get("/first"))
			_, _, _ = caller.readResponse()
			all.Go(func() {
				<-begin
				time.Sleep(time.Duration(n) * 10 * time.Microsecond)
				_, _ = io.WriteString(caller.conn, get("/second"))
				status, _, _ := caller.readResponse()
				count, _ := received.Load(caller.conn.LocalAddr().String())
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

// TestIdleConnectionsCloseAfterBusyOnes checks that Shutdown does not close an idle connection while others have outstanding
// responses. On a saturated link the close would be queued behind those responses, and a request that the caller sends
// meanwhile would get no response.
func TestIdleConnectionsCloseAfterBusyOnes(t *testing.T) {
	finish := make(chan struct{})
	f := newFixture(t, func(_ context.Context, r *Request) *Response {
		if r.HTTP.URL.Path == "/busy" {
			<-finish
		}
		return Text(http.StatusOK, r.HTTP.URL.Path)
	})
	idle, busy := f.dial(), f.dial()
	idle.send(get("/first"))
	_, _, _ = idle.readResponse()
	busy.send(get("/busy"))
	for f.server.Busy() == 0 {
		time.Sleep(time.Millisecond)
	}
	stopped := make(chan error, 1)
	go func() { stopped <- f.server.Shutdown(context.Background()) }()
	time.Sleep(5 * pollPeriod)
	idle.send(get("/second"))
	status, body, closes := idle.readResponse()
	f.c.Check(status, qt.Equals, http.StatusOK)
	f.c.Check(body, qt.Equals, "/second\n")
	f.c.Check(closes, qt.IsTrue)
	close(finish)
	status, _, _ = busy.readResponse()
	f.c.Check(status, qt.Equals, http.StatusOK)
	_, _ = idle.conn.Close(), busy.conn.Close()
	f.c.Check(<-stopped, qt.IsNil)
}

// countedListener counts the bytes that are read from each connection that it accepts.
type countedListener struct {
	net.Listener
	received *sync.Map // from the caller's address to an *atomic.Int64
}

// countedConn counts the bytes that are read from a connection.
type countedConn struct {
	*net.TCPConn
	received *atomic.Int64
}

// Accept returns the next connection, as a countedConn.
func (l countedListener) Accept() (net.Conn, error) {
	raw, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	counted := &countedConn{TCPConn: raw.(*net.TCPConn), received: &atomic.Int64{}}
	l.received.Store(raw.RemoteAddr().String(), counted.received)
	return counted, nil
}

// Read counts the bytes that it reads.
func (c *countedConn) Read(b []byte) (n int, err error) {
	n, err = c.TCPConn.Read(b)
	c.received.Add(int64(n))
	return n, err
}
