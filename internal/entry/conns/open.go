package conns

import (
	"sync"
)

// ErrTooManyConnections is the cause when a call needs a new connection and its upstream has as many as the call allows.
type ErrTooManyConnections struct{}

// Error returns the message.
func (e *ErrTooManyConnections) Error() string { return "too many connections to the upstream" }

// openConns counts the open connections by upstream process, including those that are being opened.
type openConns struct {
	mutex  sync.Mutex
	counts map[string]int
}

// add counts a connection unless there are as many as allowed, and returns a function that uncounts it once. Zero allows any number.
func (o *openConns) add(key string, most int) (remove func(), ok bool) {
	o.mutex.Lock()
	defer o.mutex.Unlock()
	if most > 0 && o.counts[key] >= most {
		return nil, false
	}
	o.counts[key]++
	return sync.OnceFunc(func() { o.remove(key) }), true
}

func (o *openConns) remove(key string) {
	o.mutex.Lock()
	defer o.mutex.Unlock()
	if o.counts[key]--; o.counts[key] <= 0 {
		delete(o.counts, key)
	}
}

// reserve counts a new connection for a call. At the limit it closes an idle connection that cannot carry the call.
func (p *Pool) reserve(call *Call) (remove func(), err error) {
	remove, ok := p.open.add(call.Key, call.MaxOpen)
	if !ok {
		p.closeOneIdle(call.Key)
		remove, ok = p.open.add(call.Key, call.MaxOpen)
	}
	if !ok {
		return nil, &ErrTooManyConnections{}
	}
	return remove, nil
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
