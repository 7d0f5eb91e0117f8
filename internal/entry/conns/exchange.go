package conns

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"net/url"
	"strconv"
	"strings"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"

	"ebonyrill.dev/ebonyrill/internal/entry/bound"
)

// Limits of exchanges.
const (
	maxBufferedBody  = 64 << 10                // bytes of a response body that are read before the caller gets any of it
	maxPacedBuffer   = 16 << 10                // the same for a response that is paced, as its upstream's slot is in use meanwhile
	minBufferedBody  = 4 << 10                 // the same for a response for which there is no memory
	maxResponsesRead = 3                       // responses that are read for one request, with interim ones and those to other requests
	maxSyncBody      = 32 << 10                // bytes; a larger request body is written while the response is awaited
	maxIdleUnsafe    = 1500 * time.Millisecond // longest idle time of a connection that is reused for a request that is not idempotent
)

// Call is one request to an upstream. Key identifies the upstream process. ID is the value of the header field IDHeader, which the
// response must repeat; calls with the same ID use different connections. BeforeSend, if set, is called once there is a connection, before
// the first byte is sent; if it returns an error, the request is not sent. OnHeader, if set, is called with the status and header of the
// response when they have been read.
type Call struct {
	Key        string
	Address    string
	Method     string
	Target     string
	Host       string
	Header     http.Header
	Body       bound.Body
	IDHeader   string
	ID         string
	Idempotent bool
	// MaxIdle is how many idle connections to the upstream are kept, zero for the pool's own limit.
	MaxIdle int
	// MaxOpen is how many connections to the upstream may be open, zero for any number.
	MaxOpen int
	// Ahead says that the caller cannot read the response yet. Such calls take half of the connections of the pool at most.
	Ahead      bool
	BeforeSend func() error
	// Hold, if set, is called with the bytes of a response that are about to be kept, and reports whether there is memory for them.
	Hold func(bytes int64) bool
	// Pace, if set, returns a reader that reads the body of the response at a limited rate.
	Pace     func(body io.Reader) io.Reader
	OnHeader func(status int, header http.Header)
}

// Response is an upstream's response. Body is complete if Rest is nil; otherwise Rest reads the remainder from the connection, and
// Finish must be called when Rest is no longer used, with whether it was read to its end. Length is negative if it is unknown.
type Response struct {
	Status int
	Header http.Header
	Body   []byte
	Length int64
	Rest   io.Reader
	Finish func(complete bool)
}

// ErrNotSent is returned when no byte of the request was written to a connection, so that the request has not run.
type ErrNotSent struct {
	Cause error
}

// Error returns the message.
func (e *ErrNotSent) Error() string { return "request not sent: " + e.Cause.Error() }

// Unwrap returns the cause.
func (e *ErrNotSent) Unwrap() error { return e.Cause }

// ErrNoResponse is returned when the request was sent and no complete response was received, so that the request may have run. Reused
// is set if the connection had been used before: it may then have been broken while it was idle, without a fault of the upstream. Reset
// is set if the upstream reset a new connection before any byte of a response.
type ErrNoResponse struct {
	Cause  error
	Reused bool
	Reset  bool
}

// Error returns the message.
func (e *ErrNoResponse) Error() string {
	return "request sent, no complete response: " + e.Cause.Error()
}

// Unwrap returns the cause.
func (e *ErrNoResponse) Unwrap() error { return e.Cause }

// errLongHeader is the cause when a response header does not end within its limit.
var errLongHeader = errors.Errorf("response header is longer than %d bytes", bound.MaxResponseHeader)

// errMismatch is the cause when only responses to other requests were received.
var errMismatch = errors.New("response belongs to another request")

