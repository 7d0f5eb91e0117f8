package daemon

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// TestSlowBodyTimesOut checks that reading a body that arrives byte by byte and never ends fails after the timeout.
func TestSlowBodyTimesOut(t *testing.T) {
	for name, head := range map[string]string{"with a length": "Content-Length: 1000000\r\n\r\n", "in chunks": "Transfer-Encoding: chunked\r\n\r\n"} {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			failed := make(chan error, 1)
			s := httptest.NewServer(limitBodyTime(http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
				_, err := io.Copy(io.Discard, r.Body)
				failed <- err
			}), 100*time.Millisecond))
			c.Cleanup(s.CloseClientConnections)
			conn, err := net.Dial("tcp", s.Listener.Addr().String())
			c.Assert(err, qt.IsNil)
			defer func() { _ = conn.Close() }()
			_, err = fmt.Fprintf(conn, "POST / HTTP/1.1\r\nHost: h\r\n%s", head)
			for i := 0; err == nil; i++ {
				select {
				case got := <-failed:
					c.Check(got, qt.ErrorMatches, ".*i/o timeout")
					return
				case <-time.After(10 * time.Millisecond):
				}
				if i == 1000 {
					c.Fatal("the handler still waits for the body")
				}
				_, err = io.WriteString(conn, map[string]string{"with a length": "x", "in chunks": "1\r\nx\r\n"}[name])
			}
			c.Check(<-failed, qt.ErrorMatches, ".*i/o timeout")
		})
	}
}

// TestBodyTimeoutDoesNotLimitHandler checks that a handler may take longer than the body timeout once it has read the body, and
// that the connection is reused.
func TestBodyTimeoutDoesNotLimitHandler(t *testing.T) {
	c := qt.New(t)
	const timeout = 50 * time.Millisecond
	s := httptest.NewServer(limitBodyTime(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		_, err := io.Copy(io.Discard, r.Body)
		c.Check(err, qt.IsNil)
		time.Sleep(4 * timeout)
		c.Check(r.Context().Err(), qt.IsNil)
		_, _ = io.WriteString(w, r.RemoteAddr)
	}), timeout))
	c.Cleanup(s.Close)
	var from []string
	for range 2 {
		response, err := s.Client().Post(s.URL, "", strings.NewReader("body"))
		c.Assert(err, qt.IsNil)
		text, err := io.ReadAll(response.Body)
		c.Assert(err, qt.IsNil)
		_ = response.Body.Close()
		from = append(from, string(text))
		time.Sleep(2 * timeout)
	}
	c.Check(from[0], qt.Equals, from[1])
}
