package relay

import (
	"context"
	"net/http"
	"strconv"
	"time"

	"ebonyrill.dev/ebonyrill/internal/entry/dedup"
	"ebonyrill.dev/ebonyrill/internal/shared/conf"
	"ebonyrill.dev/ebonyrill/internal/shared/slice"
)

// call is one caller's request as the entry host holds it.
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
	body     []byte
	deadline time.Time
	arrived  time.Time
}

// maxIDLength is the longest request id.
const maxIDLength = 128

// errBadCall is a request that cannot be routed as it stands.
type errBadCall struct {
	status int
	reason Reason
	text   string
}

// Error returns the message.
func (e *errBadCall) Error() string { return e.text }

// newCall reads what routing needs out of a caller's request.
func (h *Handler) newCall(r *http.Request, body []byte) (c *call, bad *errBadCall) {
	view := h.table.View()
	if view.Version() == 0 {
		return nil, &errBadCall{http.StatusServiceUnavailable, ReasonNotReady, "this host has no table yet"}
	}
	c = &call{service: view.ServiceFor(r.URL.Path), method: r.Method, uri: r.URL.RequestURI(), header: r.Header, body: body, arrived: time.Now()}
	if c.service == nil {
		return nil, &errBadCall{http.StatusNotFound, ReasonNoService, "no service has a prefix of this path"}
	}
	if c.service.Key().Unkeyed() {
		c.hash = h.randomHash()
	} else {
		key := c.service.Key().Value(r)
		if key == "" {
			return nil, &errBadCall{http.StatusBadRequest, ReasonNoKey, "the request carries no key"}
		}
		c.hash = slice.HashKey(key)
	}
	if c.caller = c.service.Caller().Value(r); c.caller == "" {
		c.caller = remoteHost(r.RemoteAddr)
	}
	c.handling = c.service.Handling(r.Method, r.URL.Path)
	if bad = c.readID(r.Header); bad != nil {
		return nil, bad
	}
	return c, c.readTimeout(r.Header)
}

func (c *call) readID(header http.Header) *errBadCall {
	c.id = header.Get(HeaderRequestID)
	if len(c.id) > maxIDLength {
		return &errBadCall{http.StatusBadRequest, ReasonBadRequest, "the request id is longer than 128 characters"}
	}
	attempt := header.Get(HeaderAttempt)
	if attempt == "" {
		return nil
	}
	n, err := strconv.Atoi(attempt)
	switch {
	case err != nil || n < 1:
		return &errBadCall{http.StatusBadRequest, ReasonBadRequest, "the attempt is not a number from 1"}
	case n == 1:
		c.resend = dedup.FirstAttempt
	default:
		c.resend = dedup.Resent
	}
	return nil
}

func (c *call) readTimeout(header http.Header) *errBadCall {
	limit := c.handling.Deadline
	if text := header.Get(HeaderTimeout); text != "" {
		millis, err := strconv.ParseInt(text, 10, 32)
		if err != nil || millis < 1 {
			return &errBadCall{http.StatusBadRequest, ReasonBadRequest, "the timeout is not a number of milliseconds from 1"}
		}
		limit = min(limit, time.Duration(millis)*time.Millisecond)
	}
	c.deadline = c.arrived.Add(limit)
	return nil
}

// reply is what one try brought.
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

// discard ends a reply that nobody gets.
func (p *reply) discard() {
	if p.rest != nil {
		p.rest.close()
	}
}

func notRun(reason Reason) *reply  { return &reply{outcome: NotRun, reason: reason} }
func unknown(reason Reason) *reply { return &reply{outcome: Unknown, reason: reason} }

// detached returns a context that outlives the caller but not the deadline.
func detached(ctx context.Context, deadline time.Time) (context.Context, context.CancelFunc) {
	return context.WithDeadline(context.WithoutCancel(ctx), deadline)
}
