package broker

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"ebonyrill.dev/ebonyrill/internal/entry/relay"
	"ebonyrill.dev/ebonyrill/internal/entry/retry"
	"ebonyrill.dev/ebonyrill/internal/entry/route"
	"ebonyrill.dev/ebonyrill/internal/entry/serve"
	"ebonyrill.dev/ebonyrill/internal/shared/clock"
	"ebonyrill.dev/ebonyrill/internal/shared/events"
	"ebonyrill.dev/ebonyrill/internal/shared/items"
	"ebonyrill.dev/ebonyrill/internal/shared/slice"
	"ebonyrill.dev/ebonyrill/internal/shared/table"
)

var headerNames = HeaderNames{RequestID: "Id", TimeLeft: "Left", Instance: "Instance", NotRun: "Not-Run", Load: "Load", Proof: "Proof", Leaving: "Leaving", Key: "Key", Cold: "Cold"}

// testUpstream is an upstream with a handler given by the test; it keeps the requests that it receives.
type testUpstream struct {
	name     string
	http     *httptest.Server
	mutex    sync.Mutex
	requests []*http.Request
}

func (s *testUpstream) count() int {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return len(s.requests)
}

// recorder is an observer that keeps the records of requests and counts failed attempts and unanswered requests.
type recorder struct {
	mutex      sync.Mutex
	list       []Record
	failed     int
	unanswered int
}

func (r *recorder) Arrived(string, uint64, uint64) {}
func (r *recorder) Attempted(_ uint32, failed bool, _ time.Duration) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	if failed {
		r.failed++
	}
}
func (r *recorder) Unanswered(_ serve.Cause, _ serve.Stage, n int) {
	r.mutex.Lock()
	r.unanswered += n
	r.mutex.Unlock()
}
func (r *recorder) Noticed(string, Notice) {}
func (r *recorder) Completed(x Record)     { r.mutex.Lock(); r.list = append(r.list, x); r.mutex.Unlock() }
func (r *recorder) last() Record {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	return r.list[len(r.list)-1]
}
func respondOK(w http.ResponseWriter, r *http.Request) { respond(w, r, http.StatusOK, "body") }

func respond(w http.ResponseWriter, r *http.Request, status int, body string) {
	w.Header().Set("Id", r.Header.Get("Id"))
	w.Header().Set("Proof", "p")
	w.Header().Set("Load", "1,0,3")
	w.WriteHeader(status)
	_, _ = io.WriteString(w, body)
}

func rejectWith(status int) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set("Id", r.Header.Get("Id"))
		w.Header().Set("Not-Run", "1")
		w.WriteHeader(status)
	}
}

// resetConnection resets the connection after reading the request.
func resetConnection(w http.ResponseWriter, _ *http.Request) {
	conn, _, _ := w.(http.Hijacker).Hijack()
	_ = conn.(*net.TCPConn).SetLinger(0)
	_ = conn.Close()
}

// fixture is a broker with upstreams of a service without keys and of a keyed one.
type fixture struct {
	c        *qt.C
	broker   *Broker
	table    *route.Table
	servers  []*testUpstream
	recorder *recorder
	version  uint64
	slices   slice.Set
}

func newFixture(t *testing.T, plain, keyed []http.HandlerFunc) *fixture {
	f, d := newUnconfigured(t, plain, keyed)
	f.apply(d)
	return f
}

