package relay

import (
	"context"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"

	"github.com/pkg/errors"

	"ebonyrill.dev/ebonyrill/internal/entry/dedup"
	"ebonyrill.dev/ebonyrill/internal/entry/retry"
	"ebonyrill.dev/ebonyrill/internal/entry/route"
	"ebonyrill.dev/ebonyrill/internal/shared/events"
	"ebonyrill.dev/ebonyrill/internal/shared/wire"
)

// Observer hears of what requests meet.
type Observer interface {
	// Arrived counts a request for a slice and a key at the owner's home, which sees all of them.
	Arrived(service string, start, hash uint64)
	// Seen counts an upstream's answer or failure.
	UpstreamResult(upstream uint32, failed bool)
	// Ended counts a caller's answer.
	Ended(service string, outcome Outcome, reason Reason, status int, took, bound time.Duration)
}

// Options describe an entry host's forwarding.
type Options struct {
	Name      string
	Table     *route.Table
	Scheme    string
	Security  *wire.Security
	MaxBody   int64
	MaxHeader int
	MaxHold   time.Duration
	LeaseEnd  func() time.Time
	Observer  Observer
	Log       *events.Log
}

// Handler forwards callers' requests; it is safe for concurrent use.
type Handler struct {
	options   Options
	table     *route.Table
	guard     *dedup.Cache
	mutex     sync.Mutex
	upstreams map[uint32]*upstream
	budgets   map[string]*retry.Budget
	hops      pools
	patience  time.Duration
	// mayServe ends when a stop lets no request wait any more.
	mayServe    context.Context
	stopServing context.CancelFunc
}

// NewHandler returns a handler.
func NewHandler(o Options) *Handler {
	h := &Handler{options: o, table: o.Table, guard: dedup.New(time.Now), upstreams: map[uint32]*upstream{},
		budgets: map[string]*retry.Budget{}, hops: newHopPools(o.Security), patience: callerPatience}
	h.mayServe, h.stopServing = context.WithCancel(context.Background())
	return h
}

// StopServing ends every request that has no answer yet with one of the host's own; an answer that is being passed on goes on.
func (h *Handler) StopServing() { h.stopServing() }

// callerPatience is how long a caller may take to send a body or to take an answer before its connection counts as
// silent.
const callerPatience = 10 * time.Second

// ServeHTTP answers a caller's request.
func (h *Handler) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if headerBytes(r) > h.options.MaxHeader {
		writeRefusal(w, &errBadCall{http.StatusRequestHeaderFieldsTooLarge, ReasonTooLarge, "the request's header is too large"})
		return
	}
	body, whole, err := h.readBody(w, r)
	switch {
	case err != nil:
		writeRefusal(w, &errBadCall{http.StatusBadRequest, ReasonBadRequest, "the request's body did not arrive whole"})
		return
	case !whole:
		writeRefusal(w, &errBadCall{http.StatusRequestEntityTooLarge, ReasonTooLarge, "the request's body is too large"})
		return
	}
	c, bad := h.newCall(r, body)
	if bad != nil {
		writeRefusal(w, bad)
		return
	}
	ctx, cancel := context.WithDeadline(r.Context(), c.deadline)
	defer cancel()
	ctx, bounds := retry.Bound(ctx, 0, h.mayServe)
	defer bounds.Cancel()
	p := began(ctx, bounds, h.carry(ctx, c))
	h.options.Observer.Ended(c.service.Name(), p.outcome, p.reason, p.status, time.Since(c.arrived), c.service.LatencyBound())
	h.write(w, p)
}

// began lets a long answer go on whatever stops now, and tells of a request that a stop has ended.
func began(ctx context.Context, bounds *retry.Bounds, p *reply) *reply {
	inTime := bounds.Disarm()
	if p.rest != nil && !inTime {
		p.rest.close()
		return unknown(ReasonStopping)
	}
	if p.status == 0 && errors.Is(context.Cause(ctx), retry.ErrStopping) {
		p.reason = ReasonStopping
	}
	return p
}

// readBody reads a request's body up to the limit and within the caller's time. After a body that did not come whole
// the time stays over, so that the server gives the connection up.
func (h *Handler) readBody(w http.ResponseWriter, r *http.Request) (body []byte, whole bool, err error) {
	if r.ContentLength == 0 || r.Body == nil {
		return nil, true, nil
	}
	if r.ContentLength > h.options.MaxBody {
		return nil, false, nil
	}
	control := http.NewResponseController(w)
	_ = control.SetReadDeadline(time.Now().Add(h.patience))
	body, whole, err = wire.ReadLimited(r.Body, h.options.MaxBody)
	if err == nil && whole {
		_ = control.SetReadDeadline(time.Time{})
	}
	return body, whole, err
}

