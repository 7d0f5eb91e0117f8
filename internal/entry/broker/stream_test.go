package broker

import (
	"io"
	"net/http"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"ebonyrill.dev/ebonyrill/internal/entry/retry"
)

// TestStreamOutlastsFirstAttemptTime checks that the failover from a first attempt is no longer considered once its response has begun:
// a response that is being streamed is not cut short while its upstream writes.
func TestStreamOutlastsFirstAttemptTime(t *testing.T) {
	const timeLeft = 2 * time.Second
	part := strings.Repeat("x", 100<<10)
	f := newFixture(t, []http.HandlerFunc{func(w http.ResponseWriter, r *http.Request) {
		respond(w, r, http.StatusOK, part)
		_ = http.NewResponseController(w).Flush()
		time.Sleep(time.Duration((firstAttemptShare + 0.1) * float64(timeLeft)))
		_, _ = io.WriteString(w, part)
	}}, nil)
	resp := f.handle("/look/x", func(r *http.Request) { r.Header.Set("Left", "2000") })
	f.c.Assert(resp.Rest, qt.IsNotNil)
	rest, err := io.ReadAll(resp.Rest)
	resp.Done(err == nil)
	f.c.Assert(err, qt.IsNil)
	f.c.Check(len(resp.Body)+len(rest), qt.Equals, 2*len(part))
}

// TestNoFailoverWithoutAlternative checks that a first attempt is not ended if no second one can follow, because the retry budget is
// spent or because there is no other upstream.
func TestNoFailoverWithoutAlternative(t *testing.T) {
	const timeLeft = 2 * time.Second
	late := func(w http.ResponseWriter, r *http.Request) {
		select {
		case <-r.Context().Done():
		case <-time.After(time.Duration((firstAttemptShare + 0.1) * float64(timeLeft))):
			respondOK(w, r)
		}
	}
	cases := map[string]struct {
		upstreams []http.HandlerFunc
		limits    retry.Limits
	}{
		"budget spent":      {[]http.HandlerFunc{late, late}, retry.Limits{Window: 10 * time.Second}},
		"no other upstream": {[]http.HandlerFunc{late}, retry.Limits{Share: 0.2, Base: 40, Window: 10 * time.Second}},
	}
	for name, v := range cases {
		t.Run(name, func(t *testing.T) {
			f := newFixture(t, v.upstreams, nil)
			f.broker.retries = newBudget(v.limits)
			resp := f.handle("/look/x", func(r *http.Request) { r.Header.Set("Left", "2000") })
			f.c.Check(resp.Status, qt.Equals, http.StatusOK)
		})
	}
}