// Do sends the request and returns the response, or ErrNotSent or ErrNoResponse. When the context ends the connection is closed, so
// that the upstream can cancel the request.
func (p *Pool) Do(ctx context.Context, call *Call) (resp *Response, err error) {
	maxIdle := time.Hour
	if !call.Idempotent {
		maxIdle = maxIdleUnsafe
	}
	c, err := p.get(ctx, call, maxIdle)
	if err != nil {
		if ctx.Err() != nil {
			err = context.Cause(ctx)
		}
		return nil, &ErrNotSent{Cause: err}
	}
	if call.BeforeSend != nil {
		if err = call.BeforeSend(); err != nil {
			p.put(c, call.MaxIdle)
			return nil, &ErrNotSent{Cause: err}
		}
	}
	c.carried.add(call.ID)
	x := &exchange{pool: p, conn: c, call: call, reused: c.uses > 0}
	x.stopWatching = context.AfterFunc(ctx, func() {
		x.interrupted.Store(true)
		c.Close()
	})
	resp, err = x.run()
	if err != nil {
		p.recordReset(c, err)
		x.finish(false)
		if ctx.Err() != nil {
			return nil, x.failure(context.Cause(ctx))
		}
		return nil, x.failure(err)
	}
	return resp, nil
}

// exchange is one request on one connection.
type exchange struct {
	pool         *Pool
	conn         *Conn
	call         *Call
	stopWatching func() bool
	reused       bool
	written      atomic.Int64
	writeResult  chan error
	interrupted  atomic.Bool
	finished     bool
	// begun is set once a byte of a response has been received.
	begun bool
}

// failure returns the error of Do for a cause, depending on whether any byte was written.
func (x *exchange) failure(err error) error {
	if x.written.Load() == 0 {
		return &ErrNotSent{Cause: err}
	}
	return &ErrNoResponse{Cause: err, Reused: x.reused, Reset: !x.reused && !x.begun && isReset(err)}
}

// Write writes to the connection. Bytes count as written before the write returns, as some of them may already have been sent.
func (x *exchange) Write(b []byte) (n int, err error) {
	x.written.Add(int64(len(b)))
	return x.conn.raw.Write(b)
}

// run writes the request and reads the response.
func (x *exchange) run() (resp *Response, err error) {
	header := x.requestHeader()
	x.writeResult = make(chan error, 1)
	if x.call.Body.Len() <= maxSyncBody {
		whole := bytes.NewBuffer(header)
		_, _ = x.call.Body.WriteTo(whole) // cannot fail
		_, err = x.Write(whole.Bytes())
		x.writeResult <- err
	} else {
		go x.writeAsync(header)
	}
	if err != nil {
		return nil, err
	}
	return x.readResponse()
}

func (x *exchange) writeAsync(header []byte) {
	_, err := x.Write(header)
	if err == nil {
		_, err = x.call.Body.WriteTo(x)
	}
	x.writeResult <- err
}

// requestHeader returns the request line and the header as they are sent.
func (x *exchange) requestHeader() []byte {
	var b bytes.Buffer
	b.WriteString(x.call.Method + " " + x.call.Target + " HTTP/1.1\r\nHost: " + x.call.Host + "\r\n")
	for name, values := range x.call.Header {
		for _, v := range values {
			b.WriteString(name + ": " + v + "\r\n")
		}
	}
	if x.call.Body.Len() > 0 || x.call.Method == http.MethodPost || x.call.Method == http.MethodPut || x.call.Method == http.MethodPatch {
		b.WriteString("Content-Length: " + strconv.FormatInt(x.call.Body.Len(), 10) + "\r\n")
	}
	b.WriteString("\r\n")
	return b.Bytes()
}

// readResponse reads responses until it finds the one to this request. It skips interim responses, and short ones to other requests.
func (x *exchange) readResponse() (resp *Response, err error) {
	request := &http.Request{Method: x.call.Method, URL: &url.URL{}}
	for range maxResponsesRead {
		r, err := x.readHeader(request)
		if err != nil {
			return nil, errors.WithMessage(err, "read response")
		}
		if r.StatusCode >= 100 && r.StatusCode < 200 {
			continue
		}
		if x.mismatched(r) {
			if n, err := io.Copy(io.Discard, io.LimitReader(r.Body, maxBufferedBody+1)); err != nil || n > maxBufferedBody {
				return nil, errMismatch
			}
			continue
		}
		if x.call.OnHeader != nil {
			x.call.OnHeader(r.StatusCode, r.Header)
		}
		return x.readBody(r)
	}
	return nil, errMismatch
}

