package memory

import (
	"bytes"
	"io"
	"net"
	"sync"
	"sync/atomic"
	"time"
)

// Costs of what is read, in bytes. A header line of a few bytes takes up to 150 bytes once it is parsed, and garbage of the same size while
// the parser's map grows. A request in progress takes goroutines, their stacks, timers and the header that is forwarded.
const (
	lineCost     = 192
	headByteCost = 2
	requestCost  = 16 << 10
	// responseCost is for the response to a request that was sent ahead: it waits in memory for those before it.
	responseCost = 64 << 10
)

// HeadCost returns the memory that a part of a request's head takes once it is parsed.
func HeadCost(part []byte) int64 {
	return int64(len(part))*headByteCost + int64(bytes.Count(part, []byte{'\n'}))*lineCost
}

// HeadSize returns the memory that a parsed head takes, from its size on the wire and its header.
func HeadSize(size int64, header map[string][]string) int64 {
	lines := 0
	for _, values := range header {
		lines += len(values)
	}
	return size*headByteCost + int64(lines)*lineCost
}

// RetryAfter is the Retry-After of requests that are refused for lack of memory, in seconds: the time in which requests without progress
// give way.
const RetryAfter = "2"

// part is what a connection reads at present.
type part int32

const (
	inHead part = iota
	inBody
	inNothing // what is read now is not kept
)

// Limits of writes for which the server sets no deadline. A client that does not read its responses keeps its connection otherwise, also
// one that should give way: net/http writes the end of a response without a deadline.
const (
	writePart = 64 << 10 // bytes
	writeTime = 15 * time.Second
	// retiredWriteTime is the same for a connection that gives way to a new one, for which others wait.
	retiredWriteTime = 2 * time.Second
)

// Conn is an accepted connection whose requests are read as the gate admits them. Its bytes count towards the claim of the request that
// is being read.
type Conn struct {
	*net.TCPConn
	gate       *Gate
	slot       *slot
	ready      chan struct{}
	evicted    atomic.Bool
	timed      atomic.Bool // whether the server has set a deadline of writes
	retired    atomic.Bool
	onRetire   atomic.Pointer[func()]
	widened    bool // used by the reader only
	mutex      sync.Mutex
	claim      *Claim
	begun      bool  // whether a byte of the request was read
	response   int64 // bytes that were admitted for the response
	part       part
	factor     int64
	body       int64 // bytes of the body that were read
	reserved   int64 // bytes of the body that were admitted before they were read
	unanswered int   // requests that were read and whose tickets are not released
	closed     bool
}

func newConn(raw *net.TCPConn, g *Gate, s *slot) *Conn {
	c := &Conn{TCPConn: raw, gate: g, slot: s, ready: make(chan struct{}, 1), factor: 1}
	c.claim = g.open(false, c.notify)
	return c
}

// notify wakes the reader, or interrupts it if its claim is evicted.
func (c *Conn) notify(evicted bool) {
	if evicted {
		c.interrupt()
	}
	select {
	case c.ready <- struct{}{}:
	default:
	}
}

func (c *Conn) interrupt() {
	c.evicted.Store(true)
	_ = c.TCPConn.SetReadDeadline(time.Now())
}

// evict interrupts the request that is being read, also while it waits for memory.
func (c *Conn) evict() {
	c.mutex.Lock()
	claim := c.claim
	c.mutex.Unlock()
	c.gate.do(func(a *Account, _ time.Duration) { a.Evict(claim) })
	c.notify(true)
}

// OnRetire sets what ends the connection after the responses to the requests that were read, when it gives way to a new one.
func (c *Conn) OnRetire(end func()) {
	if c == nil {
		return
	}
	c.onRetire.Store(&end)
	if c.retired.Load() {
		end()
	}
}

// retire makes the connection give way after its responses. A client that does not read them has retiredWriteTime.
func (c *Conn) retire() {
	c.retired.Store(true)
	_ = c.TCPConn.SetWriteDeadline(time.Now().Add(retiredWriteTime))
	if end := c.onRetire.Load(); end != nil {
		(*end)()
	}
	c.gate.refuse(c.RemoteAddr().String(), ReasonTurn)
}

// SetReadDeadline sets the deadline of reads, unless they were interrupted.
func (c *Conn) SetReadDeadline(t time.Time) error {
	err := c.TCPConn.SetReadDeadline(t)
	if c.evicted.Load() {
		err = c.TCPConn.SetReadDeadline(time.Now())
	}
	return err
}

// SetDeadline sets the deadlines of reads and writes.
func (c *Conn) SetDeadline(t time.Time) error {
	if err := c.SetWriteDeadline(t); err != nil {
		return err
	}
	return c.SetReadDeadline(t)
}

// Read reads from the connection and admits what was read. It returns ErrRefused if that is not admitted, or the reading is interrupted.
func (c *Conn) Read(b []byte) (n int, err error) {
	n, err = c.TCPConn.Read(b)
	if c.gate.traffic != nil && n > 0 {
		c.gate.traffic.AddReceived(n)
	}
	if n == 0 {
		if c.evicted.Load() && err != nil {
			return 0, c.refuse(ReasonStalled)
		}
		return n, err
	}
	c.slot.touch()
	if reason := c.admit(b[:n]); reason != "" {
		return 0, c.refuse(reason)
	}
	return n, err
}

