package relay

import (
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// blackhole is a proxy that can drop all data on its open connections, without closing them; later connections work.
type blackhole struct {
	listener net.Listener
	mutex    sync.Mutex
	conns    []*blackholeConn
}

// blackholeConn is a connection through the proxy, with a switch for each direction.
type blackholeConn struct {
	dropRequests, dropResponses atomic.Bool
}

func mustBlackhole(c *qt.C, target string) *blackhole {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	c.Assert(err, qt.IsNil)
	c.Cleanup(func() { _ = l.Close() })
	hole := &blackhole{listener: l}
	go func() {
		for {
			conn, err := l.Accept()
			if err != nil {
				return
			}
			hole.connect(conn, target)
		}
	}()
	return hole
}

func (hole *blackhole) connect(conn net.Conn, target string) {
	server, err := net.Dial("tcp", target)
	if err != nil {
		_ = conn.Close()
		return
	}
	path := &blackholeConn{}
	hole.mutex.Lock()
	hole.conns = append(hole.conns, path)
	hole.mutex.Unlock()
	go copyUnlessDropped(server, conn, &path.dropRequests)
	go copyUnlessDropped(conn, server, &path.dropResponses)
}

func copyUnlessDropped(to, from net.Conn, dropped *atomic.Bool) {
	buffer := make([]byte, 4096)
	for {
		n, err := from.Read(buffer)
		if err != nil {
			_ = to.Close()
			return
		}
		if !dropped.Load() {
			_, _ = to.Write(buffer[:n])
		}
	}
}

// drop makes the proxy drop all data on the open connections, in one or both directions.
func (hole *blackhole) drop(requests, responses bool) {
	hole.mutex.Lock()
	defer hole.mutex.Unlock()
	for _, path := range hole.conns {
		path.dropRequests.Store(requests)
		path.dropResponses.Store(responses)
	}
}

// blackholePath is a path with a blackhole proxy: from an entry host to an upstream, or to a home host.
type blackholePath struct {
	name  string
	build func(t *testing.T, s script) (*fixture, *scripted, *blackhole)
}

var blackholePaths = []blackholePath{
	{"upstream", func(t *testing.T, s script) (*fixture, *scripted, *blackhole) {
		u := mustScripted(qt.New(t), s)
		hole := mustBlackhole(qt.New(t), u.address())
		return mustFixture(t, "entry1", upstreamAt(1, hole.listener.Addr().String())), u, hole
	}},
	{"home", func(t *testing.T, s script) (far *fixture, u *scripted, hole *blackhole) {
		far, _, u = mustPair(t, s, func(c *qt.C, address string) string {
			hole = mustBlackhole(c, address)
			return hole.listener.Addr().String()
		})
		return far, u, hole
	}},
}

func TestUnresponsiveConnections(t *testing.T) {
	directions := []struct {
		name                string
		requests, responses bool
	}{{"both ways", true, true}, {"towards it", true, false}, {"from it", false, true}}
	for _, p := range blackholePaths {
		setUp := func(t *testing.T) (*fixture, *scripted, *blackhole) {
			f, u, hole := p.build(t, func(conn net.Conn, r *http.Request) { writeResponse(conn, r, "ok") })
			for range 3 {
				f.c.Assert(f.do("GET", "/frames/k").outcome, qt.Equals, Done)
				f.c.Assert(f.do("POST", "/frames/k/closure").outcome, qt.Equals, Done)
			}
			return f, u, hole
		}
		for _, d := range directions {
			t.Run(p.name+", lookup, "+d.name, func(t *testing.T) {
				f, _, hole := setUp(t)
				hole.drop(d.requests, d.responses)
				f.c.Assert(f.do("GET", "/frames/k").outcome, qt.Equals, Done)
			})
			t.Run(p.name+", closure right away, "+d.name, func(t *testing.T) {
				f, u, hole := setUp(t)
				runs := u.runs.Load()
				hole.drop(d.requests, d.responses)
				g := f.do("POST", "/frames/k/closure")
				f.c.Assert(g.outcome, qt.Equals, Unknown)
				f.c.Assert(u.runs.Load() <= runs+1, qt.IsTrue)
				f.c.Assert(f.do("POST", "/frames/k/closure").outcome, qt.Equals, Done)
			})
			t.Run(p.name+", closure after a while, "+d.name, func(t *testing.T) {
				f, u, hole := setUp(t)
				runs := u.runs.Load()
				hole.drop(d.requests, d.responses)
				time.Sleep(shortIdleTimeout + 100*time.Millisecond)
				assertOutcome(f.c, f.do("POST", "/frames/k/closure"), Done, u, runs+1)
			})
		}
	}
}

func TestUnresponsiveCallerIsGivenUp(t *testing.T) {
	f, u := withUpstream(t, func(conn net.Conn, r *http.Request) { writeResponse(conn, r, "ok") })
	f.handler.callerTimeout = 50 * time.Millisecond
	conn, err := net.Dial("tcp", f.server.Listener.Addr().String())
	f.c.Assert(err, qt.IsNil)
	defer func() { _ = conn.Close() }()
	_, err = conn.Write([]byte("POST /frames/k/closure HTTP/1.1\r\nHost: x\r\nContent-Length: 10\r\n\r\npart"))
	f.c.Assert(err, qt.IsNil)
	response, err := io.ReadAll(conn)
	f.c.Assert(err, qt.IsNil)
	f.c.Assert(string(response), qt.Contains, "Ebonyrill-Outcome: notRun")
	f.c.Assert(u.runs.Load(), qt.Equals, int64(0))
}

// TestCallerThatReadsNothingIsGivenUp requests a long response and never reads it: the upstream's slot must be released.
func TestCallerThatReadsNothingIsGivenUp(t *testing.T) {
	long := strings.Repeat("x", 32<<20)
	f, u := withUpstream(t, func(conn net.Conn, r *http.Request) { writeResponse(conn, r, long) })
	f.handler.callerTimeout = 50 * time.Millisecond
	conn, err := net.Dial("tcp", f.server.Listener.Addr().String())
	f.c.Assert(err, qt.IsNil)
	defer func() { _ = conn.Close() }()
	_, err = conn.Write([]byte("GET /frames/k HTTP/1.1\r\nHost: x\r\n\r\n"))
	f.c.Assert(err, qt.IsNil)
	for busy := 1; busy > 0 || u.runs.Load() == 0; busy, _ = f.handler.Load() {
		time.Sleep(time.Millisecond)
	}
}
