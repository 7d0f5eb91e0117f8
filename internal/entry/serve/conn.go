package serve

import (
	"bufio"
	"context"
	"io"
	"math"
	"net"
	"net/http"
	"sync"
	"time"

	"ebonyrill.dev/ebonyrill/internal/entry/bound"
	"ebonyrill.dev/ebonyrill/internal/shared/memory"
)

// Limits of one connection.
const (
	maxPipelined = 32               // requests read ahead of the response that is being written
	readBuffer   = 2 << 10          // in bytes; holds most headers, and each open connection has one
	bodyTimeout  = 30 * time.Second // a caller that sends a body more slowly counts as unresponsive
	writeTimeout = 15 * time.Second // a caller that reads one part of a response more slowly counts as unresponsive
	headerSlack  = 1 << 10          // bytes of the next request that may be read into the buffer with a header or body
	// lingerTime is how long input is still read after the last response. Closing the connection sooner can reset it and lose
	// what a slow link has not delivered of the response.
	lingerTime = 2 * time.Second
)

// conn is a caller's connection. One goroutine reads requests, one writes responses in the order of the requests, and each
// request is handled in a goroutine of its own.
type conn struct {
	server      *Server
	raw         net.Conn
	limited     *bound.Reader
	reader      *bufio.Reader
	ctx         context.Context
	cancel      context.CancelFunc
	exchanges   chan *exchange
	mutex       sync.Mutex
	state       connState
	outstanding []*exchange
	reported    bool
	lingerEnd   time.Time
	discardDone chan struct{}
	meter       *memory.Conn // nil if the listener does not account for memory
}

// exchange is a request and the channel for its response; request is nil if it could not be read and gets an error response.
// An interim exchange has neither: it makes the writer send the interim response 100 Continue.
type exchange struct {
	request  *Request
	response chan *Response
	interim  bool
}

func newConn(s *Server, raw net.Conn) *conn {
	c := &conn{server: s, raw: raw, limited: bound.NewReader(raw), exchanges: make(chan *exchange, maxPipelined)}
	c.meter, _ = raw.(*memory.Conn)
	c.reader = bufio.NewReaderSize(c.limited, readBuffer)
	c.ctx, c.cancel = context.WithCancel(context.Background())
	return c
}

// run serves the connection until the caller or a response ends it, and closes it.
func (c *conn) run() {
	defer c.server.remove(c)
	written := make(chan struct{})
	go func() {
		defer close(written)
		c.write()
	}()
	c.read()
	close(c.exchanges)
	<-written
	if c.discardDone != nil {
		<-c.discardDone
	}
	c.cancel()
	_ = c.raw.Close()
}

// read reads requests and starts their handlers. A request that cannot be read gets an error response and is the last.
func (c *conn) read() {
	for {
		r, bad := c.next()
		x := &exchange{request: r, response: make(chan *Response, 1)}
		switch {
		case bad == nil && c.begin(x):
			c.exchanges <- x
			ended := r.HTTP.Close || !r.HTTP.ProtoAtLeast(1, 1)
			if ended {
				c.closeRead()
			}
			go c.handle(x)
			if !ended {
				continue
			}
			c.discardRest()
		case bad == nil || bad.afterLast:
			if r != nil {
				r.ticket.Release()
			}
			c.discardRest()
		case bad.response != nil:
			if c.begin(x) {
				c.exchanges <- x
				x.response <- bad.response
			}
			c.closeRead()
			c.discardRest()
		case bad.closed != nil:
			c.callerClosed(bad.closed)
		}
		return
	}
}

// handle runs the handler for one request. A panic of the handler is answered with status 502, as the request may have been
// executed; it does not affect other requests.
func (c *conn) handle(x *exchange) {
	defer func() {
		v := recover()
		if v == nil {
			return
		}
		if c.server.options.OnPanic != nil {
			c.server.options.OnPanic(x.request, v)
		}
		x.response <- Text(http.StatusBadGateway, "the request could not be handled")
	}()
	resp := c.server.options.Handler(c.ctx, x.request)
	x.request.Body = bound.Body{} // frees the body; the request itself is kept until its response is written
	x.request.ticket.KeepResponse(x.request.headCost)
	if resp != nil {
		x.request.ticket.KeepResponse(x.request.headCost + int64(len(resp.Body)))
		x.request.SetStage(StageResponding)
		resp.adapt(x.request.HTTP)
	}
	x.response <- resp
}

// begin adds a request to those outstanding and reports whether it is to be handled.
func (c *conn) begin(x *exchange) bool {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if !c.state.begin() {
		return false
	}
	c.outstanding = append(c.outstanding, x)
	return true
}

func (c *conn) closeRead() {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.state.closeRead()
}

// discardRest reads and discards what follows the last request, so that a close by the caller is noticed and closing the
// connection does not reset it because of unread bytes.
func (c *conn) discardRest() {
	c.discardDone = make(chan struct{})
	c.limited.Allow(bound.Unlimited)
	c.meter.Discard()
	c.setReadTimeout(noTimeout)
	go func() {
		defer close(c.discardDone)
		if _, err := io.Copy(io.Discard, c.reader); err == nil || !isTimeout(err) {
			c.callerClosed(err)
		}
	}()
}

// noTimeout is the argument of setReadTimeout for no timeout.
const noTimeout = time.Duration(math.MaxInt64)

// callerClosed cancels the outstanding requests, as the caller has closed or reset the connection. While the last response is
// being written it does nothing: the caller may have closed its writing side only.
func (c *conn) callerClosed(err error) {
	c.mutex.Lock()
	closing := c.state.closing
	c.mutex.Unlock()
	if !closing {
		c.endUnanswered(CauseCallerClosed, err)
	}
}

// setReadTimeout sets the deadline of the reads that follow: now if the state forbids waiting for input, the end of the
// linger time after the last response, and d from now otherwise, or none if d is noTimeout.
func (c *conn) setReadTimeout(d time.Duration) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	at := time.Time{}
	switch {
	case c.state.mustNotWait():
		at = time.Now()
	case !c.lingerEnd.IsZero():
		at = c.lingerEnd
	case d < noTimeout:
		at = time.Now().Add(d)
	}
	_ = c.raw.SetReadDeadline(at)
}

// changeState changes the state of the connection and interrupts its reader if that must no longer wait for input.
func (c *conn) changeState(change func(s *connState)) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	change(&c.state)
	c.interruptRead()
}

// interruptRead makes a pending read time out if the state forbids waiting for input; the mutex must be held.
func (c *conn) interruptRead() {
	if c.state.mustNotWait() {
		_ = c.raw.SetReadDeadline(time.Now())
	}
}

func (c *conn) isIdle() bool {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	return c.state.idle()
}

// hasOutstanding reports whether a request that was read has no complete response.
func (c *conn) hasOutstanding() bool {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	return c.state.outstanding > 0
}

func (c *conn) abort(cause Cause, err error) {
	c.endUnanswered(cause, err)
	_ = c.raw.Close()
}
