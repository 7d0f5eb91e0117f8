package relay

import (
	"bytes"
	"io"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"ebonyrill.dev/ebonyrill/internal/entry/bound"
	"ebonyrill.dev/ebonyrill/internal/shared/events"
)

// endless returns a script that writes a text, in which @ stands for the attempt id, and then repeats a pattern until the
// connection is closed. written counts the bytes written of the pattern; the connection has a small send buffer.
func endless(text, pattern string, written *atomic.Int64) script {
	block := bytes.Repeat([]byte(pattern), 4<<10/len(pattern)+1)
	return func(conn net.Conn, r *http.Request) {
		_ = conn.(*net.TCPConn).SetWriteBuffer(4 << 10)
		_, err := io.WriteString(conn, strings.ReplaceAll(text, "@", r.Header.Get(HeaderAttemptID)))
		for err == nil {
			var n int
			n, err = conn.Write(block)
			written.Add(int64(n))
		}
	}
}

// maxKernelBuffers is more than the kernel buffers for a connection from which nothing is read any more, in bytes.
const maxKernelBuffers = 1 << 20

const attemptHeader = "HTTP/1.1 200 OK\r\n" + HeaderAttemptID + ": @\r\n"

// TestEndlessResponseHeaderIsBounded checks that an endless response header is not read without limit, whether an upstream or
// a home host sends it.
func TestEndlessResponseHeaderIsBounded(t *testing.T) {
	cases := []struct{ name, text, pattern string }{
		{"status line", "HTTP/1.1 200 ", "x"},
		{"header line", attemptHeader + "X: ", "x"},
		{"header lines", attemptHeader, "a: b\r\n"},
		{"interim responses", "", "HTTP/1.1 100 Continue\r\n\r\n"},
		{"no line at all", "", "\x00\xff"},
		{"trailers", attemptHeader + "Transfer-Encoding: chunked\r\n\r\n0\r\n", "X: y\r\n"},
		{"length of a chunk", attemptHeader + "Transfer-Encoding: chunked\r\n\r\n", "0"},
	}
	for _, v := range cases {
		t.Run(v.name+" of an upstream", func(t *testing.T) {
			var written atomic.Int64
			f, u := withUpstream(t, endless(v.text, v.pattern, &written))
			assertOutcome(f.c, f.do("POST", "/frames/k"), Unknown, u, 1)
			f.c.Check(written.Load() < maxKernelBuffers, qt.IsTrue, qt.Commentf("%d bytes", written.Load()))
		})
		t.Run(v.name+" of a home", func(t *testing.T) {
			var written atomic.Int64
			home := mustScripted(qt.New(t), endless(strings.ReplaceAll(v.text, attemptHeader, attemptHeader+HeaderHop+": 1\r\n"+HeaderOutcome+": done\r\n"), v.pattern, &written))
			far, _, _ := mustPair(t, closeConn, func(*qt.C, string) string { return home.address() })
			assertOutcome(far.c, far.do("POST", "/frames/k"), Unknown, home, 1)
			far.c.Check(written.Load() < maxKernelBuffers, qt.IsTrue, qt.Commentf("%d bytes", written.Load()))
		})
	}
}

// TestFailedAttemptIsLoggedWithCause checks that the log has the cause of an attempt without a response from an upstream or a
// home host.
func TestFailedAttemptIsLoggedWithCause(t *testing.T) {
	var written atomic.Int64
	header := endless(attemptHeader+"X: ", "x", &written)
	t.Run("upstream", func(t *testing.T) {
		f, _ := withUpstream(t, header)
		read := f.logged()
		f.do("POST", "/frames/k")
		f.c.Check(read(), qt.Matches, `(?s).*"event":3206.*`)
		f.c.Check(read(), qt.Matches, `(?s).*"upstream":"u1".*"cause":"[^"]*response headers exceeded 16384 bytes.*`)
	})
	t.Run("home", func(t *testing.T) {
		home := mustScripted(qt.New(t), header)
		far, _, _ := mustPair(t, closeConn, func(*qt.C, string) string { return home.address() })
		read := far.logged()
		far.do("POST", "/frames/k")
		far.c.Check(read(), qt.Matches, `(?s).*"upstream":"home".*"cause":"[^"]*response headers exceeded 18432 bytes.*`)
	})
}

// logged makes the fixture's handler write its log to a file and returns a function that reads the file.
func (f *fixture) logged() (read func() string) {
	file := filepath.Join(f.c.TempDir(), "log")
	out, err := os.Create(file)
	f.c.Assert(err, qt.IsNil)
	stdout := os.Stdout
	os.Stdout = out
	log, err := events.New("info", "", "e")
	os.Stdout = stdout
	f.c.Assert(err, qt.IsNil)
	f.handler.options.Log = log
	return func() string {
		log.Sync()
		text, err := os.ReadFile(file)
		f.c.Assert(err, qt.IsNil)
		return string(text)
	}
}