// newUnconfigured returns a fixture with an empty table, and the first delta to apply to it.
func newUnconfigured(t *testing.T, plain, keyed []http.HandlerFunc) (f *fixture, d table.Delta) {
	f = &fixture{c: qt.New(t), table: route.NewTable("e", 100), recorder: &recorder{}}
	l, err := net.ListenPacket("udp", "127.0.0.1:0")
	f.c.Assert(err, qt.IsNil)
	address := l.LocalAddr().String()
	_ = l.Close()
	f.broker = New(Options{Host: "e", DataCentre: "d", Headers: headerNames, Address: address, Table: f.table, LeaveTime: 300 * time.Millisecond,
		Retries: retry.Limits{Share: 0.2, Base: 40, Window: 10 * time.Second}, Observer: f.recorder, Log: events.Nop(), Clock: clock.Boot,
		ControlReachable: func() bool { return true }})
	ctx, cancel := context.WithCancel(context.Background())
	t.Cleanup(cancel)
	f.c.Assert(f.broker.SchedulerNode().Listen(), qt.IsNil)
	go func() { _ = f.broker.SchedulerNode().Run(ctx) }()
	go func() { _ = f.broker.Run(ctx) }()
	d = table.Delta{Entries: []table.EntryHost{{Name: "e", Address: address, DataCentre: "d"}}}
	for i, h := range plain {
		d.Upstreams = append(d.Upstreams, f.start(fmt.Sprint("p", i), "plain", h))
	}
	for i, h := range keyed {
		d.Upstreams = append(d.Upstreams, f.start(fmt.Sprint("k", i), "keyed", h))
	}
	f.slices = slice.NewSet(1)
	if len(keyed) > 0 {
		f.slices = singleSlice(uint32(len(plain)+1), 0, 1)
	}
	d.Items, d.Tables = testItems(), []table.SliceChanges{{Service: "keyed", All: f.slices.Slices()}}
	return f, d
}

// singleSlice returns a slice table with one slice.
func singleSlice(owner, next uint32, fence uint64) slice.Set {
	s, _ := slice.FromSlices([]slice.Slice{{Owner: owner, Next: next, Fence: fence}})
	return s
}

func (f *fixture) start(name, service string, h http.HandlerFunc) table.Upstream {
	s := &testUpstream{name: name}
	s.http = httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		s.mutex.Lock()
		s.requests = append(s.requests, r)
		s.mutex.Unlock()
		h(w, r)
	}))
	f.c.Cleanup(s.http.Close)
	f.servers = append(f.servers, s)
	return table.Upstream{Number: uint32(len(f.servers)), Name: name, Incarnation: 1, Service: service, DataCentre: "d", Slots: 2,
		Address: strings.TrimPrefix(s.http.URL, "http://")}
}

func (f *fixture) apply(d table.Delta) {
	d.From, f.version = f.version, f.version+1
	d.To, d.Full = f.version, f.version == 1
	if len(d.Tables) > 0 {
		f.slices, _ = slice.FromSlices(d.Tables[0].All)
	}
	d.Digest = table.ServiceDigest("keyed", f.slices)
	f.c.Assert(f.table.Apply(d), qt.IsNil)
	f.broker.upstreams.update(clock.Boot(), f.table.View())
	f.broker.SchedulerNode().Update()
}

func testItems() (list []items.Item) {
	add := func(name, prefix string, idempotent bool, targets ...items.Target) {
		list = append(list, items.Item{Kind: items.KindRoute, Name: name, Version: 1, Route: &items.Route{Host: "h", Prefix: prefix,
			Idempotent: idempotent, Objective: 500 * time.Millisecond, Timeout: 2 * time.Second, MaxAttempts: 2, Priority: 1, Targets: targets}})
	}
	add("look", "/look/", true, items.Target{Service: "plain", Weight: 1})
	add("inner", "/look/inner/", true, items.Target{Service: "keyed", Weight: 1})
	add("sign", "/sign/", false, items.Target{Service: "plain", Weight: 1})
	add("keep", "/keep/", true, items.Target{Service: "keyed", Weight: 1})
	add("order", "/sign/keyed/", false, items.Target{Service: "keyed", Weight: 1})
	add("split", "/split/", true, items.Target{Service: "plain", Weight: 3}, items.Target{Service: "keyed", Weight: 1})
	return append(list, items.Item{Kind: items.KindService, Name: "plain", Version: 1, Service: &items.Service{}},
		items.Item{Kind: items.KindService, Name: "keyed", Version: 1, Service: &items.Service{Keyed: true}})
}

func (f *fixture) handle(path string, change ...func(*http.Request)) *serve.Response {
	return f.broker.Handle(context.Background(), f.request(path, change...))
}

