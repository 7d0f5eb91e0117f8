package broker

import (
	"fmt"
	"net/http"
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"

	"ebonyrill.dev/ebonyrill/internal/entry/relay"
)

// TestOwnStatusIsNoRejection guards against a promise that nobody made: an upstream that has run a request and ends it with a status that
// callers read as "not run" does not say that it did not run. The caller would send the request again.
func TestOwnStatusIsNoRejection(t *testing.T) {
	failWith := func(status int, body string) http.HandlerFunc {
		return func(w http.ResponseWriter, r *http.Request) {
			w.Header().Set("Retry-After", "0")
			respond(w, r, status, body)
		}
	}
	assertAmbiguous := func(f *fixture, path string) {
		resp := f.handle(path)
		f.c.Check(resp.Status, qt.Equals, http.StatusBadGateway)
		f.c.Check(resp.Header.Get("Proof"), qt.Equals, "")
		f.c.Check(resp.Header.Get("Retry-After"), qt.Equals, "")
		f.c.Check(resp.Rest, qt.IsNil)
		f.c.Check(f.recorder.last().Outcome, qt.Equals, relay.Unknown)
		f.c.Check(f.recorder.last().Reason, qt.Equals, ReasonAmbiguous)
	}
	for _, status := range []int{http.StatusRequestTimeout, http.StatusTooManyRequests, http.StatusServiceUnavailable} {
		for _, path := range []string{"/sign/a", "/look/a"} {
			t.Run(fmt.Sprint(status, strings.TrimSuffix(path, "/a")), func(t *testing.T) {
				assertAmbiguous(newFixture(t, []http.HandlerFunc{failWith(status, "a later step failed")}, nil), path)
			})
		}
	}
	t.Run("long body", func(t *testing.T) {
		f := newFixture(t, []http.HandlerFunc{failWith(http.StatusServiceUnavailable, strings.Repeat("x", 200<<10))}, nil)
		assertAmbiguous(f, "/sign/a")
		assertAmbiguous(f, "/sign/a")
	})
	t.Run("second attempt rejected", func(t *testing.T) {
		f := newFixture(t, []http.HandlerFunc{failWith(http.StatusServiceUnavailable, ""), rejectWith(http.StatusServiceUnavailable)}, nil)
		seen := 0
		for range 10 {
			if resp := f.handle("/look/a"); f.recorder.last().Attempts == 2 {
				seen++
				f.c.Check(resp.Status, qt.Equals, http.StatusBadGateway)
			}
		}
		f.c.Check(seen > 0, qt.IsTrue)
	})
	t.Run("second attempt served", func(t *testing.T) {
		f := newFixture(t, []http.HandlerFunc{failWith(http.StatusServiceUnavailable, ""), respondOK}, nil)
		for range 10 {
			f.c.Check(f.handle("/look/a").Status, qt.Equals, http.StatusOK)
		}
	})
	t.Run("own failure is passed on", func(t *testing.T) {
		f := newFixture(t, []http.HandlerFunc{failWith(http.StatusInternalServerError, "failed")}, nil)
		resp := f.handle("/sign/a")
		f.c.Check(resp.Status, qt.Equals, http.StatusInternalServerError)
		f.c.Check(resp.Header.Get("Proof"), qt.Equals, "p")
	})
}
