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

var dialect = HeaderNames{RequestID: "Id", TimeLeft: "Left", Instance: "Instance", NotRun: "Not-Run", Load: "Load", Proof: "Proof", Key: "Key"}

// server is an upstream whose answers the test gives.
type server struct {
	name  string
	http  *httptest.Server
	mutex sync.Mutex
	seen  []*http.Request
}

func (s *server) count() int {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return len(s.seen)
}

// records keeps what the broker told of requests.
type records struct {
	mutex  sync.Mutex
	list   []Record
	failed int
	cut    int
}

func (r *records) Arrived(string, uint64, uint64) {}
func (r *records) Attempted(_ uint32, failed bool, _ time.Duration) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	if failed {
		r.failed++
	}
}
func (r *records) Unanswered(_ serve.Cause, _ serve.Stage, n int) {
	r.mutex.Lock()
	r.cut += n
	r.mutex.Unlock()
}
func (r *records) Completed(x Record)                   { r.mutex.Lock(); r.list = append(r.list, x); r.mutex.Unlock() }
func (r *records) last() Record                         { r.mutex.Lock(); defer r.mutex.Unlock(); return r.list[len(r.list)-1] }
func answerWell(w http.ResponseWriter, r *http.Request) { answer(w, r, http.StatusOK, "body") }

func answer(w http.ResponseWriter, r *http.Request, status int, body string) {
	w.Header().Set("Id", r.Header.Get("Id"))
	w.Header().Set("Proof", "p")
	w.Header().Set("Load", "1,0,3")
	w.WriteHeader(status)
	_, _ = io.WriteString(w, body)
}

func turnAway(status int) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set("Id", r.Header.Get("Id"))
		w.Header().Set("Not-Run", "1")
		w.WriteHeader(status)
	}
}

// breakOff resets the connection once the request was read.
func breakOff(w http.ResponseWriter, _ *http.Request) {
	conn, _, _ := w.(http.Hijacker).Hijack()
	_ = conn.(*net.TCPConn).SetLinger(0)
	_ = conn.Close()
}

// fixture is a broker with upstreams of a plain service and of a keyed one.
type fixture struct {
	c       *qt.C
	broker  *Broker
	table   *route.Table
	servers []*server
	records *records
	version uint64
	set     slice.Set
}

func newFixture(t *testing.T, plain, keyed []http.HandlerFunc) *fixture {
	f, d := newBare(t, plain, keyed)
	f.apply(d)
	return f
}