// TestResponseHeaderLimit checks that a response header of exactly the maximum size is accepted and a longer one is not,
// directly and through a home host.
func TestResponseHeaderLimit(t *testing.T) {
	const rest = "\r\nContent-Length: 4\r\n\r\nbody"
	headerOver := func(over int) script {
		return func(conn net.Conn, r *http.Request) {
			text := strings.ReplaceAll(attemptHeader, "@", r.Header.Get(HeaderAttemptID)) + "X: "
			fill := bound.MaxResponseHeader - len(text) - len(rest) + len("body") + over
			_, _ = io.WriteString(conn, text+strings.Repeat("x", fill)+rest)
		}
	}
	for name, over := range map[string]int{"at the limit": 0, "over the limit": 1} {
		t.Run(name, func(t *testing.T) {
			want := map[int]Outcome{0: Done, 1: Unknown}[over]
			f, u := withUpstream(t, headerOver(over))
			assertOutcome(f.c, f.do("POST", "/frames/k"), want, u, 1)
			far, _, u := mustPair(t, headerOver(over), nil)
			assertOutcome(far.c, far.do("POST", "/frames/k"), want, u, 1)
		})
	}
}

// TestEndlessResponseIsNotBufferedForResends checks that a response too long to be stored for resends is streamed to the caller
// and not collected in memory.
func TestEndlessResponseIsNotBufferedForResends(t *testing.T) {
	const (
		sent   = 64 << 20 // bytes after which the upstream sends nothing more
		passed = 32 << 20 // bytes that the caller gets meanwhile
	)
	f, _ := withUpstream(t, func(conn net.Conn, r *http.Request) {
		_, err := io.WriteString(conn, strings.ReplaceAll(attemptHeader, "@", r.Header.Get(HeaderAttemptID))+"Content-Length: 1099511627776\r\n\r\n")
		for n := 0; err == nil && n < sent; n += 64 << 10 {
			_, err = conn.Write(make([]byte, 64<<10))
		}
		_, _ = io.Copy(io.Discard, conn)
	})
	r, err := http.NewRequest("POST", f.server.URL+"/frames/k/closure", nil)
	f.c.Assert(err, qt.IsNil)
	r.Header.Set(HeaderRequestID, "i")
	r.Header.Set(HeaderAttempt, "1")
	response, err := f.server.Client().Do(r)
	f.c.Assert(err, qt.IsNil)
	defer func() { _ = response.Body.Close() }()
	f.c.Assert(response.StatusCode, qt.Equals, http.StatusOK)
	_, err = io.CopyN(io.Discard, response.Body, passed)
	f.c.Check(err, qt.IsNil)
	g := f.do("POST", "/frames/k/closure", HeaderRequestID, "i", HeaderAttempt, "2")
	f.c.Check(g.status, qt.Equals, http.StatusConflict)
	f.c.Check(g.outcome, qt.Equals, Done)
	_, err = io.Copy(io.Discard, response.Body)
	f.c.Check(err, qt.ErrorIs, io.ErrUnexpectedEOF)
	f.checkSlotsFree()
}

func (f *fixture) checkSlotsFree() {
	f.c.Helper()
	for range 100 {
		if busy, _ := f.handler.Load(); busy == 0 {
			return
		}
		time.Sleep(10 * time.Millisecond)
	}
	f.c.Error("the slot is not released")
}

// TestDiscardedResponsesReleaseSlots checks that a response which is not sent to the caller is closed with its connection, even
// if its body is endless: one that says that the request did not run, and one after which the request is retried.
func TestDiscardedResponsesReleaseSlots(t *testing.T) {
	const endlessBody = "Content-Length: 1099511627776\r\n\r\n"
	unavailable := strings.Replace(attemptHeader, "200 OK", "503 Full", 1)
	cases := []struct{ name, text string }{
		{"not run", unavailable + HeaderOutcome + ": " + string(NotRun) + "\r\n" + HeaderReason + ": " + string(ReasonDraining) + "\r\n" + endlessBody},
		{"unavailable", unavailable + endlessBody},
		{"of another attempt", "HTTP/1.1 200 OK\r\n" + HeaderAttemptID + ": other\r\n" + endlessBody},
	}
	for _, v := range cases {
		t.Run(v.name, func(t *testing.T) {
			var written, calls atomic.Int64
			bad := endless(v.text, "x", &written)
			f, u := withUpstream(t, func(conn net.Conn, r *http.Request) {
				if calls.Add(1) == 1 {
					bad(conn, r)
					return
				}
				writeResponse(conn, r, "mine")
			})
			g := f.do("GET", "/frames/k")
			f.c.Check(g.body, qt.Equals, "mine")
			f.c.Check(u.runs.Load(), qt.Equals, int64(2))
			f.checkSlotsFree()
		})
	}
}
