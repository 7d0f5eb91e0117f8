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

// mustEndless returns the address of a peer that responds to each call with a text and then repeats a pattern until the
// connection closes. Written counts the bytes written to the connection, whose send buffer is small.
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

// TestEndlessResponseOfAPeerIsBounded checks how many bytes of an endless response a call reads before it fails.
func TestEndlessResponseOfAPeerIsBounded(t *testing.T) {
	const (
		buffers = 1 << 20 // bytes; more than the system buffers for a connection that is no longer read
		maxBody = 1 << 20 // bytes of a body, for the test
	)
	const ok, failed = "HTTP/1.1 200 OK\r\nContent-Type: application/cbor\r\n", "HTTP/1.1 500 Failed\r\nContent-Type: application/json\r\n"
	block := strings.Repeat("x", 4<<10)
	cases := []struct {
		name, text, pattern string
		limit               int64
	}{
		{"status line", "HTTP/1.1 200 ", "x", maxHeaderBytes},
		{"header line", ok + "X: ", "x", maxHeaderBytes},
		{"header lines", ok, "a: b\r\n", maxHeaderBytes},
		{"interim responses", "", "HTTP/1.1 100 Continue\r\n\r\n", maxHeaderBytes},
		{"body", ok + "Content-Length: 1099511627776\r\n\r\n", block, maxBody},
		{"body without a length", ok + "\r\n", block, maxBody},
		{"body of a failure", failed + "\r\n", block, maxBody},
		{"trailers", ok + "Transfer-Encoding: chunked\r\n\r\n0\r\n", "X: y\r\n", maxHeaderBytes},
	}
	for _, v := range cases {
		t.Run(v.name, func(t *testing.T) {
			c := qt.New(t)
			var written atomic.Int64
			client := NewClient(nil)
			client.http.Transport = boundedTransport{client.http.Transport.(boundedTransport).Transport, maxBody}
			_, err := call(mustEndless(c, v.text, v.pattern, &written), client)
			c.Assert(err, qt.Not(qt.IsNil))
			c.Check(connect.CodeOf(err), qt.Not(qt.Equals), connect.CodeDeadlineExceeded)
			c.Check(written.Load() < v.limit+buffers, qt.IsTrue, qt.Commentf("%d bytes: %v", written.Load(), err))
		})
	}
}
