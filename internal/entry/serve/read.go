package serve

import (
	"bytes"
	"io"
	"net"
	"net/http"
	"strings"
	"time"

	"github.com/pkg/errors"

	"ebonyrill.dev/ebonyrill/internal/shared/wire"
)

// unread tells why no request could be read: it has an answer, its caller has gone, or it came behind the last answer. None of these
// tells that the connection was idle for too long.
type unread struct {
	answer     *Response
	gone       error
	behindLast bool
}

func (c *conn) refuse(status int, reason string) *unread {
	if c.server.options.OnRejected != nil {
		c.server.options.OnRejected(c.raw.RemoteAddr().String(), status, reason)
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
	c.readWithin(limits.HeaderTimeout)
	arrived := c.server.options.Clock()
	request, err := http.ReadRequest(c.reader)
	switch {
	case err != nil && c.limited.Exhausted():
		return nil, c.refuse(http.StatusRequestHeaderFieldsTooLarge, "the header is too large")
	case err != nil && isTimeout(err):
		return nil, c.late("the header did not come in time")
	case err != nil && isGone(err):
		return nil, &unread{gone: err}
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
	return &Request{HTTP: request, Body: body, Arrived: arrived, CompletedAt: c.server.options.Clock()}, nil
}

// late refuses a request that has not come whole: it was too slow, or the stop lets nothing be waited for.
func (c *conn) late(reason string) *unread {
	c.mutex.Lock()
	finishing := c.phases.finishing
	c.mutex.Unlock()
	if finishing {
		return c.refuse(http.StatusServiceUnavailable, "the host stops")
	}
	return c.refuse(http.StatusRequestTimeout, reason)
}

// awaitFirst waits for the first byte of a request, as long as a connection may be idle.
func (c *conn) awaitFirst(limits Limits) *unread {
	busy := c.owes()
	c.limited.Allow(limits.HeaderBytes + headerSlack)
	for {
		c.readWithin(limits.IdleTimeout)
		_, err := c.reader.Peek(1)
		if err == nil {
			return c.arrive()
		}
		if !isTimeout(err) {
			return &unread{gone: err}
		}
		if bad, ended := c.stopsWaiting(); ended {
			return bad
		}
		if !busy {
			c.seal()
			return &unread{}
		}
		busy = c.owes()
	}
}

// arrive notes that bytes of a request were read.
func (c *conn) arrive() *unread {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if !c.phases.arrive() {
		return &unread{behindLast: true}
	}
	return nil
}

// stopsWaiting reports whether a stop ends the wait for a request. What has come to an idle connection meanwhile is read: closing
// with unread bytes would reset it.
func (c *conn) stopsWaiting() (bad *unread, ended bool) {
	c.mutex.Lock()
	sealed, hurry := c.phases.sealed, c.phases.mustHurry()
	c.mutex.Unlock()
	switch {
	case sealed:
		return &unread{behindLast: true}, true
	case !hurry:
		return nil, false
	}
	if wire.Pending(c.raw) {
		return c.readPending()
	}
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.phases.seal()
	return &unread{behindLast: c.phases.due > 0}, true
}

// readPending reads what waits on a connection; a stop that wakes the reader once more meanwhile does not hide it.
func (c *conn) readPending() (bad *unread, ended bool) {
	for wire.Pending(c.raw) {
		_ = c.raw.SetReadDeadline(time.Now().Add(lingerTime))
		_, err := c.reader.Peek(1)
		switch {
		case err == nil:
			return c.arrive(), true
		case !isTimeout(err):
			return &unread{gone: err}, true
		}
	}
	return nil, false
}

func (c *conn) readBody(r *http.Request, limits Limits) (body []byte, bad *unread) {
	if r.ContentLength == 0 && len(r.TransferEncoding) == 0 {
		return nil, nil
	}
	if r.ContentLength > limits.BodyBytes {
		return nil, c.refuse(http.StatusRequestEntityTooLarge, "the body is too large")
	}
	if strings.EqualFold(r.Header.Get("Expect"), "100-continue") {
		c.order <- &exchange{interim: true}
	}
	c.limited.Allow(limits.BodyBytes + headerSlack + readBuffer)
	c.readWithin(c.server.bodyTime)
	body, err := bodyOf(r, limits.BodyBytes)
	switch {
	case int64(len(body)) > limits.BodyBytes:
		return nil, c.refuse(http.StatusRequestEntityTooLarge, "the body is too large")
	case err != nil && isTimeout(err):
		return nil, c.late("the body did not come in time")
	case err != nil && isGone(err):
		return nil, &unread{gone: err}
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
