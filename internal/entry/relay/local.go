package relay

import (
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

// sendLocal makes one attempt as the home host of the owner. Non-idempotent requests with an id are deduplicated.
func (h *Handler) sendLocal(ctx context.Context, c *call, target route.Target) *reply {
	h.options.Observer.Arrived(c.service.Name(), target.Start(), c.hash)
	if c.handling.Idempotent || c.id == "" {
		return h.queueAndForward(ctx, c, target)
	}
	return h.sendOnce(ctx, c, target)
}

// sendOnce forwards the first attempt of a request id and answers duplicates with the stored response, so that the id is
// executed at most once. The first attempt continues when its caller closes the connection. A response too long to be
// stored is streamed to the first caller only; duplicates then get status 409.
func (h *Handler) sendOnce(ctx context.Context, c *call, target route.Target) *reply {
	since := h.table.HomeSince(target)
	if target.Upstream().ChecksRequestID {
		since = time.Time{}
	}
	status, record := h.requestIDs.Begin(dedup.NewID(c.service.Name(), c.id), c.service.ResendWindow(), since, c.resend)
	switch status {
	case dedup.Ambiguous:
		return unknown(ReasonAmbiguous)
	case dedup.Full:
		return notRun(ReasonShed)
	case dedup.Duplicate:
		return duplicateReply(ctx, record)
	}
	runCtx, cancel := detached(ctx, c.deadline)
	runCtx, bounds := retry.Bound(runCtx, 0, h.serving)
	p := h.queueAndForward(runCtx, c, target)
	if p.rest != nil {
		bounds.Disarm()
		p.rest.onClose = append(p.rest.onClose, bounds.Cancel, cancel)
	} else {
		bounds.Cancel()
		cancel()
	}
	response := dedup.NewResponse(p.status, p.header, p.body, string(p.outcome))
	if p.outcome == NotRun {
		h.requestIDs.Discard(record, response)
	} else {
		h.requestIDs.End(record, response)
	}
	return p
}

// duplicateReply waits until the first attempt of an id has ended and returns its stored response.
func duplicateReply(ctx context.Context, record *dedup.Record) *reply {
	select {
	case <-record.Ended():
	case <-ctx.Done():
		return unknown(ReasonTimeout)
	}
	response := record.Response()
	if Outcome(response.Outcome()) == NotRun {
		return notRun(ReasonMoved)
	}
	p := &reply{outcome: Outcome(response.Outcome()), status: response.Status(), header: response.Header(), body: response.Body(), duplicate: true}
	if !response.Kept() {
		p.status, p.header, p.body = http.StatusConflict, http.Header{}, nil
	}
	return p
}

// queueAndForward waits for a slot of the upstream and forwards the request. An upstream that does not check fencing tokens
// gets requests only while this host's lease is valid, with a deadline at most MaxHold away.
func (h *Handler) queueAndForward(ctx context.Context, c *call, target route.Target) *reply {
	if h.outOfService(target.Upstream()) {
		return notRun(ReasonMoved)
	}
	u := h.upstream(target, c.service)
	release, err := u.limiter.Acquire(ctx, c.handling.Class, c.caller)
	if err != nil {
		return notRun(ReasonShed)
	}
	if h.serving.Err() != nil { // the slot was freed by a request that the stop ended
		release()
		return notRun(ReasonStopping)
	}
	deadline := c.deadline
	if !target.Upstream().ChecksFence {
		now := time.Now()
		if !now.Before(h.options.LeaseEnd()) {
			release()
			return notRun(ReasonMoved)
		}
		if hold := now.Add(h.options.MaxHold); hold.Before(deadline) {
			deadline = hold
		}
	}
	target, current := h.beginRequest(c, target)
	if !current {
		release()
		return notRun(ReasonMoved)
	}
	p := h.forward(ctx, c, target, u, deadline)
	h.endRequest(target, p, deadline)
	if p.rest != nil {
		p.rest.onClose = append(p.rest.onClose, release)
	} else {
		release()
	}
	return p
}

// beginAttempts is how often beginRequest looks the target up while the table keeps changing.
const beginAttempts = 4

// beginRequest looks the target up again after the wait for a slot and counts the request as in flight under the table
// version that it found. current is false if the owner or the fencing token has changed.
func (h *Handler) beginRequest(c *call, target route.Target) (next route.Target, current bool) {
	for range beginAttempts {
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

// endRequest removes a request from those in flight. One with an unknown outcome may still lie in the socket of an upstream
// that does not check fencing tokens; it counts as in flight until its deadline plus the allowed clock skew.
func (h *Handler) endRequest(target route.Target, p *reply, deadline time.Time) {
	if p.outcome == Unknown && !target.Upstream().ChecksFence {
		time.AfterFunc(time.Until(deadline)+table.MaxSkew, func() { h.table.EndRequest(target.Version()) })
		return
	}
	h.table.EndRequest(target.Version())
}

// forward sends the request to the upstream and reads the response.
func (h *Handler) forward(ctx context.Context, c *call, target route.Target, u *upstream, deadline time.Time) *reply {
	ctx, end := context.WithDeadline(ctx, deadline)
	ctx, bounds := retry.Bound(ctx, firstAttemptTimeout(c, deadline), context.Background())
	cancel := func() {
		bounds.Cancel()
		end()
	}
	attempt := strconv.FormatUint(rand.Uint64(), 36)
	sent := &wire.WriteTracker{}
	request := h.upstreamRequest(httptrace.WithClientTrace(ctx, sent.Trace()), c, target, deadline, attempt)
	transport, single := u.transport(c.handling.Idempotent)
	response, err := transport.RoundTrip(request)
	if err != nil {
		defer cancel()
		if !errors.Is(err, errOutOfService) {
			h.options.Observer.UpstreamResult(target.Upstream().Number, true)
		}
		p := h.classifyFailure(ctx, u, sent)
		h.logFailedAttempt(c, u.info.Name, u.info.Address, p, err)
		return p
	}
	u.recordEcho(response.Header.Get(HeaderAttemptID))
	p := h.read(response, attempt, single, cancel)
	if p.rest != nil && !bounds.Disarm() {
		p.rest.close()
		p = unknown(ReasonTimeout)
	}
	h.options.Observer.UpstreamResult(target.Upstream().Number, p.outcome == Unknown || p.status >= http.StatusInternalServerError && p.outcome == Done)
	return p
}

// firstAttemptTimeout returns the time after which an attempt of an idempotent request is given up, so that a retry on a
// new connection still fits before the deadline. Zero means that the attempt may take until the deadline.
func firstAttemptTimeout(c *call, deadline time.Time) time.Duration {
	left := time.Until(deadline)
	if !c.handling.Idempotent || left <= minRetryTime {
		return 0
	}
	return left * 2 / 3
}

// minRetryTime is the shortest time before the deadline that is split between an attempt and a retry.
const minRetryTime = 100 * time.Millisecond

// classifyFailure returns the reply for an attempt without a response from the upstream. A time-out closes the idle
// connections to it, which may be dead as well.
func (h *Handler) classifyFailure(ctx context.Context, u *upstream, sent *wire.WriteTracker) *reply {
	if errors.Is(context.Cause(ctx), context.DeadlineExceeded) {
		u.pools.closeIdle()
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

// upstreamRequest builds the request to the upstream. The type of its body is unknown to the transport, which can
// therefore not rewind it and resend the request by itself.
func (h *Handler) upstreamRequest(ctx context.Context, c *call, target route.Target, deadline time.Time, attempt string) *http.Request {
	location, err := url.ParseRequestURI(c.uri)
	if err != nil {
		location = &url.URL{Path: "/"}
	}
	location.Scheme, location.Host = "http", target.Upstream().Address
	header := forwardedHeader(c.header)
	header.Set(HeaderFence, strconv.FormatUint(target.Fence(), 10))
	header.Set(HeaderKeyHash, strconv.FormatUint(c.hash, 10))
	header.Set(HeaderDeadline, strconv.FormatInt(deadline.UnixMilli(), 10))
	header.Set(HeaderAttemptID, attempt)
	if c.id != "" {
		header.Set(HeaderRequestID, c.id)
	}
	r := &http.Request{Method: c.method, URL: location, Host: location.Host, Header: header, Proto: "HTTP/1.1",
		ProtoMajor: 1, ProtoMinor: 1, ContentLength: c.body.Len(), Body: opaqueBody{c.body.NewReader()}}
	return r.WithContext(ctx)
}

// opaqueBody is a request body that the transport can read only once.
type opaqueBody struct {
	io.Reader
}

// Close does nothing.
func (opaqueBody) Close() error { return nil }
