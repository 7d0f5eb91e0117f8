package owner

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"strconv"
	"strings"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"

	"ebonyrill.dev/ebonyrill/internal/entry/relay"
	"ebonyrill.dev/ebonyrill/internal/shared/table"
)

// Timeouts, intervals and limits of a sample upstream.
const (
	announceTimeout  = 600 * time.Millisecond
	retryInterval    = 30 * time.Millisecond
	drainTimeout     = 10 * time.Second
	headerTimeout    = 5 * time.Second
	maxHeaderBytes   = 16 << 10 // header of a response to an announcement
	maxResponseBytes = 16 << 20 // body of a response to an announcement; the grants of 100,000 slices take less
	maxRequestBytes  = 64 << 20 // body of a request
)

// Options describe a sample upstream. Entries are the addresses of the entry hosts that it announces itself to; Slots is
// how many requests it runs at a time, and Work how long each takes. An empty Journal turns the journal off.
type Options struct {
	Name        string
	Service     string
	Address     string
	DataCentre  string
	Entries     []string
	ChecksFence bool
	Slots       int
	Work        time.Duration
	Journal     string
}

// Upstream is a sample upstream. released is set while draining, once the control hosts know that no grants are held.
type Upstream struct {
	options     Options
	grants      *Grants
	incarnation uint64
	sequence    uint64
	entryIndex  int
	draining    atomic.Bool
	released    atomic.Bool
	slots       chan struct{}
	busy        atomic.Int64
	journal     *os.File
	client      *http.Client
}

// New returns a sample upstream.
func New(o Options) (u *Upstream, err error) {
	u = &Upstream{options: o, grants: NewGrants(), incarnation: uint64(time.Now().UnixNano()), slots: make(chan struct{}, o.Slots)}
	u.client = &http.Client{Timeout: announceTimeout, Transport: &http.Transport{MaxResponseHeaderBytes: maxHeaderBytes}}
	if o.Journal != "" {
		u.journal, err = os.OpenFile(o.Journal, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o644)
	}
	return u, errors.WithMessage(err, "open journal")
}

// Run serves requests until the context ends and then drains: it continues to serve until all its slices are handed over,
// the control hosts know that it holds no grants, and no request is running, for at most drainTimeout.
func (u *Upstream) Run(ctx context.Context) (err error) {
	listener, err := net.Listen("tcp", u.options.Address)
	if err != nil {
		return errors.WithMessage(err, "listen for requests")
	}
	server := &http.Server{Handler: u, ReadHeaderTimeout: headerTimeout}
	go func() { _ = server.Serve(listener) }()
	stop := make(chan struct{})
	finished := make(chan struct{})
	go func() {
		u.announceLoop(stop)
		close(finished)
	}()
	<-ctx.Done()
	u.draining.Store(true)
	for until := time.Now().Add(drainTimeout); time.Now().Before(until) && (!u.released.Load() || u.busy.Load() > 0); {
		time.Sleep(retryInterval)
	}
	close(stop)
	<-finished
	bounded, cancel := context.WithTimeout(context.Background(), drainTimeout)
	defer cancel()
	return server.Shutdown(bounded)
}

// announceLoop renews the lease by announcements until stop is closed. Each response says when to send the next one. After
// an error, it tries the next entry host.
func (u *Upstream) announceLoop(stop <-chan struct{}) {
	for {
		sentAt := time.Now()
		response, err := u.sendAnnouncement()
		pause := time.Duration(response.AgainMillis) * time.Millisecond
		if err != nil {
			u.entryIndex++
			pause = retryInterval
		} else {
			u.apply(response, sentAt)
		}
		select {
		case <-stop:
			return
		case <-time.After(pause):
		}
	}
}

