package relay

import (
	"context"
	"net/http"
	"net/http/httptrace"
	"net/url"
	"strconv"
	"time"

	"ebonyrill.dev/ebonyrill/internal/entry/bound"
	"ebonyrill.dev/ebonyrill/internal/entry/dedup"
	"ebonyrill.dev/ebonyrill/internal/entry/retry"
	"ebonyrill.dev/ebonyrill/internal/entry/route"
	"ebonyrill.dev/ebonyrill/internal/shared/conf"
	"ebonyrill.dev/ebonyrill/internal/shared/memory"
	"ebonyrill.dev/ebonyrill/internal/shared/wire"
)

// sendHome makes one attempt through the owner's home host.
func (h *Handler) sendHome(ctx context.Context, c *call, target route.Target) *reply {
	ctx, bounds := retry.Bound(ctx, firstAttemptTimeout(c, c.deadline), context.Background())
	cancel := bounds.Cancel
	sent := &wire.WriteTracker{}
	request, err := h.hopRequest(httptrace.WithClientTrace(ctx, sent.Trace()), c, target, c.deadline)
	if err != nil {
		cancel()
		return notRun(ReasonBadRequest)
	}
	response, err := h.hopPools.of(c.handling.Idempotent).RoundTrip(request)
	if err != nil {
		defer cancel()
		p := h.classifyHopFailure(ctx, sent)
		h.logFailedAttempt(c, target.Home().Name, target.Home().Address, p, err)
		return p
	}
	p := h.readHopResponse(response, cancel)
	if p.rest != nil && !bounds.Disarm() {
		p.rest.close()
		return unknown(ReasonTimeout)
	}
	return p
}

// classifyHopFailure returns the reply for an attempt without a response from the home host. Only if no byte was sent is it
// certain that the request did not run.
func (h *Handler) classifyHopFailure(ctx context.Context, sent *wire.WriteTracker) *reply {
	late := ctx.Err() != nil
	if late {
		h.hopPools.closeIdle()
	}
	switch {
	case !sent.Written():
		return notRun(ReasonMoved)
	case late:
		return unknown(ReasonTimeout)
	}
	return unknown(ReasonBroken)
}

func (h *Handler) hopRequest(ctx context.Context, c *call, target route.Target, deadline time.Time) (r *http.Request, err error) {
	location, err := url.ParseRequestURI(c.uri)
	if err != nil {
		return nil, err
	}
	location.Scheme, location.Host = h.options.Scheme, target.Home().Address
	header := forwardedHeader(c.header)
	header.Set(HeaderHop, "1")
	header.Set(headerService, c.service.Name())
	header.Set(headerCaller, c.caller)
	header.Set(headerVersion, strconv.FormatUint(target.Version(), 10))
	header.Set(HeaderKeyHash, strconv.FormatUint(c.hash, 10))
	header.Set(HeaderTimeout, strconv.FormatInt(max(1, time.Until(deadline).Milliseconds()), 10))
	if c.id != "" {
		header.Set(HeaderRequestID, c.id)
	}
	header.Set(HeaderAttempt, strconv.Itoa(int(c.resend)))
	r = &http.Request{Method: c.method, URL: location, Host: location.Host, Header: header, Proto: "HTTP/1.1",
		ProtoMajor: 1, ProtoMinor: 1, ContentLength: c.body.Len(), Body: opaqueBody{c.body.NewReader()}}
	return r.WithContext(ctx), nil
}

// readHopResponse reads the response of a home host. Unless the outcome is done, a response without HeaderHop is not from
// a home host and leaves the outcome unknown.
func (h *Handler) readHopResponse(response *http.Response, cancel context.CancelFunc) *reply {
	outcome := Outcome(response.Header.Get(HeaderOutcome))
	reason := Reason(response.Header.Get(HeaderReason))
	version, _ := strconv.ParseUint(response.Header.Get(headerVersion), 10, 64)
	if outcome != Done && response.Header.Get(HeaderHop) == "" {
		cancel()
		_ = response.Body.Close()
		return unknown(ReasonBroken)
	}
	if outcome != Done && response.Header.Get(HeaderDuplicate) == "" {
		cancel()
		_ = response.Body.Close()
		return &reply{outcome: outcome, reason: reason, version: version}
	}
	duplicate := response.Header.Get(HeaderDuplicate) != ""
	p := readResponse(response, cancel)
	p.duplicate = duplicate
	if p.outcome == Done {
		p.outcome, p.reason = outcome, reason
	}
	return p
}

// ServeHop forwards a request that another entry host sent to this one as the owner's home. If the other host's table is
// newer, it waits for that version first.
func (h *Handler) ServeHop(w http.ResponseWriter, r *http.Request) {
	w.Header().Set(HeaderHop, "1")
	body, complete, err := h.readBody(w, r)
	if memory.Refused(err) {
		writeRefused(w)
		return
	}
	if err != nil || !complete {
		writeError(w, &errResponse{http.StatusBadRequest, ReasonBadRequest, "the request's body did not arrive whole"})
		return
	}
	c, ok := h.readHopCall(r, body)
	if !ok {
		writeError(w, &errResponse{http.StatusServiceUnavailable, ReasonMoved, "this host does not know the service yet"})
		return
	}
	ctx, cancel := context.WithDeadline(r.Context(), c.deadline)
	defer cancel()
	ctx, bounds := retry.Bound(ctx, 0, h.serving)
	defer bounds.Cancel()
	target := h.table.Find(c.service.Name(), c.hash)
	version, _ := strconv.ParseUint(r.Header.Get(headerVersion), 10, 64)
	if target.Version() < version {
		_ = h.table.Await(ctx, version-1)
		target = h.table.Find(c.service.Name(), c.hash)
	}
	w.Header().Set(headerVersion, strconv.FormatUint(target.Version(), 10))
	if !target.Owned() || target.Home().Name != h.options.Name {
		writeError(w, &errResponse{http.StatusServiceUnavailable, ReasonMoved, "this host is not the owner's home"})
		return
	}
	h.write(w, applyStop(ctx, bounds, h.sendLocal(ctx, c, target)))
}

// readHopCall parses a request that another entry host sent.
func (h *Handler) readHopCall(r *http.Request, body bound.Body) (c *call, ok bool) {
	c = &call{method: r.Method, uri: r.URL.RequestURI(), header: r.Header, body: body, arrived: time.Now()}
	for _, s := range h.table.View().Services() {
		if s.Name() == r.Header.Get(headerService) {
			c.service = s
		}
	}
	hash, err := strconv.ParseUint(r.Header.Get(HeaderKeyHash), 10, 64)
	millis, timeErr := strconv.ParseInt(r.Header.Get(HeaderTimeout), 10, 32)
	resend, resendErr := strconv.Atoi(r.Header.Get(HeaderAttempt))
	if c.service == nil || err != nil || timeErr != nil || resendErr != nil {
		return nil, false
	}
	c.hash, c.caller, c.id, c.resend = hash, r.Header.Get(headerCaller), r.Header.Get(HeaderRequestID), dedup.Resend(resend)
	c.handling = c.service.Handling(r.Method, conf.SentPath(r.URL))
	c.deadline = c.arrived.Add(time.Duration(millis) * time.Millisecond)
	return c, true
}
