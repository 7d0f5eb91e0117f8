package broker

import (
	"net/http"
	"testing"

	qt "github.com/frankban/quicktest"

	"ebonyrill.dev/ebonyrill/internal/entry/link"
	"ebonyrill.dev/ebonyrill/internal/shared/clock"
	"ebonyrill.dev/ebonyrill/internal/shared/items"
	"ebonyrill.dev/ebonyrill/internal/shared/table"
)

// newLinkFixture returns a fixture with a link of 800 kbit/s on which 2 KB wait, and with a route that is changed.
func newLinkFixture(t *testing.T, h http.HandlerFunc, change func(*items.Route)) *fixture {
	f := newFixture(t, []http.HandlerFunc{h}, nil)
	f.broker.options.Link = link.New(100_000, clock.Boot)
	f.broker.options.Link.AddSent(2_000)
	v := testItems()[0]
	v.Version = 2
	change(v.Route)
	f.apply(table.Delta{Items: []items.Item{v}})
	return f
}

// TestRouteWithoutObjectiveUsesTheLink guards against rejecting the requests of such a route whenever any byte waits on the link.
func TestRouteWithoutObjectiveUsesTheLink(t *testing.T) {
	f := newLinkFixture(t, respondOK, func(r *items.Route) { r.Objective = 0 })
	qt.Check(t, f.handle("/look/x").Status, qt.Equals, http.StatusOK)
}

// TestPanicReleasesTheLink guards against a download that counts on the link although its request has ended with a panic. The second one
// can finish in its time only if nothing is ahead of it.
func TestPanicReleasesTheLink(t *testing.T) {
	f := newLinkFixture(t, respondOK, func(r *items.Route) { r.Large = true })
	inTime := func(r *http.Request) { r.Header.Set("Left", "1500") }
	observer := f.broker.options.Observer
	f.broker.options.Observer = nil
	qt.Check(t, func() { f.handle("/look/x", inTime) }, qt.PanicMatches, ".*nil pointer.*")
	f.broker.options.Observer = observer
	qt.Check(t, f.handle("/look/x", inTime).Status, qt.Equals, http.StatusOK)
}
