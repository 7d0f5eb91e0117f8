package serve

import (
	"io"
	"net"
	"net/http"
	"strings"
	"time"

	"github.com/pkg/errors"

	"ebonyrill.dev/ebonyrill/internal/entry/bound"
	"ebonyrill.dev/ebonyrill/internal/shared/memory"
	"ebonyrill.dev/ebonyrill/internal/shared/wire"
)

// readFailure is why no request was read: it was rejected with a response, the caller closed the connection with the error
// in closed, or the request came after the last one that is handled. None of these is set if the connection was idle for
// too long or was drained.
type readFailure struct {
	response  *Response
	closed    error
	afterLast bool
}

func (c *conn) reject(status int, reason string) *readFailure {
	if c.server.options.OnRejected != nil {
		c.server.options.OnRejected(c.raw.RemoteAddr().String(), status, reason)
	}
	resp := Text(status, reason)
	resp.Close = true
	return &readFailure{response: resp}
}

// next reads a request with its body.
func (c *conn) next() (r *Request, bad *readFailure) {
	limits := c.server.options.Limits()
	if bad = c.awaitRequest(limits); bad != nil {
		return nil, bad
	}
	c.limited.Allow(limits.HeaderBytes + headerSlack)
	c.setReadTimeout(limits.HeaderTimeout)
	arrived := c.server.options.Clock()
	request, err := c.readHeader()
	switch {
	case memory.Refused(err):
		return nil, c.rejectForMemory()
	case err != nil && c.limited.Exhausted():
		return nil, c.reject(http.StatusRequestHeaderFieldsTooLarge, "the header is too large")
	case err != nil && isTimeout(err):
		return nil, c.rejectLate("the header did not come in time")
	case err != nil && isClosed(err):
		return nil, &readFailure{closed: err}
	case err != nil:
		return nil, c.reject(http.StatusBadRequest, "the request cannot be read")
	case headerBytes(request) > limits.HeaderBytes:
		return nil, c.reject(http.StatusRequestHeaderFieldsTooLarge, "the header is too large")
	case request.ProtoMajor != 1:
		return nil, c.reject(http.StatusHTTPVersionNotSupported, "only HTTP/1 is spoken here")
	}
	body, bad := c.readBody(request, limits)
	if bad != nil {
		return nil, bad
	}
	request.RemoteAddr = c.raw.RemoteAddr().String()
	r = &Request{HTTP: request, Body: body, Arrived: arrived, CompletedAt: c.server.options.Clock(), ticket: c.meter.Complete(), headCost: headCost(request)}
	r.ticket.Keep(r.headCost + body.Len())
	return r, nil
}

// rejectForMemory rejects a request that gets no memory, or that makes too little progress while others wait for memory.
func (c *conn) rejectForMemory() *readFailure {
	c.meter.Discard()
	bad := c.reject(http.StatusServiceUnavailable, "the host has no memory for the request")
	bad.response.Header.Set("Retry-After", memory.RetryAfter)
	return bad
}

// readHeader reads the line and header of a request. Its error is that of the connection if there is one: the parser takes a line of
// which only a part could be read for malformed.
func (c *conn) readHeader() (r *http.Request, err error) {
	if r, err = http.ReadRequest(c.reader); err != nil && c.limited.Failure() != nil {
		err = c.limited.Failure()
	}
	return r, err
}

// rejectLate rejects a request that was not read before its timeout, or before the server rejects incomplete requests.
func (c *conn) rejectLate(reason string) *readFailure {
	c.mutex.Lock()
	rejecting := c.state.rejectIncomplete
	c.mutex.Unlock()
	if rejecting {
		return c.reject(http.StatusServiceUnavailable, "the host stops")
	}
	return c.reject(http.StatusRequestTimeout, reason)
}

