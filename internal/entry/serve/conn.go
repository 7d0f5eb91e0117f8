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
)

// Bounds of one connection.
const (
	maxPipelined = 32               // requests read ahead of their answers
	readBuffer   = 2 << 10          // most headers fit; memory counts for each open connection
	bodyTimeout  = 30 * time.Second // a caller that sends a body more slowly counts as silent
	writeTimeout = 15 * time.Second // a caller that takes an answer more slowly counts as silent
	headerSlack  = 1 << 10          // what the read buffer may hold of the request behind
	lingerTime   = 2 * time.Second  // what comes behind the last answer is read for so long; a close resets what a full link holds
)

// conn is one caller's connection: one goroutine reads requests, one writes answers in their order.
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
}

// exchange is a request that was read and the place of its answer; an interim one asks for a body and has no answer.
type exchange struct {
	request  *Request
	response chan *Response
	interim  bool
}

func newConn(s *Server, raw net.Conn) *conn {
	c := &conn{server: s, raw: raw, limited: bound.NewReader(raw), exchanges: make(chan *exchange, maxPipelined)}
	c.reader = bufio.NewReaderSize(c.limited, readBuffer)
	c.ctx, c.cancel = context.WithCancel(context.Background())
	return c
}

// run reads requests until the caller or an answer ends the connection.
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

// read takes in requests one after the other; a request that cannot be read ends the reading with an answer.
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

// handle answers one request. A handler that panics must not end the requests of others; its own may have run.
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
	x.request.Body = nil // the request is kept until its answer is written, the body need not be
	if resp != nil {
		x.request.SetStage(StageResponding)
		resp.adapt(x.request.HTTP)
	}
	x.response <- resp
}

// begin counts a request that was read, and reports whether it is to be answered.
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

// discardRest reads on behind the last request that is taken in, so that the caller's end is seen and closing resets nothing.
func (c *conn) discardRest() {
	c.discardDone = make(chan struct{})
	c.limited.Allow(bound.Unlimited)
	c.setReadTimeout(noTimeout)
	go func() {
		defer close(c.discardDone)
		if _, err := io.Copy(io.Discard, c.reader); err == nil || !isTimeout(err) {
			c.callerClosed(err)
		}
	}()
}

// noTimeout stands for as long as the connection lasts.
const noTimeout = time.Duration(math.MaxInt64)

// callerClosed takes in that the caller has gone; one that closes while its last answer is written may have half closed only.
func (c *conn) callerClosed(err error) {
	c.mutex.Lock()
	closing := c.state.closing
	c.mutex.Unlock()
	if !closing {
		c.endUnanswered(CauseCallerClosed, err)
	}
}

// setReadTimeout bounds the reads that follow. A stop may let nothing be waited for any more, and behind the last answer the linger
// time holds.
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

// changeState changes the phase of the connection and wakes its reader where that has nothing to wait for.
func (c *conn) changeState(change func(p *connState)) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	change(&c.state)
	c.interruptRead()
}

// interruptRead ends the reader's wait where a stop asks for it; the mutex must be held.
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

// hasOutstanding reports whether a request that was read has no answer.
func (c *conn) hasOutstanding() bool {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	return c.state.outstanding > 0
}

func (c *conn) abort(cause Cause, err error) {
	c.endUnanswered(cause, err)
	_ = c.raw.Close()
}
