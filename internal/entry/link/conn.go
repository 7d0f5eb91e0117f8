package link

import (
	"context"
	"net"
)

// conn counts the bytes of a connection. It has all methods of a TCP connection, as its users set options and close one direction.
type conn struct {
	*net.TCPConn
	link *Link
}

// Read reads and counts.
func (c *conn) Read(b []byte) (n int, err error) {
	n, err = c.TCPConn.Read(b)
	if n > 0 {
		c.link.AddReceived(n)
	}
	return n, err
}

// Write counts and writes. The bytes count before they are written, as a write that waits for the link has filled its queue.
func (c *conn) Write(b []byte) (n int, err error) {
	c.link.AddSent(len(b))
	return c.TCPConn.Write(b)
}

// Wrap returns a connection that counts its bytes on the link. Connections that do not use TCP are returned as they are.
func (l *Link) Wrap(raw net.Conn) net.Conn {
	tcp, ok := raw.(*net.TCPConn)
	if !ok || l == nil {
		return raw
	}
	return &conn{TCPConn: tcp, link: l}
}

// Dialer opens a connection to an address.
type Dialer func(ctx context.Context, address string) (net.Conn, error)

// WrapDialer returns a dialer whose connections count their bytes on the link.
func (l *Link) WrapDialer(dial Dialer) Dialer {
	if l == nil {
		return dial
	}
	return func(ctx context.Context, address string) (net.Conn, error) {
		raw, err := dial(ctx, address)
		if err != nil {
			return nil, err
		}
		return l.Wrap(raw), nil
	}
}
