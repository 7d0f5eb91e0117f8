package conns

import (
	"bufio"
	"context"
	"errors"
	"io"
	"net"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// TestOpenConnectionsAreLimited guards against a host that takes more than its share of the connections that an upstream accepts, and
// against a connection that stays counted after it was closed.
func TestOpenConnectionsAreLimited(t *testing.T) {
	c := qt.New(t)
	hold := make(chan struct{})
	u := newUpstream(t, func(conn net.Conn, r *bufio.Reader, _ int64) {
		for {
			q, ok := readRequest(r)
			if !ok {
				return
			}
			<-hold
			_, _ = io.WriteString(conn, reply(q.Header.Get("Id"), "x"))
		}
	})
	p := NewPool()
	do := func(ctx context.Context, id string) error {
		limited := call(u.address, id)
		limited.MaxOpen = 1
		_, err := p.Do(ctx, limited)
		return err
	}
	ctx, cancel := context.WithCancel(context.Background())
	first := make(chan error)
	go func() { first <- do(ctx, "a") }()
	for u.conns.Load() == 0 {
		time.Sleep(time.Millisecond)
	}
	var tooMany *ErrTooManyConnections
	c.Check(errors.As(do(ctx, "b"), &tooMany), qt.IsTrue)
	cancel()
	c.Check(<-first, qt.IsNotNil)
	close(hold)
	c.Check(do(context.Background(), "c"), qt.IsNil)
	c.Check(do(context.Background(), "c"), qt.IsNil) // the idle connection has carried the id and gives way to a new one
	c.Check(u.conns.Load(), qt.Equals, int64(3))
	p.CloseIdle("u")
	c.Check(p.open.counts, qt.HasLen, 0)
}
