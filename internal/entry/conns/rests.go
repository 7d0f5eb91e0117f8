package conns

import (
	"time"

	"github.com/pkg/errors"
	"golang.org/x/sys/unix"
)

// Times of what is learned of idle connections that upstreams forget before their time.
const (
	restMemory  = 8 * time.Second        // upstreams that forgot connections are taken to do so for this long
	restShare   = 0.6                    // part of the rest after which one was forgotten that is still trusted
	leastRest   = 150 * time.Millisecond // a shorter rest is always trusted; new connections cost upstreams time
	shortestRun = 2                      // connections that must have been found forgotten within the memory; one may be chance
)

// rests learns after how long a rest upstreams forget connections sooner than they say. Such a connection looks sound until
// something is sent on it, and a request sent then may have run as far as anybody can tell.
type rests struct {
	limit time.Duration
	until time.Time
	found int
}

// forgotten takes in that a connection was reset by the first bytes after a rest.
func (r *rests) forgotten(now time.Time, rest time.Duration) {
	if rest < leastRest {
		return
	}
	if now.After(r.until) {
		r.found, r.limit = 0, rest
	}
	r.found++
	r.limit = min(r.limit, rest)
	r.until = now.Add(restMemory)
}

// allow reports whether a connection that rested so long may be used.
func (r *rests) allow(now time.Time, rest time.Duration) bool {
	return r.found < shortestRun || now.After(r.until) || rest < max(time.Duration(restShare*float64(r.limit)), leastRest)
}

func (p *Pool) mayRest(rest time.Duration) bool {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	return p.rests.allow(time.Now(), rest)
}

// noteBroken takes in that a connection broke before any byte of an answer came.
func (p *Pool) noteBroken(c *Conn, err error) {
	if c.uses == 0 || !errors.Is(err, unix.ECONNRESET) && !errors.Is(err, unix.EPIPE) {
		return
	}
	p.mutex.Lock()
	defer p.mutex.Unlock()
	p.rests.forgotten(time.Now(), c.rested)
}
