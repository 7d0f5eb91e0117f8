package conns

import (
	"bufio"
	"context"
	"io"
	"net"
	"testing"

	qt "github.com/frankban/quicktest"

	"ebonyrill.dev/ebonyrill/internal/entry/bound"
)

// TestMalformedResponses guards against passing on as a response what is none in the protocol, also after an interim response.
func TestMalformedResponses(t *testing.T) {
	const end = "Id: a\r\nContent-Length: 2\r\n\r\nok"
	for name, text := range map[string]string{"status 000": "HTTP/1.1 000 \r\n" + end, "status 999": "HTTP/1.1 999 x\r\n" + end,
		"signed status": "HTTP/1.1 +20 x\r\n" + end, "two spaces": "HTTP/1.1  200 OK\r\n" + end, "two lengths": "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n" + end,
		"length and chunks":    "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\nContent-Length: 2\r\nId: a\r\n\r\n2\r\nok\r\n0\r\n\r\n",
		"unrequested 101":      "HTTP/1.1 101 Switching Protocols\r\nUpgrade: x\r\n" + end,
		"after an interim one": "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 000 x\r\n" + end} {
		t.Run(name, func(t *testing.T) {
			u := newUpstream(t, func(c net.Conn, r *bufio.Reader, _ int64) {
				if _, ok := readRequest(r); ok {
					_, _ = io.WriteString(c, text)
					_, _ = r.ReadByte()
				}
			})
			p := NewPool()
			_, err := p.Do(context.Background(), call(u.address, "a"))
			var unknown *ErrNoResponse
			var bad *bound.ErrMalformed
			qt.Assert(t, err, qt.ErrorAs, &unknown)
			qt.Assert(t, err, qt.ErrorAs, &bad)
			qt.Assert(t, p.takeIdle("u", "b"), qt.IsNil)
		})
	}
}
