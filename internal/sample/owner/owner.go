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

// Times and bounds of a sample upstream.
const (
	announceTimeout = 600 * time.Millisecond
	retryPause      = 30 * time.Millisecond
	leaveBound      = 10 * time.Second
	headerTimeout   = 5 * time.Second
	maxAnswerHead   = 16 << 10 // bytes of the head of an answer to an announcement
	maxAnswerBytes  = 16 << 20 // bytes of its body; the grants of 100,000 slices are less
	maxBodyBytes    = 64 << 20 // bytes of a request's body
)

// Options describe a sample upstream.
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

// Upstream is a sample upstream.
type Upstream struct {
	options     Options
	grants      *Grants
	incarnation uint64
	sequence    uint64
	next        int
	leaving     atomic.Bool
	released    atomic.Bool
	slots       chan struct{}
	busy        atomic.Int64
	journal     *os.File
	client      *http.Client
}

// New returns a sample upstream.
func New(o Options) (u *Upstream, err error) {
	u = &Upstream{options: o, grants: NewGrants(), incarnation: uint64(time.Now().UnixNano()), slots: make(chan struct{}, o.Slots)}
	u.client = &http.Client{Timeout: announceTimeout, Transport: &http.Transport{MaxResponseHeaderBytes: maxAnswerHead}}
	if o.Journal != "" {
		u.journal, err = os.OpenFile(o.Journal, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o644)
	}
	return u, errors.WithMessage(err, "open journal")
}

// Run serves until the context ends, then leaves: it serves on until it owns nothing and control has heard that.
func (u *Upstream) Run(ctx context.Context) (err error) {
	listener, err := net.Listen("tcp", u.options.Address)
	if err != nil {
		return errors.WithMessage(err, "sample upstream")
	}
	server := &http.Server{Handler: u, ReadHeaderTimeout: headerTimeout}
	go func() { _ = server.Serve(listener) }()
	stop := make(chan struct{})
	finished := make(chan struct{})
	go func() {
		u.announce(stop)
		close(finished)
	}()
	<-ctx.Done()
	u.leaving.Store(true)
	for until := time.Now().Add(leaveBound); time.Now().Before(until) && (!u.released.Load() || u.busy.Load() > 0); {
		time.Sleep(retryPause)
	}
	close(stop)
	<-finished
	bounded, cancel := context.WithTimeout(context.Background(), leaveBound)
	defer cancel()
	return server.Shutdown(bounded)
}

// announce keeps the lease; each answer says when to announce again.
func (u *Upstream) announce(stop <-chan struct{}) {
	for {
		sentAt := time.Now()
		answer, err := u.send()
		pause := time.Duration(answer.AgainMillis) * time.Millisecond
		if err != nil {
			u.next++
			pause = retryPause
		} else {
			u.take(answer, sentAt)
		}
		select {
		case <-stop:
			return
		case <-time.After(pause):
		}
	}
}

func (u *Upstream) send() (answer table.GrantResponse, err error) {
	u.sequence++
	a := table.Announcement{Name: u.options.Name, Incarnation: u.incarnation, Sequence: u.sequence, Service: u.options.Service,
		Address: u.options.Address, DataCentre: u.options.DataCentre, ChecksFence: u.options.ChecksFence, Slots: u.options.Slots,
		Connections: 130, Held: u.grants.Acked(), Leaving: u.leaving.Load(), Healthy: true, Load: float64(u.busy.Load())}
	body, err := json.Marshal(a)
	if err != nil {
		return answer, err
	}
	entry := u.options.Entries[u.next%len(u.options.Entries)]
	response, err := u.client.Post("http://"+entry+"/v1/announce", "application/json", bytes.NewReader(body))
	if err != nil {
		return answer, err
	}
	defer func() { _ = response.Body.Close() }()
	if response.StatusCode != http.StatusOK {
		return answer, errors.Errorf("announce: status %d", response.StatusCode)
	}
	if err = json.NewDecoder(io.LimitReader(response.Body, maxAnswerBytes)).Decode(&answer); err != nil {
		return answer, err
	}
	return answer, answer.Check(a)
}

// take takes an answer in.
func (u *Upstream) take(a table.GrantResponse, sentAt time.Time) {
	switch a.Status {
	case table.GrantHeld:
		u.grants.Apply(a, sentAt)
		u.released.Store(u.leaving.Load() && !a.Changed && u.grants.Len() == 0)
	case table.GrantStale:
		u.grants.Clear()
		u.incarnation = uint64(time.Now().UnixNano())
	}
}

// ServeHTTP serves one request of an entry host.
func (u *Upstream) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	w.Header().Set(relay.HeaderAttemptID, r.Header.Get(relay.HeaderAttemptID))
	hash, _ := strconv.ParseUint(r.Header.Get(relay.HeaderKeyHash), 10, 64)
	fence, _ := strconv.ParseUint(r.Header.Get(relay.HeaderFence), 10, 64)
	deadline, _ := strconv.ParseInt(r.Header.Get(relay.HeaderDeadline), 10, 64)
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxBodyBytes))
	if err != nil || time.Now().UnixMilli() >= deadline {
		refuse(w, relay.ReasonShed)
		return
	}
	select {
	case u.slots <- struct{}{}:
		defer func() { <-u.slots }()
	default:
		refuse(w, relay.ReasonShed)
		return
	}
	u.busy.Add(1)
	defer u.busy.Add(-1)
	end, ok := u.begin(hash, fence)
	if !ok {
		refuse(w, relay.ReasonFence)
		return
	}
	defer end()
	time.Sleep(u.options.Work)
	if time.Now().UnixMilli() >= deadline || u.options.ChecksFence && !u.grants.Holds(hash, fence, time.Now()) {
		refuse(w, relay.ReasonFence)
		return
	}
	u.work(w, r, fence, body)
}

func (u *Upstream) begin(hash, fence uint64) (end func(), ok bool) {
	if u.options.ChecksFence {
		return u.grants.Begin(hash, fence, time.Now())
	}
	return u.grants.BeginUnchecked(hash, fence), true
}

// work does what a request asks for and notes it in the journal; deadline and grant were checked right before it, as the
// process may have been frozen since the request began.
func (u *Upstream) work(w http.ResponseWriter, r *http.Request, fence uint64, body []byte) {
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

func refuse(w http.ResponseWriter, reason relay.Reason) {
	w.Header().Set(relay.HeaderOutcome, string(relay.NotRun))
	w.Header().Set(relay.HeaderReason, string(reason))
	w.WriteHeader(http.StatusServiceUnavailable)
}
