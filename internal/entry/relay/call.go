package relay

import (
	"context"
	"net/http"
	"strconv"
	"time"

	"ebonyrill.dev/ebonyrill/internal/entry/bound"
	"ebonyrill.dev/ebonyrill/internal/entry/dedup"
	"ebonyrill.dev/ebonyrill/internal/shared/conf"
	"ebonyrill.dev/ebonyrill/internal/shared/slice"
)

// call is a caller's request with the results of routing: its service, key hash and deadline.
type call struct {
	service  *conf.Service
	hash     uint64
	handling conf.Handling
	caller   string
	id       string
	resend   dedup.Resend
	method   string
	uri      string
	header   http.Header
	body     bound.Body
	deadline time.Time
	arrived  time.Time
}

// maxIDLength is the maximum length of a request id, in bytes.
const maxIDLength = 128

// errResponse is an error that the entry host sends to the caller as a response of its own.
type errResponse struct {
	status int
	reason Reason
	text   string
}

// Error returns the message.
func (e *errResponse) Error() string { return e.text }

// newCall parses a caller's request and looks up its service; bad is the response if the request cannot be routed.
func (h *Handler) newCall(r *http.Request, body bound.Body) (c *call, bad *errResponse) {
	view := h.table.View()
	if view.Version() == 0 {
		return nil, &errResponse{http.StatusServiceUnavailable, ReasonNotReady, "this host has no table yet"}
	}
	c = &call{service: view.ServiceFor(conf.SentPath(r.URL)), method: r.Method, uri: r.URL.RequestURI(), header: r.Header, body: body, arrived: time.Now()}
	if c.service == nil {
		return nil, &errResponse{http.StatusNotFound, ReasonNoService, "no service has a prefix of this path"}
	}
	if c.service.Key().Unkeyed() {
		c.hash = h.randomHash()
	} else {
		key := c.service.Key().Value(r)
		if key == "" {
			return nil, &errResponse{http.StatusBadRequest, ReasonNoKey, "the request carries no key"}
		}
		c.hash = slice.HashKey(key)
	}
	if c.caller = c.service.Caller().Value(r); c.caller == "" {
		c.caller = remoteHost(r.RemoteAddr)
	}
	c.handling = c.service.Handling(r.Method, conf.SentPath(r.URL))
	if bad = c.readID(r.Header); bad != nil {
		return nil, bad
	}
	return c, c.readTimeout(r.Header)
}

func (c *call) readID(header http.Header) *errResponse {
	c.id = header.Get(HeaderRequestID)
	if len(c.id) > maxIDLength {
		return &errResponse{http.StatusBadRequest, ReasonBadRequest, "the request id is longer than 128 characters"}
	}
	attempt := header.Get(HeaderAttempt)
	if attempt == "" {
		return nil
	}
	n, err := strconv.Atoi(attempt)
	switch {
	case err != nil || n < 1:
		return &errResponse{http.StatusBadRequest, ReasonBadRequest, "the attempt is not a number from 1"}
	case n == 1:
		c.resend = dedup.FirstAttempt
	default:
		c.resend = dedup.Resent
	}
	return nil
}

func (c *call) readTimeout(header http.Header) *errResponse {
	limit := c.handling.Deadline
	if text := header.Get(HeaderTimeout); text != "" {
		millis, err := strconv.ParseInt(text, 10, 32)
		if err != nil || millis < 1 {
			return &errResponse{http.StatusBadRequest, ReasonBadRequest, "the timeout is not a number of milliseconds from 1"}
		}
		limit = min(limit, time.Duration(millis)*time.Millisecond)
	}
	c.deadline = c.arrived.Add(limit)
	return nil
}

// reply is the result of one attempt. A status of 0 means that there is no response from the upstream; body is the
// buffered start of the response and rest, if not nil, what follows it. version is the table version of the home host
// that rejected the request, if it sent one.
type reply struct {
	outcome   Outcome
	reason    Reason
	status    int
	header    http.Header
	body      []byte
	rest      *stream
	version   uint64
	duplicate bool
}

// discard closes a reply that is not sent to the caller.
func (p *reply) discard() {
	if p.rest != nil {
		p.rest.close()
	}
}

func notRun(reason Reason) *reply  { return &reply{outcome: NotRun, reason: reason} }
func unknown(reason Reason) *reply { return &reply{outcome: Unknown, reason: reason} }

// detached returns a context that is not cancelled with ctx, but at the deadline.
func detached(ctx context.Context, deadline time.Time) (context.Context, context.CancelFunc) {
	return context.WithDeadline(context.WithoutCancel(ctx), deadline)
}
