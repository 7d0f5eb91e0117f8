package serve

import (
	"context"
	"net"
	"sync"
	"time"

	"github.com/pkg/errors"
)

// Options describe a server. Refused hears of requests that were turned away before a handler saw them, Unanswered of connections
// that ended before all answers were written.
type Options struct {
	Handler    Handler
	Limits     func() Limits
	Clock      func() time.Duration
	Refused    func(remote string, status int, reason string)
	Unanswered func(u *Unanswered)
}

// Server takes callers' connections.
type Server struct {
	options  Options
	mutex    sync.Mutex
	listener net.Listener
	conns    map[*conn]struct{}
	stopping bool
	done     chan struct{}
}

// New returns a server that listens nowhere yet.
func New(o Options) *Server {
	return &Server{options: o, conns: map[*conn]struct{}{}, done: make(chan struct{})}
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
	s.conns[c] = struct{}{}
	s.mutex.Unlock()
	go c.run()
}

func (s *Server) forget(c *conn) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	delete(s.conns, c)
}

// Stopping reports whether connections are being closed as their answers are written.
func (s *Server) Stopping() bool {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.stopping
}

// Retire lets each connection end with its next answer; new connections are still taken.
func (s *Server) Retire() {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.stopping = true
}

// Shutdown takes no more connections, ends idle ones and waits until the others have had their answers.
func (s *Server) Shutdown(ctx context.Context) (err error) {
	defer func() { err = errors.WithMessage(err, "shut down callers' server") }()
	s.Retire()
	s.closeListener()
	ticker := time.NewTicker(pollPeriod)
	defer ticker.Stop()
	for {
		if s.closeIdle() == 0 {
			return nil
		}
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-ticker.C:
		}
	}
}

// pollPeriod is how often a shutdown looks for connections that have become idle.
const pollPeriod = 20 * time.Millisecond

// closeIdle ends the connections without a request and returns how many others there are.
func (s *Server) closeIdle() (busy int) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	for c := range s.conns {
		if c.closeIfIdle() {
			continue
		}
		busy++
	}
	return busy
}

// Close ends all at once.
func (s *Server) Close() {
	s.closeListener()
	s.mutex.Lock()
	defer s.mutex.Unlock()
	for c := range s.conns {
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
