package broker

import (
	"context"
	"io"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"ebonyrill.dev/ebonyrill/internal/entry/relay"
	"ebonyrill.dev/ebonyrill/internal/entry/serve"
	"ebonyrill.dev/ebonyrill/internal/shared/clock"
	"ebonyrill.dev/ebonyrill/internal/shared/events"
)

// endlessResponse returns an upstream that writes a text, in which @ stands for the request's id, and then repeats a pattern, at full
// speed or with pauses, until its connection closes.
func endlessResponse(text, pattern string, pause time.Duration) http.HandlerFunc {
	block := []byte(strings.Repeat(pattern, 16<<10/len(pattern)+1))
	return func(w http.ResponseWriter, r *http.Request) {
		conn, _, err := w.(http.Hijacker).Hijack()
		if err != nil {
			return
		}
		defer func() { _ = conn.Close() }()
		_, err = io.WriteString(conn, strings.ReplaceAll(text, "@", r.Header.Get("Id")))
		for err == nil {
			_, err = conn.Write(block)
			time.Sleep(pause)
		}
	}
}

// captureLog makes the fixture's broker write its log to a file and returns a function that reads it.
func (f *fixture) captureLog() (read func() string) {
	file := filepath.Join(f.c.TempDir(), "log")
	out, err := os.Create(file)
	f.c.Assert(err, qt.IsNil)
	stdout := os.Stdout
	os.Stdout = out
	log, err := events.New("info", "", "e")
	os.Stdout = stdout
	f.c.Assert(err, qt.IsNil)
	f.broker.options.Log = log
	return func() string {
		log.Sync()
		text, err := os.ReadFile(file)
		f.c.Assert(err, qt.IsNil)
		return string(text)
	}
}

// TestEndlessHeaderCountsAsFailure checks that a response header that never ends leads to a second attempt or an unknown outcome,
// counts as a failure of the upstream, and is logged with its cause.
func TestEndlessHeaderCountsAsFailure(t *testing.T) {
	cases := []struct{ name, text, pattern string }{
		{"status line", "HTTP/1.1 200 ", "x"},
		{"header line", "HTTP/1.1 200 OK\r\nId: @\r\nX: ", "x"},
		{"header lines", "HTTP/1.1 200 OK\r\nId: @\r\n", "a: b\r\n"},
	}
	for _, v := range cases {
		endless := endlessResponse(v.text, v.pattern, 0)
		t.Run(v.name+", idempotent", func(t *testing.T) {
			f := newFixture(t, []http.HandlerFunc{endless, respondOK}, nil)
			for range 4 {
				f.c.Check(f.handle("/look/x").Status, qt.Equals, http.StatusOK)
			}
			f.c.Check(f.recorder.failed, qt.Equals, f.servers[0].count())
		})
		t.Run(v.name+", not idempotent", func(t *testing.T) {
			f := newFixture(t, []http.HandlerFunc{endless}, nil)
			read := f.captureLog()
			f.c.Check(f.handle("/sign/x").Status, qt.Equals, http.StatusBadGateway)
			f.c.Check(f.servers[0].count(), qt.Equals, 1)
			f.c.Check(f.recorder.failed, qt.Equals, 1)
			f.c.Check(f.recorder.last().Outcome, qt.Equals, relay.Unknown)
			f.c.Check(read(), qt.Matches, `(?s).*"verdict":"failed".*"cause":"[^"]*response header is longer than 16384 bytes".*`)
		})
	}
}

const provenHeader = "HTTP/1.1 200 OK\r\nId: @\r\nProof: p\r\n"

// endlessBodies are responses whose bodies never end.
var endlessBodies = []struct{ name, text, pattern string }{
	{"with a length", provenHeader + "Content-Length: 1099511627776\r\n\r\n", strings.Repeat("x", 1024)},
	{"in chunks", provenHeader + "Transfer-Encoding: chunked\r\n\r\n", "400\r\n" + strings.Repeat("x", 1024) + "\r\n"},
	{"without a length", provenHeader + "\r\n", strings.Repeat("x", 1024)},
}

func withTimeLeft(millis string) func(*http.Request) {
	return func(r *http.Request) { r.Header.Set("Left", millis) }
}

// TestEndlessBodyCountsAsFailure checks that a response that is still being streamed at the deadline counts as a failure of the
// upstream with an unknown outcome, and is logged with its cause. The upstream writes with pauses, so that the stream is slowed down by
// the upstream.
func TestEndlessBodyCountsAsFailure(t *testing.T) {
	for _, v := range endlessBodies {
		t.Run(v.name, func(t *testing.T) {
			f := newFixture(t, []http.HandlerFunc{endlessResponse(v.text, v.pattern, 5*time.Millisecond)}, nil)
			read := f.captureLog()
			resp := f.handle("/sign/x", withTimeLeft("500"))
			f.c.Assert(resp.Status, qt.Equals, http.StatusOK)
			_, err := io.Copy(io.Discard, resp.Rest)
			f.c.Assert(err, qt.Not(qt.IsNil))
			resp.Done(false)
			f.c.Check(f.recorder.failed, qt.Equals, 1)
			f.c.Check(f.recorder.last().Outcome, qt.Equals, relay.Unknown)
			f.c.Check(f.recorder.last().Reason, qt.Equals, ReasonTimeout)
			f.c.Check(read(), qt.Matches, `(?s).*"verdict":"failed".*"cause":"response body was cut short: .*`)
		})
	}
}

