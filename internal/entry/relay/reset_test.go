package relay

import (
	"fmt"
	"io"
	"net"
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"
)

// mustResetting starts an upstream that resets each connection after it has read a number of bytes, and returns its address.
func mustResetting(c *qt.C, bytes int64) string {
	c.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	c.Assert(err, qt.IsNil)
	c.Cleanup(func() { _ = listener.Close() })
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			_, _ = io.CopyN(io.Discard, conn, bytes)
			_ = conn.(*net.TCPConn).SetLinger(0)
			_ = conn.Close()
		}
	}()
	return listener.Addr().String()
}

// TestResetWhileTheRequestIsSent resets the connection before, within and after the request line, header and body. The outcome
// of a request of which a byte may have been sent is unknown, however much of it the upstream has read.
func TestResetWhileTheRequestIsSent(t *testing.T) {
	for _, bytes := range []int64{0, 1, 10, 40, 150, 280, 400, 1000, 20000} {
		t.Run(fmt.Sprint(bytes, " bytes"), func(t *testing.T) {
			c := qt.New(t)
			f := mustFixture(t, "entry1", upstreamAt(1, mustResetting(c, bytes)))
			g := f.do("POST", "/frames/k/closure", "X-Filler", strings.Repeat("f", 2000))
			c.Assert(g.err, qt.IsNil)
			c.Assert(g.outcome, qt.Equals, Unknown, qt.Commentf("%+v", g))
			g = f.do("GET", "/frames/k/count", HeaderRequestID, "id", HeaderAttempt, "1")
			c.Assert(g.outcome, qt.Equals, Unknown, qt.Commentf("%+v", g))
		})
	}
}
