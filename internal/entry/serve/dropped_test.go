package serve

import (
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// TestShutdownWaitsForAnswersBeingWritten holds that a stop has not ended while the last answer of a connection is on its way.
func TestShutdownWaitsForAnswersBeingWritten(t *testing.T) {
	rest, upstream := io.Pipe()
	f := newFixture(t, func(context.Context, *Request) *Answer {
		return &Answer{Status: http.StatusOK, Header: http.Header{}, Body: []byte("start"), Rest: rest, Length: 8}
	})
	f.server.Retire()
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
// or its connection is closed without having been read, which resets it.
func TestNothingThatWasReadIsDropped(t *testing.T) {
	const rounds, callers = 30, 40
	c := qt.New(t)
	for range rounds {
		f := newFixture(t, echo)
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
				if caller.isDropped() {
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

// isDropped sends a request and reports whether the server read it and closed the connection without an answer.
func (c *caller) isDropped() bool {
	if _, err := io.WriteString(c.conn, get("/second")); err != nil {
		return false
	}
	_, err := http.ReadResponse(c.reader, nil)
	if err == nil || errors.Is(err, syscall.ECONNRESET) {
		return false
	}
	raw, err := c.conn.(*net.TCPConn).SyscallConn()
	c.c.Check(err, qt.IsNil)
	code := 0
	_ = raw.Control(func(fd uintptr) { code, _ = syscall.GetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_ERROR) })
	return code == 0
}
