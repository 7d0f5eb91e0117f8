package conns

import (
	"bufio"
	"bytes"
	"context"
	"io"
	"net"
	"runtime"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/pkg/errors"

	"ebonyrill.dev/ebonyrill/internal/entry/bound"
)

// errByteLimit ends a connection from which far more was read than any limit allows, so that a test ends even if the limits do not
// work.
var errByteLimit = errors.New("byte limit of the test reached")

// countingConn counts the bytes that are read from its connection.
type countingConn struct {
	*net.TCPConn
	read  *atomic.Int64
	limit int64
}

// Read counts what it returns.
func (c *countingConn) Read(b []byte) (n int, err error) {
	if c.read.Load() > c.limit {
		return 0, errByteLimit
	}
	n, err = c.TCPConn.Read(b)
	c.read.Add(int64(n))
	return n, err
}

// countingPool returns a pool whose connections count the bytes that are read from them and fail once there are more than the limit.
func countingPool(limit int64) (p *Pool, read *atomic.Int64) {
	p, read = NewPool(), &atomic.Int64{}
	p.connect = func(ctx context.Context, address string) (net.Conn, error) {
		c, err := connect(ctx, address)
		if err != nil {
			return nil, err
		}
		return &countingConn{TCPConn: c.(*net.TCPConn), read: read, limit: limit}, nil
	}
	return p, read
}

// endlessUpstream is an upstream whose first connection gets an endless response. closed is closed once that connection has ended.
type endlessUpstream struct {
	*upstream
	closed chan struct{}
}

// newEndlessUpstream starts an upstream that answers the first request of a connection normally if answerFirst is set. To the request
// after it, or else to the first one, it writes a text and then repeats a pattern until the connection is closed. It does so only on
// the first connection.
func newEndlessUpstream(t *testing.T, answerFirst bool, text, pattern string, pause time.Duration) *endlessUpstream {
	e := &endlessUpstream{closed: make(chan struct{})}
	e.upstream = newUpstream(t, func(c net.Conn, r *bufio.Reader, n int64) {
		for ok := answerFirst; ok; ok = false {
			if q, read := readRequest(r); read {
				_, _ = io.WriteString(c, reply(q.Header.Get("Id"), "body"))
			}
		}
		if _, ok := readRequest(r); !ok || n > 1 {
			return
		}
		writeEndlessly(c, text, pattern, pause)
		close(e.closed)
	})
	return e
}

// writeEndlessly writes a text and then repeats a pattern until the connection is closed; with a pause it writes byte by byte.
func writeEndlessly(c net.Conn, text, pattern string, pause time.Duration) {
	_, err := io.WriteString(c, text)
	if pause == 0 {
		block := bytes.Repeat([]byte(pattern), 16<<10/len(pattern)+1)
		for err == nil {
			_, err = c.Write(block)
		}
		return
	}
	for i := 0; err == nil; i++ {
		_, err = c.Write([]byte{pattern[i%len(pattern)]})
		time.Sleep(pause)
	}
}

func (e *endlessUpstream) checkClosed(t *testing.T, p *Pool) {
	t.Helper()
	select {
	case <-e.closed:
	case <-time.After(10 * time.Second):
		t.Error("the connection was not closed within 10 s")
	}
	p.mutex.Lock()
	defer p.mutex.Unlock()
	qt.Check(t, len(p.idle["u"]), qt.Equals, 0)
}

const (
	plainHeader   = "HTTP/1.1 200 OK\r\nId: a\r\n"
	chunkedHeader = plainHeader + "Transfer-Encoding: chunked\r\n\r\n"
	maxHeaderRead = bound.MaxResponseHeader + readBuffer // bytes that are read at most for a header
)

