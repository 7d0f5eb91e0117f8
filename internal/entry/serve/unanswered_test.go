package serve

import (
	"context"
	"io"
	"net/http"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// awaitUnanswered returns what the server reported of a connection that ended with outstanding requests.
func awaitUnanswered(c *qt.C, reported <-chan *Unanswered) *Unanswered {
	c.Helper()
	select {
	case u := <-reported:
		return u
	case <-time.After(5 * time.Second):
		c.Fatal("OnUnanswered was not called")
		return nil
	}
}

// truncatedResponse returns a response whose rest cannot be read.
func truncatedResponse() *Response {
	return &Response{Status: http.StatusOK, Header: http.Header{}, Body: []byte("x"), Length: 9, Rest: io.MultiReader(&failingReader{})}
}

// TestUnansweredReportsCauseAndStages checks that a connection that ends with outstanding requests is reported with the cause
// and the stage of each request.
func TestUnansweredReportsCauseAndStages(t *testing.T) {
	cases := []struct {
		name  string
		first func(ctx context.Context) *Response
		end   func(f *fixture, c *caller)
		cause Cause
	}{
		{"caller closes", untilCallerClosed, func(_ *fixture, c *caller) { _ = c.conn.Close() }, CauseCallerClosed},
		{"server closes", untilCallerClosed, func(f *fixture, _ *caller) { f.server.Close() }, CauseStopped},
		{"response is truncated", func(context.Context) *Response { return truncatedResponse() }, func(*fixture, *caller) {}, CauseTruncated},
		{"handler returns none", func(context.Context) *Response { return nil }, func(*fixture, *caller) {}, CauseNoResponse},
	}
	for _, v := range cases {
		t.Run(v.name, func(t *testing.T) {
			second := make(chan struct{})
			reported := make(chan *Unanswered, 1)
			f := newFixture(t, func(ctx context.Context, r *Request) *Response {
				if r.HTTP.URL.Path == "/2" {
					r.SetStage(StageForwarded)
					close(second)
					return untilCallerClosed(ctx)
				}
				<-second
				return v.first(ctx)
			})
			f.server.options.OnUnanswered = func(u *Unanswered) { reported <- u }
			c := f.dial()
			c.send(get("/1") + get("/2"))
			<-second
			v.end(f, c)
			u := awaitUnanswered(f.c, reported)
			f.c.Check(u.Cause, qt.Equals, v.cause)
			f.c.Check(u.Requests, qt.HasLen, 2)
			f.c.Check(u.Count(StageForwarded), qt.Equals, 1)
		})
	}
}

// untilCallerClosed waits until the connection has ended.
func untilCallerClosed(ctx context.Context) *Response {
	<-ctx.Done()
	return nil
}