// readHeader reads the header of the next response. The body is read from the connection later.
func (x *exchange) readHeader(request *http.Request) (r *http.Response, err error) {
	x.conn.limited.Allow(bound.MaxResponseHeader)
	defer x.conn.limited.Allow(bound.Unlimited)
	if _, err = x.conn.reader.Peek(1); err == io.EOF {
		return nil, io.ErrUnexpectedEOF
	} else if err != nil {
		return nil, err
	}
	x.begun = true
	recorder := x.conn.limited.Recorder()
	buffered, _ := x.conn.reader.Peek(x.conn.reader.Buffered()) // cannot fail, as it asks for no more than there is
	recorder.Start(buffered)
	defer recorder.Stop()
	r, err = http.ReadResponse(x.conn.reader, request)
	if err != nil && x.conn.limited.Exhausted() {
		return nil, errLongHeader
	}
	if err != nil {
		return nil, err
	}
	head, _ := recorder.Head()
	return r, bound.CheckHead(head)
}

// mismatched reports whether a response belongs to another request. One without an id is accepted only as the first on its connection.
func (x *exchange) mismatched(r *http.Response) bool {
	id := r.Header.Get(x.call.IDHeader)
	if id == "" {
		return x.reused
	}
	return id != x.call.ID
}

// readBody reads the body of a response. If it is longer than maxBufferedBody, the rest is left to be streamed.
func (x *exchange) readBody(r *http.Response) (resp *Response, err error) {
	resp = &Response{Status: r.StatusCode, Header: r.Header, Length: r.ContentLength}
	body, most := io.Reader(r.Body), int64(maxBufferedBody)
	if x.call.Pace != nil {
		body, most = x.call.Pace(r.Body), maxPacedBuffer
	}
	expected := min(max(r.ContentLength, 512), most)
	if r.ContentLength < 0 {
		expected = most
	}
	if x.call.Hold != nil && expected > minBufferedBody && !x.call.Hold(expected) {
		most = minBufferedBody
	}
	buffer := bytes.NewBuffer(make([]byte, 0, min(max(r.ContentLength, 512), most)))
	n, err := io.CopyN(buffer, body, most)
	switch {
	case err == io.EOF:
		resp.Body, resp.Length = buffer.Bytes(), max(n, r.ContentLength)
		x.finish(!r.Close && x.reusable(r))
		return resp, nil
	case err != nil:
		return nil, errors.WithMessage(err, "read body")
	}
	resp.Body = buffer.Bytes()
	resp.Rest = body
	resp.Finish = func(complete bool) { x.finish(complete && !r.Close && x.reusable(r)) }
	return resp, nil
}

// reusable reports whether the connection may be used again: the request was written completely before its response ended, the end of
// the response did not depend on the connection closing, and nothing was received after it. It also sets the connection's maximum idle
// time.
func (x *exchange) reusable(r *http.Response) bool {
	select {
	case err := <-x.writeResult:
		if err != nil {
			return false
		}
	default:
		return false
	}
	if r.ContentLength < 0 && len(r.TransferEncoding) == 0 {
		return false
	}
	if idle, ok := keepAliveTimeout(r.Header.Get("Keep-Alive")); ok {
		x.conn.maxIdle = time.Duration(float64(idle) * idleShare)
	}
	return x.conn.reader.Buffered() == 0
}

// finish ends the exchange, once, and returns the connection to the pool or closes it.
func (x *exchange) finish(keep bool) {
	if x.finished {
		return
	}
	x.finished = true
	if !x.stopWatching() || !keep || x.interrupted.Load() {
		x.conn.Close()
		return
	}
	x.pool.put(x.conn, x.call.MaxIdle)
}

// keepAliveTimeout returns the time after which the upstream closes an idle connection, if its Keep-Alive header states one.
func keepAliveTimeout(header string) (idle time.Duration, ok bool) {
	for _, part := range strings.Split(header, ",") {
		name, value, _ := strings.Cut(strings.TrimSpace(part), "=")
		if strings.EqualFold(name, "timeout") {
			seconds, err := strconv.Atoi(value)
			return time.Duration(seconds) * time.Second, err == nil && seconds > 0
		}
	}
	return 0, false
}