// TestEndlessHeaderIsBounded checks how many bytes of an endless response are read before the exchange fails, on a new connection and
// on a reused one.
func TestEndlessHeaderIsBounded(t *testing.T) {
	cases := []struct {
		name    string
		text    string
		pattern string
		limit   int64
	}{
		{"status line", "HTTP/1.1 200 ", "x", maxHeaderRead},
		{"header line", plainHeader + "X: ", "x", maxHeaderRead},
		{"header lines", plainHeader, "a: b\r\n", maxHeaderRead},
		{"continued header line", plainHeader + "X: y\r\n", " y\r\n", maxHeaderRead},
		{"binary data", "", "\x00\xff", maxHeaderRead},
		{"empty lines", "", "\r\n", maxHeaderRead},
		{"interim responses", "", "HTTP/1.1 100 Continue\r\n\r\n", maxResponsesRead * maxHeaderRead},
		{"interim response header", "HTTP/1.1 100 Continue\r\n", "a: b\r\n", maxHeaderRead},
		{"responses to other requests", "", reply("z", "other"), maxResponsesRead * maxHeaderRead},
		{"chunk length", chunkedHeader, "0", 2 * readBuffer},
		{"chunk extension", chunkedHeader + "1;", "x", 2 * readBuffer},
		{"chunk extensions", chunkedHeader, "1;" + string(bytes.Repeat([]byte("x"), 900)) + "\r\ny\r\n", 32 << 10},
		{"trailers", chunkedHeader + "0\r\n", "X: y\r\n", 3 * readBuffer},
		{"trailer", chunkedHeader + "0\r\nX: ", "y", 3 * readBuffer},
	}
	for _, v := range cases {
		for _, reused := range []bool{false, true} {
			name := v.name + ", new connection"
			if reused {
				name = v.name + ", reused connection"
			}
			t.Run(name, func(t *testing.T) {
				p, read := countingPool(8 << 20)
				e := newEndlessUpstream(t, reused, v.text, v.pattern, 0)
				if reused {
					_, err := p.Do(context.Background(), call(e.address, "before"))
					qt.Assert(t, err, qt.IsNil)
				}
				before := read.Load()
				_, err := p.Do(context.Background(), call(e.address, "a"))
				var noResponse *ErrNoResponse
				qt.Assert(t, errors.As(err, &noResponse), qt.IsTrue, qt.Commentf("%v", err))
				qt.Check(t, noResponse.Reused, qt.Equals, reused)
				got := read.Load() - before
				qt.Check(t, got <= v.limit, qt.IsTrue, qt.Commentf("%d bytes read, %d allowed", got, v.limit))
				e.checkClosed(t, p)
				qt.Check(t, e.conns.Load(), qt.Equals, int64(1))
			})
		}
	}
}

// TestHeaderUpToTheLimitIsAccepted checks that the limit applies to the header alone: a header of exactly that size is accepted, with a
// body after it, and one that is a byte longer is rejected.
func TestHeaderUpToTheLimitIsAccepted(t *testing.T) {
	for _, over := range []int{0, 1} {
		u := newUpstream(t, func(c net.Conn, r *bufio.Reader, _ int64) {
			if _, ok := readRequest(r); !ok {
				return
			}
			rest := "\r\nContent-Length: 4\r\n\r\n"
			fill := bound.MaxResponseHeader - len(plainHeader) - len("X: ") - len(rest) + over
			_, _ = io.WriteString(c, plainHeader+"X: "+string(bytes.Repeat([]byte("x"), fill))+rest+"body")
			_, _ = r.ReadByte()
		})
		resp, err := NewPool().Do(context.Background(), call(u.address, "a"))
		if over == 1 {
			qt.Check(t, errors.Is(err, errLongHeader), qt.IsTrue, qt.Commentf("%v", err))
			continue
		}
		qt.Assert(t, err, qt.IsNil)
		qt.Check(t, string(resp.Body), qt.Equals, "body")
	}
}

// TestConcurrentEndlessHeadersBoundMemory checks that the memory for many concurrent endless headers is bounded.
func TestConcurrentEndlessHeadersBoundMemory(t *testing.T) {
	const (
		concurrent = 200
		limit      = 90 << 20 // bytes, see bound.MaxResponseHeader
	)
	lines := distinctHeaderLines(8 * bound.MaxResponseHeader)
	u := newUpstream(t, func(c net.Conn, r *bufio.Reader, _ int64) {
		if _, ok := readRequest(r); ok {
			_, _ = io.WriteString(c, plainHeader)
			writeEndlessly(c, "", lines, 0)
		}
	})
	p, _ := countingPool(concurrent * int64(len(lines)))
	var before, after runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&before)
	var wait sync.WaitGroup
	for range concurrent {
		wait.Go(func() {
			_, err := p.Do(context.Background(), call(u.address, "a"))
			qt.Check(t, err, qt.Not(qt.IsNil))
		})
	}
	wait.Wait()
	runtime.ReadMemStats(&after)
	grown := int64(after.HeapSys) - int64(before.HeapSys)
	qt.Check(t, grown <= limit, qt.IsTrue, qt.Commentf("the heap grew by %d bytes", grown))
}

// distinctHeaderLines returns the shortest header lines with distinct names, which take the most memory for their size.
func distinctHeaderLines(size int) string {
	const letters = "abcdefghijklmnopqrstuvwxyz0123456789"
	var b bytes.Buffer
	for i := 0; b.Len() < size; i++ {
		b.Write([]byte{letters[i%36], letters[i/36%36], letters[i/36/36%36], ':', '\n'})
	}
	return b.String()
}

