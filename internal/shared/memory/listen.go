package memory

import (
	"context"
	"net"
	"slices"
	"sync"
	"syscall"
	"time"
)

// Times of a listener whose connections are all in use.
const (
	closePeriod = 10 * time.Millisecond // between checks for connections that give way
	maxClosing  = 32                    // connections that are being closed at the same time
)

// Use is what a listener's connections are used for: its share of the connections that the process may accept, and how long a connection
// without a complete request may be silent before it gives way to a new one when all are in use. Requests to the listeners of OtherUse and
// PlatformUse are sent at once by programs nearby. Upstreams keep their connections and send a heartbeat each second, so that a connection
// must give way sooner than that: otherwise those of the first upstreams would keep out other upstreams and operators.
type Use struct {
	share   float64
	silence time.Duration
	far     bool // other data centres use it: its receive buffers are not limited, as long links need large ones
}

// Uses of listeners.
var (
	CallerUse   = Use{share: 0.4, silence: time.Second}
	PeerUse     = Use{share: 0.2, silence: time.Second, far: true}
	PlatformUse = Use{share: 0.2, silence: 300 * time.Millisecond}
	OtherUse    = Use{share: 0.1, silence: 300 * time.Millisecond}
)

// Listener accepts at most a number of connections. If all are in use, connections without a request in progress, or whose request makes
// no progress, are closed, those that have been silent for longest first. If there are none, the connections that have been open for
// longest end after the responses to the requests that were read. Meanwhile new ones wait in the kernel's queue.
type Listener struct {
	*net.TCPListener
	gate    *Gate
	use     Use
	limit   int
	receive int // size of the connections' receive buffers in bytes, zero if they are not limited
	mutex   sync.Mutex
	open    map[*slot]struct{}
}

// Listen listens at an address.
func (g *Gate) Listen(address string, use Use) (l *Listener, err error) {
	l = &Listener{gate: g, use: use, limit: g.plan.Connections(use.share), open: map[*slot]struct{}{}}
	config := net.ListenConfig{}
	if !use.far {
		l.receive = g.plan.receive(use.share)
		config.Control = func(_, _ string, raw syscall.RawConn) error { return setReceiveBuffer(raw, l.receive) }
	}
	raw, err := config.Listen(context.Background(), "tcp", address)
	if err != nil {
		return nil, err
	}
	l.TCPListener = raw.(*net.TCPListener)
	if use.far {
		return l, nil
	}
	if err = limitQueue(l.TCPListener, queueLength(l.limit)); err != nil {
		_ = raw.Close()
		return nil, err
	}
	return l, nil
}

// Accept returns the next connection.
func (l *Listener) Accept() (c net.Conn, err error) {
	raw, err := l.TCPListener.AcceptTCP()
	if err != nil {
		return nil, err
	}
	for {
		room, silent, busy := l.findRoom(time.Now())
		if room {
			break
		}
		for _, c := range silent {
			c.evict()
		}
		for _, c := range busy {
			c.retire()
		}
		time.Sleep(closePeriod)
	}
	now := time.Now()
	s := &slot{listener: l, opened: now, touched: now}
	s.conn = newConn(raw, l.gate, s)
	l.mutex.Lock()
	defer l.mutex.Unlock()
	l.open[s] = struct{}{}
	return s.conn, nil
}

// findRoom reports whether one more connection may be opened; if not, it returns those that give way: at once, and after their responses.
func (l *Listener) findRoom(now time.Time) (room bool, silent, busy []*Conn) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	if len(l.open) < l.limit {
		return true, nil, nil
	}
	var silentSlots, busySlots []*slot
	closing := 0
	for s := range l.open {
		switch {
		case s.evicted:
			closing++
		case s.busy == 0 && now.Sub(s.touched) >= l.use.silence:
			silentSlots = append(silentSlots, s)
		case s.retired:
			closing++
		case s.busy > 0 && now.Sub(s.opened) >= l.use.silence:
			busySlots = append(busySlots, s)
		}
	}
	most := max(maxClosing-closing, 0)
	slices.SortFunc(silentSlots, func(x, y *slot) int { return x.touched.Compare(y.touched) })
	for _, s := range silentSlots[:min(len(silentSlots), most)] {
		s.evicted = true
		silent = append(silent, s.conn)
	}
	if closing+len(silent) > 0 {
		return false, silent, nil
	}
	slices.SortFunc(busySlots, func(x, y *slot) int { return x.opened.Compare(y.opened) })
	for _, s := range busySlots[:min(len(busySlots), most)] {
		s.retired = true
		busy = append(busy, s.conn)
	}
	return false, nil, busy
}

// slot is a connection's place in its listener; the listener's mutex guards it. busy is the number of its requests that were read
// completely and are not finished.
type slot struct {
	listener *Listener
	conn     *Conn
	opened   time.Time
	touched  time.Time
	busy     int
	evicted  bool
	retired  bool
	refused  bool
}

func (s *slot) touch() {
	s.listener.mutex.Lock()
	defer s.listener.mutex.Unlock()
	s.touched = time.Now()
}

func (s *slot) begin() { s.change(1) }

func (s *slot) end() { s.change(-1) }

func (s *slot) change(requests int) {
	s.listener.mutex.Lock()
	defer s.listener.mutex.Unlock()
	s.busy += requests
	s.touched = time.Now()
}

func (s *slot) isEvicted() bool {
	s.listener.mutex.Lock()
	defer s.listener.mutex.Unlock()
	return s.evicted
}

// refuse notes that the connection was refused, and reports whether it was for the first time.
func (s *slot) refuse() (first bool) {
	s.listener.mutex.Lock()
	defer s.listener.mutex.Unlock()
	first = !s.refused
	s.refused = true
	return first
}

func (s *slot) release() {
	s.listener.mutex.Lock()
	defer s.listener.mutex.Unlock()
	delete(s.listener.open, s)
}
