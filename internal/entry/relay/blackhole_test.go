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

// blackhole passes connections on until they are silenced; new ones work all the same.
type blackhole struct {
	listener net.Listener
	mutex    sync.Mutex
	conns    []*blackholeConn
}

// blackholeConn is one connection with a switch for each direction.
type blackholeConn struct {
	dropRequests, dropResponses atomic.Bool
}

func mustBlackhole(c *qt.C, target string) *blackhole {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	c.Assert(err, qt.IsNil)
	c.Cleanup(func() { _ = l.Close() })
	m := &blackhole{listener: l}
	go func() {
		for {
			conn, err := l.Accept()
			if err != nil {
				return
			}
			m.connect(conn, target)
		}
	}()
	return m
}

func (m *blackhole) connect(conn net.Conn, target string) {
	far, err := net.Dial("tcp", target)
	if err != nil {
		_ = conn.Close()
		return
	}
	k := &blackholeConn{}
	m.mutex.Lock()
	m.conns = append(m.conns, k)
	m.mutex.Unlock()
	go copyUnlessDropped(far, conn, &k.dropRequests)
	go copyUnlessDropped(conn, far, &k.dropResponses)
}

func copyUnlessDropped(to, from net.Conn, muffled *atomic.Bool) {
	buffer := make([]byte, 4096)
	for {
		n, err := from.Read(buffer)
		if err != nil {
			_ = to.Close()
			return
		}
		if !muffled.Load() {
			_, _ = to.Write(buffer[:n])
		}
	}
}

// drop loses all that goes over the connections there are, in one or both directions.
func (m *blackhole) drop(towards, back bool) {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	for _, k := range m.conns {
		k.dropRequests.Store(towards)
		k.dropResponses.Store(back)
	}
}

// blackholePath is a path between two places whose connections a test silences.
type blackholePath struct {
	name  string
	build func(t *testing.T, s script) (*fixture, *scripted, *blackhole)
}

var blackholePaths = []blackholePath{
	{"upstream", func(t *testing.T, s script) (*fixture, *scripted, *blackhole) {
		u := mustScripted(qt.New(t), s)
		m := mustBlackhole(qt.New(t), u.address())
		return mustFixture(t, "entry1", upstreamAt(1, m.listener.Addr().String())), u, m
	}},
	{"home", func(t *testing.T, s script) (far *fixture, u *scripted, m *blackhole) {
		far, _, u = mustPair(t, s, func(c *qt.C, address string) string {
			m = mustBlackhole(c, address)
			return m.listener.Addr().String()
		})
		return far, u, m
	}},
}

func TestUnresponsiveConnections(t *testing.T) {
	directions := []struct {
		name          string
		towards, back bool
	}{{"both ways", true, true}, {"towards it", true, false}, {"from it", false, true}}
	for _, p := range blackholePaths {
		setUp := func(t *testing.T) (*fixture, *scripted, *blackhole) {
			f, u, m := p.build(t, func(conn net.Conn, r *http.Request) { writeResponse(conn, r, "ok") })
			for range 3 {
				f.c.Assert(f.do("GET", "/frames/k").outcome, qt.Equals, Done)
				f.c.Assert(f.do("POST", "/frames/k/closure").outcome, qt.Equals, Done)
			}
			return f, u, m
		}
		for _, d := range directions {
			t.Run(p.name+", lookup, "+d.name, func(t *testing.T) {
				f, _, m := setUp(t)
				m.drop(d.towards, d.back)
				f.c.Assert(f.do("GET", "/frames/k").outcome, qt.Equals, Done)
			})
			t.Run(p.name+", closure right away, "+d.name, func(t *testing.T) {
				f, u, m := setUp(t)
				runs := u.runs.Load()
				m.drop(d.towards, d.back)
				g := f.do("POST", "/frames/k/closure")
				f.c.Assert(g.outcome, qt.Equals, Unknown)
				f.c.Assert(u.runs.Load() <= runs+1, qt.IsTrue)
				f.c.Assert(f.do("POST", "/frames/k/closure").outcome, qt.Equals, Done)
			})
			t.Run(p.name+", closure after a while, "+d.name, func(t *testing.T) {
				f, u, m := setUp(t)
				runs := u.runs.Load()
				m.drop(d.towards, d.back)
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

// TestCallerThatReadsNothingIsGivenUp asks for a long answer and never reads it: the upstream's slot must come free.
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
