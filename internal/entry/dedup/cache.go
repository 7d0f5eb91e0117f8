package dedup

import (
	"container/list"
	"net/http"
	"sync"
	"time"
)

// Limits of the cache.
const (
	maxRecords       = 200000
	maxKeptBytes     = 64 << 20 // total size of all kept bodies
	maxResponseBytes = 64 << 10 // size of a kept body
)

// Response is a response kept for resends. If the body is too large to keep, only the status and the outcome are kept.
type Response struct {
	status  int
	header  http.Header
	body    []byte
	outcome string
	kept    bool
}

// NewResponse returns a response to keep. The header and the body are dropped if the body is larger than maxResponseBytes.
func NewResponse(status int, header http.Header, body []byte, outcome string) Response {
	if len(body) > maxResponseBytes {
		return Response{status: status, outcome: outcome}
	}
	return Response{status: status, header: header, body: body, outcome: outcome, kept: true}
}

// Status returns the HTTP status.
func (r Response) Status() int { return r.status }

// Header returns the HTTP header.
func (r Response) Header() http.Header { return r.header }

// Body returns the body.
func (r Response) Body() []byte { return r.body }

// Outcome returns the outcome of the first attempt.
func (r Response) Outcome() string { return r.outcome }

// Kept reports whether the header and the body were kept.
func (r Response) Kept() bool { return r.kept }

// ID identifies a request of a service.
type ID struct {
	service string
	id      string
}

// NewID returns the ID of a request.
func NewID(service, id string) ID { return ID{service: service, id: id} }

// Status is what is known about a request id when an attempt begins.
type Status uint8

// Statuses.
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
	id       ID
	window   time.Duration
	expires  time.Time
	ended    chan struct{}
	response Response
	element  *list.Element
}

// Ended returns a channel that is closed once the response is known.
func (r *Record) Ended() <-chan struct{} { return r.ended }

// Response returns the response. It may be called only after Ended is closed.
func (r *Record) Response() Response { return r.response }

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

// Begin starts an attempt. The since parameter is the time since when this host has been the home for the request's slice. If the
// id is unknown, an earlier attempt may have gone through the previous home, unless the caller declares this one the first or a full
// window has passed since then. The record is nil unless the status is Accepted or Duplicate.
func (c *Cache) Begin(id ID, window time.Duration, since time.Time, resend Resend) (status Status, r *Record) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.expire()
	if r = c.records[id]; r != nil {
		return Duplicate, r
	}
	if resend != FirstAttempt && c.now().Sub(since) < window {
		return Ambiguous, nil
	}
	if len(c.records) >= maxRecords {
		return Full, nil
	}
	r = &Record{id: id, window: window, ended: make(chan struct{})}
	c.records[id] = r
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
func (c *Cache) End(r *Record, resp Response) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	r.response = resp
	r.expires = c.now().Add(r.window)
	r.element = c.ended.PushBack(r)
	c.bytes += len(resp.body)
	for c.bytes > maxKeptBytes {
		c.dropOldestBody()
	}
	close(r.ended)
}

// Discard removes the record of a request that did not run, so that a resend may run it. Duplicates that wait for its end get the
// response.
func (c *Cache) Discard(r *Record, resp Response) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	delete(c.records, r.id)
	r.response = resp
	close(r.ended)
}

// dropOldestBody drops the header and the body of the oldest response that has a body. Its status and outcome are kept.
func (c *Cache) dropOldestBody() {
	for e := c.ended.Front(); e != nil; e = e.Next() {
		r := e.Value.(*Record)
		if len(r.response.body) > 0 {
			c.bytes -= len(r.response.body)
			r.response = Response{status: r.response.status, outcome: r.response.outcome}
			return
		}
	}
	c.bytes = 0
}

// expire removes ids whose window has passed.
func (c *Cache) expire() {
	now := c.now()
	for e := c.ended.Front(); e != nil; e = c.ended.Front() {
		r := e.Value.(*Record)
		if now.Before(r.expires) {
			return
		}
		c.bytes -= len(r.response.body)
		c.ended.Remove(e)
		delete(c.records, r.id)
	}
}

// Len returns the number of stored ids.
func (c *Cache) Len() int {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	return len(c.records)
}