// SetWriteDeadline sets the deadline of writes. Without one, each part of a write has writeTime. When the connection gives way, writes
// have retiredWriteTime at most.
func (c *Conn) SetWriteDeadline(t time.Time) error {
	c.timed.Store(!t.IsZero())
	if latest := time.Now().Add(retiredWriteTime); c.retired.Load() && (t.IsZero() || t.After(latest)) {
		t = latest
	}
	return c.TCPConn.SetWriteDeadline(t)
}

// Write counts and writes. The bytes count before they are written, as a write that waits for the link has filled its queue.
func (c *Conn) Write(b []byte) (n int, err error) {
	if c.gate.traffic != nil {
		c.gate.traffic.AddSent(len(b))
	}
	for !c.timed.Load() && err == nil && n < len(b) {
		_ = c.TCPConn.SetWriteDeadline(time.Now().Add(c.partTime()))
		var m int
		m, err = c.TCPConn.Write(b[n:min(n+writePart, len(b))])
		n += m
	}
	if err != nil || n == len(b) {
		return n, err
	}
	m, err := c.TCPConn.Write(b[n:])
	return n + m, err
}

// partTime returns how long a part of a write may take.
func (c *Conn) partTime() time.Duration {
	if c.retired.Load() {
		return min(c.gate.writeTime, retiredWriteTime)
	}
	return c.gate.writeTime
}

// ReadFrom copies by Write, so that the bytes are counted and have a deadline; that of the embedded connection would do neither.
func (c *Conn) ReadFrom(r io.Reader) (n int64, err error) {
	return io.Copy(struct{ io.Writer }{c}, r)
}

// refuse reports a refusal once and interrupts further reads.
func (c *Conn) refuse(r Reason) error {
	if c.slot.isEvicted() {
		r = ReasonConnections
	}
	if c.slot.refuse() && r != ReasonClosed {
		c.gate.refuse(c.RemoteAddr().String(), r)
	}
	return &ErrRefused{Reason: r}
}

// admit admits bytes that were read, by the part of the request to which they belong.
func (c *Conn) admit(b []byte) (refused Reason) {
	c.mutex.Lock()
	claim, cost := c.claim, int64(len(b))*c.factor
	switch c.part {
	case inNothing:
		cost = 0
	case inHead:
		if cost = HeadCost(b); !c.begun {
			c.begun, cost = true, cost+requestCost
			if c.unanswered > 0 {
				c.response, cost = responseCost, cost+responseCost
			}
		}
	case inBody:
		c.body += int64(len(b))
		covered := min(c.reserved, cost)
		c.reserved -= covered
		cost -= covered
	}
	body := c.body
	c.mutex.Unlock()
	c.gate.do(func(a *Account, now time.Duration) { a.Progress(claim, int64(len(b)), now) })
	if cost > 0 {
		refused = c.gate.acquire(claim, cost, c.ready)
	}
	if refused == "" {
		c.widen(body)
	}
	return refused
}

// StartBody notes that the head of a request was read, and admits a body whose length is stated before any of it is read, so that bodies
// that are admitted do not wait for each other. A negative length is unknown; such a body is admitted as it is read. The factor is how
// many bytes are kept for each that is read.
func (c *Conn) StartBody(length, factor int64) (err error) {
	if c == nil {
		return nil
	}
	c.mutex.Lock()
	claim := c.claim
	c.part, c.factor, c.body = inBody, factor, 0
	c.mutex.Unlock()
	if length <= 0 {
		return nil
	}
	if reason := c.gate.acquire(claim, length*factor, c.ready); reason != "" {
		return c.refuse(reason)
	}
	c.widen(length)
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.reserved = length * factor
	return nil
}

// widen enlarges the receive buffer for a body of which more bytes were admitted than fit into it, as these are read without a wait.
func (c *Conn) widen(admitted int64) {
	if buffer := c.slot.listener.receive; c.widened || buffer == 0 || admitted <= int64(buffer) {
		return
	}
	c.widened = true
	if raw, err := c.TCPConn.SyscallConn(); err == nil {
		_ = widenReceiveBuffer(raw) // an error leaves the connection as fast as it was
	}
}

// Complete notes that a request was read completely. What it holds is kept until the returned ticket is released, while the connection
// reads the next request.
func (c *Conn) Complete() *Ticket {
	if c == nil {
		return nil
	}
	c.mutex.Lock()
	claim, next := c.claim, c.gate.open(true, c.notify)
	c.claim = next
	c.unanswered++
	t := &Ticket{conn: c, claim: claim, response: c.response}
	c.begun, c.response, c.part, c.factor, c.reserved = false, 0, inHead, 1, 0
	closed := c.closed
	c.mutex.Unlock()
	c.gate.do(func(a *Account, _ time.Duration) {
		a.Complete(claim)
		if closed {
			a.Release(next)
		}
	})
	c.slot.begin()
	return t
}

// Discard notes that what was read of the present request, and what is read from now on until Head, is not kept.
func (c *Conn) Discard() {
	if c == nil {
		return
	}
	c.mutex.Lock()
	claim := c.claim
	c.part, c.begun, c.response = inNothing, false, 0
	c.mutex.Unlock()
	c.gate.do(func(a *Account, _ time.Duration) { a.Resize(claim, 0) })
}

// Head notes that the head of a request is read next.
func (c *Conn) Head() {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.part = inHead
}

// Close closes the connection and releases what the request that was being read holds.
func (c *Conn) Close() error {
	err := c.TCPConn.Close()
	c.mutex.Lock()
	claim := c.claim
	c.closed = true
	c.mutex.Unlock()
	c.gate.do(func(a *Account, _ time.Duration) { a.Release(claim) })
	c.slot.release()
	return err
}
