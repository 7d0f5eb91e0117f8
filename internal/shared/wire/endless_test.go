package wire

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"

	"connectrpc.com/connect"
	qt "github.com/frankban/quicktest"
)

// mustEndless returns the address of a peer that answers each call with a text and then a pattern until the connection closes;
// written counts the bytes that the connection took, which has a small buffer on its side.
func mustEndless(c *qt.C, text, pattern string, written *atomic.Int64) string {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	c.Assert(err, qt.IsNil)
	c.Cleanup(func() { _ = l.Close() })
	block := []byte(strings.Repeat(pattern, 4<<10/len(pattern)+1))
	serve := func(conn net.Conn) {
		defer func() { _ = conn.Close() }()
		_ = conn.(*net.TCPConn).SetWriteBuffer(4 << 10)
		r, err := http.ReadRequest(bufio.NewReader(conn))
		if err != nil {
			return
		}
		_, _ = io.Copy(io.Discard, r.Body)
		_, err = io.WriteString(conn, text)
		for err == nil {
			var n int
			n, err = conn.Write(block)
			written.Add(int64(n))
		}
	}
	go func() {
		for {
			conn, err := l.Accept()
			if err != nil {
				return
			}
			go serve(conn)
		}
	}()
	return l.Addr().String()
}

// TestEndlessAnswerOfAPeerIsBounded holds how much of an answer without end a call takes in before it fails.
func TestEndlessAnswerOfAPeerIsBounded(t *testing.T) {
	const (
		system = 1 << 20 // more than what the system takes in for a connection from which nobody reads any more, in bytes
		most   = 1 << 20 // bytes of a body, for the test
	)
	const ok, failed = "HTTP/1.1 200 OK\r\nContent-Type: application/cbor\r\n", "HTTP/1.1 500 Failed\r\nContent-Type: application/json\r\n"
	block := strings.Repeat("x", 4<<10)
	cases := []struct {
		name, text, pattern string
		most                int64
	}{
		{"status line", "HTTP/1.1 200 ", "x", maxHeadBytes},
		{"header line", ok + "X: ", "x", maxHeadBytes},
		{"header lines", ok, "a: b\r\n", maxHeadBytes},
		{"interim heads", "", "HTTP/1.1 100 Continue\r\n\r\n", maxHeadBytes},
		{"body", ok + "Content-Length: 1099511627776\r\n\r\n", block, most},
		{"body without a length", ok + "\r\n", block, most},
		{"body of a failure", failed + "\r\n", block, most},
		{"trailers", ok + "Transfer-Encoding: chunked\r\n\r\n0\r\n", "X: y\r\n", maxHeadBytes},
	}
	for _, v := range cases {
		t.Run(v.name, func(t *testing.T) {
			c := qt.New(t)
			var written atomic.Int64
			client := NewClient(nil)
			client.http.Transport = boundedTransport{client.http.Transport.(boundedTransport).Transport, most}
			_, err := call(mustEndless(c, v.text, v.pattern, &written), client)
			c.Assert(err, qt.Not(qt.IsNil))
			c.Check(connect.CodeOf(err), qt.Not(qt.Equals), connect.CodeDeadlineExceeded)
			c.Check(written.Load() < v.most+system, qt.IsTrue, qt.Commentf("%d bytes: %v", written.Load(), err))
		})
	}
}