// sendAnnouncement sends one announcement to the current entry host and returns the checked response.
func (u *Upstream) sendAnnouncement() (result table.GrantResponse, err error) {
	u.sequence++
	a := table.Announcement{Name: u.options.Name, Incarnation: u.incarnation, Sequence: u.sequence, Service: u.options.Service,
		Address: u.options.Address, DataCentre: u.options.DataCentre, ChecksFence: u.options.ChecksFence, Slots: u.options.Slots,
		Connections: 130, Held: u.grants.Acked(), Leaving: u.draining.Load(), Healthy: true, Load: float64(u.busy.Load())}
	body, err := json.Marshal(a)
	if err != nil {
		return result, err
	}
	entry := u.options.Entries[u.entryIndex%len(u.options.Entries)]
	response, err := u.client.Post("http://"+entry+"/v1/announce", "application/json", bytes.NewReader(body))
	if err != nil {
		return result, err
	}
	defer func() { _ = response.Body.Close() }()
	if response.StatusCode != http.StatusOK {
		return result, errors.Errorf("announcement rejected: status %d", response.StatusCode)
	}
	if err = json.NewDecoder(io.LimitReader(response.Body, maxResponseBytes)).Decode(&result); err != nil {
		return result, err
	}
	return result, result.Check(a)
}

// apply applies the response to an announcement sent at sentAt. If the incarnation has ended, it starts a new one.
func (u *Upstream) apply(response table.GrantResponse, sentAt time.Time) {
	switch response.Status {
	case table.GrantHeld:
		u.grants.Apply(response, sentAt)
		u.released.Store(u.draining.Load() && !response.Changed && u.grants.Len() == 0)
	case table.GrantStale:
		u.grants.Clear()
		u.incarnation = uint64(time.Now().UnixNano())
	}
}

// ServeHTTP serves a request that an entry host forwarded. It rejects the request if its deadline has passed, no slot is
// free, or, with Options.ChecksFence, the upstream does not own the key under the fencing token.
func (u *Upstream) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	w.Header().Set(relay.HeaderAttemptID, r.Header.Get(relay.HeaderAttemptID))
	hash, _ := strconv.ParseUint(r.Header.Get(relay.HeaderKeyHash), 10, 64)
	fence, _ := strconv.ParseUint(r.Header.Get(relay.HeaderFence), 10, 64)
	deadline, _ := strconv.ParseInt(r.Header.Get(relay.HeaderDeadline), 10, 64)
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxRequestBytes))
	if err != nil || time.Now().UnixMilli() >= deadline {
		reject(w, relay.ReasonShed)
		return
	}
	select {
	case u.slots <- struct{}{}:
		defer func() { <-u.slots }()
	default:
		reject(w, relay.ReasonShed)
		return
	}
	u.busy.Add(1)
	defer u.busy.Add(-1)
	end, ok := u.begin(hash, fence)
	if !ok {
		reject(w, relay.ReasonFence)
		return
	}
	defer end()
	time.Sleep(u.options.Work)
	if time.Now().UnixMilli() >= deadline || u.options.ChecksFence && !u.grants.Holds(hash, fence, time.Now()) {
		reject(w, relay.ReasonFence)
		return
	}
	u.execute(w, r, fence, body)
}

// begin registers a request as running; if fencing tokens are checked, only if the grant is held.
func (u *Upstream) begin(hash, fence uint64) (end func(), ok bool) {
	if u.options.ChecksFence {
		return u.grants.Begin(hash, fence, time.Now())
	}
	return u.grants.BeginUnchecked(hash, fence), true
}

// execute runs a request, writes it to the journal and responds. The caller checks deadline and grant immediately before,
// as the process may have been suspended since the request began.
func (u *Upstream) execute(w http.ResponseWriter, r *http.Request, fence uint64, body []byte) {
	started := time.Now()
	key := strings.Split(strings.TrimPrefix(r.URL.Path, "/"), "/")
	name := ""
	if len(key) > 1 {
		name = key[1]
	}
	if u.journal != nil {
		fmt.Fprintf(u.journal, "%d %d %s %s %s %d %s\n", started.UnixNano(), time.Now().UnixNano(), u.options.Name, r.Method, name,
			fence, r.Header.Get(relay.HeaderRequestID))
	}
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(struct {
		Owner string `json:"owner"`
		Fence uint64 `json:"fence"`
		Key   string `json:"key"`
		Echo  string `json:"echo"`
	}{u.options.Name, fence, name, string(body)})
}

// reject responds that the request was not run, with the reason.
func reject(w http.ResponseWriter, reason relay.Reason) {
	w.Header().Set(relay.HeaderOutcome, string(relay.NotRun))
	w.Header().Set(relay.HeaderReason, string(reason))
	w.WriteHeader(http.StatusServiceUnavailable)
}
