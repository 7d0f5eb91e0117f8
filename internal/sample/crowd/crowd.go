package crowd

import (
	"bytes"
	"fmt"
	"net"
	"strconv"
	"strings"
	"sync"
	"time"
)

// Kind is a load of Count connections that each send Head and then Body, Repeat times if that is set, in pieces of Piece bytes or at once
// if Piece is zero.
type Kind struct {
	Name   string
	Count  int
	Head   string
	Body   []byte
	Piece  int
	Repeat int
}

// Limits of a connection of the load: of the time for what it sends, and between its pieces.
const (
	sendTime   = 12 * time.Second
	piecePause = 2 * time.Millisecond
)

// Settle is how long a host is left with a load before its memory and descriptors are measured: it still accepts and reads then.
const Settle = 2 * time.Second

// Kinds returns the loads of all kinds for a path of a listener, see Unfinished and Excessive.
func Kinds(path, header string, headBytes, bodyBytes int) []Kind {
	return append(Unfinished(path, header, headBytes, bodyBytes), Excessive(path, header, bodyBytes)...)
}

// Sizes of what exceeds every limit, in bytes. An announced length of hugeBytes overflows when it is multiplied by four.
const (
	largeBytes = 1 << 40
	hugeBytes  = 1 << 61
	sentBytes  = 128 << 20
)

// pipelinedRequests is how many requests a connection sends without reading a response.
const pipelinedRequests = 3000

// Reads returns a load of GET requests, one behind the other, whose responses are not read.
func Reads(name string, count int, path string) Kind {
	return Kind{Name: name, Count: count, Body: []byte("GET " + path + " HTTP/1.1\r\nHost: h.example\r\n\r\n"), Repeat: pipelinedRequests}
}

// Pipelined returns a load of complete requests with bodies of bodyBytes, one behind the other, whose responses are not read.
func Pipelined(name string, count int, path, header string, bodyBytes int) Kind {
	request := "POST " + path + " HTTP/1.1\r\nHost: h.example\r\n" + header + "Content-Length: " + strconv.Itoa(bodyBytes) + "\r\n\r\n"
	return Kind{Name: name, Count: count, Body: append([]byte(request), bytes.Repeat([]byte("d"), bodyBytes)...), Repeat: pipelinedRequests}
}

// Excessive returns loads that exceed the limits of a listener: bodies far over the limit, announced or just sent, heads without an end,
// and requests of which many are sent and no response is read. Of each request that is announced, bodyBytes are sent.
func Excessive(path, header string, bodyBytes int) []Kind {
	post := "POST " + path + " HTTP/1.1\r\nHost: h.example\r\n" + header
	announced := func(n int64) string { return post + "Content-Length: " + strconv.FormatInt(n, 10) + "\r\n\r\n" }
	body := bytes.Repeat([]byte("b"), bodyBytes)
	chunk := []byte("10000\r\n" + strings.Repeat("c", 64<<10) + "\r\n")
	return []Kind{
		{Name: "announced over the limit", Count: 60, Head: announced(largeBytes), Body: body},
		{Name: "announced beyond counting", Count: 60, Head: announced(hugeBytes), Body: body},
		{Name: "sent over the limit", Count: 30, Head: post + "Transfer-Encoding: chunked\r\n\r\n", Body: chunk, Repeat: sentBytes / len(chunk)},
		{Name: "head without an end", Count: 60, Head: post + "A: ", Body: body},
		Pipelined("pipelined", 200, path, header, 100),
	}
}

// Unfinished returns the loads of legal size for a path of a listener: heads of headBytes that begin with the header, and bodies of
// bodyBytes, of which the last byte is not sent.
func Unfinished(path, header string, headBytes, bodyBytes int) []Kind {
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
	for range max(k.Repeat, 1) {
		if k.sendBody(c) != nil {
			return
		}
	}
}

// sendBody writes the body once.
func (k Kind) sendBody(c net.Conn) error {
	for rest := k.Body; len(rest) > 0; {
		n := len(rest)
		if k.Piece > 0 {
			n = min(n, k.Piece)
			time.Sleep(piecePause)
		}
		if _, err := c.Write(rest[:n]); err != nil {
			return err
		}
		rest = rest[n:]
	}
	return nil
}