// TestEndlessBodyEndsWithContext checks that an endless body is streamed without being kept in memory, and that it ends with an error
// when the context ends.
func TestEndlessBodyEndsWithContext(t *testing.T) {
	const (
		passed = 8 << 20 // bytes streamed before the context ends
		limit  = 1 << 20 // bytes allocated meanwhile
	)
	block := string(bytes.Repeat([]byte("x"), 1024))
	cases := []struct{ name, text, pattern string }{
		{"with a length", plainHeader + "Content-Length: 1099511627776\r\n\r\n", block},
		{"in chunks", chunkedHeader, "400\r\n" + block + "\r\n"},
		{"without a length", plainHeader + "\r\n", block},
	}
	for _, v := range cases {
		t.Run(v.name, func(t *testing.T) {
			p, _ := countingPool(1 << 40)
			e := newEndlessUpstream(t, false, v.text, v.pattern, 0)
			ctx, cancel := context.WithCancel(context.Background())
			defer cancel()
			var before, after runtime.MemStats
			runtime.ReadMemStats(&before)
			resp, err := p.Do(ctx, call(e.address, "a"))
			qt.Assert(t, err, qt.IsNil)
			qt.Assert(t, len(resp.Body), qt.Equals, maxBufferedBody)
			_, err = io.CopyN(io.Discard, resp.Rest, passed)
			qt.Assert(t, err, qt.IsNil)
			runtime.ReadMemStats(&after)
			allocated := after.TotalAlloc - before.TotalAlloc
			qt.Check(t, allocated < limit, qt.IsTrue, qt.Commentf("%d bytes allocated", allocated))
			time.AfterFunc(10*time.Millisecond, cancel)
			_, err = io.Copy(io.Discard, resp.Rest)
			qt.Check(t, err, qt.Not(qt.IsNil))
			resp.Finish(false)
			e.checkClosed(t, p)
		})
	}
}

// TestSlowResponseEndsAtTheDeadline checks that a response that never ends and arrives byte by byte is given up at the deadline.
func TestSlowResponseEndsAtTheDeadline(t *testing.T) {
	cases := []struct{ name, text, pattern string }{
		{"status line", "", "HTTP/1.1 200 OK"},
		{"header line", plainHeader + "X: ", "x"},
		{"body", plainHeader + "Content-Length: 1000000\r\n\r\n", "x"},
		{"chunk", chunkedHeader, "1\r\nx\r\n"},
		{"body of a response to another request", "HTTP/1.1 200 OK\r\nId: z\r\nContent-Length: 1000000\r\n\r\n", "x"},
	}
	for _, v := range cases {
		t.Run(v.name, func(t *testing.T) {
			t.Parallel()
			e := newEndlessUpstream(t, false, v.text, v.pattern, 10*time.Millisecond)
			ctx, cancel := context.WithTimeout(context.Background(), 200*time.Millisecond)
			defer cancel()
			p := NewPool()
			_, err := p.Do(ctx, call(e.address, "a"))
			qt.Check(t, errors.Is(err, context.DeadlineExceeded), qt.IsTrue, qt.Commentf("%v", err))
			e.checkClosed(t, p)
		})
	}
}

// TestExtraBytesCloseTheConnection checks that a response is accepted even if more bytes follow it, and that its connection is then
// closed and not kept: immediately if the bytes are there already, and while it is idle if they arrive later.
func TestExtraBytesCloseTheConnection(t *testing.T) {
	for name, pause := range map[string]time.Duration{"at once": 0, "later": 50 * time.Millisecond} {
		t.Run(name, func(t *testing.T) {
			closed := make(chan struct{})
			u := newUpstream(t, func(c net.Conn, r *bufio.Reader, _ int64) {
				if _, ok := readRequest(r); !ok {
					return
				}
				_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nId: a\r\nKeep-Alive: timeout=3600\r\nContent-Length: 4\r\n\r\nbody")
				time.Sleep(pause)
				writeEndlessly(c, "", "x", 0)
				close(closed)
			})
			p, read := countingPool(8 << 20)
			resp, err := p.Do(context.Background(), call(u.address, "a"))
			qt.Assert(t, err, qt.IsNil)
			qt.Check(t, string(resp.Body), qt.Equals, "body")
			awaitSwept(t, p, closed)
			qt.Check(t, read.Load() <= 2*readBuffer, qt.IsTrue, qt.Commentf("%d bytes read", read.Load()))
		})
	}
}

// awaitSwept sweeps the pool until the connection, which has an idle timeout of an hour, is closed.
func awaitSwept(t *testing.T, p *Pool, closed chan struct{}) {
	t.Helper()
	for range 500 {
		select {
		case <-closed:
			return
		case <-time.After(10 * time.Millisecond):
			p.Sweep(func(string) bool { return true })
		}
	}
	t.Error("the connection was not closed by sweeping")
}