// awaitRequest waits for the first byte of a request. The idle timeout does not end the wait while a request is outstanding.
func (c *conn) awaitRequest(limits Limits) *readFailure {
	busy := c.hasOutstanding()
	c.limited.Allow(limits.HeaderBytes + headerSlack)
	for {
		c.setReadTimeout(limits.IdleTimeout)
		_, err := c.reader.Peek(1)
		if err == nil {
			return c.receive()
		}
		if memory.Refused(err) {
			c.closeRead()
			return &readFailure{afterLast: true}
		}
		if !isTimeout(err) {
			return &readFailure{closed: err}
		}
		if bad, ended := c.endWait(); ended {
			return bad
		}
		if !busy {
			c.closeRead()
			return &readFailure{}
		}
		busy = c.hasOutstanding()
	}
}

// receive notes that the first byte of a request was read.
func (c *conn) receive() *readFailure {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if !c.state.receive() {
		return &readFailure{afterLast: true}
	}
	return nil
}

// endWait reports whether the wait for a request ends because the server drains. A request that has arrived on an idle
// connection meanwhile is still read, as closing with unread bytes would reset the connection.
func (c *conn) endWait() (bad *readFailure, ended bool) {
	c.mutex.Lock()
	readClosed, mustNotWait := c.state.readClosed, c.state.mustNotWait()
	c.mutex.Unlock()
	switch {
	case readClosed:
		return &readFailure{afterLast: true}, true
	case !mustNotWait:
		return nil, false
	}
	if wire.Pending(c.raw) {
		return c.readPending()
	}
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.state.closeRead()
	return &readFailure{afterLast: c.state.outstanding > 0}, true
}

// readPending reads the first byte of a request that has already arrived. It repeats the read if an interruption of the
// reader makes it time out.
func (c *conn) readPending() (bad *readFailure, ended bool) {
	for wire.Pending(c.raw) {
		_ = c.raw.SetReadDeadline(time.Now().Add(lingerTime))
		_, err := c.reader.Peek(1)
		switch {
		case err == nil:
			return c.receive(), true
		case !isTimeout(err):
			return &readFailure{closed: err}, true
		}
	}
	return nil, false
}

func (c *conn) readBody(r *http.Request, limits Limits) (body bound.Body, bad *readFailure) {
	if r.ContentLength == 0 && len(r.TransferEncoding) == 0 {
		return bound.Body{}, nil
	}
	if r.ContentLength > limits.BodyBytes {
		return bound.Body{}, c.reject(http.StatusRequestEntityTooLarge, "the body is too large")
	}
	if c.meter.StartBody(r.ContentLength, 1) != nil {
		return bound.Body{}, c.rejectForMemory()
	}
	if strings.EqualFold(r.Header.Get("Expect"), "100-continue") {
		c.exchanges <- &exchange{interim: true}
	}
	c.limited.Allow(limits.BodyBytes + headerSlack + readBuffer)
	c.setReadTimeout(c.server.bodyTimeout)
	body, within, err := bound.ReadBody(r.Body, r.ContentLength, limits.BodyBytes)
	switch {
	case memory.Refused(err):
		return bound.Body{}, c.rejectForMemory()
	case !within:
		return bound.Body{}, c.reject(http.StatusRequestEntityTooLarge, "the body is too large")
	case err != nil && isTimeout(err):
		return bound.Body{}, c.rejectLate("the body did not come in time")
	case err != nil && isClosed(err):
		return bound.Body{}, &readFailure{closed: err}
	case err != nil:
		return bound.Body{}, c.reject(http.StatusBadRequest, "the body cannot be read")
	}
	return body, nil
}

// headCost returns the memory that a request's head takes.
func headCost(r *http.Request) int64 { return memory.HeadSize(headerBytes(r), r.Header) }

// headerBytes returns the approximate size of a request's line and header on the wire, in bytes.
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

// isClosed reports whether a read error means that the caller has closed or reset the connection.
func isClosed(err error) bool {
	var op *net.OpError
	return errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF) || errors.As(err, &op)
}
