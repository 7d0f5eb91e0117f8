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

// TestLastResponseOnSaturatedLinkIsNotReset checks that a last response arrives completely at a caller that reads it late and
// sends another request before it sees the end of the connection. Closing with that request unread would reset the
// connection and lose the rest of the response.
func TestLastResponseOnSaturatedLinkIsNotReset(t *testing.T) {
	const size = 3 << 20
	f := newFixture(t, func(context.Context, *Request) *Response { return Text(http.StatusOK, strings.Repeat("x", size)) })
	f.server.Drain()
	c := f.dial()
	f.c.Assert(c.conn.(*net.TCPConn).SetReadBuffer(64<<10), qt.IsNil)
	c.send(get("/1"))
	time.Sleep(1200 * time.Millisecond) // longer than packets are delayed on a working link
	c.send(get("/2"))
	r, err := http.ReadResponse(c.reader, nil)
	f.c.Assert(err, qt.IsNil)
	n, err := io.Copy(io.Discard, r.Body)
	f.c.Check(err, qt.IsNil)
	f.c.Check(n, qt.Equals, int64(size+1))
}
