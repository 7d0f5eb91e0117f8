package relay

import (
	"bytes"
	"context"
	"io"
	"math/rand/v2"
	"net/http"
	"net/http/httptrace"
	"net/url"
	"strconv"
	"time"

	"github.com/pkg/errors"
	"go.uber.org/zap"

	"ebonyrill.dev/ebonyrill/internal/entry/dedup"
	"ebonyrill.dev/ebonyrill/internal/entry/retry"
	"ebonyrill.dev/ebonyrill/internal/entry/route"
	"ebonyrill.dev/ebonyrill/internal/shared/events"
	"ebonyrill.dev/ebonyrill/internal/shared/table"
	"ebonyrill.dev/ebonyrill/internal/shared/wire"
)

// sendHere makes one try as the home of the owner.
func (h *Handler) sendHere(ctx context.Context, c *call, target route.Target) *reply {
	h.options.Observer.Arrived(c.service.Name(), target.Start(), c.hash)
	if c.handling.Idempotent || c.id == "" {
		return h.queueAndForward(ctx, c, target)
	}
	return h.once(ctx, c, target)
}

// once makes sure that a request id runs at most once; a resend gets the answer of the first sending, unless that is too long to
// be kept and is passed on while it comes.
func (h *Handler) once(ctx context.Context, c *call, target route.Target) *reply {
	since := h.table.HomeSince(target)
	if target.Upstream().ChecksRequestID {
		since = time.Time{}
	}
	standing, record := h.guard.Begin(dedup.NewID(c.service.Name(), c.id), c.service.ResendWindow(), since, c.resend)
	switch standing {
	case dedup.Ambiguous:
		return unknown(ReasonAmbiguous)
	case dedup.Full:
		return notRun(ReasonShed)
	case dedup.Duplicate:
		return repeated(ctx, record)
	}
	runCtx, cancel := detached(ctx, c.deadline)
	runCtx, bounds := retry.Bound(runCtx, 0, h.mayServe)
	p := h.queueAndForward(runCtx, c, target)
	if p.rest != nil {
		bounds.Disarm()
		p.rest.onClose = append(p.rest.onClose, bounds.Cancel, cancel)
	} else {
		bounds.Cancel()
		cancel()
	}
	answer := dedup.NewResponse(p.status, p.header, p.body, string(p.outcome))
	if p.outcome == NotRun {
		h.guard.Discard(record, answer)
	} else {
		h.guard.End(record, answer)
	}
	return p
}

// repeated waits for the first sending of an id and gives its answer again.
func repeated(ctx context.Context, record *dedup.Record) *reply {
	select {
	case <-record.Ended():
	case <-ctx.Done():
		return unknown(ReasonTimeout)
	}
	a := record.Response()
	if Outcome(a.Outcome()) == NotRun {
		return notRun(ReasonMoved)
	}
	p := &reply{outcome: Outcome(a.Outcome()), status: a.Status(), header: a.Header(), body: a.Body(), duplicate: true}
	if !a.Kept() {
		p.status, p.header, p.body = http.StatusConflict, http.Header{}, nil
	}
	return p
}

// queueAndForward waits for a slot of the upstream and forwards.
func (h *Handler) queueAndForward(ctx context.Context, c *call, target route.Target) *reply {
	u := h.upstream(target, c.service)
	leave, err := u.gate.Acquire(ctx, c.handling.Class, c.caller)
	if err != nil {
		return notRun(ReasonShed)
	}
	deadline := c.deadline
	if !target.Upstream().ChecksFence {
		now := time.Now()
		if !now.Before(h.options.LeaseEnd()) {
			leave()
			return notRun(ReasonMoved)
		}
		if hold := now.Add(h.options.MaxHold); hold.Before(deadline) {
			deadline = hold
		}
	}
	target, current := h.depart(c, target)
	if !current {
		leave()
		return notRun(ReasonMoved)
	}
	p := h.forward(ctx, c, target, u, deadline)
	h.arrive(target, p, deadline)
	if p.rest != nil {
		p.rest.onClose = append(p.rest.onClose, leave)
	} else {
		leave()
	}
	return p
}

// departTries is how often a request looks again when the table changes while it departs.
const departTries = 4