// newBare returns a fixture that knows nothing yet, and what it is to learn first.
func newBare(t *testing.T, plain, keyed []http.HandlerFunc) (f *fixture, d table.Delta) {
	f = &fixture{c: qt.New(t), table: route.NewTable("e", 100), records: &records{}}
	l, err := net.ListenPacket("udp", "127.0.0.1:0")
	f.c.Assert(err, qt.IsNil)
	address := l.LocalAddr().String()
	_ = l.Close()
	f.broker = New(Options{Host: "e", DataCentre: "d", Headers: dialect, Address: address, Table: f.table, LeaveTime: 300 * time.Millisecond,
		Retries: retry.Limits{Share: 0.2, Base: 40, Window: 10 * time.Second}, Observer: f.records, Log: events.Nop(), Clock: clock.Boot,
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
	f.set = slice.NewSet(1)
	if len(keyed) > 0 {
		f.set = owned(uint32(len(plain)+1), 0, 1)
	}
	d.Items, d.Tables = testItems(), []table.SliceChanges{{Service: "keyed", All: f.set.Slices()}}
	return f, d
}

// owned returns a division of one slice.
func owned(owner, next uint32, fence uint64) slice.Set {
	s, _ := slice.FromSlices([]slice.Slice{{Owner: owner, Next: next, Fence: fence}})
	return s
}

func (f *fixture) start(name, service string, h http.HandlerFunc) table.Upstream {
	s := &server{name: name}
	s.http = httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		s.mutex.Lock()
		s.seen = append(s.seen, r)
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
		f.set, _ = slice.FromSlices(d.Tables[0].All)
	}
	d.Digest = table.ServiceDigest("keyed", f.set)
	f.c.Assert(f.table.Apply(d), qt.IsNil)
	f.broker.stock.note(clock.Boot(), f.table.View())
	f.broker.SchedulerNode().Update()
}

func testItems() (list []items.Item) {
	add := func(name, prefix string, idempotent bool, targets ...items.Target) {
		list = append(list, items.Item{Kind: items.KindRoute, Name: name, Version: 1, Route: &items.Route{Host: "h", Prefix: prefix,
			Idempotent: idempotent, Objective: 500 * time.Millisecond, Timeout: 2 * time.Second, MaxAttempts: 2, Priority: 1, Targets: targets}})
	}
	add("look", "/look/", true, items.Target{Service: "plain", Weight: 1})
	add("sign", "/sign/", false, items.Target{Service: "plain", Weight: 1})
	add("keep", "/keep/", true, items.Target{Service: "keyed", Weight: 1})
	add("split", "/split/", true, items.Target{Service: "plain", Weight: 3}, items.Target{Service: "keyed", Weight: 1})
	return append(list, items.Item{Kind: items.KindService, Name: "plain", Version: 1, Service: &items.Service{}},
		items.Item{Kind: items.KindService, Name: "keyed", Version: 1, Service: &items.Service{Keyed: true}})
}

func (f *fixture) ask(path string, change ...func(*http.Request)) *serve.Response {
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
	f := newFixture(t, []http.HandlerFunc{answerWell}, nil)
	a := f.ask("/look/x?q=1", func(r *http.Request) {
		r.Header.Set("Connection", "X-Hop")
		r.Header.Set("X-Hop", "1")
		r.Header.Set("X-Kept", "1")
		r.Header.Set("Instance", "another")
	})
	f.c.Assert(a.Status, qt.Equals, http.StatusOK)
	f.c.Assert(string(a.Body), qt.Equals, "body")
	f.c.Assert(a.Header.Get("Proof"), qt.Equals, "p")
	got := f.servers[0].seen[0]
	f.c.Check(got.RequestURI, qt.Equals, "/look/x?q=1")
	f.c.Check(got.Host, qt.Equals, "h")
	f.c.Check(got.Header.Get("X-Hop"), qt.Equals, "")
	f.c.Check(got.Header.Get("X-Kept"), qt.Equals, "1")
	f.c.Check(got.Header.Values("Instance"), qt.DeepEquals, []string{"p0"})
	left, err := strconv.Atoi(got.Header.Get("Left"))
	f.c.Assert(err, qt.IsNil)
	f.c.Check(left > 0 && left <= 1000, qt.IsTrue)
	f.c.Check(f.records.last().Outcome, qt.Equals, relay.Done)
}

// TestWhatBecomesOfFailures holds for each way in which a first upstream can fail what the caller is told, how often the request
// was sent in all, and that a promise that it did not run is made only where that is known.
func TestWhatBecomesOfFailures(t *testing.T) {
	plainText := func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set("Id", r.Header.Get("Id"))
		_, _ = io.WriteString(w, "body")
	}
	encoded := func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set("Content-Encoding", "gzip")
		answerWell(w, r)
	}
	fails := func(w http.ResponseWriter, r *http.Request) { answer(w, r, http.StatusInternalServerError, "failed") }
	cases := []struct {
		name    string
		path    string
		all     http.HandlerFunc
		status  int
		sent    int
		outcome relay.Outcome
	}{
		{"turned away by all, idempotent", "/look/x", turnAway(503), 503, 2, relay.NotRun},
		{"turned away by all, not idempotent", "/sign/x", turnAway(503), 503, 2, relay.NotRun},
		{"broken off, idempotent", "/look/x", breakOff, 502, 2, relay.Unknown},
		{"broken off, not idempotent", "/sign/x", breakOff, 502, 1, relay.Unknown},
		{"no proof, idempotent", "/look/x", plainText, 502, 2, relay.Unknown},
		{"no proof, not idempotent", "/sign/x", plainText, 502, 1, relay.Unknown},
		{"encoded body", "/look/x", encoded, 502, 2, relay.Unknown},
		{"failed there, idempotent", "/look/x", fails, 500, 2, relay.Done},
		{"failed there, not idempotent", "/sign/x", fails, 500, 1, relay.Done},
	}
	for _, v := range cases {
		t.Run(v.name, func(t *testing.T) {
			f := newFixture(t, []http.HandlerFunc{v.all, v.all, v.all}, nil)
			a := f.ask(v.path)
			f.c.Check(a.Status, qt.Equals, v.status)
			sent := 0
			for _, s := range f.servers {
				sent += s.count()
			}
			f.c.Check(sent, qt.Equals, v.sent)
			f.c.Check(f.records.last().Outcome, qt.Equals, v.outcome)
			_, told := a.Header["Retry-After"]
			f.c.Check(told, qt.Equals, v.status == 503)
			f.c.Check(a.Header.Get("Proof") != "", qt.Equals, v.status == 500)
		})
	}
}

