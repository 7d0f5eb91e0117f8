package conns

import (
	"sync"
	"time"
)

// ErrTooManyConnections is the cause when a call needs a new connection and its upstream has as many as the call allows, or the pool as many
// as it may have.
type ErrTooManyConnections struct{}

// Error returns the message.
func (e *ErrTooManyConnections) Error() string { return "too many connections to upstreams" }

// openConns counts the open connections by upstream process, including those that are being opened.
type openConns struct {
	mutex  sync.Mutex
	counts map[string]int
	all    int
	limit  int // of all connections, zero for any number
}

// aheadShare is the part of the pool's connections that calls may use whose callers cannot read the response yet.
const aheadShare = 0.5

// add counts a connection for a call unless there are as many as allowed, and returns a function that uncounts it once. It says otherwise
// whether all connections are open, or only those to the upstream. idle is how many of all are idle; only calls that are ahead need it.
func (o *openConns) add(call *Call, idle int) (remove func(), ok, exhausted bool) {
	o.mutex.Lock()
	defer o.mutex.Unlock()
	ahead := call.Ahead && float64(o.all-idle) >= aheadShare*float64(o.limit)
	exhausted = o.limit > 0 && (o.all >= o.limit || ahead)
	if exhausted || call.MaxOpen > 0 && o.counts[call.Key] >= call.MaxOpen {
		return nil, false, exhausted
	}
	key := call.Key
	o.all++
	o.counts[key]++
	return sync.OnceFunc(func() { o.remove(key) }), true, false
}

func (o *openConns) remove(key string) {
	o.mutex.Lock()
	defer o.mutex.Unlock()
	o.all--
	if o.counts[key]--; o.counts[key] <= 0 {
		delete(o.counts, key)
	}
}

// LimitConnections limits the connections to all upstreams together. It must be called before the first request.
func (p *Pool) LimitConnections(most int) { p.open.limit = most }

// Open returns how many connections are open or being opened.
func (p *Pool) Open() int {
	p.open.mutex.Lock()
	defer p.open.mutex.Unlock()
	return p.open.all
}

// reserve counts a new connection for a call. At a limit it closes an idle connection: one to the upstream, which cannot carry the call, or
// any if the limit is that of the pool.
func (p *Pool) reserve(call *Call) (remove func(), err error) {
	remove, ok, exhausted := p.open.add(call, p.idleFor(call))
	if ok {
		return remove, nil
	}
	key := call.Key
	if exhausted {
		key, _ = p.countIdle()
	}
	p.closeOneIdle(key)
	if remove, ok, _ = p.open.add(call, p.idleFor(call)); !ok {
		return nil, &ErrTooManyConnections{}
	}
	return remove, nil
}

// idleFor returns the number of idle connections if the limit for a call depends on it: counting goes through all upstreams.
func (p *Pool) idleFor(call *Call) (n int) {
	if call.Ahead {
		_, n = p.countIdle()
	}
	return n
}

// countIdle returns the number of idle connections, and the key of the one that has been idle for longest.
func (p *Pool) countIdle() (oldest string, n int) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	var since time.Time
	for key, list := range p.idle {
		if n += len(list); len(list) > 0 && (oldest == "" || list[0].idleSince.Before(since)) {
			oldest, since = key, list[0].idleSince
		}
	}
	return oldest, n
}

// closeOneIdle closes the connection to an upstream that has been idle for longest.
func (p *Pool) closeOneIdle(key string) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	if list := p.idle[key]; len(list) > 0 {
		list[0].Close()
		p.idle[key] = list[1:]
	}
}