func (f *fixture) request(path string, change ...func(*http.Request)) *serve.Request {
	method := http.MethodGet
	if strings.HasPrefix(path, "/sign/") {
		method = http.MethodPost
	}
	r := httptest.NewRequest(method, path, nil)
	r.Host = "h"
	r.Header.Set("Id", fmt.Sprint(path, time.Now().UnixNano()))
	r.Header.Set("Left", "1000")
	r.Header.Set("Key", "17")
	for _, c := range change {
		c(r)
	}
	now := clock.Boot()
	return &serve.Request{HTTP: r, Arrived: now, CompletedAt: now}
}

func TestRequestGoesToItsUpstream(t *testing.T) {
	f := newFixture(t, []http.HandlerFunc{respondOK}, nil)
	resp := f.handle("/look/x?q=1", func(r *http.Request) {
		r.Header.Set("Connection", "X-Hop")
		r.Header.Set("X-Hop", "1")
		r.Header.Set("X-Kept", "1")
		r.Header.Set("Instance", "another")
	})
	f.c.Assert(resp.Status, qt.Equals, http.StatusOK)
	f.c.Assert(string(resp.Body), qt.Equals, "body")
	f.c.Assert(resp.Header.Get("Proof"), qt.Equals, "p")
	got := f.servers[0].requests[0]
	f.c.Check(got.RequestURI, qt.Equals, "/look/x?q=1")
	f.c.Check(got.Host, qt.Equals, "h")
	f.c.Check(got.Header.Get("X-Hop"), qt.Equals, "")
	f.c.Check(got.Header.Get("X-Kept"), qt.Equals, "1")
	f.c.Check(got.Header.Values("Instance"), qt.DeepEquals, []string{"p0"})
	left, err := strconv.Atoi(got.Header.Get("Left"))
	f.c.Assert(err, qt.IsNil)
	f.c.Check(left > 0 && left <= 1000, qt.IsTrue)
	f.c.Check(f.recorder.last().Outcome, qt.Equals, relay.Done)
}

// TestLoadWithSlowness guards against a load report that is dropped because of its fourth figure.
func TestLoadWithSlowness(t *testing.T) {
	for text, want := range map[string]int{"1,2,3": 0, "1,2,3,300": 300, "1,2,3, 80.5": 80, "1,2,3,x": 0, "1,2,3,-1": 0, "1,2,3,NaN": 0, "1,2,3,90,7": 90} {
		r, ok := headerNames.load(http.Header{"Load": {text}})
		qt.Check(t, ok, qt.IsTrue)
		qt.Check(t, r, qt.Equals, loadReport{running: 1, waiting: 2, slots: 3, slowness: want}, qt.Commentf("%s", text))
	}
}

// TestRouteOfThePathAsSent guards against a request that reaches a service which no route names for its path, as an escaped slash counted
// as a slash.
func TestRouteOfThePathAsSent(t *testing.T) {
	f := newFixture(t, []http.HandlerFunc{respondOK}, []http.HandlerFunc{respondOK})
	routed := func(target, route string) {
		f.c.Helper()
		status := http.StatusOK
		if route == "" {
			status = http.StatusNotFound
		}
		f.c.Check(f.handle(target).Status, qt.Equals, status, qt.Commentf("%s", target))
		f.c.Check(f.recorder.last().Route, qt.Equals, route, qt.Commentf("%s", target))
	}
	routed("/look/inner/1", "inner")
	routed("/look/inner%2F1", "look")
	routed("/look/inner%2f1", "look")
	routed("/look/%69nner/1", "look")
	routed("/look/x%2F/inner/", "look")
	routed("/look/inner/%2F%25", "inner")
	routed("/look/../look/inner/1", "look")
	routed("/look//inner/1", "look")
	routed("/look/inner;a=1/1", "look")
	routed("/look/inner?/1", "look")
	routed("http://h/look/inner/1", "inner")
	routed("http://h/look/inner%2F1", "look")
	routed("/look%2Finner/1", "")
	routed("/l%6Fok/1", "")
	f.c.Check(f.servers[0].requests[0].RequestURI, qt.Equals, "/look/inner%2F1")
}