// depart finds the target again after a wait and notes the request as sent by that version; it is current while owner
// and fence are the same.
func (h *Handler) depart(c *call, target route.Target) (next route.Target, current bool) {
	for range departTries {
		next = h.table.Find(c.service.Name(), c.hash)
		if !next.Owned() || next.Fence() != target.Fence() || next.Upstream().Number != target.Upstream().Number {
			return next, false
		}
		if h.table.BeginRequest(next.Version()) {
			return next, true
		}
	}
	return next, false
}

// arrive ends the tracking of a request; one that may still lie in the socket of an upstream that does not check fences
// counts until its deadline.
func (h *Handler) arrive(target route.Target, p *reply, deadline time.Time) {
	if p.outcome == Unknown && !target.Upstream().ChecksFence {
		time.AfterFunc(time.Until(deadline)+table.MaxSkew, func() { h.table.EndRequest(target.Version()) })
		return
	}
	h.table.EndRequest(target.Version())
}

// forward sends the request to the upstream and reads the answer.
func (h *Handler) forward(ctx context.Context, c *call, target route.Target, u *upstream, deadline time.Time) *reply {
	ctx, end := context.WithDeadline(ctx, deadline)
	ctx, bounds := retry.Bound(ctx, firstTry(c, deadline), context.Background())
	cancel := func() {
		bounds.Cancel()
		end()
	}
	attempt := strconv.FormatUint(rand.Uint64(), 36)
	sent := &wire.WriteTracker{}
	request := h.upstreamRequest(httptrace.WithClientTrace(ctx, sent.Trace()), c, target, deadline, attempt)
	response, err := u.pools.of(c.handling.Idempotent).RoundTrip(request)
	if err != nil {
		defer cancel()
		h.options.Observer.UpstreamResult(target.Upstream().Number, true)
		p := h.failed(ctx, u, sent)
		h.logTry(c, u.info.Name, u.info.Address, p, err)
		return p
	}
	p := h.read(response, target, attempt, cancel)
	if p.rest != nil && !bounds.Disarm() {
		p.rest.close()
		p = unknown(ReasonTimeout)
	}
	h.options.Observer.UpstreamResult(target.Upstream().Number, p.outcome == Unknown || p.status >= http.StatusInternalServerError && p.outcome == Done)
	return p
}

// firstTry returns after how long a try of an idempotent request gives way to one on a fresh connection, zero where it has all of the
// time.
func firstTry(c *call, deadline time.Time) time.Duration {
	left := time.Until(deadline)
	if !c.handling.Idempotent || left <= minRetryTime {
		return 0
	}
	return left * 2 / 3
}

// minRetryTime is the shortest deadline within which a second try makes sense.
const minRetryTime = 100 * time.Millisecond

// failed classifies a try that brought no answer.
func (h *Handler) failed(ctx context.Context, u *upstream, sent *wire.WriteTracker) *reply {
	if errors.Is(context.Cause(ctx), context.DeadlineExceeded) {
		u.pools.condemn()
		h.options.Log.Write(events.IdleConnsClosed, zap.String("upstream", u.info.Name))
	}
	if !sent.Written() {
		return notRun(ReasonUnreachable)
	}
	if ctx.Err() != nil {
		return unknown(ReasonTimeout)
	}
	return unknown(ReasonBroken)
}

// upstreamRequest builds the request; its body hides its kind from the transport, which then never replays it.
func (h *Handler) upstreamRequest(ctx context.Context, c *call, target route.Target, deadline time.Time, attempt string) *http.Request {
	location, err := url.ParseRequestURI(c.uri)
	if err != nil {
		location = &url.URL{Path: "/"}
	}
	location.Scheme, location.Host = "http", target.Upstream().Address
	header := passedOn(c.header)
	header.Set(HeaderFence, strconv.FormatUint(target.Fence(), 10))
	header.Set(HeaderKeyHash, strconv.FormatUint(c.hash, 10))
	header.Set(HeaderDeadline, strconv.FormatInt(deadline.UnixMilli(), 10))
	header.Set(HeaderAttemptID, attempt)
	if c.id != "" {
		header.Set(HeaderRequestID, c.id)
	}
	r := &http.Request{Method: c.method, URL: location, Host: location.Host, Header: header, Proto: "HTTP/1.1",
		ProtoMajor: 1, ProtoMinor: 1, ContentLength: int64(len(c.body)), Body: opaqueBody{bytes.NewReader(c.body)}}
	return r.WithContext(ctx)
}

// opaqueBody is a body that the transport can read once only.
type opaqueBody struct {
	io.Reader
}

// Close does nothing.
func (opaqueBody) Close() error { return nil }