// carry tries until there is an answer, the outcome forbids another try, or the deadline has passed.
func (h *Handler) carry(ctx context.Context, c *call) (p *reply) {
	budget := h.budget(c)
	budget.Earn()
	for try := 1; ; try++ {
		target := h.table.Find(c.service.Name(), c.hash)
		if !target.Owned() {
			if err := h.table.Await(ctx, target.Version()); err != nil {
				return h.unowned(err)
			}
			try--
			continue
		}
		p = h.send(ctx, c, target)
		if !mayRetry(c, p) || ctx.Err() != nil {
			return p
		}
		if p.outcome == NotRun {
			h.awaitNewer(ctx, max(target.Version(), p.version), try)
			continue
		}
		if !budget.Spend() {
			return p
		}
		p.discard()
		sleep(ctx, retry.Pause(try, retry.Random))
	}
}

// mayRetry reports whether another try cannot make the request run twice and may bring another answer.
func mayRetry(c *call, p *reply) bool {
	switch p.outcome {
	case NotRun:
		return p.reason != ReasonShed && p.reason != ReasonAmbiguous
	case Unknown:
		return c.handling.Idempotent && p.reason != ReasonAmbiguous
	}
	return c.handling.Idempotent && p.status == http.StatusServiceUnavailable
}

// awaitNewer waits a moment for a newer table: the owner may have changed, or may not know its new grant yet. Such tries
// put no load on upstreams, so that they are not counted as retries.
func (h *Handler) awaitNewer(ctx context.Context, version uint64, try int) {
	pause, cancel := context.WithTimeout(ctx, retry.Pause(try, retry.Random))
	defer cancel()
	_ = h.table.Await(pause, version)
}

func (h *Handler) unowned(err error) *reply {
	if _, full := err.(*route.ErrTooManyParked); full {
		return notRun(ReasonShed)
	}
	return notRun(ReasonNoOwner)
}

// send makes one try: here, if this host is the owner's home, or at the home.
func (h *Handler) send(ctx context.Context, c *call, target route.Target) *reply {
	if target.Home().Name == h.options.Name {
		return h.sendHere(ctx, c, target)
	}
	return h.sendHome(ctx, c, target)
}

func (h *Handler) budget(c *call) *retry.Budget {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	b := h.budgets[c.service.Name()]
	if b == nil {
		b = retry.NewBudget(c.service.RetryShare())
		h.budgets[c.service.Name()] = b
	}
	b.SetShare(c.service.RetryShare())
	return b
}

func (h *Handler) randomHash() uint64 { return rand.Uint64() }

func remoteHost(address string) string {
	host, _, err := net.SplitHostPort(address)
	if err != nil {
		return address
	}
	return host
}

func sleep(ctx context.Context, d time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(d):
	}
}

// Load returns the slots in use and the requests that wait at this host.
func (h *Handler) Load() (busy, waiting int) {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	for _, u := range h.upstreams {
		b, w := u.gate.Load()
		busy, waiting = busy+b, waiting+w
	}
	return busy, waiting
}

// write brings a reply to the caller; one that turns out not to be whole breaks the connection.
func (h *Handler) write(w http.ResponseWriter, p *reply) {
	control := http.NewResponseController(w)
	_ = control.SetWriteDeadline(time.Now().Add(h.patience))
	defer func() { _ = control.SetWriteDeadline(time.Time{}) }()
	if p.status == 0 {
		writeRefusal(w, &errBadCall{refusalStatus(p), p.reason, "the request was not answered by its upstream"}, p.outcome)
		return
	}
	header := w.Header()
	for name, values := range passedOn(p.header) {
		header[name] = values
	}
	header.Set(HeaderOutcome, string(p.outcome))
	if p.reason != "" {
		header.Set(HeaderReason, string(p.reason))
	}
	if p.duplicate {
		header.Set(HeaderDuplicate, "1")
	}
	if p.rest == nil {
		header.Set("Content-Length", strconv.Itoa(len(p.body)))
	}
	w.WriteHeader(p.status)
	_, err := w.Write(p.body)
	if p.rest == nil {
		return
	}
	defer p.rest.close()
	if err == nil {
		err = p.rest.copyTo(&patientWriter{to: w, control: control, patience: h.patience})
	}
	if err != nil {
		h.options.Log.Write(events.ResponseTruncated, events.Cause(err))
		panic(http.ErrAbortHandler)
	}
}

// patientWriter gives a caller the whole patience for each part of a long answer.
type patientWriter struct {
	to       io.Writer
	control  *http.ResponseController
	patience time.Duration
}

// Write writes a part.
func (p *patientWriter) Write(b []byte) (n int, err error) {
	_ = p.control.SetWriteDeadline(time.Now().Add(p.patience))
	return p.to.Write(b)
}

func refusalStatus(p *reply) int {
	switch {
	case p.reason == ReasonAmbiguous:
		return http.StatusConflict
	case p.outcome == Unknown && p.reason == ReasonTimeout:
		return http.StatusGatewayTimeout
	case p.outcome == Unknown:
		return http.StatusBadGateway
	}
	return http.StatusServiceUnavailable
}

// writeRefusal answers without an upstream; the outcome is notRun unless told otherwise.
func writeRefusal(w http.ResponseWriter, bad *errBadCall, outcome ...Outcome) {
	o := NotRun
	if len(outcome) > 0 {
		o = outcome[0]
	}
	w.Header().Set(HeaderOutcome, string(o))
	w.Header().Set(HeaderReason, string(bad.reason))
	http.Error(w, bad.text, bad.status)
}
