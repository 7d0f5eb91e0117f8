package serve

import (
	"context"
	"maps"
	"net"
	"slices"
	"sync"
	"time"

	"github.com/pkg/errors"
)

// Options describe a server. Refused hears of requests that were turned away before a handler saw them, Unanswered of connections
// that ended before all answers were written, Panicked of handlers that panicked.
type Options struct {
	Handler      Handler
	Limits       func() Limits
	Clock        func() time.Duration
	OnRejected   func(remote string, status int, reason string)
	OnUnanswered func(u *Unanswered)
	OnPanic      func(r *Request, value any)
}

// Server takes callers' connections.
type Server struct {
	options  Options
	mutex    sync.Mutex
	listener net.Listener
	conns    map[*conn]struct{}
	phases   phases
	bodyTime time.Duration
	done     chan struct{}
}

// New returns a server that listens nowhere yet.
func New(o Options) *Server {
	return &Server{options: o, conns: map[*conn]struct{}{}, bodyTime: bodyTimeout, done: make(chan struct{})}
}

// Serve takes connections from the listener until Shutdown or Close.
func (s *Server) Serve(l net.Listener) (err error) {
	defer func() { err = errors.WithMessage(err, "serve callers") }()
	s.mutex.Lock()
	s.listener = l
	s.mutex.Unlock()
	for {
		c, err := l.Accept()
		if err != nil {
			select {
			case <-s.done:
				return nil
			default:
			}
			var temporary interface{ Temporary() bool }
			if errors.As(err, &temporary) && temporary.Temporary() {
				s.rest()
				continue
			}
			return err
		}
		s.open(c)
	}
}

// acceptPause is how long accepting rests when descriptors run out; connections wait in the kernel's queue meanwhile.
const acceptPause = 10 * time.Millisecond

// rest waits for a moment, or until the server ends.
func (s *Server) rest() {
	select {
	case <-s.done:
	case <-time.After(acceptPause):
	}
}

func (s *Server) open(raw net.Conn) {
	c := newConn(s, raw)
	s.mutex.Lock()
	c.phases = s.phases
	s.conns[c] = struct{}{}
	s.mutex.Unlock()
	go c.run()
}

func (s *Server) forget(c *conn) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	delete(s.conns, c)
}

// Drain lets each connection end with the answers that are due, and idle ones with their next answer.
func (s *Server) Drain() { s.change((*phases).stop) }

// RejectIncomplete refuses the requests that have not come whole by now; those that have are answered.
func (s *Server) RejectIncomplete() { s.change((*phases).finish) }

// change takes all connections, and those to come, into a phase of the stop.
func (s *Server) change(phase func(p *phases)) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	phase(&s.phases)
	for c := range s.conns {
		c.stop(phase)
	}
}

// Shutdown takes no more connections and waits until those that are open have had their answers and the callers have seen the end.
// Idle ones end once all are idle: the end of a connection that waits behind the answers of others on a full link crosses requests
// that were sent long after it. It returns an error where answers are still due when the context ends.
func (s *Server) Shutdown(ctx context.Context) (err error) {
	defer func() { err = errors.WithMessage(err, "shut down callers' server") }()
	s.closeListener()
	s.Drain()
	ticker := time.NewTicker(pollPeriod)
	defer ticker.Stop()
	for s.Count() > 0 {
		if s.isIdle() {
			s.change((*phases).endIdle)
		}
		select {
		case <-ctx.Done():
			if s.Busy() > 0 {
				return ctx.Err()
			}
			return nil
		case <-ticker.C:
		}
	}
	return nil
}

// pollPeriod is how often a shutdown looks for connections that have ended.
const pollPeriod = 20 * time.Millisecond

// isIdle reports whether no connection has a request or is about to end.
func (s *Server) isIdle() bool {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	for c := range s.conns {
		if !c.isIdle() {
			return false
		}
	}
	return true
}

// Busy returns how many connections owe an answer to a request that was read.
func (s *Server) Busy() (n int) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	for c := range s.conns {
		if c.owes() {
			n++
		}
	}
	return n
}

// Close ends all at once.
func (s *Server) Close() {
	s.closeListener()
	s.mutex.Lock()
	open := slices.Collect(maps.Keys(s.conns))
	s.mutex.Unlock()
	for _, c := range open {
		c.abort(CauseStopped, nil)
	}
}

func (s *Server) closeListener() {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	select {
	case <-s.done:
		return
	default:
		close(s.done)
	}
	if s.listener != nil {
		_ = s.listener.Close()
	}
}

// Count returns the open connections.
func (s *Server) Count() int {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return len(s.conns)
}
