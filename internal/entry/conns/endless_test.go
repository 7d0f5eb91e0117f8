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

// errStandIn ends a connection from which far more was taken than any bound allows, so that a test without bounds ends too.
var errStandIn = errors.New("the test's bound on bytes is reached")

// taker counts the bytes that are taken from its connection.
type taker struct {
	*net.TCPConn
	taken *atomic.Int64
	most  int64
}

// Read counts what it returns.
func (k *taker) Read(b []byte) (n int, err error) {
	if k.taken.Load() > k.most {
		return 0, errStandIn
	}
	n, err = k.TCPConn.Read(b)
	k.taken.Add(int64(n))
	return n, err
}

// countingPool returns a pool whose connections count what is taken from them and break once that is more than most.
func countingPool(most int64) (p *Pool, taken *atomic.Int64) {
	p, taken = NewPool(), &atomic.Int64{}
	p.connect = func(ctx context.Context, address string) (net.Conn, error) {
		c, err := connect(ctx, address)
		if err != nil {
			return nil, err
		}
		return &taker{TCPConn: c.(*net.TCPConn), taken: taken, most: most}, nil
	}
	return p, taken
}

// endless is an upstream that answers one request in order if told so, and writes a text and then a pattern without end to the
// next, until its connection closes.
type endless struct {
	*upstream
	closed chan struct{}
}

func newEndless(t *testing.T, first bool, text, pattern string, pause time.Duration) *endless {
	e := &endless{closed: make(chan struct{})}
	e.upstream = newUpstream(t, func(c net.Conn, r *bufio.Reader, n int64) {
		for ok := first; ok; ok = false {
			if q, read := request(r); read {
				_, _ = io.WriteString(c, reply(q.Header.Get("Id"), "body"))
			}
		}
		if _, ok := request(r); !ok || n > 1 {
			return
		}
		writeOn(c, text, pattern, pause)
		close(e.closed)
	})
	return e
}

