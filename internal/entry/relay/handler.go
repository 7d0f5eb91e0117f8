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

	"ebonyrill.dev/ebonyrill/internal/entry/bound"
	"ebonyrill.dev/ebonyrill/internal/entry/dedup"
	"ebonyrill.dev/ebonyrill/internal/entry/retry"
	"ebonyrill.dev/ebonyrill/internal/entry/route"
	"ebonyrill.dev/ebonyrill/internal/shared/events"
	"ebonyrill.dev/ebonyrill/internal/shared/memory"
	"ebonyrill.dev/ebonyrill/internal/shared/wire"
)

// Observer is notified of requests and their results, for statistics and metrics.
type Observer interface {
	// Arrived counts a request with a key hash for the slice that begins at start. It is called by the owner's home host,
	// through which all requests for the slice go.
	Arrived(service string, start, hash uint64)
	// UpstreamResult counts a response of an upstream, or its failure.
	UpstreamResult(upstream uint32, failed bool)
	// Ended counts a response to a caller. took is the time since the request arrived; a request that took longer than
	// bound counts as slow.
	Ended(service string, outcome Outcome, reason Reason, status int, took, bound time.Duration)
}

// Options configure a Handler. LeaseEnd returns the end of the host's lease. MaxHold is the longest time that a request may
// spend at an upstream that does not check fencing tokens.
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
	options       Options
	table         *route.Table
	requestIDs    *dedup.Cache
	mutex         sync.Mutex
	upstreams     map[uint32]*upstream
	budgets       map[string]*retry.Budget
	hopPools      pools
	callerTimeout time.Duration
	// serving is cancelled by StopServing.
	serving     context.Context
	stopServing context.CancelFunc
}

// NewHandler returns a handler that forwards requests by the options' table.
func NewHandler(o Options) *Handler {
	h := &Handler{options: o, table: o.Table, requestIDs: dedup.New(time.Now), upstreams: map[uint32]*upstream{},
		budgets: map[string]*retry.Budget{}, hopPools: newHopPools(o.Security), callerTimeout: defaultCallerTimeout}
	h.serving, h.stopServing = context.WithCancel(context.Background())
	return h
}

// StopServing ends every request that has no response yet with an error response; responses that are being streamed to
// callers continue.
func (h *Handler) StopServing() { h.stopServing() }

// defaultCallerTimeout is how long a caller may take to send a request body, or to read one part of a response, before it
// counts as unresponsive.
const defaultCallerTimeout = 10 * time.Second

// ServeHTTP forwards a caller's request and writes the response.
func (h *Handler) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if headerBytes(r) > h.options.MaxHeader {
		writeError(w, &errResponse{http.StatusRequestHeaderFieldsTooLarge, ReasonTooLarge, "the request's header is too large"})
		return
	}
	body, complete, err := h.readBody(w, r)
	switch {
	case memory.Refused(err):
		writeRefused(w)
		return
	case err != nil:
		writeError(w, &errResponse{http.StatusBadRequest, ReasonBadRequest, "the request's body did not arrive whole"})
		return
	case !complete:
		writeError(w, &errResponse{http.StatusRequestEntityTooLarge, ReasonTooLarge, "the request's body is too large"})
		return
	}
	c, bad := h.newCall(r, body)
	if bad != nil {
		writeError(w, bad)
		return
	}
	ctx, cancel := context.WithDeadline(r.Context(), c.deadline)
	defer cancel()
	ctx, bounds := retry.Bound(ctx, 0, h.serving)
	defer bounds.Cancel()
	p := applyStop(ctx, bounds, h.sendWithRetries(ctx, c))
	h.options.Observer.Ended(c.service.Name(), p.outcome, p.reason, p.status, time.Since(c.arrived), c.service.LatencyBound())
	h.write(w, p)
}

