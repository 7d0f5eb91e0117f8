package owner

import (
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strconv"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"ebonyrill.dev/ebonyrill/internal/entry/relay"
	"ebonyrill.dev/ebonyrill/internal/shared/table"
)

// serveRequest serves one request that takes 40 ms at a new sample upstream, with a lease and a deadline that start now.
func serveRequest(t *testing.T, checksFence bool, lease, deadline time.Duration) *httptest.ResponseRecorder {
	u, err := New(Options{Name: "u", ChecksFence: checksFence, Slots: 1, Work: 40 * time.Millisecond})
	qt.Assert(t, err, qt.IsNil)
	u.grants.Apply(table.GrantResponse{Version: 1, Changed: true, LeaseMillis: lease.Milliseconds(), Grants: []table.Grant{{To: 9, Fence: 3}}}, time.Now())
	r := httptest.NewRequest(http.MethodPost, "/s/k", nil)
	r.Header.Set(relay.HeaderKeyHash, "5")
	r.Header.Set(relay.HeaderFence, "3")
	r.Header.Set(relay.HeaderDeadline, strconv.FormatInt(time.Now().Add(deadline).UnixMilli(), 10))
	w := httptest.NewRecorder()
	u.ServeHTTP(w, r)
	return w
}

// TestEffectIsCheckedAgain checks that a request which began in time is not run if the lease or the deadline expires before
// it takes effect. Without the second check, a process that was suspended in between writes to keys it no longer owns.
func TestEffectIsCheckedAgain(t *testing.T) {
	cases := []struct {
		name            string
		checksFence     bool
		lease, deadline time.Duration
		want            string
	}{
		{"in time", true, time.Minute, time.Minute, ""},
		{"lease expires meanwhile", true, 20 * time.Millisecond, time.Minute, string(relay.NotRun)},
		{"deadline passes meanwhile", false, time.Minute, 20 * time.Millisecond, string(relay.NotRun)},
	}
	for _, v := range cases {
		t.Run(v.name, func(t *testing.T) {
			w := serveRequest(t, v.checksFence, v.lease, v.deadline)
			qt.Assert(t, w.Header().Get(relay.HeaderOutcome), qt.Equals, v.want)
		})
	}
}

func TestAcknowledgementWaitsForRunningRequests(t *testing.T) {
	c := qt.New(t)
	g := NewGrants()
	g.Apply(table.GrantResponse{Version: 4, Changed: true, LeaseMillis: 60000, Grants: []table.Grant{{To: 9, Fence: 3}}}, time.Now())
	c.Assert(g.Acked(), qt.Equals, uint64(4))
	end, ok := g.Begin(5, 3, time.Now())
	c.Assert(ok, qt.IsTrue)
	g.Apply(table.GrantResponse{Version: 7, Changed: true, LeaseMillis: 60000}, time.Now())
	c.Assert(g.Acked(), qt.Equals, uint64(4))
	end()
	c.Assert(g.Acked(), qt.Equals, uint64(7))
}

// TestEndlessResponseToAnAnnouncementIsBounded checks that the sample upstream stops reading a response to its announcement
// that never ends, in the header or in the body, once the limit of its size is reached.
func TestEndlessResponseToAnAnnouncementIsBounded(t *testing.T) {
	const socketBuffer = 1 << 20 // more bytes than the system buffers for a connection that is no longer read
	cases := []struct {
		name, text, pattern string
		limit               int64
	}{
		{"header lines", "HTTP/1.1 200 OK\r\n", "a: b\r\n", maxHeaderBytes},
		{"body", "HTTP/1.1 200 OK\r\n\r\n{\"name\":\"", strings.Repeat("x", 4<<10), maxResponseBytes},
	}
	for _, v := range cases {
		t.Run(v.name, func(t *testing.T) {
			c := qt.New(t)
			written := make(chan int64, 1)
			entry := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
				conn, _, err := w.(http.Hijacker).Hijack()
				c.Check(err, qt.IsNil)
				defer func() { _ = conn.Close() }()
				_ = conn.(*net.TCPConn).SetWriteBuffer(4 << 10)
				_, err = io.WriteString(conn, v.text)
				n, total := 0, int64(0)
				for err == nil && total < 4*maxResponseBytes {
					n, err = io.WriteString(conn, strings.Repeat(v.pattern, 4<<10/len(v.pattern)+1))
					total += int64(n)
				}
				written <- total
			}))
			c.Cleanup(entry.Close)
			u, err := New(Options{Name: "u", Slots: 1, Entries: []string{strings.TrimPrefix(entry.URL, "http://")}})
			c.Assert(err, qt.IsNil)
			u.client.Timeout = time.Minute
			_, err = u.sendAnnouncement()
			c.Assert(err, qt.Not(qt.IsNil))
			got := <-written
			c.Check(got < v.limit+socketBuffer, qt.IsTrue, qt.Commentf("%d bytes sent", got))
		})
	}
}
