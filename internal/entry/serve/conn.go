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
	maxAhead     = 32               // requests read ahead of their answers
	readBuffer   = 2 << 10          // most headers fit; memory counts for each open connection
	bodyTimeout  = 30 * time.Second // a caller that sends a body more slowly counts as silent
	writeTimeout = 15 * time.Second // a caller that takes an answer more slowly counts as silent
	headerSlack  = 1 << 10          // what the read buffer may hold of the request behind
	lingerTime   = 2 * time.Second  // what comes behind the last answer is read for so long; a close resets what a full link holds
)

// conn is one caller's connection: one goroutine reads requests, one writes answers in their order.
type conn struct {
	server    *Server
	raw       net.Conn
	limited   *bound.Reader
	reader    *bufio.Reader
	ctx       context.Context
	cancel    context.CancelFunc
	order     chan *exchange
	mutex     sync.Mutex
	phases    phases
	due       []*exchange
	told      bool
	lingerEnd time.Time
	ignored   chan struct{}
}

// exchange is a request that was read and the place of its answer; an interim one asks for a body and has no answer.
type exchange struct {
	request *Request
	answer  chan *Response
	interim bool
}

func newConn(s *Server, raw net.Conn) *conn {
	c := &conn{server: s, raw: raw, limited: bound.NewReader(raw), order: make(chan *exchange, maxAhead)}
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
		x := &exchange{request: r, answer: make(chan *Response, 1)}
		switch {
		case bad == nil && c.begin(x):
			c.order <- x
			ended := r.HTTP.Close || !r.HTTP.ProtoAtLeast(1, 1)
			if ended {
				c.seal()
			}
			go c.handle(x)
			if !ended {
				continue
			}
			c.ignoreRest()
		case bad == nil || bad.behindLast:
			c.ignoreRest()
		case bad.answer != nil:
			if c.begin(x) {
				c.order <- x
				x.answer <- bad.answer
			}
			c.seal()
			c.ignoreRest()
		case bad.gone != nil:
			c.leave(bad.gone)
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
		x.answer <- Text(http.StatusBadGateway, "the request could not be handled")
	}()
	a := c.server.options.Handler(c.ctx, x.request)
	x.request.Body = nil // the request is kept until its answer is written, the body need not be
	if a != nil {
		x.request.SetStage(StageResponding)
		a.fit(x.request.HTTP)
	}
	x.answer <- a
}

// begin counts a request that was read, and reports whether it is to be answered.
func (c *conn) begin(x *exchange) bool {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if !c.phases.begin() {
		return false
	}
	c.due = append(c.due, x)
	return true
}

func (c *conn) seal() {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.phases.seal()
}

// ignoreRest reads on behind the last request that is taken in, so that the caller's end is seen and closing resets nothing.
func (c *conn) ignoreRest() {
	c.ignored = make(chan struct{})
	c.limited.Allow(bound.Unlimited)
	c.readWithin(untilEnd)
	go func() {
		defer close(c.ignored)
		if _, err := io.Copy(io.Discard, c.reader); err == nil || !isTimeout(err) {
			c.leave(err)
		}
	}()
}

// untilEnd stands for as long as the connection lasts.
const untilEnd = time.Duration(math.MaxInt64)

// leave takes in that the caller has gone; one that closes while its last answer is written may have half closed only.
func (c *conn) leave(err error) {
	c.mutex.Lock()
	closing := c.phases.closing
	c.mutex.Unlock()
	if !closing {
		c.cut(CauseCallerClosed, err)
	}
}

// readWithin bounds the reads that follow. A stop may let nothing be waited for any more, and behind the last answer the linger
// time holds.
func (c *conn) readWithin(d time.Duration) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	at := time.Time{}
	switch {
	case c.phases.mustHurry():
		at = time.Now()
	case !c.lingerEnd.IsZero():
		at = c.lingerEnd
	case d < untilEnd:
		at = time.Now().Add(d)
	}
	_ = c.raw.SetReadDeadline(at)
}

// stop changes the phase of the connection and wakes its reader where that has nothing to wait for.
func (c *conn) stop(change func(p *phases)) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	change(&c.phases)
	c.wake()
}

// wake ends the reader's wait where a stop asks for it; the mutex must be held.
func (c *conn) wake() {
	if c.phases.mustHurry() {
		_ = c.raw.SetReadDeadline(time.Now())
	}
}

func (c *conn) isIdle() bool {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	return c.phases.idle()
}

// owes reports whether a request that was read has no answer.
func (c *conn) owes() bool {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	return c.phases.due > 0
}

func (c *conn) abort(cause Cause, err error) {
	c.cut(cause, err)
	_ = c.raw.Close()
}
