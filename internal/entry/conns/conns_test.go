package conns

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/pkg/errors"
)

// upstream answers each request on a connection with the next text of its script; what the script lacks is silence.
type upstream struct {
	address string
	conns   atomic.Int64
	seen    chan string
}

func newUpstream(t *testing.T, serve func(c net.Conn, r *bufio.Reader, n int64)) *upstream {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	qt.Assert(t, err, qt.IsNil)
	u := &upstream{address: l.Addr().String(), seen: make(chan string, 100)}
	t.Cleanup(func() { _ = l.Close() })
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			n := u.conns.Add(1)
			go func() {
				defer func() { _ = c.Close() }()
				serve(c, bufio.NewReader(c), n)
			}()
		}
	}()
	return u
}

// request reads one request with its body.
func request(r *bufio.Reader) (*http.Request, bool) {
	q, err := http.ReadRequest(r)
	if err != nil {
		return nil, false
	}
	_, err = io.Copy(io.Discard, q.Body)
	return q, err == nil
}

func call(address, id string) *Call {
	return &Call{Key: "u", Address: address, Method: http.MethodGet, Target: "/x", Host: "h", Header: http.Header{"Id": {id}},
		IDHeader: "Id", ID: id, Idempotent: true}
}

func reply(id, body string) string {
	return "HTTP/1.1 200 OK\r\nId: " + id + "\r\nContent-Length: " + itoa(len(body)) + "\r\n\r\n" + body
}

func itoa(n int) string {
	if n >= 10 {
		return itoa(n/10) + itoa(n%10)
	}
	return string(rune('0' + n))
}

func TestConnectionsAreUsedAgain(t *testing.T) {
	u := newUpstream(t, func(c net.Conn, r *bufio.Reader, _ int64) {
		for {
			q, ok := request(r)
			if !ok {
				return
			}
			_, _ = io.WriteString(c, reply(q.Header.Get("Id"), "body"))
		}
	})
	p := NewPool()
	for _, id := range []string{"a", "b", "c"} {
		a, err := p.Do(context.Background(), call(u.address, id))
		qt.Assert(t, err, qt.IsNil)
		qt.Assert(t, string(a.Body), qt.Equals, "body")
	}
	qt.Assert(t, u.conns.Load(), qt.Equals, int64(1))
}

// TestAnswers holds what becomes of answers that are not as they should be, on the connection's first request and the next.
func TestAnswers(t *testing.T) {
	cases := []struct {
		name    string
		first   string // written for request a; @ stands for its id
		body    string // what a gets, empty for a failure
		conns   int64  // connections used once b was answered too
		goesOff bool   // the upstream closes after the first answer
	}{
		{"extra answer behind", reply("a", "body") + reply("a", "extra"), "body", 2, false},
		{"answer of another request first", reply("z", "other") + reply("a", "body"), "body", 1, false},
		{"only another's answer", reply("z", "other"), "", 2, true},
		{"cut body", "HTTP/1.1 200 OK\r\nId: a\r\nContent-Length: 9\r\n\r\nbody", "", 2, true},
		{"no HTTP", "rubbish\r\n\r\n", "", 2, true},
		{"no length", "HTTP/1.1 200 OK\r\nId: a\r\n\r\nbody", "body", 2, true},
		{"says that it closes", "HTTP/1.1 200 OK\r\nId: a\r\nConnection: close\r\nContent-Length: 4\r\n\r\nbody", "body", 2, true},
		{"silent end", "", "", 2, true},
	}
	for _, v := range cases {
		t.Run(v.name, func(t *testing.T) {
			u := newUpstream(t, func(c net.Conn, r *bufio.Reader, n int64) {
				for {
					q, ok := request(r)
					if !ok {
						return
					}
					text := reply(q.Header.Get("Id"), "later")
					if q.Header.Get("Id") == "a" {
						text = v.first
					}
					_, _ = io.WriteString(c, text)
					if q.Header.Get("Id") == "a" && v.goesOff {
						return
					}
				}
			})
			p := NewPool()
			a, err := p.Do(context.Background(), call(u.address, "a"))
			if v.body == "" {
				var unanswered *ErrNoResponse
				qt.Assert(t, errors.As(err, &unanswered), qt.IsTrue, qt.Commentf("%v", err))
			} else {
				qt.Assert(t, err, qt.IsNil)
				qt.Assert(t, string(a.Body), qt.Equals, v.body)
			}
			time.Sleep(20 * time.Millisecond)
			b, err := p.Do(context.Background(), call(u.address, "b"))
			qt.Assert(t, err, qt.IsNil)
			qt.Assert(t, string(b.Body), qt.Equals, "later")
			qt.Assert(t, u.conns.Load(), qt.Equals, v.conns)
		})
	}
}

