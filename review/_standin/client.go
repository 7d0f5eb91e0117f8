package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"time"
)

var lastID atomic.Uint64

// answer is what a caller got for a request; status is zero if there was no complete response.
type answer struct {
	id     string
	status int
	seal   string
	body   string
	err    error
}

// call sends one request on a connection of its own and reads the response.
func call(address, method, host, path string, key int, deadline time.Duration, body string) (a answer) {
	a.id = fmt.Sprintf("%016x", lastID.Add(1)+uint64(time.Now().UnixNano())<<20)
	conn, err := net.DialTimeout("tcp", address, time.Second)
	if err != nil {
		a.err = err
		return a
	}
	defer func() { _ = conn.Close() }()
	_ = conn.SetDeadline(time.Now().Add(deadline))
	var b strings.Builder
	fmt.Fprintf(&b, "%s %s HTTP/1.1\r\nHost: %s\r\nEbonyrill-Attempt-Id: %s\r\nEbonyrill-Deadline-Ms: %d\r\n", method, path, host, a.id, deadline.Milliseconds())
	if key >= 0 {
		fmt.Fprintf(&b, "Ebonyrill-Shard-Key: %d\r\n", key)
	}
	if method == http.MethodPost {
		fmt.Fprintf(&b, "Content-Length: %d\r\n", len(body))
	}
	b.WriteString("\r\n" + body)
	if _, a.err = io.WriteString(conn, b.String()); a.err != nil {
		return a
	}
	resp, err := http.ReadResponse(bufio.NewReader(conn), &http.Request{Method: method})
	if err != nil {
		a.err = err
		return a
	}
	text, err := io.ReadAll(resp.Body)
	if err != nil {
		a.err = err
		return a
	}
	a.status, a.body, a.seal = resp.StatusCode, string(text), resp.Header.Get("Ebonyrill-Server-Seal")
	return a
}
