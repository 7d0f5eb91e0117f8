package relay

import (
	"fmt"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// repeater responds to each request on a connection after it has repeated its response to the one before.
type repeater struct {
	mutex sync.Mutex
	last  map[net.Conn]string
	echo  func(r *http.Request) string // returns the attempt id to respond with, empty for none
}

func (s *repeater) respond(conn net.Conn, r *http.Request) {
	s.mutex.Lock()
	before, used := s.last[conn]
	s.last[conn] = r.URL.Path
	s.mutex.Unlock()
	if used {
		writeRaw(conn, "", len(before), before)
		time.Sleep(5 * time.Millisecond)
	}
	writeRaw(conn, s.echo(r), len(r.URL.Path), r.URL.Path)
}

// withUnchecked returns a fixture with an upstream that checks no fencing tokens.
func withUnchecked(t *testing.T, s script) (f *fixture, u *scripted) {
	u = mustScripted(qt.New(t), s)
	info := upstreamAt(1, u.address())
	info.ChecksFence = false
	f = mustFixture(t, "entry1", info)
	f.handler.options.LeaseEnd = func() time.Time { return time.Now().Add(time.Minute) }
	return f, u
}

// withRepeater returns a fixture with such an upstream that repeats its responses.
func withRepeater(t *testing.T, echo func(r *http.Request) string) *fixture {
	f, _ := withUnchecked(t, (&repeater{last: map[net.Conn]string{}, echo: echo}).respond)
	return f
}

// TestRepeatedResponseWithoutID guards against callers that get the response to another request: an upstream that returns no attempt ids
// repeats its last response where the next one is expected.
func TestRepeatedResponseWithoutID(t *testing.T) {
	attemptID := func(r *http.Request) string { return r.Header.Get(HeaderAttemptID) }
	t.Run("never an id", func(t *testing.T) {
		f := withRepeater(t, func(*http.Request) string { return "" })
		for i := range 10 {
			path := fmt.Sprintf("/frames/k%d", i)
			f.c.Check(f.do("POST", path).body, qt.Equals, path)
		}
	})
	t.Run("an id at first", func(t *testing.T) {
		var n atomic.Int64
		f := withRepeater(t, func(r *http.Request) string {
			if n.Add(1) > 2 {
				return ""
			}
			return attemptID(r)
		})
		wrong, lost := 0, 0
		for i := range 10 {
			path := fmt.Sprintf("/frames/k%d", i)
			switch g := f.do("POST", path); {
			case g.outcome == Unknown:
				lost++
			case g.body != path:
				wrong++
			}
		}
		f.c.Check(wrong, qt.Equals, 0)
		f.c.Check(lost, qt.Equals, 1, qt.Commentf("the response that shows the change"))
	})
	t.Run("always an id", func(t *testing.T) {
		f, u := withUnchecked(t, func(conn net.Conn, r *http.Request) { writeResponse(conn, r, r.URL.Path) })
		for range 10 {
			f.c.Check(f.do("POST", "/frames/k").body, qt.Equals, "/frames/k")
		}
		f.c.Check(u.conns.Load(), qt.Equals, int64(2), qt.Commentf("connections are reused once an id was returned"))
	})
}
