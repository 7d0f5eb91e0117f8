package wire

import (
	"context"
	"crypto/tls"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"strconv"
	"sync"
	"sync/atomic"
	"time"
)

// Time-outs of connections. Keep-alive probes detect a dead peer even while nothing is sent.
const (
	dialTimeout     = 300 * time.Millisecond
	keepAlivePeriod = time.Second
	keepAliveProbes = 3
)

// Traffic counts the bytes sent and received on connections, TLS included.
type Traffic struct {
	sent     atomic.Int64
	received atomic.Int64
}

// Sent returns the bytes written.
func (t *Traffic) Sent() int64 { return t.sent.Load() }

// Received returns the bytes read.
func (t *Traffic) Received() int64 { return t.received.Load() }

// NewTransport returns a transport that counts the bytes that it writes, closes idle connections after the time idle and
// keeps at most idlePerHost of them per host. A nil Security means plain text.
func NewTransport(security *Security, idle time.Duration, idlePerHost int) *http.Transport {
	return newTransport(security, idle, idlePerHost, &Traffic{})
}

func newTransport(security *Security, idle time.Duration, idlePerHost int, traffic *Traffic) *http.Transport {
	dialer := &net.Dialer{Timeout: dialTimeout, KeepAliveConfig: net.KeepAliveConfig{Enable: true, Idle: keepAlivePeriod,
		Interval: keepAlivePeriod, Count: keepAliveProbes}}
	t := &http.Transport{
		DialContext: func(ctx context.Context, network, address string) (net.Conn, error) {
			c, err := dialer.DialContext(ctx, network, address)
			if err != nil {
				return nil, err
			}
			return &countedConn{Conn: c, traffic: traffic}, nil
		},
		MaxIdleConnsPerHost: idlePerHost,
		IdleConnTimeout:     idle,

		MaxResponseHeaderBytes: maxHeaderBytes,
	}
	if security != nil {
		t.TLSClientConfig = security.clientConfig()
	}
	return t
}

// Guard sets a function that is asked each time before the first byte of a request is written to a connection of the transport; if it
// returns an error, the request is not sent. It must be called before the first request.
func Guard(t *http.Transport, allow func() error) {
	dial := t.DialContext
	t.DialContext = func(ctx context.Context, network, address string) (net.Conn, error) {
		c, err := dial(ctx, network, address)
		if counted, ok := c.(*countedConn); ok {
			counted.allow = allow
		}
		return c, err
	}
}

// WrapConns makes a transport of NewTransport that uses plain text wrap the connections that it opens. A wrapped connection that has the
// method ExpectResponse is told when a request with a WriteTracker gets it.
func WrapConns(t *http.Transport, wrap func(net.Conn) net.Conn) {
	dial := t.DialContext
	t.DialContext = func(ctx context.Context, network, address string) (net.Conn, error) {
		c, err := dial(ctx, network, address)
		if counted, ok := c.(*countedConn); ok {
			counted.Conn = wrap(counted.Conn)
		}
		return c, err
	}
}

// boundedTransport limits the length of response bodies; Connect would read a longer one to its end.
type boundedTransport struct {
	*http.Transport
	limit int64
}

// RoundTrip sends a request and returns its response.
func (t boundedTransport) RoundTrip(r *http.Request) (response *http.Response, err error) {
	if response, err = t.Transport.RoundTrip(r); err != nil {
		return nil, err
	}
	response.Body = &boundedBody{ReadCloser: response.Body, left: t.limit, limit: t.limit}
	return response, nil
}

// boundedBody is a response body that fails once more than limit bytes were read.
type boundedBody struct {
	io.ReadCloser
	left  int64
	limit int64
}

// Read reads from the body; it returns ErrTooLong once the limit is exceeded.
func (b *boundedBody) Read(p []byte) (n int, err error) {
	n, err = b.ReadCloser.Read(p)
	if b.left -= int64(n); b.left < 0 {
		return n, &ErrTooLong{Limit: b.limit}
	}
	return n, err
}

// ErrTooLong is returned when the body of a peer's response is longer than Limit bytes.
type ErrTooLong struct {
	Limit int64
}

// Error returns the message.
func (e *ErrTooLong) Error() string {
	return "response is longer than " + strconv.FormatInt(e.Limit, 10) + " bytes"
}

// countedConn counts the bytes written. If none were written, a request was certainly not sent.
type countedConn struct {
	net.Conn
	written atomic.Int64
	traffic *Traffic
	// allow is the transport's guard, or nil. sending is set from the first byte of a request until bytes of a response are read.
	allow   func() error
	sending atomic.Bool
}

// Write counts the bytes before it writes them, so that a write in progress is counted too.
func (c *countedConn) Write(b []byte) (int, error) {
	if c.allow != nil && !c.sending.Swap(true) {
		if err := c.allow(); err != nil {
			c.sending.Store(false)
			return 0, err
		}
	}
	c.written.Add(int64(len(b)))
	c.traffic.sent.Add(int64(len(b)))
	return c.Conn.Write(b)
}

// Read reads and counts the bytes read.
func (c *countedConn) Read(b []byte) (n int, err error) {
	if n, err = c.Conn.Read(b); n > 0 {
		c.sending.Store(false)
	}
	c.traffic.received.Add(int64(n))
	return n, err
}

// WriteTracker records whether any byte of a request was written to the connections that the request used.
type WriteTracker struct {
	mutex   sync.Mutex
	used    []usedConn
	unknown bool
}

// usedConn is a connection with the number of bytes that had been written when the request got it.
type usedConn struct {
	conn   *countedConn
	before int64
}

// Trace returns the trace to add to the request's context.
func (t *WriteTracker) Trace() *httptrace.ClientTrace {
	return &httptrace.ClientTrace{GotConn: t.gotConn}
}

func (t *WriteTracker) gotConn(info httptrace.GotConnInfo) {
	conn := info.Conn
	if secure, ok := conn.(*tls.Conn); ok {
		conn = secure.NetConn()
	}
	counted, ok := conn.(*countedConn)
	t.mutex.Lock()
	defer t.mutex.Unlock()
	if !ok {
		t.unknown = true
		return
	}
	if checked, ok := counted.Conn.(interface{ ExpectResponse() }); ok {
		checked.ExpectResponse()
	}
	t.used = append(t.used, usedConn{conn: counted, before: counted.written.Load()})
}

// Written reports whether a byte of the request may have been written.
func (t *WriteTracker) Written() bool {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	for _, u := range t.used {
		if u.conn.written.Load() != u.before {
			return true
		}
	}
	return t.unknown
}
