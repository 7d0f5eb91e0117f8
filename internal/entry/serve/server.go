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

// Options configure a Server. Limits is called for each request. OnRejected is called for requests that are rejected before a
// handler sees them, OnUnanswered for connections that end before all their responses are written, and OnPanic for handlers
// that panic; each of the three may be nil.
type Options struct {
	Handler      Handler
	Limits       func() Limits
	Clock        func() time.Duration
	OnRejected   func(remote string, status int, reason string)
	OnUnanswered func(u *Unanswered)
	OnPanic      func(r *Request, value any)
}

// Server serves callers' connections.
type Server struct {
	options     Options
	mutex       sync.Mutex
	listener    net.Listener
	conns       map[*conn]struct{}
	state       connState
	bodyTimeout time.Duration
	done        chan struct{}
	closing     chan struct{}
	closeOnce   sync.Once
}

// New returns a server; Serve starts it.
func New(o Options) *Server {
	return &Server{options: o, conns: map[*conn]struct{}{}, bodyTimeout: bodyTimeout, done: make(chan struct{}), closing: make(chan struct{})}
}

// Serve accepts connections from the listener until Shutdown or Close.
func (s *Server) Serve(l net.Listener) (err error) {
	defer func() { err = errors.WithMessage(err, "serve callers") }()
	s.mutex.Lock()
	s.listener = l
	s.mutex.Unlock()
	for {
		closing := s.limitAccept(l)
		c, err := l.Accept()
		if err != nil {
			select {
			case <-s.done:
				return nil
			default:
			}
			if closing {
				s.closeListener()
				return nil
			}
			var temporary interface{ Temporary() bool }
			if errors.As(err, &temporary) && temporary.Temporary() {
				s.pauseAccept()
				continue
			}
			return err
		}
		s.open(c)
	}
}

// limitAccept reports whether the server is shutting down. The next Accept then returns only connections that wait in the kernel's queue
// or arrive within acceptTime: closing the listener would reset them, although their callers may have sent requests already.
func (s *Server) limitAccept(l net.Listener) (closing bool) {
	select {
	case <-s.closing:
	default:
		return false
	}
	limited, ok := l.(interface{ SetDeadline(time.Time) error })
	return ok && limited.SetDeadline(time.Now().Add(acceptTime)) == nil
}

// Times of the last accepts of a shutdown.
const (
	acceptTime    = 20 * time.Millisecond  // without a new connection, after which the listener is closed
	maxAcceptTime = 500 * time.Millisecond // after which it is closed in any case
)

// acceptPending closes the listener once no connection waits in the kernel's queue.
func (s *Server) acceptPending(ctx context.Context) {
	s.mutex.Lock()
	listener := s.listener
	s.closeOnce.Do(func() { close(s.closing) })
	s.mutex.Unlock()
	limited, ok := listener.(interface{ SetDeadline(time.Time) error })
	if ok && limited.SetDeadline(time.Now()) == nil { // interrupts a pending Accept
		select {
		case <-s.done:
		case <-ctx.Done():
		case <-time.After(maxAcceptTime):
		}
	}
	s.closeListener()
}

// acceptPause is the pause after a temporary error of accept, as when file descriptors run out; connections wait in the
// kernel's backlog meanwhile.
const acceptPause = 10 * time.Millisecond

// pauseAccept waits for acceptPause, or until the server is closed.
func (s *Server) pauseAccept() {
	select {
	case <-s.done:
	case <-time.After(acceptPause):
	}
}

func (s *Server) open(raw net.Conn) {
	c := newConn(s, raw)
	s.mutex.Lock()
	c.state = s.state
	s.conns[c] = struct{}{}
	s.mutex.Unlock()
	c.meter.OnRetire(func() { c.changeState((*connState).drain) })
	go c.run()
}

func (s *Server) remove(c *conn) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	delete(s.conns, c)
}

// Drain makes each connection end after its outstanding responses, and an idle one after its next response.
func (s *Server) Drain() { s.changeState((*connState).drain) }

// RejectIncomplete drains the server and rejects requests that have not been read completely; those that have been read
// are handled.
func (s *Server) RejectIncomplete() { s.changeState((*connState).drainIncomplete) }

// changeState changes the state of all connections, including those that are accepted later.
func (s *Server) changeState(change func(s *connState)) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	change(&s.state)
	for c := range s.conns {
		c.changeState(change)
	}
}

// Shutdown stops accepting connections, drains the open ones and waits until all are closed. It closes idle connections only
// once all are idle: on a saturated link the close of an idle connection is queued behind the responses of others, and its
// caller may send a request on it long after the close was written. It returns an error if responses are still outstanding
// when the context ends.
func (s *Server) Shutdown(ctx context.Context) (err error) {
	defer func() { err = errors.WithMessage(err, "shut down callers' server") }()
	s.Drain()
	s.acceptPending(ctx)
	ticker := time.NewTicker(pollPeriod)
	defer ticker.Stop()
	for s.Count() > 0 {
		if s.isIdle() {
			s.changeState((*connState).drainIdle)
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

// pollPeriod is how often Shutdown checks for closed and for idle connections.
const pollPeriod = 20 * time.Millisecond

// isIdle reports whether all connections are idle.
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

// Busy returns the number of connections with outstanding requests.
func (s *Server) Busy() (n int) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	for c := range s.conns {
		if c.hasOutstanding() {
			n++
		}
	}
	return n
}

// Close closes the listener and all connections immediately.
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

// Count returns the number of open connections.
func (s *Server) Count() int {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return len(s.conns)
}