// TestUpstreamFailures checks, for each way in which upstreams can fail, the response to the caller and how often the request was sent.
// The outcome may be notRun only if it is certain that the request did not run.
func TestUpstreamFailures(t *testing.T) {
	plainText := func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set("Id", r.Header.Get("Id"))
		_, _ = io.WriteString(w, "body")
	}
	encoded := func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set("Content-Encoding", "gzip")
		respondOK(w, r)
	}
	fails := func(w http.ResponseWriter, r *http.Request) { respond(w, r, http.StatusInternalServerError, "failed") }
	cases := []struct {
		name    string
		path    string
		all     http.HandlerFunc
		status  int
		sent    int
		outcome relay.Outcome
	}{
		{"rejected by all, idempotent", "/look/x", rejectWith(503), 503, 2, relay.NotRun},
		{"rejected by all, not idempotent", "/sign/x", rejectWith(503), 503, 2, relay.NotRun},
		{"connection reset, idempotent", "/look/x", resetConnection, 502, 2, relay.Unknown},
		{"connection reset, not idempotent", "/sign/x", resetConnection, 502, 1, relay.Unknown},
		{"no proof, idempotent", "/look/x", plainText, 502, 2, relay.Unknown},
		{"no proof, not idempotent", "/sign/x", plainText, 502, 1, relay.Unknown},
		{"encoded body", "/look/x", encoded, 502, 2, relay.Unknown},
		{"status 500, idempotent", "/look/x", fails, 500, 2, relay.Done},
		{"status 500, not idempotent", "/sign/x", fails, 500, 1, relay.Done},
	}
	for _, v := range cases {
		t.Run(v.name, func(t *testing.T) {
			f := newFixture(t, []http.HandlerFunc{v.all, v.all, v.all}, nil)
			resp := f.handle(v.path)
			f.c.Check(resp.Status, qt.Equals, v.status)
			sent := 0
			for _, s := range f.servers {
				sent += s.count()
			}
			f.c.Check(sent, qt.Equals, v.sent)
			f.c.Check(f.recorder.last().Outcome, qt.Equals, v.outcome)
			_, hasRetryAfter := resp.Header["Retry-After"]
			f.c.Check(hasRetryAfter, qt.Equals, v.status == 503)
			f.c.Check(resp.Header.Get("Proof") != "", qt.Equals, v.status == 500)
		})
	}
}

// TestUnreachableUpstreamsCostNoAttempt checks that failed connection attempts do not count as attempts, and that a request that
// reached no upstream is reported as not run.
func TestUnreachableUpstreamsCostNoAttempt(t *testing.T) {
	f := newFixture(t, []http.HandlerFunc{respondOK, respondOK, respondOK}, nil)
	f.servers[0].http.Close()
	f.servers[1].http.Close()
	for range 5 {
		f.c.Assert(f.handle("/sign/x").Status, qt.Equals, http.StatusOK)
	}
	f.servers[2].http.Close()
	resp := f.handle("/sign/x")
	f.c.Assert(resp.Status, qt.Equals, http.StatusServiceUnavailable)
	f.c.Assert(resp.Header.Get("Retry-After"), qt.Not(qt.Equals), "")
}

func TestRejectionsWithoutUpstream(t *testing.T) {
	f := newFixture(t, []http.HandlerFunc{respondOK}, nil)
	f.c.Check(f.handle("/none/x").Status, qt.Equals, http.StatusNotFound)
	f.c.Check(f.handle("/keep/x", func(r *http.Request) { r.Header.Set("Key", "65536") }).Status, qt.Equals, http.StatusBadRequest)
	resp := f.handle("/keep/x", func(r *http.Request) { r.Header.Set("Left", "100") })
	f.c.Check(resp.Status, qt.Equals, http.StatusServiceUnavailable)
	f.c.Check(f.recorder.last().Reason, qt.Equals, ReasonNoOwner)
}