// TestBodyOfAnothersAnswerIsNoAnswer holds that what stands in a long answer to another request is never taken for an answer of
// its own, and that a skipped answer may be as long as one that is read whole.
func TestBodyOfAnothersAnswerIsNoAnswer(t *testing.T) {
	cases := []struct{ name, others, body string }{
		{"longer than is skipped", reply("z", strings.Repeat("x", wholeAnswer)+reply("a", "smuggled")), ""},
		{"as long as is skipped", reply("z", strings.Repeat("x", wholeAnswer)), "body"},
		{"in chunks", "HTTP/1.1 200 OK\r\nId: z\r\nTransfer-Encoding: chunked\r\n\r\n10000\r\n" + strings.Repeat("x", wholeAnswer) + "\r\n0\r\n\r\n", "body"},
	}
	for _, v := range cases {
		t.Run(v.name, func(t *testing.T) {
			u := newUpstream(t, func(c net.Conn, r *bufio.Reader, _ int64) {
				if _, ok := request(r); ok {
					_, _ = io.WriteString(c, v.others+reply("a", "body"))
					_, _ = r.ReadByte()
				}
			})
			a, err := NewPool().Do(context.Background(), call(u.address, "a"))
			if v.body == "" {
				qt.Assert(t, errors.Is(err, errForeign), qt.IsTrue, qt.Commentf("%v", err))
				return
			}
			qt.Assert(t, err, qt.IsNil)
			qt.Check(t, string(a.Body), qt.Equals, v.body)
		})
	}
}

// TestNotSentHasProof holds that only a request of which no byte went out counts as not sent.
func TestNotSentHasProof(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	qt.Assert(t, err, qt.IsNil)
	address := l.Addr().String()
	_ = l.Close()
	_, err = NewPool().Do(context.Background(), call(address, "a"))
	var notSent *ErrNotSent
	qt.Assert(t, errors.As(err, &notSent), qt.IsTrue)
	u := newUpstream(t, func(c net.Conn, r *bufio.Reader, _ int64) { request(r) })
	_, err = NewPool().Do(context.Background(), call(u.address, "a"))
	qt.Assert(t, errors.As(err, &notSent), qt.IsFalse)
}

// TestContextEndsTheRequest holds that the upstream sees its connection close once nobody waits any more.
func TestContextEndsTheRequest(t *testing.T) {
	closed := make(chan struct{})
	u := newUpstream(t, func(c net.Conn, r *bufio.Reader, _ int64) {
		request(r)
		_, _ = r.ReadByte()
		close(closed)
	})
	ctx, cancel := context.WithCancel(context.Background())
	time.AfterFunc(20*time.Millisecond, cancel)
	_, err := NewPool().Do(ctx, call(u.address, "a"))
	qt.Assert(t, errors.Is(err, context.Canceled), qt.IsTrue)
	select {
	case <-closed:
	case <-time.After(5 * time.Second):
		t.Fatal("the connection stays open")
	}
}

// TestEarlyAnswer holds that a connection whose request was not written whole is never used again.
func TestEarlyAnswer(t *testing.T) {
	u := newUpstream(t, func(c net.Conn, r *bufio.Reader, _ int64) {
		q, err := http.ReadRequest(r)
		if err != nil {
			return
		}
		_, _ = io.WriteString(c, reply(q.Header.Get("Id"), "early"))
		time.Sleep(100 * time.Millisecond)
	})
	p := NewPool()
	long := call(u.address, "a")
	long.Method, long.Body = http.MethodPost, []byte(strings.Repeat("x", 8<<20))
	a, err := p.Do(context.Background(), long)
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, string(a.Body), qt.Equals, "early")
	_, err = p.Do(context.Background(), call(u.address, "b"))
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, u.conns.Load(), qt.Equals, int64(2))
}

// TestLongAnswerComesInParts holds that a long answer is not held whole, and that its connection is used again once it was
// read to its end.
func TestLongAnswerComesInParts(t *testing.T) {
	body := strings.Repeat("b", 3*wholeAnswer)
	u := newUpstream(t, func(c net.Conn, r *bufio.Reader, _ int64) {
		for {
			q, ok := request(r)
			if !ok {
				return
			}
			_, _ = io.WriteString(c, reply(q.Header.Get("Id"), body))
		}
	})
	p := NewPool()
	for _, id := range []string{"a", "b"} {
		a, err := p.Do(context.Background(), call(u.address, id))
		qt.Assert(t, err, qt.IsNil)
		qt.Assert(t, a.Body, qt.HasLen, wholeAnswer)
		rest, err := io.ReadAll(a.Rest)
		qt.Assert(t, err, qt.IsNil)
		qt.Assert(t, string(a.Body)+string(rest) == body, qt.IsTrue)
		a.Finish(true)
	}
	qt.Assert(t, u.conns.Load(), qt.Equals, int64(1))
}

func TestKeepAlive(t *testing.T) {
	idle, ok := keepAlive("timeout=5, max=100")
	qt.Assert(t, ok, qt.IsTrue)
	qt.Assert(t, idle, qt.Equals, 5*time.Second)
	_, ok = keepAlive("")
	qt.Assert(t, ok, qt.IsFalse)
}
