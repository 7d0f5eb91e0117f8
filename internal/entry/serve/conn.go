package serve

import (
	"bufio"
	"bytes"
	"context"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"

	"github.com/pkg/errors"

	"ebonyrill.dev/ebonyrill/internal/entry/bound"
)

// Bounds of one connection.
const (
	maxAhead     = 32               // requests read ahead of their answers
	readBuffer   = 2 << 10          // most headers fit; memory counts for each open connection
	bodyTimeout  = 30 * time.Second // a caller that sends a body more slowly counts as silent
	writeTimeout = 15 * time.Second // a caller that takes an answer more slowly counts as silent
	headerSlack  = 1 << 10          // what the read buffer may hold of the request behind
)

// conn is one caller's connection: one goroutine reads requests, one writes answers in their order.
type conn struct {
	server  *Server
	raw     net.Conn
	limited *bound.Reader
	reader  *bufio.Reader
	ctx     context.Context
	cancel  context.CancelFunc
	order   chan chan *Answer
	mutex   sync.Mutex
	open    int
	decided bool
	reading bool
	closed  bool
	ignored chan struct{}
}

func newConn(s *Server, raw net.Conn) *conn {
	c := &conn{server: s, raw: raw, limited: bound.NewReader(raw), order: make(chan chan *Answer, maxAhead)}
	c.reader = bufio.NewReaderSize(c.limited, readBuffer)
	c.ctx, c.cancel = context.WithCancel(context.Background())
	return c
}

// run reads requests until the caller or an answer ends the connection.
func (c *conn) run() {
	defer c.server.forget(c)
	written := make(chan struct{})
	go func() {
		defer close(written)
		c.write()
	}()
	c.read()
	close(c.order)
	<-written
	if c.ignored != nil {
		<-c.ignored
	}
	c.cancel()
	_ = c.raw.Close()
}

// read takes in requests one after the other; a request that cannot be read ends the reading with an answer.
func (c *conn) read() {
	for {
		r, bad := c.next()
		if bad != nil {
			switch {
			case bad.answer != nil && c.begin():
				c.queue() <- bad.answer
				c.drainBriefly()
			case bad.answer != nil:
				c.ignoreRest()
			case !c.isClosed():
				c.cancel()
			}
			return
		}
		if !c.begin() {
			c.ignoreRest()
			return
		}
		ended := r.HTTP.Close || !r.HTTP.ProtoAtLeast(1, 1)
		slot := c.queue()
		go func() {
			a := c.server.options.Handler(c.ctx, r)
			if a != nil && ended {
				a.Close = true
			}
			slot <- a
		}()
		if ended {
			c.watchGone()
			return
		}
	}
}

// drainBriefly reads on for a moment after a refusal, so that closing with unread bytes does not reset the connection
// before the caller has read the answer.
func (c *conn) drainBriefly() {
	_ = c.raw.SetReadDeadline(time.Now().Add(lingerTime))
	c.limited.Allow(lingerBytes)
	_, _ = io.Copy(io.Discard, c.reader)
}

// Bounds of reading on after a refusal.
const (
	lingerTime  = 500 * time.Millisecond
	lingerBytes = 1 << 20
)

// watchGone waits until the caller closes or the answers are written, as no more requests are read.
func (c *conn) watchGone() {
	_ = c.raw.SetReadDeadline(time.Time{})
	c.limited.Allow(1)
	var one [1]byte
	go func() {
		if _, err := c.reader.Read(one[:]); err != nil && !c.isClosed() {
			c.cancel()
		}
	}()
}

func (c *conn) queue() chan *Answer {
	slot := make(chan *Answer, 1)
	c.order <- slot
	return slot
}

// begin counts a request that was read, unless the connection ends with an answer before it: the request then counts as not
// read, and its caller sends it again. While the server stops, the answers that are still due are the last.
func (c *conn) begin() bool {
	stopping := c.server.Stopping()
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.reading = false
	due := c.open
	if c.decided {
		due--
	}
	if c.closed || stopping && due > 0 {
		return false
	}
	c.open++
	return true
}

// ignoreRest reads on behind the last request that is taken in, so that the caller's end is seen and closing resets nothing.
func (c *conn) ignoreRest() {
	c.ignored = make(chan struct{})
	c.limited.Allow(bound.Unlimited)
	_ = c.raw.SetReadDeadline(time.Time{})
	if c.isClosed() {
		_ = c.raw.SetReadDeadline(time.Now().Add(lingerTime))
	}
	go func() {
		defer close(c.ignored)
		_, _ = io.Copy(io.Discard, c.reader)
		if !c.isClosed() {
			c.cancel()
		}
	}()
}

// endsWith reports whether the connection ends with the answer that is about to be written: because the answer says so, or
// because the server stops and no request behind it was read.
func (c *conn) endsWith(a *Answer) bool {
	stopping := c.server.Stopping()
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if a.Close || stopping && c.open == 1 {
		c.closed = true
	}
	c.decided = !c.closed
	return c.closed
}

func (c *conn) end() {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.open--
	c.decided = false
}

// closeIfIdle closes a connection that waits for its next request, and reports whether it did.
func (c *conn) closeIfIdle() bool {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if c.open > 0 || c.reading || c.closed {
		return c.closed
	}
	c.closed = true
	_ = c.raw.Close()
	return true
}

func (c *conn) isClosed() bool {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	return c.closed
}

func (c *conn) abort() {
	c.cancel()
	_ = c.raw.Close()
}

