package conns

import (
	"time"

	"github.com/pkg/errors"
	"golang.org/x/sys/unix"
)

// Tuning of the detection of upstreams that drop idle connections before their stated idle timeout.
const (
	dropMemory    = 8 * time.Second        // the learned limit applies for this long after the last dropped connection
	safeIdleShare = 0.6                    // share of the idle time of a dropped connection that is still considered safe
	minIdleLimit  = 150 * time.Millisecond // shorter idle times are always allowed, as new connections cost the upstreams time
	minDrops      = 2                      // dropped connections within dropMemory before the limit applies; a single one may be chance
)

// dropLimit learns the idle time after which upstreams silently drop connections, if that is shorter than their stated idle timeout.
// Such a connection appears usable until something is sent on it, and it is then unknown whether the request has run.
type dropLimit struct {
	limit time.Duration
	until time.Time
	drops int
}

// dropped records that a connection was reset when it was reused after the idle time.
func (l *dropLimit) dropped(now time.Time, idleTime time.Duration) {
	if idleTime < minIdleLimit {
		return
	}
	if now.After(l.until) {
		l.drops, l.limit = 0, idleTime
	}
	l.drops++
	l.limit = min(l.limit, idleTime)
	l.until = now.Add(dropMemory)
}

// allow reports whether a connection that has been idle for the given time may be used.
func (l *dropLimit) allow(now time.Time, idleTime time.Duration) bool {
	return l.drops < minDrops || now.After(l.until) || idleTime < max(time.Duration(safeIdleShare*float64(l.limit)), minIdleLimit)
}

func (p *Pool) idleAllowed(idleTime time.Duration) bool {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	return p.drops.allow(time.Now(), idleTime)
}

// recordReset records a failed exchange as a dropped connection if a reused connection was reset.
func (p *Pool) recordReset(c *Conn, err error) {
	if c.uses == 0 || !isReset(err) {
		return
	}
	p.mutex.Lock()
	defer p.mutex.Unlock()
	p.drops.dropped(time.Now(), c.idleTime)
}

// isReset reports whether the other end reset the connection.
func isReset(err error) bool { return errors.Is(err, unix.ECONNRESET) || errors.Is(err, unix.EPIPE) }
