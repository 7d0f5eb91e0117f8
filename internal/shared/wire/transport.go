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

// Times of connections; a connection whose far end is gone is found out by probes even while nothing is sent.
const (
	dialTimeout     = 300 * time.Millisecond
	keepAlivePeriod = time.Second
	keepAliveProbes = 3
)

// Traffic counts the bytes of connections, below TLS.
type Traffic struct {
	sent     atomic.Int64
	received atomic.Int64
}

// Sent returns the bytes written.
func (t *Traffic) Sent() int64 { return t.sent.Load() }

// Received returns the bytes read.
func (t *Traffic) Received() int64 { return t.received.Load() }

// NewTransport returns a transport that counts what it writes, keeps idle connections for a time and never asks for
// compression; a nil Security means plain text.
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

		MaxResponseHeaderBytes: maxHeadBytes,
	}
	if security != nil {
		t.TLSClientConfig = security.clientConfig()
	}
	return t
}

// boundedTransport ends bodies of answers that are longer than a message may be; Connect would read on to their end.
type boundedTransport struct {
	*http.Transport
	most int64
}

// RoundTrip performs a call.
func (t boundedTransport) RoundTrip(r *http.Request) (response *http.Response, err error) {
	if response, err = t.Transport.RoundTrip(r); err != nil {
		return nil, err
	}
	response.Body = &boundedBody{ReadCloser: response.Body, left: t.most, most: t.most}
	return response, nil
}

// boundedBody fails once it was longer than allowed.
type boundedBody struct {
	io.ReadCloser
	left int64
	most int64
}

// Read reads on while the body is no longer than allowed.
func (b *boundedBody) Read(p []byte) (n int, err error) {
	n, err = b.ReadCloser.Read(p)
	if b.left -= int64(n); b.left < 0 {
		return n, &ErrTooLong{Limit: b.most}
	}
	return n, err
}

// ErrTooLong is returned when a peer's answer is longer than a message may be.
type ErrTooLong struct {
	Limit int64
}

// Error returns the message.
func (e *ErrTooLong) Error() string {
	return "the answer is longer than " + strconv.FormatInt(e.Limit, 10) + " bytes"
}

// countedConn counts the bytes written, which proves that a request was not sent when none were.
type countedConn struct {
	net.Conn
	written atomic.Int64
	traffic *Traffic
}

// Write counts before it writes, so that a write that is under way counts as well.
func (c *countedConn) Write(b []byte) (int, error) {
	c.written.Add(int64(len(b)))
	c.traffic.sent.Add(int64(len(b)))
	return c.Conn.Write(b)
}

// Read counts what was read.
func (c *countedConn) Read(b []byte) (n int, err error) {
	n, err = c.Conn.Read(b)
	c.traffic.received.Add(int64(n))
	return n, err
}

// WriteTracker knows whether any byte of a request went out on the connections that it used.
type WriteTracker struct {
	mutex   sync.Mutex
	used    []usedConn
	unknown bool
}

// usedConn is a connection with what had been written when the request got it.
type usedConn struct {
	conn   *countedConn
	before int64
}

// Trace returns the trace that the request must carry.
func (s *WriteTracker) Trace() *httptrace.ClientTrace {
	return &httptrace.ClientTrace{GotConn: s.gotConn}
}

func (s *WriteTracker) gotConn(info httptrace.GotConnInfo) {
	conn := info.Conn
	if secure, ok := conn.(*tls.Conn); ok {
		conn = secure.NetConn()
	}
	counted, ok := conn.(*countedConn)
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if !ok {
		s.unknown = true
		return
	}
	s.used = append(s.used, usedConn{conn: counted, before: counted.written.Load()})
}

// Written reports whether a byte may have gone out.
func (s *WriteTracker) Written() bool {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	for _, u := range s.used {
		if u.conn.written.Load() != u.before {
			return true
		}
	}
	return s.unknown
}
