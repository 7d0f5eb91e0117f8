package relay

import (
	"net"
	"net/http"
	"sync"
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

func newUpstreamPools(info table.Upstream, allow func() error) pools {
	return pools{idempotent: newUpstreamTransport(info, idleTimeout, allow),
		nonIdempotent: newUpstreamTransport(info, shortIdleTimeout, allow)}
}

// newUpstreamTransport returns a transport that asks allow before it sends a request, as the connection may have taken long to open.
func newUpstreamTransport(info table.Upstream, idle time.Duration, allow func() error) *http.Transport {
	t := wire.NewTransport(nil, idle, info.Slots)
	t.MaxConnsPerHost = max(1, info.Connections/2)
	t.MaxResponseHeaderBytes = bound.MaxResponseHeader
	t.DisableCompression = true
	wire.Guard(t, allow)
	wire.WrapConns(t, func(raw net.Conn) net.Conn { return bound.NewConn(raw) })
	return t
}

// newSingleTransport returns a transport whose connections to an upstream carry one request each.
func newSingleTransport(info table.Upstream, allow func() error) *http.Transport {
	t := newUpstreamTransport(info, shortIdleTimeout, allow)
	t.DisableKeepAlives = true
	return t
}

// upstream is the state that this host keeps for an upstream: its queue and its connections.
type upstream struct {
	info    table.Upstream
	limit   int
	limiter *admit.Limiter
	pools   pools
	// single is for connections that carry one request each.
	single *http.Transport
	echoes echoes
}

// echoes records whether an upstream returns the attempt ids of requests. Upstreams that do not check fencing tokens may leave them out.
// A response without an id can be a late one to an earlier request on its connection, so it counts only on a connection that has carried
// no other.
type echoes struct {
	mutex    sync.Mutex
	returned bool
	omitted  bool
}

// record records the attempt id in a response, and reports whether that is the first response without one.
func (e *echoes) record(id string) (firstOmitted bool) {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	firstOmitted = id == "" && !e.omitted
	e.returned, e.omitted = e.returned || id != "", e.omitted || id == ""
	return firstOmitted
}

// always reports whether all responses so far had an id, and there was one at least.
func (e *echoes) always() bool {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	return e.returned && !e.omitted
}

// transport returns the connections for a request, and whether each of them carries only one.
func (u *upstream) transport(idempotent bool) (t *http.Transport, single bool) {
	if u.info.ChecksFence || u.echoes.always() {
		return u.pools.of(idempotent), false
	}
	return u.single, true
}

// recordEcho records the attempt id in a response. If the upstream turns out to leave ids out, its idle connections are closed.
func (u *upstream) recordEcho(id string) {
	if !u.info.ChecksFence && u.echoes.record(id) {
		u.pools.closeIdle()
	}
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
			pools: newUpstreamPools(info, h.inService(info)), single: newSingleTransport(info, h.inService(info))}
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
