package broker

import (
	"io"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"

	"ebonyrill.dev/ebonyrill/internal/entry/relay"
	"ebonyrill.dev/ebonyrill/internal/shared/events"
)

// endless returns an upstream that writes a text, in which @ stands for the request's id, and then a pattern until its
// connection closes.
func endless(text, pattern string) http.HandlerFunc {
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
		}
	}
}

// logged makes the fixture's broker write its log to a file and returns what reads it.
func (f *fixture) logged() (read func() string) {
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

// TestEndlessHeadCountsAsAFailure holds what an upstream whose head never ends brings: another try or an unknown outcome, a
// failure of the upstream, and a line that names the cause.
func TestEndlessHeadCountsAsAFailure(t *testing.T) {
	cases := []struct{ name, text, pattern string }{
		{"status line", "HTTP/1.1 200 ", "x"},
		{"header line", "HTTP/1.1 200 OK\r\nId: @\r\nX: ", "x"},
		{"header lines", "HTTP/1.1 200 OK\r\nId: @\r\n", "a: b\r\n"},
	}
	for _, v := range cases {
		bad := endless(v.text, v.pattern)
		t.Run(v.name+", idempotent", func(t *testing.T) {
			f := newFixture(t, []http.HandlerFunc{bad, answerWell}, nil)
			for range 4 {
				f.c.Check(f.ask("/look/x").Status, qt.Equals, http.StatusOK)
			}
			f.c.Check(f.records.failed, qt.Equals, f.servers[0].count())
		})
		t.Run(v.name+", not idempotent", func(t *testing.T) {
			f := newFixture(t, []http.HandlerFunc{bad}, nil)
			read := f.logged()
			f.c.Check(f.ask("/sign/x").Status, qt.Equals, http.StatusBadGateway)
			f.c.Check(f.servers[0].count(), qt.Equals, 1)
			f.c.Check(f.records.failed, qt.Equals, 1)
			f.c.Check(f.records.last().Outcome, qt.Equals, relay.Unknown)
			f.c.Check(read(), qt.Matches, `(?s).*"verdict":"failed".*"cause":"[^"]*the answer's head is longer than 16384 bytes".*`)
		})
	}
}
