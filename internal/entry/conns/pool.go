package conns

import (
	"bufio"
	"context"
	"net"
	"slices"
	"sync"
	"syscall"
	"time"

	"github.com/pkg/errors"
	"golang.org/x/sys/unix"

	"ebonyrill.dev/ebonyrill/internal/entry/bound"
	"ebonyrill.dev/ebonyrill/internal/entry/link"
	"ebonyrill.dev/ebonyrill/internal/shared/wire"
)

// Timing and limits of connections to upstreams.
const (
	dialTimeout     = 700 * time.Millisecond // a lost SYN is sent again within a second; an upstream that takes longer counts as unreachable
	idleShare       = 0.7                    // share of the upstream's idle timeout after which a connection is not reused
	defaultIdleTime = 4 * time.Second        // idle timeout of upstreams that state none
	probePeriod     = time.Second            // pause before and between TCP keep-alive probes
	probeCount      = 3                      // unacknowledged probes after which a connection is broken
	userTimeout     = 4 * time.Second        // a connection with bytes unacknowledged for longer is broken
	maxIdleConns    = 16                     // idle connections kept for one upstream process at most
	readBuffer      = 4 << 10                // read buffer of one connection, in bytes
)

// Conn is one connection to an upstream. idleTime is how long it had been idle when it was last taken from the pool, uses the number of
// exchanges that it has completed.
type Conn struct {
	raw       net.Conn
	limited   *bound.Reader
	reader    *bufio.Reader
	key       string
	idleSince time.Time
	maxIdle   time.Duration
	idleTime  time.Duration
	uses      int
	carried   carried
	// uncount, if set, removes the connection from the count of open ones.
	uncount func()
}

// Pool keeps idle connections by upstream process; it is safe for concurrent use.
type Pool struct {
	mutex  sync.Mutex
	idle   map[string][]*Conn
	dials  int64
	reuses int64
	drops  dropLimit
	open   openConns
	// connect opens a connection.
	connect link.Dialer
}

// NewPool returns an empty pool.
func NewPool() *Pool {
	return &Pool{idle: map[string][]*Conn{}, open: openConns{counts: map[string]int{}}, connect: connect}
}

// CountOn makes the pool count the bytes of its connections on a link. It must be called before the first request.
func (p *Pool) CountOn(l *link.Link) { p.connect = l.WrapDialer(p.connect) }

// Counts returns how many connections were opened and how often one was reused.
func (p *Pool) Counts() (dials, reuses int64) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	return p.dials, p.reuses
}

// get returns an idle connection that may carry the call's id, or a new one if there is none that appears usable. The call's key
// identifies the upstream process, so that a connection to an earlier process at the same address is never used for a later one.
// Connections that have been idle for longer than maxIdle are closed and not used.
func (p *Pool) get(ctx context.Context, call *Call, maxIdle time.Duration) (c *Conn, err error) {
	for {
		c = p.takeIdle(call.Key, call.ID)
		if c == nil {
			return p.dial(ctx, call)
		}
		c.idleTime = time.Since(c.idleSince)
		if c.idleTime < min(c.maxIdle, maxIdle) && p.idleAllowed(c.idleTime) && c.quiet() {
			p.mutex.Lock()
			p.reuses++
			p.mutex.Unlock()
			return c, nil
		}
		c.Close()
	}
}

// takeIdle removes and returns the connection to an upstream that was used last of those that may carry a request with the id, or nil if
// there is none.
func (p *Pool) takeIdle(key, id string) *Conn {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	list := p.idle[key]
	for i, c := range slices.Backward(list) {
		if c.carried.allows(id) {
			p.idle[key] = slices.Delete(list, i, i+1)
			return c
		}
	}
	return nil
}

func (p *Pool) dial(ctx context.Context, call *Call) (c *Conn, err error) {
	uncount, err := p.reserve(call)
	if err != nil {
		return nil, err
	}
	ctx, cancel := context.WithTimeout(ctx, dialTimeout)
	defer cancel()
	p.mutex.Lock()
	p.dials++
	p.mutex.Unlock()
	raw, err := p.connect(ctx, call.Address)
	if err != nil {
		uncount()
		return nil, errors.WithMessage(err, "connect to upstream")
	}
	limitUnacknowledged(raw)
	limited := bound.NewReader(raw)
	return &Conn{raw: raw, limited: limited, reader: bufio.NewReaderSize(limited, readBuffer), key: call.Key, uncount: uncount,
		maxIdle: time.Duration(float64(defaultIdleTime) * idleShare)}, nil
}

func connect(ctx context.Context, address string) (net.Conn, error) {
	dialer := net.Dialer{KeepAliveConfig: net.KeepAliveConfig{Enable: true, Idle: probePeriod, Interval: probePeriod, Count: probeCount}}
	return dialer.DialContext(ctx, "tcp", address)
}

// limitUnacknowledged limits how long sent bytes may stay unacknowledged. Without it, a network partition is detected only after
// minutes. If the system rejects the option, the deadlines of exchanges still apply.
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

// put returns a connection to the pool after a completed exchange, or closes it if it may carry no more requests or the pool has enough
// for the upstream: the given number, or maxIdleConns if that is lower or the number is zero.
func (p *Pool) put(c *Conn, enough int) {
	if enough <= 0 || enough > maxIdleConns {
		enough = maxIdleConns
	}
	c.idleSince = time.Now()
	c.uses++
	p.mutex.Lock()
	defer p.mutex.Unlock()
	if c.carried.full() || len(p.idle[c.key]) >= enough {
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

// Sweep closes idle connections that have been idle for too long, whose key is not to be kept, or that have data to read. Unsolicited
// data from an upstream would otherwise stay in the system's buffers while the connection is idle.
func (p *Pool) Sweep(keep func(key string) bool) {
	p.mutex.Lock()
	var expired []*Conn
	for key, list := range p.idle {
		var kept []*Conn
		for _, c := range list {
			idleTime := time.Since(c.idleSince)
			if keep(key) && idleTime < c.maxIdle && p.drops.allow(time.Now(), idleTime) && c.quiet() {
				kept = append(kept, c)
			} else {
				expired = append(expired, c)
			}
		}
		p.idle[key] = kept
		if len(kept) == 0 {
			delete(p.idle, key)
		}
	}
	p.mutex.Unlock()
	for _, c := range expired {
		c.Close()
	}
}

// Close ends a connection.
func (c *Conn) Close() {
	_ = c.raw.Close()
	if c.uncount != nil {
		c.uncount()
	}
}

// quiet reports whether an idle connection has nothing to read: neither bytes of a late response nor the end of the connection.
func (c *Conn) quiet() bool { return c.reader.Buffered() == 0 && !wire.Pending(c.raw) }
