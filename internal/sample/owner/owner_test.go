package owner

import (
	"net/http"
	"net/http/httptest"
	"strconv"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"ebonyrill.dev/ebonyrill/internal/entry/relay"
	"ebonyrill.dev/ebonyrill/internal/shared/table"
)

// request serves one request of an owner that works for a while, with a lease and a deadline from now.
func request(t *testing.T, checks bool, lease, deadline time.Duration) *httptest.ResponseRecorder {
	u, err := New(Options{Name: "u", ChecksFence: checks, Slots: 1, Work: 40 * time.Millisecond})
	qt.Assert(t, err, qt.IsNil)
	u.grants.Adopt(table.GrantAnswer{Version: 1, Changed: true, LeaseMillis: lease.Milliseconds(), Grants: []table.Grant{{To: 9, Fence: 3}}}, time.Now())
	r := httptest.NewRequest(http.MethodPost, "/s/k", nil)
	r.Header.Set(relay.HeaderKeyHash, "5")
	r.Header.Set(relay.HeaderFence, "3")
	r.Header.Set(relay.HeaderDeadline, strconv.FormatInt(time.Now().Add(deadline).UnixMilli(), 10))
	w := httptest.NewRecorder()
	u.ServeHTTP(w, r)
	return w
}

// TestEffectIsCheckedAgain holds that a request which began in time has no effect once lease or deadline have passed, as
// after a freeze in between.
func TestEffectIsCheckedAgain(t *testing.T) {
	cases := []struct {
		name            string
		checks          bool
		lease, deadline time.Duration
		want            string
	}{
		{"in time", true, time.Minute, time.Minute, ""},
		{"lease over meanwhile", true, 20 * time.Millisecond, time.Minute, string(relay.NotRun)},
		{"deadline over meanwhile", false, time.Minute, 20 * time.Millisecond, string(relay.NotRun)},
	}
	for _, v := range cases {
		t.Run(v.name, func(t *testing.T) {
			w := request(t, v.checks, v.lease, v.deadline)
			qt.Assert(t, w.Header().Get(relay.HeaderOutcome), qt.Equals, v.want)
		})
	}
}

func TestAcknowledgementWaitsForRunningRequests(t *testing.T) {
	c := qt.New(t)
	g := NewGrants()
	g.Adopt(table.GrantAnswer{Version: 4, Changed: true, LeaseMillis: 60000, Grants: []table.Grant{{To: 9, Fence: 3}}}, time.Now())
	c.Assert(g.Held(), qt.Equals, uint64(4))
	end, ok := g.Begin(5, 3, time.Now())
	c.Assert(ok, qt.IsTrue)
	g.Adopt(table.GrantAnswer{Version: 7, Changed: true, LeaseMillis: 60000}, time.Now())
	c.Assert(g.Held(), qt.Equals, uint64(4))
	end()
	c.Assert(g.Held(), qt.Equals, uint64(7))
}