// TestUnreachableUpstreamsAreFree holds that upstreams that cannot be connected to cost no try and no truth.
func TestUnreachableUpstreamsAreFree(t *testing.T) {
	f := newFixture(t, []http.HandlerFunc{answerWell, answerWell, answerWell}, nil)
	f.servers[0].http.Close()
	f.servers[1].http.Close()
	for range 5 {
		f.c.Assert(f.ask("/sign/x").Status, qt.Equals, http.StatusOK)
	}
	f.servers[2].http.Close()
	a := f.ask("/sign/x")
	f.c.Assert(a.Status, qt.Equals, http.StatusServiceUnavailable)
	f.c.Assert(a.Header.Get("Retry-After"), qt.Not(qt.Equals), "")
}

func TestRefusalsWithoutUpstream(t *testing.T) {
	f := newFixture(t, []http.HandlerFunc{answerWell}, nil)
	f.c.Check(f.ask("/none/x").Status, qt.Equals, http.StatusNotFound)
	f.c.Check(f.ask("/keep/x", func(r *http.Request) { r.Header.Set("Key", "65536") }).Status, qt.Equals, http.StatusBadRequest)
	a := f.ask("/keep/x", func(r *http.Request) { r.Header.Set("Left", "100") })
	f.c.Check(a.Status, qt.Equals, http.StatusServiceUnavailable)
	f.c.Check(f.records.last().Reason, qt.Equals, ReasonNoOwner)
}

// TestLeavingUpstreamGetsNothing holds that an upstream that leaves gets no request without a key at once, and none for its keys
// once its time is over.
func TestLeavingUpstreamGetsNothing(t *testing.T) {
	f := newFixture(t, []http.HandlerFunc{answerWell, answerWell}, []http.HandlerFunc{answerWell})
	leave := func(number uint32) {
		u, _ := f.table.View().Upstream(number)
		u.Leaving = true
		f.apply(table.Delta{Upstreams: []table.Upstream{u}})
	}
	leave(1)
	for range 6 {
		f.c.Assert(f.ask("/look/x").Status, qt.Equals, http.StatusOK)
	}
	f.c.Check(f.servers[0].count(), qt.Equals, 0)
	leave(3)
	f.c.Check(f.ask("/keep/x").Status, qt.Equals, http.StatusOK)
	time.Sleep(300 * time.Millisecond)
	f.c.Check(f.ask("/keep/x", func(r *http.Request) { r.Header.Set("Left", "200") }).Status, qt.Equals, http.StatusServiceUnavailable)
	f.c.Check(f.servers[2].count(), qt.Equals, 1)
}

// isNoted reports whether any owner is known not to hold its slice.
func (s *staleOwners) isNoted() bool {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return len(s.owners) > 0
}

