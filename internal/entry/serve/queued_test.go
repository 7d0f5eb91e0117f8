package serve

import (
	"context"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// TestLastAnswerBehindAFullLinkIsNotReset holds that a last answer which its caller takes late comes whole, though the caller sends a
// request behind it before it has seen the end of the connection.
func TestLastAnswerBehindAFullLinkIsNotReset(t *testing.T) {
	const size = 3 << 20
	f := newFixture(t, func(context.Context, *Request) *Response { return Text(http.StatusOK, strings.Repeat("x", size)) })
	f.server.Drain()
	c := f.dial()
	f.c.Assert(c.conn.(*net.TCPConn).SetReadBuffer(64<<10), qt.IsNil)
	c.send(get("/1"))
	time.Sleep(1200 * time.Millisecond) // longer than packets may wait on a link that counts as sound
	c.send(get("/2"))
	r, err := http.ReadResponse(c.reader, nil)
	f.c.Assert(err, qt.IsNil)
	n, err := io.Copy(io.Discard, r.Body)
	f.c.Check(err, qt.IsNil)
	f.c.Check(n, qt.Equals, int64(size+1))
}