// TestDrainingUpstreamGetsNoRequests checks that a draining upstream gets no more requests without a key immediately, and no more
// requests for its keys after the leave time.
func TestDrainingUpstreamGetsNoRequests(t *testing.T) {
	f := newFixture(t, []http.HandlerFunc{respondOK, respondOK}, []http.HandlerFunc{respondOK})
	leave := func(number uint32) {
		u, _ := f.table.View().Upstream(number)
		u.Leaving = true
		f.apply(table.Delta{Upstreams: []table.Upstream{u}})
	}
	leave(1)
	for range 6 {
		f.c.Assert(f.handle("/look/x").Status, qt.Equals, http.StatusOK)
	}
	f.c.Check(f.servers[0].count(), qt.Equals, 0)
	leave(3)
	f.c.Check(f.handle("/keep/x").Status, qt.Equals, http.StatusOK)
	time.Sleep(300 * time.Millisecond)
	f.c.Check(f.handle("/keep/x", func(r *http.Request) { r.Header.Set("Left", "200") }).Status, qt.Equals, http.StatusServiceUnavailable)
	f.c.Check(f.servers[2].count(), qt.Equals, 1)
}

// anyKnown reports whether any stale owner is recorded.
func (s *staleOwners) anyKnown() bool {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return len(s.owners) > 0
}

// TestRequestWaitsForMovingKey checks that a request for a moving key goes to the old owner until that has released the slice and
// rejects it, that the request then waits for the next owner, and that other requests are not sent to the old owner again.
func TestRequestWaitsForMovingKey(t *testing.T) {
	f := newFixture(t, nil, []http.HandlerFunc{rejectWith(http.StatusMisdirectedRequest), respondOK})
	f.apply(table.Delta{Tables: []table.SliceChanges{{Service: "keyed", All: singleSlice(1, 2, 1).Slices()}}})
	statuses := make(chan int, 4)
	send := func() { statuses <- f.handle("/keep/x").Status }
	go send()
	for !f.broker.staleOwners.anyKnown() {
		time.Sleep(time.Millisecond)
	}
	for range 3 {
		go send()
	}
	time.Sleep(20 * time.Millisecond)
	f.c.Check(f.servers[0].count(), qt.Equals, 1)
	f.apply(table.Delta{Tables: []table.SliceChanges{{Service: "keyed", All: singleSlice(2, 0, 9).Slices()}}})
	for range 4 {
		f.c.Check(<-statuses, qt.Equals, http.StatusOK)
	}
	f.c.Check(f.servers[0].count(), qt.Equals, 1)
	f.c.Check(f.servers[1].count(), qt.Equals, 4)
}

// TestSplitKeepsItsWeights checks that each target gets its share of the requests at any time.
func TestSplitKeepsItsWeights(t *testing.T) {
	f := newFixture(t, []http.HandlerFunc{respondOK}, []http.HandlerFunc{respondOK})
	for range 40 {
		f.c.Assert(f.handle("/split/x").Status, qt.Equals, http.StatusOK)
	}
	f.c.Check(f.servers[1].count() >= 9 && f.servers[1].count() <= 11, qt.IsTrue, qt.Commentf("%d", f.servers[1].count()))
}

// TestStartingHostWaitsForConfiguration checks that a request that arrives before the configuration is served after it has arrived.
func TestStartingHostWaitsForConfiguration(t *testing.T) {
	f, d := newUnconfigured(t, []http.HandlerFunc{respondOK}, nil)
	status := make(chan int, 1)
	go func() { status <- f.handle("/look/x").Status }()
	time.Sleep(50 * time.Millisecond)
	f.apply(d)
	f.c.Assert(<-status, qt.Equals, http.StatusOK)
}