// TestKeyOnItsWay holds that a key is asked for at its old owner until that lets go, that the request then waits for the next
// one, and that other requests do not try the old owner again.
func TestKeyOnItsWay(t *testing.T) {
	f := newFixture(t, nil, []http.HandlerFunc{turnAway(http.StatusMisdirectedRequest), answerWell})
	f.apply(table.Delta{Tables: []table.SliceChanges{{Service: "keyed", All: owned(1, 2, 1).Slices()}}})
	answers := make(chan int, 4)
	ask := func() { answers <- f.ask("/keep/x").Status }
	go ask()
	for !f.broker.stale.isNoted() {
		time.Sleep(time.Millisecond)
	}
	for range 3 {
		go ask()
	}
	time.Sleep(20 * time.Millisecond)
	f.c.Check(f.servers[0].count(), qt.Equals, 1)
	f.apply(table.Delta{Tables: []table.SliceChanges{{Service: "keyed", All: owned(2, 0, 9).Slices()}}})
	for range 4 {
		f.c.Check(<-answers, qt.Equals, http.StatusOK)
	}
	f.c.Check(f.servers[0].count(), qt.Equals, 1)
	f.c.Check(f.servers[1].count(), qt.Equals, 4)
}

// TestSplitKeepsItsWeights holds that each target has its share at any time.
func TestSplitKeepsItsWeights(t *testing.T) {
	f := newFixture(t, []http.HandlerFunc{answerWell}, []http.HandlerFunc{answerWell})
	for range 40 {
		f.c.Assert(f.ask("/split/x").Status, qt.Equals, http.StatusOK)
	}
	f.c.Check(f.servers[1].count() >= 9 && f.servers[1].count() <= 11, qt.IsTrue, qt.Commentf("%d", f.servers[1].count()))
}

// TestStartingHostWaitsForConfiguration holds that a request that comes before the configuration is served once it is there.
func TestStartingHostWaitsForConfiguration(t *testing.T) {
	f, d := newBare(t, []http.HandlerFunc{answerWell}, nil)
	status := make(chan int, 1)
	go func() { status <- f.ask("/look/x").Status }()
	time.Sleep(50 * time.Millisecond)
	f.apply(d)
	f.c.Assert(<-status, qt.Equals, http.StatusOK)
}

// TestTimeoutSaysWhatIsKnown holds that a request that its upstream still works on ends with an answer that promises nothing.
func TestTimeoutSaysWhatIsKnown(t *testing.T) {
	hang := make(chan struct{})
	f := newFixture(t, []http.HandlerFunc{func(http.ResponseWriter, *http.Request) { <-hang }}, nil)
	defer close(hang)
	a := f.ask("/sign/x", func(r *http.Request) { r.Header.Set("Left", "150") })
	f.c.Check(a.Status, qt.Equals, http.StatusGatewayTimeout)
	f.c.Check(f.records.last().Outcome, qt.Equals, relay.Unknown)
}

func TestStaleOwners(t *testing.T) {
	c := qt.New(t)
	s := newStaleOwners()
	h := route.Holder{Upstream: table.Upstream{Number: 1}, Start: 5, Fence: 7}
	c.Check(s.holds(0, "s", h), qt.IsFalse)
	s.note(0, "s", h)
	c.Check(s.holds(staleProbe-1, "s", h), qt.IsTrue)
	c.Check(s.holds(staleProbe, "s", h), qt.IsFalse)
	c.Check(s.holds(staleProbe+1, "s", h), qt.IsTrue)
	moving := h
	moving.Moving = true
	c.Check(s.holds(10*staleProbe, "s", moving), qt.IsTrue)
	next := h
	next.Fence = 8
	c.Check(s.holds(staleProbe+2, "s", next), qt.IsFalse)
}

