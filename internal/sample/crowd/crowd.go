package crowd

import (
	"bytes"
	"fmt"
	"net"
	"os"
	"strconv"
	"strings"
	"sync"
	"time"
)

// Kind is a load of Count connections that each send Head and then Body in pieces of Piece bytes, or at once if Piece is zero.
type Kind struct {
	Name  string
	Count int
	Head  string
	Body  []byte
	Piece int
}

// Limits of a connection of the load: of the time for what it sends, and between its pieces.
const (
	sendTime   = 12 * time.Second
	piecePause = 2 * time.Millisecond
)

// Settle is how long a host is left with a load before its memory and descriptors are measured: it still accepts and reads then.
const Settle = 2 * time.Second

// Kinds returns the loads for a path of a listener: heads of headBytes that begin with the header, and bodies of bodyBytes, of which the
// last byte is not sent.
func Kinds(path, header string, headBytes, bodyBytes int) []Kind {
	post := "POST " + path + " HTTP/1.1\r\nHost: h.example\r\n" + header
	sized := func(n int) string { return post + "Content-Length: " + strconv.Itoa(n) + "\r\n\r\n" }
	short := post + "Content-Length: 10\r\n" + strings.Repeat("a:\r\n", headBytes/4) + "\r\n"
	body := bytes.Repeat([]byte("b"), bodyBytes-1)
	chunk := "10000\r\n" + strings.Repeat("c", 64<<10) + "\r\n"
	chunked := post + "Transfer-Encoding: chunked\r\n\r\n"
	return []Kind{
		{Name: "short lines", Count: 800, Head: short, Body: []byte("123456789")},
		{Name: "odd lines", Count: 800, Head: post + "Content-Length: 10\r\n" + oddLines(headBytes) + "\r\n", Body: []byte("123456789")},
		{Name: "whole bodies", Count: 100, Head: sized(bodyBytes), Body: body},
		{Name: "bodies by pieces", Count: 60, Head: sized(bodyBytes), Body: body, Piece: 16 << 10},
		{Name: "large chunks", Count: 60, Head: chunked, Body: bytes.Repeat([]byte(chunk), bodyBytes/(64<<10)-1), Piece: 64 << 10},
		{Name: "chunks of one byte", Count: 200, Head: chunked, Body: bytes.Repeat([]byte("1\r\nc\r\n"), min(bodyBytes-1, 400<<10))},
		{Name: "silent connections", Count: 800},
	}
}

// oddLines returns header lines with many different short names.
func oddLines(size int) string {
	var b strings.Builder
	for i := 0; b.Len() < size-8; i++ {
		fmt.Fprintf(&b, "%s:1\r\n", strconv.FormatInt(int64(i), 36))
	}
	return b.String()
}

// Open opens the load's connections to an address, sends what each has to send and returns a function that closes them. Connections that
// the host refuses or closes are left out.
func (k Kind) Open(address string) (closeAll func()) {
	var wait sync.WaitGroup
	opened := make([]net.Conn, k.Count)
	for i := range opened {
		wait.Go(func() {
			c, err := net.DialTimeout("tcp", address, sendTime)
			if err != nil {
				return
			}
			opened[i] = c
			k.send(c)
		})
	}
	wait.Wait()
	return func() {
		for _, c := range opened {
			if c != nil {
				_ = c.Close()
			}
		}
	}
}

// send writes a request until the host closes the connection or the time for sending has passed.
func (k Kind) send(c net.Conn) {
	_ = c.SetWriteDeadline(time.Now().Add(sendTime))
	if _, err := c.Write([]byte(k.Head)); err != nil {
		return
	}
	for rest := k.Body; len(rest) > 0; {
		n := len(rest)
		if k.Piece > 0 {
			n = min(n, k.Piece)
			time.Sleep(piecePause)
		}
		if _, err := c.Write(rest[:n]); err != nil {
			return
		}
		rest = rest[n:]
	}
}

// ResetPeak makes PeakMemory count from the process's present memory.
func ResetPeak(pid int) error {
	return os.WriteFile(fmt.Sprintf("/proc/%d/clear_refs", pid), []byte("5"), 0o600)
}

// PeakMemory returns the peak of a process's resident memory, in MiB.
func PeakMemory(pid int) (mib int, err error) {
	text, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	if err != nil {
		return 0, err
	}
	_, rest, _ := strings.Cut(string(text), "VmHWM:")
	_, err = fmt.Sscan(rest, &mib)
	return mib >> 10, err
}

// Descriptors returns the number of open file descriptors of a process.
func Descriptors(pid int) (n int, err error) {
	list, err := os.ReadDir(fmt.Sprintf("/proc/%d/fd", pid))
	return len(list), err
}
