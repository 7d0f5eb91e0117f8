package conns

import (
	"bufio"
	"context"
	"net"
	"strconv"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

func TestIdleTimeIsLimitedAfterTwoDrops(t *testing.T) {
	c := qt.New(t)
	var l dropLimit
	at := time.Unix(100, 0)
	c.Check(l.allow(at, time.Second), qt.IsTrue)
	l.dropped(at, 500*time.Millisecond)
	c.Check(l.allow(at, time.Second), qt.IsTrue)
	l.dropped(at, 400*time.Millisecond)
	c.Check(l.allow(at, 300*time.Millisecond), qt.IsFalse)
	c.Check(l.allow(at, 200*time.Millisecond), qt.IsTrue)
	c.Check(l.allow(at.Add(dropMemory+time.Second), time.Second), qt.IsTrue)
	l.dropped(at.Add(dropMemory+time.Second), 400*time.Millisecond)
	c.Check(l.allow(at.Add(dropMemory+time.Second), time.Second), qt.IsTrue)
}

func TestResetSoonAfterUseIsIgnored(t *testing.T) {
	var l dropLimit
	for range 5 {
		l.dropped(time.Unix(100, 0), minIdleLimit/2)
	}
	qt.Check(t, l.allow(time.Unix(100, 0), time.Second), qt.IsTrue)
}

// TestDroppedConnectionsAreNotReused simulates an upstream that resets connections when they are reused after an idle time.
func TestDroppedConnectionsAreNotReused(t *testing.T) {
	c := qt.New(t)
	u := newUpstream(t, func(conn net.Conn, r *bufio.Reader, n int64) {
		q, ok := readRequest(r)
		if !ok {
			return
		}
		_, _ = conn.Write([]byte("HTTP/1.1 200 OK\r\nId: " + q.Header.Get("Id") + "\r\nContent-Length: 2\r\n\r\nok"))
		_, _ = r.Peek(1)
		_ = conn.(*net.TCPConn).SetLinger(0)
	})
	p := NewPool()
	failures := 0
	for i := range 6 {
		_, err := p.Do(context.Background(), call(u.address, "a"+strconv.Itoa(i)))
		if err != nil {
			failures++
		}
		p.mutex.Lock()
		for _, idle := range p.idle["u"] {
			idle.idleSince = idle.idleSince.Add(-400 * time.Millisecond)
		}
		p.mutex.Unlock()
	}
	c.Check(failures, qt.Equals, minDrops)
}