// TestStreamFailures checks whether a streamed response that does not reach its end counts as a failure of the upstream or of the
// caller.
func TestStreamFailures(t *testing.T) {
	truncated := func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set("Content-Length", "1000000")
		respond(w, r, http.StatusOK, strings.Repeat("x", 200<<10))
	}
	complete := func(w http.ResponseWriter, r *http.Request) {
		respond(w, r, http.StatusOK, strings.Repeat("x", 200<<10))
	}
	fast := endlessResponse(endlessBodies[0].text, endlessBodies[0].pattern, 0)
	drain := func(resp *serve.Response, _ context.CancelFunc) bool {
		_, err := io.Copy(io.Discard, resp.Rest)
		return err == nil
	}
	cases := []struct {
		name     string
		upstream http.HandlerFunc
		caller   func(resp *serve.Response, disconnect context.CancelFunc) (written bool)
		outcome  relay.Outcome
		reason   Reason
		failed   int
	}{
		{"whole", complete, drain, relay.Done, ReasonAnswered, 0},
		{"cut short by the upstream", truncated, drain, relay.Unknown, ReasonTruncated, 1},
		{"caller stops reading", fast, func(*serve.Response, context.CancelFunc) bool { return false }, relay.Unknown, ReasonCallerGone, 0},
		{"caller disconnects", fast, func(resp *serve.Response, disconnect context.CancelFunc) bool {
			disconnect()
			return drain(resp, disconnect)
		}, relay.Unknown, ReasonCallerGone, 0},
		{"caller is slow", fast, func(resp *serve.Response, _ context.CancelFunc) bool {
			for part := make([]byte, 4<<10); ; time.Sleep(20 * time.Millisecond) {
				if _, err := resp.Rest.Read(part); err != nil {
					return false
				}
			}
		}, relay.Unknown, ReasonTimeout, 0},
	}
	for _, v := range cases {
		t.Run(v.name, func(t *testing.T) {
			f := newFixture(t, []http.HandlerFunc{v.upstream}, nil)
			ctx, disconnect := context.WithCancel(context.Background())
			defer disconnect()
			resp := f.broker.Handle(ctx, f.request("/sign/x", withTimeLeft("1500")))
			f.c.Assert(resp.Rest, qt.IsNotNil)
			resp.Done(v.caller(resp, disconnect))
			f.c.Check(f.recorder.last().Outcome, qt.Equals, v.outcome)
			f.c.Check(f.recorder.last().Reason, qt.Equals, v.reason)
			f.c.Check(f.recorder.failed, qt.Equals, v.failed)
		})
	}
}

// TestCallerDetectsTruncatedBody checks that a caller can distinguish a truncated response from a complete one.
func TestCallerDetectsTruncatedBody(t *testing.T) {
	for _, v := range endlessBodies {
		t.Run(v.name, func(t *testing.T) {
			f := newFixture(t, []http.HandlerFunc{endlessResponse(v.text, v.pattern, 0)}, nil)
			server := serve.New(serve.Options{Handler: f.broker.Handle, Clock: clock.Boot, Limits: f.broker.Limits})
			l, err := net.Listen("tcp", "127.0.0.1:0")
			f.c.Assert(err, qt.IsNil)
			go func() { _ = server.Serve(l) }()
			f.c.Cleanup(server.Close)
			r, err := http.NewRequest(http.MethodGet, "http://"+l.Addr().String()+"/look/x", nil)
			f.c.Assert(err, qt.IsNil)
			r.Host = "h"
			r.Header.Set("Id", "i")
			r.Header.Set("Left", "300")
			response, err := http.DefaultTransport.RoundTrip(r)
			f.c.Assert(err, qt.IsNil)
			defer func() { _ = response.Body.Close() }()
			_, err = io.Copy(io.Discard, response.Body)
			f.c.Check(err, qt.Not(qt.IsNil))
		})
	}
}

// TestRejectionMayHaveEndlessBody checks that a rejection is accepted before its body has been read.
func TestRejectionMayHaveEndlessBody(t *testing.T) {
	rejection := endlessResponse("HTTP/1.1 503 Full\r\nId: @\r\nNot-Run: 1\r\nContent-Length: 1099511627776\r\n\r\n", strings.Repeat("x", 1024), 0)
	f := newFixture(t, []http.HandlerFunc{rejection, respondOK}, nil)
	for range 4 {
		f.c.Check(f.handle("/sign/x").Status, qt.Equals, http.StatusOK)
	}
	f.c.Check(f.recorder.failed, qt.Equals, 0)
}