// writeOn writes until the connection closes; with a pause it writes byte by byte.
func writeOn(c net.Conn, text, pattern string, pause time.Duration) {
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

func (e *endless) checkClosed(t *testing.T, p *Pool) {
	t.Helper()
	select {
	case <-e.closed:
	case <-time.After(10 * time.Second):
		t.Error("the connection stays open")
	}
	p.mutex.Lock()
	defer p.mutex.Unlock()
	qt.Check(t, len(p.idle["u"]), qt.Equals, 0)
}

const (
	plainHead   = "HTTP/1.1 200 OK\r\nId: a\r\n"
	chunkedHead = plainHead + "Transfer-Encoding: chunked\r\n\r\n"
	oneHead     = bound.MaxResponseHeader + answerBuffer // bytes taken at most for a head
)

// TestEndlessHeadIsBounded holds how much of bytes that are no answer is taken before the exchange ends, on a new connection and
// on one that was used before.
func TestEndlessHeadIsBounded(t *testing.T) {
	cases := []struct {
		name    string
		text    string
		pattern string
		most    int64
	}{
		{"status line", "HTTP/1.1 200 ", "x", oneHead},
		{"header line", plainHead + "X: ", "x", oneHead},
		{"header lines", plainHead, "a: b\r\n", oneHead},
		{"continued header line", plainHead + "X: y\r\n", " y\r\n", oneHead},
		{"no line at all", "", "\x00\xff", oneHead},
		{"empty lines", "", "\r\n", oneHead},
		{"interim heads", "", "HTTP/1.1 100 Continue\r\n\r\n", maxForeign * oneHead},
		{"interim head", "HTTP/1.1 100 Continue\r\n", "a: b\r\n", oneHead},
		{"answers to others", "", reply("z", "other"), maxForeign * oneHead},
		{"length of a chunk", chunkedHead, "0", 2 * answerBuffer},
		{"extension of a chunk", chunkedHead + "1;", "x", 2 * answerBuffer},
		{"extensions of chunks", chunkedHead, "1;" + string(bytes.Repeat([]byte("x"), 900)) + "\r\ny\r\n", 32 << 10},
		{"trailers", chunkedHead + "0\r\n", "X: y\r\n", 3 * answerBuffer},
		{"trailer", chunkedHead + "0\r\nX: ", "y", 3 * answerBuffer},
	}
	for _, v := range cases {
		for _, used := range []bool{false, true} {
			name := v.name + ", new connection"
			if used {
				name = v.name + ", used connection"
			}
			t.Run(name, func(t *testing.T) {
				p, taken := countingPool(8 << 20)
				e := newEndless(t, used, v.text, v.pattern, 0)
				if used {
					_, err := p.Do(context.Background(), call(e.address, "a"))
					qt.Assert(t, err, qt.IsNil)
				}
				before := taken.Load()
				_, err := p.Do(context.Background(), call(e.address, "a"))
				var unanswered *ErrNoResponse
				qt.Assert(t, errors.As(err, &unanswered), qt.IsTrue, qt.Commentf("%v", err))
				qt.Check(t, unanswered.Reused, qt.Equals, used)
				got := taken.Load() - before
				qt.Check(t, got <= v.most, qt.IsTrue, qt.Commentf("%d bytes taken, %d allowed", got, v.most))
				e.checkClosed(t, p)
				qt.Check(t, e.conns.Load(), qt.Equals, int64(1))
			})
		}
	}
}

// TestHeadUpToItsLimitIsTaken holds that the limit is on the head alone: a head of that size is taken, with a body behind it.
func TestHeadUpToItsLimitIsTaken(t *testing.T) {
	for _, over := range []int{0, 1} {
		u := newUpstream(t, func(c net.Conn, r *bufio.Reader, _ int64) {
			if _, ok := request(r); !ok {
				return
			}
			rest := "\r\nContent-Length: 4\r\n\r\n"
			fill := bound.MaxResponseHeader - len(plainHead) - len("X: ") - len(rest) + over
			_, _ = io.WriteString(c, plainHead+"X: "+string(bytes.Repeat([]byte("x"), fill))+rest+"body")
			_, _ = r.ReadByte()
		})
		a, err := NewPool().Do(context.Background(), call(u.address, "a"))
		if over == 1 {
			qt.Check(t, errors.Is(err, errLongHead), qt.IsTrue, qt.Commentf("%v", err))
			continue
		}
		qt.Assert(t, err, qt.IsNil)
		qt.Check(t, string(a.Body), qt.Equals, "body")
	}
}

// TestEndlessHeadsAtOnceKeepMemory holds the memory of as many endless heads at once as the upstreams of a site have slots.
func TestEndlessHeadsAtOnceKeepMemory(t *testing.T) {
	const (
		atOnce = 200
		most   = 90 << 20 // bytes, as bound.MaxAnswerHead says
	)
	lines := distinctLines(8 * bound.MaxResponseHeader)
	u := newUpstream(t, func(c net.Conn, r *bufio.Reader, _ int64) {
		if _, ok := request(r); ok {
			_, _ = io.WriteString(c, plainHead)
			writeOn(c, "", lines, 0)
		}
	})
	p, _ := countingPool(atOnce * int64(len(lines)))
	var before, after runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&before)
	var wait sync.WaitGroup
	for range atOnce {
		wait.Go(func() {
			_, err := p.Do(context.Background(), call(u.address, "a"))
			qt.Check(t, err, qt.Not(qt.IsNil))
		})
	}
	wait.Wait()
	runtime.ReadMemStats(&after)
	grown := int64(after.HeapSys) - int64(before.HeapSys)
	qt.Check(t, grown <= most, qt.IsTrue, qt.Commentf("the heap grew by %d bytes", grown))
}

// distinctLines returns the shortest header lines with names of their own, which take the most memory for their size.
func distinctLines(size int) string {
	const letters = "abcdefghijklmnopqrstuvwxyz0123456789"
	var b bytes.Buffer
	for i := 0; b.Len() < size; i++ {
		b.Write([]byte{letters[i%36], letters[i/36%36], letters[i/36/36%36], ':', '\n'})
	}
	return b.String()
}