// unread tells why no request could be read; without an answer the caller has gone or stayed idle.
type unread struct {
	answer *Answer
}

func (c *conn) refuse(status int, reason string) *unread {
	if c.server.options.Refused != nil {
		c.server.options.Refused(c.raw.RemoteAddr().String(), status, reason)
	}
	a := Text(status, reason)
	a.Close = true
	return &unread{answer: a}
}

// next reads one request with its body.
func (c *conn) next() (r *Request, bad *unread) {
	limits := c.server.options.Limits()
	if bad = c.awaitFirst(limits); bad != nil {
		return nil, bad
	}
	c.limited.Allow(limits.HeaderBytes + headerSlack)
	_ = c.raw.SetReadDeadline(time.Now().Add(limits.HeaderTimeout))
	arrived := c.server.options.Clock()
	request, err := http.ReadRequest(c.reader)
	switch {
	case err != nil && c.limited.Spent():
		return nil, c.refuse(http.StatusRequestHeaderFieldsTooLarge, "the header is too large")
	case err != nil && isTimeout(err):
		return nil, c.refuse(http.StatusRequestTimeout, "the header did not come in time")
	case err != nil && isGone(err):
		return nil, &unread{}
	case err != nil:
		return nil, c.refuse(http.StatusBadRequest, "the request cannot be read")
	case headerBytes(request) > limits.HeaderBytes:
		return nil, c.refuse(http.StatusRequestHeaderFieldsTooLarge, "the header is too large")
	case request.ProtoMajor != 1:
		return nil, c.refuse(http.StatusHTTPVersionNotSupported, "only HTTP/1 is spoken here")
	}
	body, bad := c.readBody(request, limits)
	if bad != nil {
		return nil, bad
	}
	request.RemoteAddr = c.raw.RemoteAddr().String()
	return &Request{HTTP: request, Body: body, Arrived: arrived}, nil
}

// awaitFirst waits for the first byte of a request, as long as a connection may be idle.
func (c *conn) awaitFirst(limits Limits) *unread {
	c.mutex.Lock()
	busy := c.open > 0
	c.mutex.Unlock()
	c.limited.Allow(limits.HeaderBytes + headerSlack)
	_ = c.raw.SetReadDeadline(time.Now().Add(limits.IdleTimeout))
	for {
		_, err := c.reader.Peek(1)
		if err == nil {
			break
		}
		if isTimeout(err) && busy && !c.isClosed() {
			_ = c.raw.SetReadDeadline(time.Now().Add(limits.IdleTimeout))
			c.mutex.Lock()
			busy = c.open > 0
			c.mutex.Unlock()
			continue
		}
		return &unread{}
	}
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.reading = true
	if c.closed {
		return &unread{}
	}
	return nil
}

func (c *conn) readBody(r *http.Request, limits Limits) (body []byte, bad *unread) {
	if r.ContentLength == 0 && len(r.TransferEncoding) == 0 {
		return nil, nil
	}
	if r.ContentLength > limits.BodyBytes {
		return nil, c.refuse(http.StatusRequestEntityTooLarge, "the body is too large")
	}
	if strings.EqualFold(r.Header.Get("Expect"), "100-continue") {
		if _, err := io.WriteString(c.raw, "HTTP/1.1 100 Continue\r\n\r\n"); err != nil {
			return nil, &unread{}
		}
	}
	c.limited.Allow(limits.BodyBytes + headerSlack + readBuffer)
	_ = c.raw.SetReadDeadline(time.Now().Add(bodyTimeout))
	body, err := bodyOf(r, limits.BodyBytes)
	switch {
	case int64(len(body)) > limits.BodyBytes:
		return nil, c.refuse(http.StatusRequestEntityTooLarge, "the body is too large")
	case err != nil && (isGone(err) || isTimeout(err)):
		return nil, &unread{}
	case err != nil:
		return nil, c.refuse(http.StatusBadRequest, "the body cannot be read")
	}
	return body, nil
}

// bodyOf returns the body of a request, or what came of it, and of one in chunks no more than a byte over the limit.
func bodyOf(r *http.Request, limit int64) (body []byte, err error) {
	if r.ContentLength >= 0 {
		return readKnown(r.Body, r.ContentLength)
	}
	var buffer bytes.Buffer
	_, err = io.Copy(&buffer, io.LimitReader(r.Body, limit+1))
	return buffer.Bytes(), err
}

// firstBody is how much memory a body gets before any of it has come, in bytes.
const firstBody = 32 << 10

// readKnown reads a body whose length was announced; the memory for it follows what has come.
func readKnown(from io.Reader, length int64) (body []byte, err error) {
	body = make([]byte, min(length, firstBody))
	n := 0
	for {
		m, err := io.ReadFull(from, body[n:])
		n += m
		if err != nil || int64(n) == length {
			return body[:n], err
		}
		grown := make([]byte, min(2*int64(n), length))
		copy(grown, body)
		body = grown
	}
}

// headerBytes returns about what a request's line and header take on the wire.
func headerBytes(r *http.Request) (n int64) {
	n = int64(len(r.Method) + len(r.RequestURI) + len(r.Host))
	for name, values := range r.Header {
		for _, v := range values {
			n += int64(len(name) + len(v) + len(": \r\n"))
		}
	}
	return n
}

func isTimeout(err error) bool {
	var t net.Error
	return errors.As(err, &t) && t.Timeout()
}

// isGone reports whether an error of reading means that the caller has closed or reset its connection.
func isGone(err error) bool {
	var op *net.OpError
	return errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF) || errors.As(err, &op)
}