// TestTimeoutHasUnknownOutcome checks that a request that times out while its upstream is processing it has an unknown outcome.
func TestTimeoutHasUnknownOutcome(t *testing.T) {
	hang := make(chan struct{})
	f := newFixture(t, []http.HandlerFunc{func(http.ResponseWriter, *http.Request) { <-hang }}, nil)
	defer close(hang)
	resp := f.handle("/sign/x", func(r *http.Request) { r.Header.Set("Left", "150") })
	f.c.Check(resp.Status, qt.Equals, http.StatusGatewayTimeout)
	f.c.Check(f.recorder.last().Outcome, qt.Equals, relay.Unknown)
}

// TestIdleConnectionsStayBelowTheCap checks that the idle connections of all entry hosts together leave a fifth of what an upstream
// accepts free, as long as there is one for each host.
func TestIdleConnectionsStayBelowTheCap(t *testing.T) {
	for _, v := range []struct{ accepted, hosts int }{{130, 11}, {600, 95}, {1800, 295}, {130, 1}, {400, 295}} {
		n := idleConnections(v.accepted, v.hosts)
		qt.Check(t, n >= 1, qt.IsTrue)
		qt.Check(t, 5*n*v.hosts <= 4*v.accepted || n == 1, qt.IsTrue, qt.Commentf("%d for %v", n, v))
	}
	qt.Check(t, idleConnections(130, 0), qt.Equals, 104)
}

func TestStaleOwners(t *testing.T) {
	c := qt.New(t)
	s := newStaleOwners()
	h := route.Holder{Upstream: table.Upstream{Number: 1}, Start: 5, Fence: 7}
	c.Check(s.skip(0, "s", h), qt.IsFalse)
	s.add(0, "s", h)
	c.Check(s.skip(staleProbe-1, "s", h), qt.IsTrue)
	c.Check(s.skip(staleProbe, "s", h), qt.IsFalse)
	c.Check(s.skip(staleProbe+1, "s", h), qt.IsTrue)
	s.add(staleProbe, "s", h)
	c.Check(s.skip(3*staleProbe-1, "s", h), qt.IsTrue)
	c.Check(s.skip(3*staleProbe, "s", h), qt.IsFalse)
	moving := h
	moving.Moving = true
	c.Check(s.skip(10*staleProbe, "s", moving), qt.IsTrue)
	next := h
	next.Fence = 8
	c.Check(s.skip(staleProbe+2, "s", next), qt.IsFalse)
}

// TestAddressInUseByAnotherServiceGetsFewRequests checks that a host whose table is old sends few requests to the owner of many slices whose
// address has another process by now: each is counted as a retry at the service of that process. It guards against a fault that
// occurred: 434 such requests in 10 s, of which 363 were allowed.
func TestAddressInUseByAnotherServiceGetsFewRequests(t *testing.T) {
	c := qt.New(t)
	s := newStaleOwners()
	sent := 0
	for now := time.Duration(0); now < 10*time.Second; now += 10 * time.Millisecond {
		h := route.Holder{Upstream: table.Upstream{Number: 1}, Start: uint64(now/(10*time.Millisecond)) % 40, Fence: 7}
		if !s.skip(now, "s", h) {
			sent++
			s.add(now, "s", h)
		}
	}
	c.Check(sent <= 10, qt.IsTrue, qt.Commentf("%d", sent))
	s.accepted(1)
	c.Check(s.skip(10*time.Second, "s", route.Holder{Upstream: table.Upstream{Number: 1}, Start: 99}), qt.IsFalse)
}

// TestNothingIsSentToUpstreamThatLeft checks that a request is not sent if its upstream's leave time ended, or the upstream was
// removed, while the connection was opened.
func TestNothingIsSentToUpstreamThatLeft(t *testing.T) {
	f := newFixture(t, []http.HandlerFunc{respondOK}, nil)
	j := &job{broker: f.broker}
	u, _ := f.table.View().Upstream(1)
	f.c.Assert(j.checkUpstream(u), qt.IsNil)
	left := u
	left.Leaving = true
	f.apply(table.Delta{Upstreams: []table.Upstream{left}})
	time.Sleep(time.Duration(leaveMargin * float64(300*time.Millisecond)))
	f.c.Check(j.checkUpstream(u), qt.ErrorIs, errWithdrawn)
	f.apply(table.Delta{RemovedUpstreams: []uint32{1}})
	f.c.Check(j.checkUpstream(u), qt.ErrorIs, errWithdrawn)
}

