package memory

import (
	"context"
	"crypto/tls"
	"errors"
	"io"
	"net"
	"net/http"
)

type connKey struct{}

// BodyUse says what a handler does with a request's body.
type BodyUse struct {
	// Factor is how many bytes are kept for each byte of the body.
	Factor int64
	// Limit is the length in bytes of the longest body, zero if the handler rejects longer ones by itself before it reads them. Bodies for
	// which the process has no memory are over the limit too.
	Limit int64
	// Abort says that the connection is closed when the body is refused while it is read: an error status of the handler's own would
	// promise that the request is invalid.
	Abort bool
}

// Serve makes an HTTP server account for the requests of a gate's connections. A request whose body is announced to be over its limit is
// answered 413 before any of the body is read; other bodies are not read beyond the limit. In both cases the connection ends.
func Serve(s *http.Server, describe func(r *http.Request) BodyUse) {
	next := s.Handler
	s.ConnContext = func(ctx context.Context, c net.Conn) context.Context {
		return context.WithValue(ctx, connKey{}, underlying(c))
	}
	s.ConnState = func(c net.Conn, state http.ConnState) {
		if own := underlying(c); own != nil && state == http.StateIdle {
			own.Head()
		}
	}
	s.Handler = http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		c, _ := r.Context().Value(connKey{}).(*Conn)
		if c == nil {
			next.ServeHTTP(w, r)
			return
		}
		if c.retired.Load() {
			w.Header().Set("Connection", "close")
		}
		described := describe(r)
		if described.Limit > 0 {
			described.Limit = min(described.Limit, c.gate.plan.LargestBody(described.Factor))
		}
		b := &body{ReadCloser: r.Body, conn: c, length: r.ContentLength, BodyUse: described}
		defer b.end()
		switch {
		case r.ContentLength == 0 || r.Body == nil || r.Body == http.NoBody:
			b.complete()
		case described.Limit > 0 && r.ContentLength > described.Limit:
			w.Header().Set("Connection", "close")
			http.Error(w, "the body is too large", http.StatusRequestEntityTooLarge)
			return
		case described.Limit > 0:
			r.Body = http.MaxBytesReader(w, b, described.Limit)
		default:
			r.Body = b
		}
		next.ServeHTTP(w, r.WithContext(context.WithValue(r.Context(), ticketKey{}, b)))
	})
}

type ticketKey struct{}

// Hold adds bytes that the handler of a request is about to keep, as those of a response, and reports whether there is memory for them.
// It does not wait. The context is that of a request to a server for which Serve was called; there is always memory for others.
func Hold(ctx context.Context, bytes int64) bool {
	b := bodyOf(ctx)
	return b == nil || b.ticket == nil || b.ticket.Hold(bytes)
}

// bodyOf returns the body of the request with a context, or nil if Serve was not called for its server.
func bodyOf(ctx context.Context) *body {
	b, _ := ctx.Value(ticketKey{}).(*body)
	return b
}

// underlying returns the gate's connection below a server's, or nil.
func underlying(c net.Conn) *Conn {
	if secure, ok := c.(*tls.Conn); ok {
		c = secure.NetConn()
	}
	own, _ := c.(*Conn)
	return own
}

// Refused reports whether a request was refused for lack of memory.
func Refused(err error) bool {
	var refused *ErrRefused
	return errors.As(err, &refused)
}

// body is a request's body that is admitted before it is read.
type body struct {
	io.ReadCloser
	BodyUse
	conn     *Conn
	length   int64
	read     int64
	admitted bool
	ticket   *Ticket
}

// Read reads from the body. The first call waits until a body of known length is admitted.
func (b *body) Read(p []byte) (n int, err error) {
	if !b.admitted {
		b.admitted = true
		err = b.conn.StartBody(b.length, b.Factor)
	}
	if err == nil {
		n, err = b.ReadCloser.Read(p)
		b.read += int64(n)
	}
	switch {
	case err == io.EOF:
		b.complete()
	case Refused(err) && b.Abort:
		panic(http.ErrAbortHandler)
	}
	return n, err
}

// complete notes that the request was read completely.
func (b *body) complete() {
	if b.ticket == nil {
		b.ticket = b.conn.Complete()
	}
}

// refuse counts and reports that the request was refused.
func (b *body) refuse(r Reason) { b.conn.gate.refuse(b.conn.RemoteAddr().String(), r) }

// end reports a body over the limit, and releases the memory of the request after its handler has returned.
func (b *body) end() {
	if b.Limit > 0 && max(b.length, b.read) > b.Limit {
		b.refuse(ReasonTooLarge)
	}
	b.complete()
	b.conn.Discard()
	b.ticket.Release()
}
