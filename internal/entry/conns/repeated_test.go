package conns

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"strconv"
	"testing"

	qt "github.com/frankban/quicktest"
)

// newRepeatingUpstream returns an upstream that rejects the first request of each id. If another one with the id arrives on the same
// connection, it first repeats the rejection and then answers. The rejections have no id if silent is set.
func newRepeatingUpstream(t *testing.T, silent bool) *upstream {
	known := make(chan map[string]bool, 1)
	known <- map[string]bool{}
	return newUpstream(t, func(c net.Conn, r *bufio.Reader, _ int64) {
		here := map[string]bool{}
		for {
			q, ok := readRequest(r)
			if !ok {
				return
			}
			id := q.Header.Get("Id")
			rejection := reply(id, "rejected")
			if silent {
				rejection = "HTTP/1.1 400 Bad Request\r\nContent-Length: 8\r\n\r\nrejected"
			}
			seen := <-known
			text := reply(id, "done")
			switch {
			case !seen[id]:
				text = rejection
			case here[id]:
				text = rejection + text
			}
			seen[id], here[id] = true, true
			known <- seen
			_, _ = io.WriteString(c, text)
		}
	})
}

func mustBody(t *testing.T, p *Pool, c *Call) string {
	t.Helper()
	resp, err := p.Do(context.Background(), c)
	qt.Assert(t, err, qt.IsNil)
	return string(resp.Body)
}

// TestRepeatedResponseIsNotTheNextOne guards against a request that is taken for rejected and runs: a repeated response to the first of
// two requests with the same id must not be read as the response to the second.
func TestRepeatedResponseIsNotTheNextOne(t *testing.T) {
	cases := []struct {
		name    string
		between int // requests with other ids on the connection between the two
	}{{"at once", 0}, {"after another request", 1}, {"after many", 40}}
	for _, v := range cases {
		t.Run(v.name, func(t *testing.T) {
			u, p := newRepeatingUpstream(t, false), NewPool()
			qt.Assert(t, mustBody(t, p, call(u.address, "a")), qt.Equals, "rejected")
			for i := range v.between {
				mustBody(t, p, call(u.address, "b"+strconv.Itoa(i)))
			}
			qt.Check(t, mustBody(t, p, call(u.address, "a")), qt.Equals, "done")
			qt.Check(t, u.conns.Load(), qt.Equals, int64(2))
			qt.Check(t, mustBody(t, p, call(u.address, "c")), qt.Equals, "rejected")
			qt.Check(t, u.conns.Load(), qt.Equals, int64(2), qt.Commentf("other requests reuse the connections"))
		})
	}
}

// TestRequestWithoutIDGetsItsOwnConnection guards against waiting in vain for the response to a request without an id, which cannot be
// told from other responses on a connection that was used before.
func TestRequestWithoutIDGetsItsOwnConnection(t *testing.T) {
	u, p := newRepeatingUpstream(t, true), NewPool()
	for _, body := range []string{"rejected", "done", "done"} {
		c := call(u.address, "")
		c.Header = http.Header{}
		qt.Check(t, mustBody(t, p, c), qt.Equals, body)
	}
	qt.Check(t, u.conns.Load(), qt.Equals, int64(3))
}

// TestConnectionCarriesLimitedRequests checks that what a connection keeps about its requests is bounded.
func TestConnectionCarriesLimitedRequests(t *testing.T) {
	u, p := newRepeatingUpstream(t, false), NewPool()
	for i := range 2*maxExchanges + 1 {
		mustBody(t, p, call(u.address, "r"+strconv.Itoa(i)))
	}
	qt.Assert(t, u.conns.Load(), qt.Equals, int64(3))
}
