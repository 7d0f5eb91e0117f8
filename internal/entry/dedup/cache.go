package dedup

import (
	"container/list"
	"net/http"
	"sync"
	"time"
)

// Limits of the cache.
const (
	maxRecords     = 200000
	maxKeptBytes   = 64 << 20
	maxAnswerBytes = 64 << 10
)

// Answer is a response kept for resends. If the body is too large to keep, only the status and the outcome are kept.
type Answer struct {
	status  int
	header  http.Header
	body    []byte
	outcome string
	kept    bool
}

// NewAnswer returns a response to keep. The header and the body are dropped if the body is larger than maxAnswerBytes.
func NewAnswer(status int, header http.Header, body []byte, outcome string) Answer {
	if len(body) > maxAnswerBytes {
		return Answer{status: status, outcome: outcome}
	}
	return Answer{status: status, header: header, body: body, outcome: outcome, kept: true}
}

// Status returns the HTTP status.
func (a Answer) Status() int { return a.status }

// Header returns the HTTP header.
func (a Answer) Header() http.Header { return a.header }

// Body returns the body.
func (a Answer) Body() []byte { return a.body }

// Outcome returns the outcome of the first attempt.
func (a Answer) Outcome() string { return a.outcome }

// Kept reports whether the header and the body were kept.
func (a Answer) Kept() bool { return a.kept }

// ID identifies a request of a service.
type ID struct {
	service string
	id      string
}

// NewID returns the ID of a request.
func NewID(service, id string) ID { return ID{service: service, id: id} }

// Status is what is known about a request id when an attempt begins.
type Status uint8

// Standings.
const (
	// Accepted means that the id is new; this attempt may run the request.
	Accepted Status = iota
	// Duplicate means that an earlier attempt is in flight or has ended.
	Duplicate
	// Ambiguous means that an earlier attempt may have run through a previous home.
	Ambiguous
	// Full means that no more ids can be stored, so that the request must not run.
	Full
)

// Record is the state of one request id.
type Record struct {
	id      ID
	window  time.Duration
	expires time.Time
	ended   chan struct{}
	answer  Answer
	element *list.Element
}

// Ended returns a channel that is closed once the response is known.
func (r *Record) Ended() <-chan struct{} { return r.ended }

// Answer returns the response. It may be called only after Ended is closed.
func (r *Record) Answer() Answer { return r.answer }

// Cache is an idempotency cache: it stores request ids and the responses to their requests. It is safe for concurrent use.
type Cache struct {
	mutex   sync.Mutex
	records map[ID]*Record
	ended   *list.List
	bytes   int
	now     func() time.Time
}

// New returns an empty cache that reads the time from now.
func New(now func() time.Time) *Cache {
	return &Cache{records: map[ID]*Record{}, ended: list.New(), now: now}
}

// Begin starts an attempt. The since parameter is the time since when this host has been the home for the request's slice. An
// earlier attempt with an unknown id may have run through the previous home, unless the caller declares the first attempt or a
// full window has passed since then. The record is nil unless the status is Fresh or Repeated.
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

// Resend is what a caller declares about earlier attempts with a request id.
type Resend uint8

// Declarations of callers.
const (
	// Unspecified means that the caller did not number its attempts.
	Unspecified Resend = iota
	// FirstAttempt means that the caller has never sent the id before.
	FirstAttempt
	// Resent means that the caller has sent the id before.
	Resent
)

// End stores the response for the duration of the window.
func (g *Cache) End(r *Record, a Answer) {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	r.answer = a
	r.expires = g.now().Add(r.window)
	r.element = g.ended.PushBack(r)
	g.bytes += len(a.body)
	for g.bytes > maxKeptBytes {
		g.dropOldestBody()
	}
	close(r.ended)
}

// Discard removes the record of a request that did not run, so that a resend may run it.
func (g *Cache) Discard(r *Record, a Answer) {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	delete(g.records, r.id)
	r.answer = a
	close(r.ended)
}

// dropOldestBody drops the header and the body of the oldest response that has a body. Its status and outcome are kept.
func (g *Cache) dropOldestBody() {
	for e := g.ended.Front(); e != nil; e = e.Next() {
		r := e.Value.(*Record)
		if len(r.answer.body) > 0 {
			g.bytes -= len(r.answer.body)
			r.answer = Answer{status: r.answer.status, outcome: r.answer.outcome}
			return
		}
	}
	g.bytes = 0
}

// expire removes ids whose window has passed.
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

// Len returns the number of stored ids.
func (g *Cache) Len() int {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	return len(g.records)
}