// TestStopRejectsWaitingRequests checks that, when the waiting phase of a stop ends, a request without a slot is rejected as not run
// and requests at their upstream are still answered.
func TestStopRejectsWaitingRequests(t *testing.T) {
	began, finish := make(chan struct{}, 4), make(chan struct{})
	f := newFixture(t, []http.HandlerFunc{func(w http.ResponseWriter, r *http.Request) {
		began <- struct{}{}
		<-finish
		respondOK(w, r)
	}}, nil)
	statuses := make(chan int, 4)
	for range 2 {
		go func() { statuses <- f.handle("/look/x").Status }()
		<-began
	}
	go func() { statuses <- f.handle("/look/x").Status }()
	for {
		if _, waiting := f.broker.SchedulerNode().Load(); waiting > 0 {
			break
		}
		time.Sleep(time.Millisecond)
	}
	f.broker.stopWaiting()
	f.c.Check(<-statuses, qt.Equals, http.StatusServiceUnavailable)
	close(finish)
	f.c.Check(<-statuses, qt.Equals, http.StatusOK)
	f.c.Check(<-statuses, qt.Equals, http.StatusOK)
}

// TestLongResponseIsStreamedCompletely checks that a response that is too long to be buffered is passed on completely.
func TestLongResponseIsStreamedCompletely(t *testing.T) {
	const length = 4 << 20
	f := newFixture(t, []http.HandlerFunc{func(w http.ResponseWriter, r *http.Request) {
		respond(w, r, http.StatusOK, strings.Repeat("x", length))
	}}, nil)
	resp := f.handle("/look/x")
	f.c.Assert(resp.Rest, qt.IsNotNil)
	rest, err := io.ReadAll(resp.Rest)
	f.c.Assert(err, qt.IsNil)
	f.c.Check(len(resp.Body)+len(rest), qt.Equals, length)
	resp.Done(true)
}

// TestLongResponseMayUseAllTheTime checks that a response that is being streamed is not cut short when the first attempt's share of the
// time is over.
func TestLongResponseMayUseAllTheTime(t *testing.T) {
	const part, parts = 16 << 10, 13
	f := newFixture(t, []http.HandlerFunc{func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set("Content-Length", strconv.Itoa(part*parts))
		respond(w, r, http.StatusOK, "")
		for range parts {
			_, _ = io.WriteString(w, strings.Repeat("x", part))
			_ = http.NewResponseController(w).Flush()
			time.Sleep(100 * time.Millisecond)
		}
	}}, nil)
	resp := f.handle("/look/x", func(r *http.Request) { r.Header.Set("Left", "30000") })
	f.c.Assert(resp.Rest, qt.IsNotNil)
	rest, err := io.ReadAll(resp.Rest)
	f.c.Check(err, qt.IsNil)
	f.c.Check(len(resp.Body)+len(rest), qt.Equals, part*parts)
	resp.Done(true)
}

// TestCancelledRequestIsRecordedOnce checks that a request whose caller disconnects while it is at an upstream is recorded once.
func TestCancelledRequestIsRecordedOnce(t *testing.T) {
	begun := make(chan struct{}, 1)
	f := newFixture(t, []http.HandlerFunc{func(_ http.ResponseWriter, r *http.Request) {
		begun <- struct{}{}
		<-r.Context().Done()
	}}, nil)
	ctx, leave := context.WithCancel(context.Background())
	go func() {
		<-begun
		leave()
	}()
	f.c.Check(f.broker.Handle(ctx, f.request("/look/x")), qt.IsNil)
	f.c.Check(f.recorder.list, qt.HasLen, 1)
	f.c.Check(f.recorder.last().Reason, qt.Equals, ReasonCallerGone)
}
