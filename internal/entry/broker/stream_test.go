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

// TestLongAnswerOutlastsTheFirstTry holds that the time limit of a first try that may be repeated ends with the start of its answer:
// what is passed on already is not broken off while its upstream writes.
func TestLongAnswerOutlastsTheFirstTry(t *testing.T) {
	const timeLeft = 2 * time.Second
	part := strings.Repeat("x", 100<<10)
	f := newFixture(t, []http.HandlerFunc{func(w http.ResponseWriter, r *http.Request) {
		answer(w, r, http.StatusOK, part)
		_ = http.NewResponseController(w).Flush()
		time.Sleep(time.Duration((firstTryShare + 0.1) * float64(timeLeft)))
		_, _ = io.WriteString(w, part)
	}}, nil)
	a := f.ask("/look/x", func(r *http.Request) { r.Header.Set("Left", "2000") })
	f.c.Assert(a.Rest, qt.IsNotNil)
	rest, err := io.ReadAll(a.Rest)
	a.Done(err == nil)
	f.c.Assert(err, qt.IsNil)
	f.c.Check(len(a.Body)+len(rest), qt.Equals, 2*len(part))
}

// TestFirstTryGivesWayToAnotherOnly holds that a request is not taken from an upstream at work where no other try can follow: because
// the budget for repeats is spent, or because there is no other upstream.
func TestFirstTryGivesWayToAnotherOnly(t *testing.T) {
	const timeLeft = 2 * time.Second
	late := func(w http.ResponseWriter, r *http.Request) {
		select {
		case <-r.Context().Done():
		case <-time.After(time.Duration((firstTryShare + 0.1) * float64(timeLeft))):
			answerWell(w, r)
		}
	}
	cases := map[string]struct {
		upstreams []http.HandlerFunc
		terms     retry.Limits
	}{
		"budget spent":      {[]http.HandlerFunc{late, late}, retry.Limits{Window: 10 * time.Second}},
		"no other upstream": {[]http.HandlerFunc{late}, retry.Limits{Share: 0.2, Base: 40, Window: 10 * time.Second}},
	}
	for name, v := range cases {
		t.Run(name, func(t *testing.T) {
			f := newFixture(t, v.upstreams, nil)
			f.broker.repeats = newBudget(v.terms)
			a := f.ask("/look/x", func(r *http.Request) { r.Header.Set("Left", "2000") })
			f.c.Check(a.Status, qt.Equals, http.StatusOK)
		})
	}
}
