package serve

import (
	"context"
	"io"
	"net/http"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// awaitCut returns what the server told of a connection that ended with requests unanswered.
func awaitCut(c *qt.C, told <-chan *Unanswered) *Unanswered {
	c.Helper()
	select {
	case u := <-told:
		return u
	case <-time.After(5 * time.Second):
		c.Fatal("nothing was told")
		return nil
	}
}

// brokenOff is an answer whose rest cannot be read.
func brokenOff() *Response {
	return &Response{Status: http.StatusOK, Header: http.Header{}, Body: []byte("x"), Length: 9, Rest: io.MultiReader(&broken{})}
}

// TestCutConnectionNamesWhatItOwed holds that a connection that ends with requests unanswered tells why, and how far each had come.
func TestCutConnectionNamesWhatItOwed(t *testing.T) {
	cases := []struct {
		name  string
		first func(ctx context.Context) *Response
		end   func(f *fixture, c *caller)
		cause Cause
	}{
		{"caller closes", untilGone, func(_ *fixture, c *caller) { _ = c.conn.Close() }, CauseCallerClosed},
		{"server closes", untilGone, func(f *fixture, _ *caller) { f.server.Close() }, CauseStopped},
		{"answer breaks off", func(context.Context) *Response { return brokenOff() }, func(*fixture, *caller) {}, CauseTruncated},
		{"handler gives none", func(context.Context) *Response { return nil }, func(*fixture, *caller) {}, CauseNoResponse},
	}
	for _, v := range cases {
		t.Run(v.name, func(t *testing.T) {
			second := make(chan struct{})
			told := make(chan *Unanswered, 1)
			f := newFixture(t, func(ctx context.Context, r *Request) *Response {
				if r.HTTP.URL.Path == "/2" {
					r.SetStage(StageForwarded)
					close(second)
					return untilGone(ctx)
				}
				<-second
				return v.first(ctx)
			})
			f.server.options.OnUnanswered = func(u *Unanswered) { told <- u }
			c := f.dial()
			c.send(get("/1") + get("/2"))
			<-second
			v.end(f, c)
			u := awaitCut(f.c, told)
			f.c.Check(u.Cause, qt.Equals, v.cause)
			f.c.Check(u.Requests, qt.HasLen, 2)
			f.c.Check(u.Count(StageForwarded), qt.Equals, 1)
		})
	}
}

// untilGone waits for the end of the caller.
func untilGone(ctx context.Context) *Response {
	<-ctx.Done()
	return nil
}
