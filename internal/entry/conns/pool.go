package conns

import (
	"bufio"
	"context"
	"net"
	"sync"
	"syscall"
	"time"

	"github.com/pkg/errors"
	"golang.org/x/sys/unix"

	"ebonyrill.dev/ebonyrill/internal/entry/bound"
	"ebonyrill.dev/ebonyrill/internal/shared/wire"
)

// Times and bounds of connections to upstreams.
const (
	dialTimeout    = 700 * time.Millisecond // one lost opening packet is sent again within a second; longer means no path
	idleShare      = 0.7                    // part of the idle time that an upstream grants after which a connection is not used again
	defaultIdle    = 4 * time.Second        // idle time where the upstream names none
	probePeriod    = time.Second            // pause between probes of a silent connection
	probeCount     = 3                      // probes unanswered before a connection counts as broken
	userTimeout    = 4 * time.Second        // bytes unacknowledged for longer break the connection
	maxIdlePerHost = 16                     // idle connections kept for one upstream
	answerBuffer   = 4 << 10                // read buffer of one connection, in bytes
)

// Conn is one connection to an upstream.
type Conn struct {
	raw     net.Conn
	limited *bound.Reader
	reader  *bufio.Reader
	key     string
	idleAt  time.Time
	idleFor time.Duration
	rested  time.Duration
	uses    int
}

// Pool keeps idle connections by upstream.
type Pool struct {
	mutex  sync.Mutex
	idle   map[string][]*Conn
	dials  int64
	reuses int64
	rests  rests
	// connect opens a connection.
	connect func(ctx context.Context, address string) (net.Conn, error)
}

// NewPool returns an empty pool.
func NewPool() *Pool { return &Pool{idle: map[string][]*Conn{}, connect: connect} }

// Counts returns how many connections were opened and how often one was used again.
func (p *Pool) Counts() (dials, reuses int64) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	return p.dials, p.reuses
}

// get returns an idle connection that shows no sign of its end, or a new one. The key names the upstream's process, so that a
// connection to an earlier process at the address is never used for a later one. Idle connections that rested for longer than
// maxIdle are passed over.
func (p *Pool) get(ctx context.Context, key, address string, maxIdle time.Duration) (c *Conn, err error) {
	for {
		c = p.take(key)
		if c == nil {
			return p.dial(ctx, key, address)
		}
		c.rested = time.Since(c.idleAt)
		if c.rested < min(c.idleFor, maxIdle) && p.mayRest(c.rested) && c.quiet() {
			p.mutex.Lock()
			p.reuses++
			p.mutex.Unlock()
			return c, nil
		}
		c.Close()
	}
}

func (p *Pool) take(key string) *Conn {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	list := p.idle[key]
	if len(list) == 0 {
		return nil
	}
	c := list[len(list)-1]
	p.idle[key] = list[:len(list)-1]
	return c
}

func (p *Pool) dial(ctx context.Context, key, address string) (c *Conn, err error) {
	ctx, cancel := context.WithTimeout(ctx, dialTimeout)
	defer cancel()
	p.mutex.Lock()
	p.dials++
	p.mutex.Unlock()
	raw, err := p.connect(ctx, address)
	if err != nil {
		return nil, errors.WithMessage(err, "connect to upstream")
	}
	limitUnacknowledged(raw)
	limited := bound.NewReader(raw)
	return &Conn{raw: raw, limited: limited, reader: bufio.NewReaderSize(limited, answerBuffer), key: key,
		idleFor: time.Duration(float64(defaultIdle) * idleShare)}, nil
}

func connect(ctx context.Context, address string) (net.Conn, error) {
	dialer := net.Dialer{KeepAliveConfig: net.KeepAliveConfig{Enable: true, Idle: probePeriod, Interval: probePeriod, Count: probeCount}}
	return dialer.DialContext(ctx, "tcp", address)
}

// limitUnacknowledged bounds how long sent bytes may stay unacknowledged; without it a partition shows only after minutes.
// Where the system refuses the option the deadlines of exchanges still hold.
func limitUnacknowledged(raw net.Conn) {
	tcp, ok := raw.(syscall.Conn)
	if !ok {
		return
	}
	control, err := tcp.SyscallConn()
	if err != nil {
		return
	}
	_ = control.Control(func(fd uintptr) {
		_ = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(userTimeout.Milliseconds()))
	})
}

// put keeps a connection whose exchange ended cleanly.
func (p *Pool) put(c *Conn) {
	c.idleAt = time.Now()
	c.uses++
	p.mutex.Lock()
	defer p.mutex.Unlock()
	if len(p.idle[c.key]) >= maxIdlePerHost {
		c.Close()
		return
	}
	p.idle[c.key] = append(p.idle[c.key], c)
}

// CloseIdle closes the idle connections to one upstream process.
func (p *Pool) CloseIdle(key string) {
	p.mutex.Lock()
	list := p.idle[key]
	delete(p.idle, key)
	p.mutex.Unlock()
	for _, c := range list {
		c.Close()
	}
}

// Sweep closes the connections that have rested too long or on which something came, and forgets upstreams that are not in the
// list. What an upstream sends unasked would stay in the system's buffers for as long as the connection rests.
func (p *Pool) Sweep(keep func(key string) bool) {
	p.mutex.Lock()
	var ended []*Conn
	for key, list := range p.idle {
		var fresh []*Conn
		for _, c := range list {
			rested := time.Since(c.idleAt)
			if keep(key) && rested < c.idleFor && p.rests.allow(time.Now(), rested) && c.quiet() {
				fresh = append(fresh, c)
			} else {
				ended = append(ended, c)
			}
		}
		p.idle[key] = fresh
		if len(fresh) == 0 {
			delete(p.idle, key)
		}
	}
	p.mutex.Unlock()
	for _, c := range ended {
		c.Close()
	}
}

// Close ends a connection.
func (c *Conn) Close() { _ = c.raw.Close() }

// quiet reports whether nothing waits to be read on an idle connection: neither bytes of a late answer nor its end.
func (c *Conn) quiet() bool { return c.reader.Buffered() == 0 && !wire.Pending(c.raw) }
