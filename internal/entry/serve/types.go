package serve

import (
	"context"
	"io"
	"net/http"
	"time"
)

// Request is one request of a caller, its body read whole; Arrived is when its first byte was read and Whole when its last was, by the
// clock of the server's options.
type Request struct {
	HTTP        *http.Request
	Body        []byte
	Arrived     time.Duration
	CompletedAt time.Duration
	progress
}

// Response is what a handler returns. A body that is not whole in Body continues in Rest, which is Length bytes long in all,
// or of unknown length where Length is below 0. Done is called once the answer was written or given up.
type Response struct {
	Status int
	Header http.Header
	Body   []byte
	Rest   io.Reader
	Length int64
	Close  bool
	Done   func(written bool)
	// untilClose tells that the caller takes the end of the connection for that of an answer of unknown length.
	untilClose bool
}

// fit makes an answer one that the request's caller can read.
func (a *Response) fit(r *http.Request) {
	a.withoutBody(r.Method)
	a.untilClose = !r.ProtoAtLeast(1, 1) && a.Rest != nil && a.Length < 0
}

// withoutBody takes the body off an answer to a request for the header alone.
func (a *Response) withoutBody(method string) {
	if method == http.MethodHead && a.Rest == nil && len(a.Body) > 0 {
		a.Length, a.Body = int64(len(a.Body)), nil
	}
}

// Handler answers requests; the context ends when the caller has gone.
type Handler func(ctx context.Context, r *Request) *Response

// Limits bound what a caller may send; they are asked for anew for each request.
type Limits struct {
	HeaderBytes   int64
	BodyBytes     int64
	HeaderTimeout time.Duration
	IdleTimeout   time.Duration
}

// Text returns an answer of the server's own with a line of text.
func Text(status int, text string) *Response {
	return &Response{Status: status, Header: http.Header{"Content-Type": {"text/plain; charset=utf-8"}}, Body: []byte(text + "\n")}
}
