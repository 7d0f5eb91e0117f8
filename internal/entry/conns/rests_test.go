package conns

import (
	"bufio"
	"context"
	"net"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

func TestRestsAreTrustedUntilTwoWereForgotten(t *testing.T) {
	c := qt.New(t)
	var r rests
	at := time.Unix(100, 0)
	c.Check(r.allow(at, time.Second), qt.IsTrue)
	r.forgotten(at, 500*time.Millisecond)
	c.Check(r.allow(at, time.Second), qt.IsTrue)
	r.forgotten(at, 400*time.Millisecond)
	c.Check(r.allow(at, 300*time.Millisecond), qt.IsFalse)
	c.Check(r.allow(at, 200*time.Millisecond), qt.IsTrue)
	c.Check(r.allow(at.Add(restMemory+time.Second), time.Second), qt.IsTrue)
	r.forgotten(at.Add(restMemory+time.Second), 400*time.Millisecond)
	c.Check(r.allow(at.Add(restMemory+time.Second), time.Second), qt.IsTrue)
}

func TestAResetSoonAfterUseTeachesNothing(t *testing.T) {
	var r rests
	for range 5 {
		r.forgotten(time.Unix(100, 0), leastRest/2)
	}
	qt.Check(t, r.allow(time.Unix(100, 0), time.Second), qt.IsTrue)
}

// TestForgottenConnectionsAreNotUsed plays an upstream that resets connections on the first bytes after a rest.
func TestForgottenConnectionsAreNotUsed(t *testing.T) {
	c := qt.New(t)
	u := newUpstream(t, func(conn net.Conn, r *bufio.Reader, n int64) {
		q, ok := request(r)
		if !ok {
			return
		}
		_, _ = conn.Write([]byte("HTTP/1.1 200 OK\r\nId: " + q.Header.Get("Id") + "\r\nContent-Length: 2\r\n\r\nok"))
		_, _ = r.Peek(1)
		_ = conn.(*net.TCPConn).SetLinger(0)
	})
	p := NewPool()
	failed := 0
	for range 6 {
		_, err := p.Do(context.Background(), call(u.address, "a"))
		if err != nil {
			failed++
		}
		p.mutex.Lock()
		for _, idle := range p.idle["u"] {
			idle.idleAt = idle.idleAt.Add(-400 * time.Millisecond)
		}
		p.mutex.Unlock()
	}
	c.Check(failed, qt.Equals, shortestRun)
}
