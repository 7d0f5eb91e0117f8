package relay

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"ebonyrill.dev/ebonyrill/internal/entry/route"
	"ebonyrill.dev/ebonyrill/internal/shared/conf"
	"ebonyrill.dev/ebonyrill/internal/shared/events"
	"ebonyrill.dev/ebonyrill/internal/shared/slice"
	"ebonyrill.dev/ebonyrill/internal/shared/table"
)

const serviceText = `[service]
name = frames
prefix = /frames
key = path:2
caller = header:X-Caller
deadline = 1800ms
resendWindow = 10s
[request closure]
method = POST
path = /frames/*/closure
class = urgent
idempotent = no
[request count]
method = GET
path = /frames/*/count
idempotent = no
`

// noObserver ignores all notifications.
type noObserver struct{}

func (noObserver) Arrived(string, uint64, uint64) {}
func (noObserver) UpstreamResult(uint32, bool)    {}
func (noObserver) Ended(string, Outcome, Reason, int, time.Duration, time.Duration) {
}

// fixture is an entry host with a table that the test sets.
type fixture struct {
	c       *qt.C
	table   *route.Table
	handler *Handler
	server  *httptest.Server
	delta   table.Delta
}

func mustFixture(t testing.TB, name string, upstreams ...table.Upstream) *fixture {
	c := qt.New(t)
	f := &fixture{c: c, table: route.NewTable(name, 100)}
	f.handler = NewHandler(Options{Name: name, Table: f.table, Scheme: "http", MaxBody: 1 << 20, MaxHeader: 8 << 10, MaxHold: 500 * time.Millisecond,
		LeaseEnd: func() time.Time { return time.Now().Add(time.Second) }, Observer: noObserver{}, Log: events.Nop()})
	f.server = httptest.NewServer(f.handler)
	c.Cleanup(f.server.Close)
	f.delta = table.Delta{Full: true, To: 10, Config: &table.Config{Version: 5, Files: []conf.File{{Name: "f", Text: serviceText}}},
		Entries: []table.EntryHost{{Name: name, Address: "127.0.0.1:1", DataCentre: "dc"}}, Upstreams: upstreams}
	f.own(1, 7, 10)
	return f
}

// own makes an upstream the owner of all keys, in a newer version of the table.
func (f *fixture) own(upstream uint32, fence, version uint64) {
	f.c.Helper()
	s := []slice.Slice{{Owner: upstream, Fence: fence}}
	set, err := slice.FromSlices(s)
	f.c.Assert(err, qt.IsNil)
	f.delta.To, f.delta.Tables = version, []table.SliceChanges{{Service: "frames", All: s}}
	f.delta.Digest = table.ServiceDigest("frames", set)
	f.c.Assert(f.table.Apply(f.delta), qt.IsNil)
}

func upstreamAt(number uint32, address string) table.Upstream {
	return table.Upstream{Number: number, Name: "u" + string(rune('0'+number)), Incarnation: 1, Service: "frames", Address: address,
		DataCentre: "dc", ChecksFence: true, Slots: 3, Connections: 20}
}

// configure adds settings to the service, in newer versions of its configuration and of the table.
func (f *fixture) configure(settings string) {
	f.c.Helper()
	text := strings.Replace(serviceText, "[service]\n", "[service]\n"+settings, 1)
	f.delta.Config = &table.Config{Version: f.delta.Config.Version + 1, Files: []conf.File{{Name: "f", Text: text}}}
	f.own(1, 7, f.delta.To+1)
}

// script is what a scripted upstream does with a request that it has read from a connection.
type script func(conn net.Conn, request *http.Request)

// scripted is an upstream that counts the requests that it has read completely, and the connections, and runs a script for
// each request.
type scripted struct {
	listener net.Listener
	runs     atomic.Int64
	conns    atomic.Int64
	mutex    sync.Mutex
	script   script
}

func mustScripted(c *qt.C, s script) *scripted {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	c.Assert(err, qt.IsNil)
	u := &scripted{listener: listener, script: s}
	c.Cleanup(func() { _ = listener.Close() })
	go u.serve()
	return u
}

func (u *scripted) address() string { return u.listener.Addr().String() }

func (u *scripted) set(s script) {
	u.mutex.Lock()
	defer u.mutex.Unlock()
	u.script = s
}

func (u *scripted) serve() {
	for {
		conn, err := u.listener.Accept()
		if err != nil {
			return
		}
		u.conns.Add(1)
		go u.serveConn(conn)
	}
}

func (u *scripted) serveConn(conn net.Conn) {
	defer func() { _ = conn.Close() }()
	reader := bufio.NewReader(conn)
	for {
		r, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		if _, err = io.Copy(io.Discard, r.Body); err != nil {
			return
		}
		u.runs.Add(1)
		u.mutex.Lock()
		s := u.script
		u.mutex.Unlock()
		s(conn, r)
		if r.Close {
			return
		}
	}
}

// writeResponse writes a complete response with the attempt id of the request.
func writeResponse(conn net.Conn, r *http.Request, body string) {
	writeRaw(conn, r.Header.Get(HeaderAttemptID), len(body), body)
}

func writeRaw(conn net.Conn, attempt string, length int, body string) {
	header := http.Header{"Content-Type": {"text/plain"}}
	if attempt != "" {
		header.Set(HeaderAttemptID, attempt)
	}
	response := http.Response{StatusCode: http.StatusOK, ProtoMajor: 1, ProtoMinor: 1, Header: header,
		ContentLength: int64(length), Body: io.NopCloser(strings.NewReader(body))}
	_ = response.Write(conn)
}

// got is a response as the caller receives it.
type got struct {
	status    int
	outcome   Outcome
	reason    Reason
	body      string
	duplicate bool
	err       error
}

func (f *fixture) do(method, path string, headers ...string) got {
	r, err := http.NewRequest(method, f.server.URL+path, strings.NewReader("x"))
	f.c.Assert(err, qt.IsNil)
	for i := 0; i+1 < len(headers); i += 2 {
		r.Header.Set(headers[i], headers[i+1])
	}
	response, err := f.server.Client().Do(r)
	if err != nil {
		return got{err: err}
	}
	defer func() { _ = response.Body.Close() }()
	body, err := io.ReadAll(response.Body)
	return got{status: response.StatusCode, outcome: Outcome(response.Header.Get(HeaderOutcome)),
		reason: Reason(response.Header.Get(HeaderReason)), body: string(body), duplicate: response.Header.Get(HeaderDuplicate) != "", err: err}
}

// assertOutcome checks the outcome and how many requests the upstream has read.
func assertOutcome(c *qt.C, g got, want Outcome, u *scripted, runs int64) {
	c.Helper()
	c.Assert(g.err, qt.IsNil)
	c.Assert(g.outcome, qt.Equals, want, qt.Commentf("%+v", g))
	c.Assert(u.runs.Load(), qt.Equals, runs, qt.Commentf("%+v", g))
}
