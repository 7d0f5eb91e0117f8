package dedup

import (
	"container/list"
	"net/http"
	"sync"
	"time"
)

// Bounds of what is remembered.
const (
	maxRecords     = 200000
	maxKeptBytes   = 64 << 20
	maxAnswerBytes = 64 << 10
)

// Response is a whole answer kept for resends; a body too large to keep leaves Kept false.
type Response struct {
	status  int
	header  http.Header
	body    []byte
	outcome string
	kept    bool
}

// NewResponse returns an answer to keep.
func NewResponse(status int, header http.Header, body []byte, outcome string) Response {
	if len(body) > maxAnswerBytes {
		return Response{status: status, outcome: outcome}
	}
	return Response{status: status, header: header, body: body, outcome: outcome, kept: true}
}

// Status returns the HTTP status.
func (a Response) Status() int { return a.status }

// Header returns the HTTP header.
func (a Response) Header() http.Header { return a.header }

// Body returns the body.
func (a Response) Body() []byte { return a.body }

// Outcome returns the outcome that the first sending had.
func (a Response) Outcome() string { return a.outcome }

// Kept reports whether the whole answer was kept.
func (a Response) Kept() bool { return a.kept }

// ID names a request within a service.
type ID struct {
	service string
	id      string
}

// NewID returns the name of a request.
func NewID(service, id string) ID { return ID{service: service, id: id} }

// Status tells what is known of a request id.
type Status uint8

// Standings.
const (
	// Accepted means that the id is new and now belongs to this sending.
	Accepted Status = iota
	// Duplicate means that an earlier sending is in flight or has ended.
	Duplicate
	// Ambiguous means that an earlier sending may have gone through a host that is no longer asked.
	Ambiguous
	// Full means that no more ids can be remembered, so that the request must not run.
	Full
)

// Record is one remembered request.
type Record struct {
	id      ID
	window  time.Duration
	expires time.Time
	ended   chan struct{}
	answer  Response
	element *list.Element
}

// Ended returns a channel that closes once the answer is known.
func (r *Record) Ended() <-chan struct{} { return r.ended }

// Response returns the answer; it may be called once Ended is closed.
func (r *Record) Response() Response { return r.answer }

// Cache remembers request ids; it is safe for concurrent use.
type Cache struct {
	mutex   sync.Mutex
	records map[ID]*Record
	ended   *list.List
	bytes   int
	now     func() time.Time
}

// New returns an empty guard that reads the time from now.
func New(now func() time.Time) *Cache {
	return &Cache{records: map[ID]*Record{}, ended: list.New(), now: now}
}

// Begin takes in a sending. Since tells when this host began to be asked for the request's slice: an id that is not
// known may have come before that by another host, unless the caller vouches for its first sending or a whole window
// has passed.
func (g *Cache) Begin(id ID, window time.Duration, since time.Time, resend Resend) (s Status, r *Record) {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	g.expire()
	if r = g.records[id]; r != nil {
		return Duplicate, r
	}
	if resend != FirstAttempt && g.now().Sub(since) < window {
		return Ambiguous, nil
	}
	if len(g.records) >= maxRecords {
		return Full, nil
	}
	r = &Record{id: id, window: window, ended: make(chan struct{})}
	g.records[id] = r
	return Accepted, r
}

// Resend is what a caller says of a request id.
type Resend uint8

// What callers say.
const (
	// Unspecified means that the caller did not number its sendings.
	Unspecified Resend = iota
	// FirstAttempt means that the caller vouches that it never sent the id before.
	FirstAttempt
	// Resent means that the caller sent the id before.
	Resent
)

// End keeps the answer for the window.
func (g *Cache) End(r *Record, a Response) {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	r.answer = a
	r.expires = g.now().Add(r.window)
	r.element = g.ended.PushBack(r)
	g.bytes += len(a.body)
	for g.bytes > maxKeptBytes {
		g.thin()
	}
	close(r.ended)
}

// Discard forgets a request that surely did not run, so that a resend may run it.
func (g *Cache) Discard(r *Record, a Response) {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	delete(g.records, r.id)
	r.answer = a
	close(r.ended)
}

// thin drops the oldest kept body but keeps the outcome.
func (g *Cache) thin() {
	for e := g.ended.Front(); e != nil; e = e.Next() {
		r := e.Value.(*Record)
		if len(r.answer.body) > 0 {
			g.bytes -= len(r.answer.body)
			r.answer = Response{status: r.answer.status, outcome: r.answer.outcome}
			return
		}
	}
	g.bytes = 0
}

// expire forgets ids whose window has passed.
func (g *Cache) expire() {
	now := g.now()
	for e := g.ended.Front(); e != nil; e = g.ended.Front() {
		r := e.Value.(*Record)
		if now.Before(r.expires) {
			return
		}
		g.bytes -= len(r.answer.body)
		g.ended.Remove(e)
		delete(g.records, r.id)
	}
}

// Len returns the number of ids remembered.
func (g *Cache) Len() int {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	return len(g.records)
}
