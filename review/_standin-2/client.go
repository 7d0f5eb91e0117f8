package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"time"
)

// request is one consumer attempt.
type request struct {
	id       string
	method   string
	host     string
	path     string
	key      string
	body     string
	deadline time.Duration
}

// send sends a request on a connection of its own and returns the answer's status, zero if there is none.
func (s *site) send(entry *daemon, l *ledger, r request) (status int) {
	s.record.write("consumer: sends %s to %s", r.id, entry.name)
	defer func() { l.answered(r.id, status) }()
	c, err := net.DialTimeout("tcp", entry.fields["listen.front"].(string), time.Second)
	if err != nil {
		return 0
	}
	defer func() { _ = c.Close() }()
	_ = c.SetDeadline(time.Now().Add(r.deadline))
	_, err = fmt.Fprintf(c, "%s %s HTTP/1.1\r\nHost: %s\r\nEbonyrill-Attempt-Id: %s\r\nEbonyrill-Deadline-Ms: %d\r\nEbonyrill-Shard-Key: %s\r\nContent-Length: %d\r\n\r\n%s",
		r.method, r.path, r.host, r.id, r.deadline.Milliseconds(), r.key, len(r.body), r.body)
	if err != nil {
		return 0
	}
	response, err := http.ReadResponse(bufio.NewReader(c), &http.Request{Method: r.method})
	if err != nil {
		return 0
	}
	if _, err = io.Copy(io.Discard, response.Body); err != nil {
		return 0
	}
	return response.StatusCode
}
