package broker

import (
	"io"
	"net/http"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
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