// applyStop removes the bound that a stop of the host sets, so that a response that has begun is not cut short. If the
// stop came first, a response with a part that is not read yet is dropped, and a reply without a response gets ReasonStopping.
func applyStop(ctx context.Context, bounds *retry.Bounds, p *reply) *reply {
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

// readBody reads a request body of at most MaxBody bytes within the caller's timeout. If the body is not read completely
// the read deadline stays set, so that the server closes the connection.
func (h *Handler) readBody(w http.ResponseWriter, r *http.Request) (body bound.Body, complete bool, err error) {
	if r.ContentLength == 0 || r.Body == nil {
		return bound.Body{}, true, nil
	}
	if r.ContentLength > h.options.MaxBody {
		return bound.Body{}, false, nil
	}
	control := http.NewResponseController(w)
	_ = control.SetReadDeadline(time.Now().Add(h.callerTimeout))
	body, complete, err = bound.ReadBody(r.Body, r.ContentLength, h.options.MaxBody)
	if err == nil && complete {
		_ = control.SetReadDeadline(time.Time{})
	}
	return body, complete, err
}

// writeRefused rejects a request that gets no memory. Its connection is closed, as the rest of the request is not read.
func writeRefused(w http.ResponseWriter) {
	w.Header().Set("Connection", "close")
	w.Header().Set("Retry-After", memory.RetryAfter)
	writeError(w, &errResponse{http.StatusServiceUnavailable, ReasonShed, "the host has no memory for the request"})
}

// sendWithRetries makes attempts until there is a response, the outcome forbids a retry, the retry budget is spent, or
// the deadline has passed.
func (h *Handler) sendWithRetries(ctx context.Context, c *call) (p *reply) {
	budget := h.budget(c)
	budget.Earn()
	for attempt := 1; ; attempt++ {
		view := h.table.View()
		target := h.findTarget(view, c, attempt)
		if view.AllEvacuated(c.service.Name()) {
			return notRun(ReasonOutOfService)
		}
		if !target.Owned() || view.Evacuated(target.Upstream().DataCentre) {
			if err := h.table.Await(ctx, target.Version()); err != nil {
				return h.unowned(err)
			}
			attempt--
			continue
		}
		p = h.send(ctx, c, target)
		if !mayRetry(c, p) || ctx.Err() != nil {
			return p
		}
		if p.outcome == NotRun {
			h.awaitNewerTable(ctx, max(target.Version(), p.version), attempt)
			continue
		}
		if !budget.Spend() {
			return p
		}
		p.discard()
		sleep(ctx, retry.Pause(attempt, retry.Random))
	}
}

// mayRetry reports whether a retry is safe, as it cannot run a non-idempotent request twice, and may have another result.
func mayRetry(c *call, p *reply) bool {
	switch p.outcome {
	case NotRun:
		return p.reason != ReasonShed && p.reason != ReasonAmbiguous
	case Unknown:
		return c.handling.Idempotent && p.reason != ReasonAmbiguous
	}
	return c.handling.Idempotent && p.status == http.StatusServiceUnavailable
}

// awaitNewerTable waits for a newer table, at most for a back-off pause: the owner may have changed, or may not have
// received its new grant yet. Attempts that did not run put no load on upstreams and do not count against the retry budget.
func (h *Handler) awaitNewerTable(ctx context.Context, version uint64, attempt int) {
	pause, cancel := context.WithTimeout(ctx, retry.Pause(attempt, retry.Random))
	defer cancel()
	_ = h.table.Await(pause, version)
}

func (h *Handler) unowned(err error) *reply {
	if _, full := err.(*route.ErrTooManyParked); full {
		return notRun(ReasonShed)
	}
	return notRun(ReasonNoOwner)
}

// send makes one attempt: directly if this host is the home of the owner, through the home host otherwise.
func (h *Handler) send(ctx context.Context, c *call, target route.Target) *reply {
	if target.Home().Name == h.options.Name {
		return h.sendLocal(ctx, c, target)
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

// Load returns the number of slots in use and of requests queued at this host.
func (h *Handler) Load() (busy, waiting int) {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	for _, u := range h.upstreams {
		b, w := u.limiter.Load()
		busy, waiting = busy+b, waiting+w
	}
	return busy, waiting
}

// write sends a reply to the caller. If the rest of the body is truncated it aborts the connection, so that the caller
// does not take the response for a complete one.
func (h *Handler) write(w http.ResponseWriter, p *reply) {
	control := http.NewResponseController(w)
	_ = control.SetWriteDeadline(time.Now().Add(h.callerTimeout))
	defer func() { _ = control.SetWriteDeadline(time.Time{}) }()
	if p.status == 0 {
		if p.reason == ReasonOutOfService {
			w.Header().Set("Retry-After", outOfServiceRetryAfter)
		}
		writeError(w, &errResponse{errorStatus(p), p.reason, "the request was not answered by its upstream"}, p.outcome)
		return
	}
	header := w.Header()
	for name, values := range forwardedHeader(p.header) {
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
		err = p.rest.copyTo(&deadlineWriter{to: w, control: control, timeout: h.callerTimeout})
	}
	if err != nil {
		h.options.Log.Write(events.ResponseTruncated, events.Cause(err))
		panic(http.ErrAbortHandler)
	}
}

// deadlineWriter writes to a caller and renews the write deadline for each part of the response.
type deadlineWriter struct {
	to      io.Writer
	control *http.ResponseController
	timeout time.Duration
}

// Write writes a part.
func (p *deadlineWriter) Write(b []byte) (n int, err error) {
	_ = p.control.SetWriteDeadline(time.Now().Add(p.timeout))
	return p.to.Write(b)
}

func errorStatus(p *reply) int {
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

// writeError sends an error response of the host's own; the outcome is notRun unless another is given.
func writeError(w http.ResponseWriter, bad *errResponse, outcome ...Outcome) {
	o := NotRun
	if len(outcome) > 0 {
		o = outcome[0]
	}
	w.Header().Set(HeaderOutcome, string(o))
	w.Header().Set(HeaderReason, string(bad.reason))
	http.Error(w, bad.text, bad.status)
}