// TestNothingIsSentToOneThatLeftMeanwhile holds that a request is withdrawn where its upstream's time ran out, or the upstream went,
// while the connection was made.
func TestNothingIsSentToOneThatLeftMeanwhile(t *testing.T) {
	f := newFixture(t, []http.HandlerFunc{answerWell}, nil)
	j := &job{broker: f.broker}
	u, _ := f.table.View().Upstream(1)
	f.c.Assert(j.fits(u), qt.IsNil)
	left := u
	left.Leaving = true
	f.apply(table.Delta{Upstreams: []table.Upstream{left}})
	time.Sleep(time.Duration(leaveMargin * float64(300*time.Millisecond)))
	f.c.Check(j.fits(u), qt.ErrorIs, errWithdrawn)
	f.apply(table.Delta{RemovedUpstreams: []uint32{1}})
	f.c.Check(j.fits(u), qt.ErrorIs, errWithdrawn)
}

// TestStopTurnsAwayThoseWhoWait holds that a request without a slot is refused as not run once a host that stops waits no longer,
// and that one at its upstream is answered.
func TestStopTurnsAwayThoseWhoWait(t *testing.T) {
	began, finish := make(chan struct{}, 4), make(chan struct{})
	f := newFixture(t, []http.HandlerFunc{func(w http.ResponseWriter, r *http.Request) {
		began <- struct{}{}
		<-finish
		answerWell(w, r)
	}}, nil)
	answers := make(chan int, 4)
	for range 2 {
		go func() { answers <- f.ask("/look/x").Status }()
		<-began
	}
	go func() { answers <- f.ask("/look/x").Status }()
	for {
		if _, waiting := f.broker.SchedulerNode().Load(); waiting > 0 {
			break
		}
		time.Sleep(time.Millisecond)
	}
	f.broker.stopWaiting()
	f.c.Check(<-answers, qt.Equals, http.StatusServiceUnavailable)
	close(finish)
	f.c.Check(<-answers, qt.Equals, http.StatusOK)
	f.c.Check(<-answers, qt.Equals, http.StatusOK)
}

// TestLongAnswerIsPassedOnWhole holds that an answer of which only the start is read before it is passed on comes to its end.
func TestLongAnswerIsPassedOnWhole(t *testing.T) {
	const length = 4 << 20
	f := newFixture(t, []http.HandlerFunc{func(w http.ResponseWriter, r *http.Request) {
		answer(w, r, http.StatusOK, strings.Repeat("x", length))
	}}, nil)
	a := f.ask("/look/x")
	f.c.Assert(a.Rest, qt.IsNotNil)
	rest, err := io.ReadAll(a.Rest)
	f.c.Assert(err, qt.IsNil)
	f.c.Check(len(a.Body)+len(rest), qt.Equals, length)
	a.Done(true)
}

// TestLongAnswerHasTheWholeTime holds that an answer that is passed on while it comes is not cut where a first try would give way
// to a second.
func TestLongAnswerHasTheWholeTime(t *testing.T) {
	const part, parts = 16 << 10, 13
	f := newFixture(t, []http.HandlerFunc{func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set("Content-Length", strconv.Itoa(part*parts))
		answer(w, r, http.StatusOK, "")
		for range parts {
			_, _ = io.WriteString(w, strings.Repeat("x", part))
			_ = http.NewResponseController(w).Flush()
			time.Sleep(100 * time.Millisecond)
		}
	}}, nil)
	a := f.ask("/look/x", func(r *http.Request) { r.Header.Set("Left", "30000") })
	f.c.Assert(a.Rest, qt.IsNotNil)
	rest, err := io.ReadAll(a.Rest)
	f.c.Check(err, qt.IsNil)
	f.c.Check(len(a.Body)+len(rest), qt.Equals, part*parts)
	a.Done(true)
}

// TestCallerThatLeavesIsCountedOnce holds that a request whose caller leaves while it is at an upstream is settled once.
func TestCallerThatLeavesIsCountedOnce(t *testing.T) {
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
	f.c.Check(f.records.list, qt.HasLen, 1)
	f.c.Check(f.records.last().Reason, qt.Equals, ReasonCallerGone)
}