// TestEndlessBodyEndsWithItsContext holds that a body without end is passed on without being kept, and broken off once the
// context ends, in a way that differs from its end.
func TestEndlessBodyEndsWithItsContext(t *testing.T) {
	const (
		passed = 8 << 20 // bytes passed on before the end
		most   = 1 << 20 // bytes allocated meanwhile
	)
	block := string(bytes.Repeat([]byte("x"), 1024))
	cases := []struct{ name, text, pattern string }{
		{"with a length", plainHead + "Content-Length: 1099511627776\r\n\r\n", block},
		{"in chunks", chunkedHead, "400\r\n" + block + "\r\n"},
		{"without a length", plainHead + "\r\n", block},
	}
	for _, v := range cases {
		t.Run(v.name, func(t *testing.T) {
			p, _ := countingPool(1 << 40)
			e := newEndless(t, false, v.text, v.pattern, 0)
			ctx, cancel := context.WithCancel(context.Background())
			defer cancel()
			var before, after runtime.MemStats
			runtime.ReadMemStats(&before)
			a, err := p.Do(ctx, call(e.address, "a"))
			qt.Assert(t, err, qt.IsNil)
			qt.Assert(t, len(a.Body), qt.Equals, wholeAnswer)
			_, err = io.CopyN(io.Discard, a.Rest, passed)
			qt.Assert(t, err, qt.IsNil)
			runtime.ReadMemStats(&after)
			kept := after.TotalAlloc - before.TotalAlloc
			qt.Check(t, kept < most, qt.IsTrue, qt.Commentf("%d bytes allocated", kept))
			time.AfterFunc(10*time.Millisecond, cancel)
			_, err = io.Copy(io.Discard, a.Rest)
			qt.Check(t, err, qt.Not(qt.IsNil))
			a.Finish(false)
			e.checkClosed(t, p)
		})
	}
}

// TestDrippedAnswerEndsWithTheDeadline holds that an answer that never ends, however slowly it comes, is given up in time.
func TestDrippedAnswerEndsWithTheDeadline(t *testing.T) {
	cases := []struct{ name, text, pattern string }{
		{"status line", "", "HTTP/1.1 200 OK"},
		{"header line", plainHead + "X: ", "x"},
		{"body", plainHead + "Content-Length: 1000000\r\n\r\n", "x"},
		{"chunk", chunkedHead, "1\r\nx\r\n"},
		{"body of another's answer", "HTTP/1.1 200 OK\r\nId: z\r\nContent-Length: 1000000\r\n\r\n", "x"},
	}
	for _, v := range cases {
		t.Run(v.name, func(t *testing.T) {
			t.Parallel()
			e := newEndless(t, false, v.text, v.pattern, 10*time.Millisecond)
			ctx, cancel := context.WithTimeout(context.Background(), 200*time.Millisecond)
			defer cancel()
			p := NewPool()
			_, err := p.Do(ctx, call(e.address, "a"))
			qt.Check(t, errors.Is(err, context.DeadlineExceeded), qt.IsTrue, qt.Commentf("%v", err))
			e.checkClosed(t, p)
		})
	}
}

// TestBytesBehindAnAnswerEndItsConnection holds that an answer is taken whatever comes behind it, and that its connection is closed
// rather than kept: at once if the bytes are there, and while it rests if they come later.
func TestBytesBehindAnAnswerEndItsConnection(t *testing.T) {
	for name, pause := range map[string]time.Duration{"at once": 0, "later": 50 * time.Millisecond} {
		t.Run(name, func(t *testing.T) {
			closed := make(chan struct{})
			u := newUpstream(t, func(c net.Conn, r *bufio.Reader, _ int64) {
				if _, ok := request(r); !ok {
					return
				}
				_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nId: a\r\nKeep-Alive: timeout=3600\r\nContent-Length: 4\r\n\r\nbody")
				time.Sleep(pause)
				writeOn(c, "", "x", 0)
				close(closed)
			})
			p, taken := countingPool(8 << 20)
			a, err := p.Do(context.Background(), call(u.address, "a"))
			qt.Assert(t, err, qt.IsNil)
			qt.Check(t, string(a.Body), qt.Equals, "body")
			awaitSwept(t, p, closed)
			qt.Check(t, taken.Load() <= 2*answerBuffer, qt.IsTrue, qt.Commentf("%d bytes taken", taken.Load()))
		})
	}
}

// awaitSwept sweeps until a connection that upstreams say they keep for an hour is closed.
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
	t.Error("the connection stays open")
}
