package relay

import (
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// respondInParts writes a long response in parts, with a pause after each.
func respondInParts(parts int, pause time.Duration) script {
	return func(conn net.Conn, r *http.Request) {
		length := 2 * bufferedBytes
		writeRaw(conn, r.Header.Get(HeaderAttemptID), length, "")
		for range parts {
			_, _ = conn.Write([]byte(strings.Repeat("x", length/parts)))
			time.Sleep(pause)
		}
	}
}

// TestStopAnswersOutstandingRequests checks that a stop ends each request without a response with an error response, whose
// outcome is unknown if the request was sent.
func TestStopAnswersOutstandingRequests(t *testing.T) {
	cases := []struct {
		name    string
		method  string
		headers []string
		outcome Outcome
		status  int
	}{
		{"idempotent, unresponsive upstream", "GET", nil, Unknown, http.StatusBadGateway},
		{"not idempotent, unresponsive upstream", "POST", nil, Unknown, http.StatusBadGateway},
		{"with an id, unresponsive upstream", "POST", []string{HeaderRequestID, "i", HeaderAttempt, "1"}, Unknown, http.StatusBadGateway},
	}
	for _, v := range cases {
		t.Run(v.name, func(t *testing.T) {
			f, u := withUpstream(t, neverRespond)
			seen := make(chan got, 1)
			go func() { seen <- f.do(v.method, "/frames/k/closure", v.headers...) }()
			awaitRuns(f.c, u, 1)
			f.handler.StopServing()
			g := <-seen
			assertOutcome(f.c, g, v.outcome, u, 1)
			f.c.Check(g.status, qt.Equals, v.status)
			f.c.Check(g.reason, qt.Equals, ReasonStopping)
		})
	}
}

// TestStopOfAHomeAnswersOtherHosts checks that a home host that stops responds to the requests of other entry hosts.
func TestStopOfAHomeAnswersOtherHosts(t *testing.T) {
	far, home, u := mustPair(t, neverRespond, nil)
	seen := make(chan got, 1)
	go func() { seen <- far.do("POST", "/frames/k/closure") }()
	awaitRuns(far.c, u, 1)
	home.handler.StopServing()
	g := <-seen
	assertOutcome(far.c, g, Unknown, u, 1)
	far.c.Check(g.reason, qt.Equals, ReasonStopping)
}

// TestStopRejectsWaitingRequests checks that a stop rejects, with outcome notRun, requests that wait for an owner or for a slot.
func TestStopRejectsWaitingRequests(t *testing.T) {
	t.Run("without an owner", func(t *testing.T) {
		f, u := withUpstream(t, neverRespond)
		f.own(0, 8, 11)
		seen := make(chan got, 1)
		go func() { seen <- f.do("GET", "/frames/k") }()
		for f.table.Parked() == 0 {
			time.Sleep(time.Millisecond)
		}
		f.handler.StopServing()
		assertOutcome(f.c, <-seen, NotRun, u, 0)
	})
	t.Run("without a slot", func(t *testing.T) {
		f, u := withUpstream(t, neverRespond)
		seen := make(chan got, 8)
		for range 4 {
			go func() { seen <- f.do("GET", "/frames/k") }()
		}
		awaitRuns(f.c, u, 3)
		for _, waiting := f.handler.Load(); waiting == 0; _, waiting = f.handler.Load() {
			time.Sleep(time.Millisecond)
		}
		f.handler.StopServing()
		outcomes := map[Outcome]int{}
		for range 4 {
			g := <-seen
			outcomes[g.outcome]++
			f.c.Check(g.reason, qt.Equals, ReasonStopping)
		}
		f.c.Check(outcomes, qt.DeepEquals, map[Outcome]int{Unknown: 3, NotRun: 1})
	})
}

// TestStopDoesNotTruncateLongResponses checks that a response of which the caller has received a part is completed.
func TestStopDoesNotTruncateLongResponses(t *testing.T) {
	f, _ := withUpstream(t, respondInParts(2, 300*time.Millisecond))
	response, err := f.server.Client().Get(f.server.URL + "/frames/k")
	f.c.Assert(err, qt.IsNil)
	f.handler.StopServing()
	body, err := io.ReadAll(response.Body)
	f.c.Check(err, qt.IsNil)
	f.c.Check(body, qt.HasLen, 2*bufferedBytes)
}

// TestLongResponseOutlastsFirstAttemptTimeout checks that the timeout of a first attempt does not cut short a response that has
// begun, at the owner's home host and through it.
func TestLongResponseOutlastsFirstAttemptTimeout(t *testing.T) {
	slow := respondInParts(2, 1400*time.Millisecond)
	t.Run("here", func(t *testing.T) {
		f, u := withUpstream(t, slow)
		assertOutcome(f.c, f.do("GET", "/frames/k"), Done, u, 1)
	})
	t.Run("through the home", func(t *testing.T) {
		far, _, u := mustPair(t, slow, nil)
		assertOutcome(far.c, far.do("GET", "/frames/k"), Done, u, 1)
	})
}

// TestCallerThatReadsSlowlyIsNotGivenUp checks that the caller timeout applies to each part of a response and not to all of it.
func TestCallerThatReadsSlowlyIsNotGivenUp(t *testing.T) {
	f, u := withUpstream(t, respondInParts(8, 100*time.Millisecond))
	f.handler.callerTimeout = 300 * time.Millisecond
	assertOutcome(f.c, f.do("GET", "/frames/k"), Done, u, 1)
}

// awaitRuns waits until the upstream has read n requests.
func awaitRuns(c *qt.C, u *scripted, n int64) {
	c.Helper()
	for until := time.Now().Add(5 * time.Second); time.Now().Before(until); time.Sleep(time.Millisecond) {
		if u.runs.Load() >= n {
			return
		}
	}
	c.Fatal("the upstream got no request within 5 s")
}
