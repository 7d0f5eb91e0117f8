package relay

import (
	"net/http"
	"time"

	"ebonyrill.dev/ebonyrill/internal/entry/admit"
	"ebonyrill.dev/ebonyrill/internal/entry/bound"
	"ebonyrill.dev/ebonyrill/internal/entry/route"
	"ebonyrill.dev/ebonyrill/internal/shared/conf"
	"ebonyrill.dev/ebonyrill/internal/shared/table"
	"ebonyrill.dev/ebonyrill/internal/shared/wire"
)

// Limits of connections to upstreams and home hosts.
const (
	shortIdleTimeout = 500 * time.Millisecond
	idleTimeout      = 20 * time.Second
	maxIdleToHost    = 256
	hopHeaderBytes   = 2 << 10 // what a home host adds to the response header of an upstream, in bytes
)

// pools are the connections to one host. Non-idempotent requests use connections that were used less than shortIdleTimeout
// ago, or new ones: an older idle connection may be dead, and such a request cannot be retried once it has been sent.
type pools struct {
	idempotent    *http.Transport
	nonIdempotent *http.Transport
}

// of returns the pool for idempotent or for non-idempotent requests.
func (p pools) of(idempotent bool) *http.Transport {
	if idempotent {
		return p.idempotent
	}
	return p.nonIdempotent
}

// closeIdle closes the idle connections of both pools, after a time-out on another connection to the same host.
func (p pools) closeIdle() {
	p.idempotent.CloseIdleConnections()
	p.nonIdempotent.CloseIdleConnections()
}

func newHopPools(security *wire.Security) pools {
	p := pools{idempotent: wire.NewTransport(security, idleTimeout, maxIdleToHost), nonIdempotent: wire.NewTransport(security, shortIdleTimeout, maxIdleToHost)}
	for _, t := range []*http.Transport{p.idempotent, p.nonIdempotent} {
		t.MaxResponseHeaderBytes = bound.MaxResponseHeader + hopHeaderBytes
		t.DisableCompression = true
	}
	return p
}

func newUpstreamPools(info table.Upstream) pools {
	p := pools{idempotent: wire.NewTransport(nil, idleTimeout, info.Slots), nonIdempotent: wire.NewTransport(nil, shortIdleTimeout, info.Slots)}
	for _, t := range []*http.Transport{p.idempotent, p.nonIdempotent} {
		t.MaxConnsPerHost = max(1, info.Connections/2)
		t.MaxResponseHeaderBytes = bound.MaxResponseHeader
		t.DisableCompression = true
	}
	return p
}

// upstream is the state that this host keeps for an upstream: its queue and its connections.
type upstream struct {
	info    table.Upstream
	limit   int
	limiter *admit.Limiter
	pools   pools
}

// upstream returns the state of the target's upstream. When it creates one it drops those of upstreams that are no longer
// in the table.
func (h *Handler) upstream(target route.Target, service *conf.Service) *upstream {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	info := target.Upstream()
	u := h.upstreams[info.Number]
	if u == nil {
		h.dropRemoved()
		u = &upstream{info: info, limit: service.Queue(), limiter: admit.NewLimiter(info.Slots, service.Queue()),
			pools: newUpstreamPools(info)}
		h.upstreams[info.Number] = u
	}
	if u.limit != service.Queue() {
		u.limit = service.Queue()
		u.limiter.Resize(info.Slots, u.limit)
	}
	return u
}

func (h *Handler) dropRemoved() {
	view := h.table.View()
	for number, u := range h.upstreams {
		if _, ok := view.Upstream(number); !ok {
			u.pools.closeIdle()
			delete(h.upstreams, number)
		}
	}
}
