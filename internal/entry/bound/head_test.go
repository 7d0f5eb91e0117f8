package bound

import (
	"bufio"
	"bytes"
	"io"
	"net"
	"net/http"
	"strconv"
	"testing"

	qt "github.com/frankban/quicktest"
)

// malformedHeads are heads that net/http accepts, all or in part, and that are no responses in the protocol.
var malformedHeads = []string{
	"HTTP/1.1 000 \r\n", "HTTP/1.1 001 x\r\n", "HTTP/1.1 099 x\r\n", "HTTP/1.1 600 x\r\n", "HTTP/1.1 999 x\r\n", "HTTP/1.1 +20 x\r\n",
	"HTTP/1.1 -20 x\r\n", "HTTP/1.1  200 OK\r\n", "HTTP/1.1 2000 OK\r\n", "HTTP/1.1 20 OK\r\n", "HTTP/1.1 200OK\r\n", "HTTP/2.0 200 OK\r\n",
	"HTTP/1.1 101 Switching Protocols\r\nUpgrade: x\r\n", "HTTP/1.1 200 OK\r\nContent-Length: 2\r\nContent-Length: 2\r\n",
	"HTTP/1.1 200 OK\r\nContent-Length: 2\r\nTransfer-Encoding: chunked\r\n", "HTTP/1.1 200 OK\r\ncontent-length: 2\r\nCONTENT-LENGTH: 3\r\n",
}

// TestMalformedHeads guards against statuses and lengths that net/http lets through.
func TestMalformedHeads(t *testing.T) {
	for _, head := range malformedHeads {
		t.Run(head, func(t *testing.T) {
			var bad *ErrMalformed
			qt.Assert(t, CheckHead([]byte(head)), qt.ErrorAs, &bad)
		})
	}
	for _, head := range []string{"HTTP/1.1 200 OK\r\nContent-Length: 2", "HTTP/1.0 404 \r\n", "HTTP/1.1 599", "HTTP/1.1 100 Continue",
		"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\nX-Content-Length: 5"} {
		t.Run(head, func(t *testing.T) { qt.Assert(t, CheckHead([]byte(head)), qt.IsNil) })
	}
}

// FuzzCheckHead checks that a head that passes is one that net/http reads with the same status, with one length at most.
func FuzzCheckHead(f *testing.F) {
	for _, head := range malformedHeads {
		f.Add([]byte(head))
	}
	f.Add([]byte("HTTP/1.1 200 OK\r\nContent-Length: 0\r\n"))
	f.Fuzz(func(t *testing.T, head []byte) {
		if CheckHead(head) != nil {
			return
		}
		r, err := http.ReadResponse(bufio.NewReader(bytes.NewReader(append(bytes.Clone(head), "\r\n\r\n"...))), nil)
		if err != nil {
			return
		}
		if r.StatusCode < 100 || r.StatusCode > 599 || r.StatusCode == http.StatusSwitchingProtocols || len(r.Header.Values("Content-Length")) > 1 {
			t.Fatalf("accepted as status %d: %q", r.StatusCode, head)
		}
	})
}

// TestEndOfHead guards against a head that net/http reads to its end and the recorder does not, as its lines end without a carriage return:
// it was not checked, or checked together with the body.
func TestEndOfHead(t *testing.T) {
	for _, end := range []string{"\r\n\r\n", "\n\n", "\r\n\n", "\n\r\n"} {
		t.Run(strconv.Quote(end), func(t *testing.T) {
			c := qt.New(t)
			read := func(response string) error {
				own, peer := net.Pipe()
				defer func() { _ = own.Close() }()
				go func() {
					_, _ = peer.Write([]byte(response))
					_ = peer.Close()
				}()
				checked := NewConn(own)
				checked.ExpectResponse()
				r, err := http.ReadResponse(bufio.NewReader(checked), nil)
				if err == nil {
					_, err = io.ReadAll(r.Body)
				}
				return err
			}
			var bad *ErrMalformed
			c.Check(read("HTTP/1.1 999 x\r\nContent-Length: 1"+end+"x"), qt.ErrorAs, &bad)
			c.Check(read("HTTP/1.1 200 OK\r\nContent-Length: 17"+end+"Content-Length: 1"), qt.IsNil)
			r := Recorder{}
			r.Start([]byte("HTTP/1.1 200 OK\r\nContent-Length: 17" + end + "Content-Length: 1"))
			head, complete := r.Head()
			c.Check(complete, qt.IsTrue)
			c.Check(CheckHead(head), qt.IsNil)
		})
	}
}
