package broker

import (
	"context"
	"math/rand/v2"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"ebonyrill.dev/ebonyrill/internal/entry/conns"
	"ebonyrill.dev/ebonyrill/internal/entry/link"
	"ebonyrill.dev/ebonyrill/internal/entry/retry"
	"ebonyrill.dev/ebonyrill/internal/entry/route"
	"ebonyrill.dev/ebonyrill/internal/entry/sched"
	"ebonyrill.dev/ebonyrill/internal/entry/serve"
	"ebonyrill.dev/ebonyrill/internal/shared/conf"
	"ebonyrill.dev/ebonyrill/internal/shared/items"
	"ebonyrill.dev/ebonyrill/internal/shared/slice"
	"ebonyrill.dev/ebonyrill/internal/shared/table"
)

// Broker handles callers' requests; it is safe for concurrent use.
type Broker struct {
	options       Options
	pool          *conns.Pool
	upstreams     *tracker
	schedulerNode *sched.Node
	staleOwners   *staleOwners
	windows       *windows
	mutex         sync.Mutex
	retries       *budget
	splits        map[string]*split
	// stopping is the stop in progress, nil before it begins.
	stopping atomic.Pointer[stop]
	// The contexts bound the phases of a stop. waitCtx ends when requests may no longer wait for slots, serveCtx when they may no longer
	// be at upstreams, and receiveCtx when responses that have begun may no longer be received.
	waitCtx, serveCtx, receiveCtx           context.Context
	stopWaiting, stopServing, stopReceiving context.CancelFunc
}

// New returns a broker.
func New(o Options) *Broker {
	b := &Broker{options: o, pool: conns.NewPool(), upstreams: newTracker(), staleOwners: newStaleOwners(), windows: newWindows(), retries: newBudget(o.Retries), splits: map[string]*split{}}
	b.receiveCtx, b.stopReceiving = context.WithCancel(context.Background())
	b.serveCtx, b.stopServing = context.WithCancel(b.receiveCtx)
	b.waitCtx, b.stopWaiting = context.WithCancel(b.serveCtx)
	b.schedulerNode = b.newSchedulerNode()
	b.pool.CountOn(o.Link)
	b.pool.LimitConnections(o.UpstreamConnections)
	return b
}

// SchedulerNode returns this host's endpoint of the slot scheduling protocol.
func (b *Broker) SchedulerNode() *sched.Node { return b.schedulerNode }

// Pool returns the connections to upstreams.
func (b *Broker) Pool() *conns.Pool { return b.pool }

// Run applies new versions of the routing table, and removes expired state, until the context ends.
func (b *Broker) Run(ctx context.Context) error {
	ticker := time.NewTicker(sweepPeriod)
	defer ticker.Stop()
	applied := uint64(0)
	for {
		view := b.options.Table.View()
		if view.HostsVersion() != applied {
			applied = view.HostsVersion()
			b.updateHosts(view)
		}
		changed, cancel := context.WithTimeout(ctx, sweepPeriod)
		_ = b.options.Table.Await(changed, view.Version())
		cancel()
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
			b.sweep()
			b.updateHosts(b.options.Table.View())
		default:
		}
	}
}

// updateHosts applies changes of upstreams and entry hosts, and the time that has passed for them.
func (b *Broker) updateHosts(view *table.View) {
	b.upstreams.update(b.options.Clock(), view)
	b.windows.update(view)
	b.schedulerNode.Update()
}

// sweepPeriod is how often connections that have been idle for too long are closed; it is short compared to idle times.
const sweepPeriod = time.Second

// sweep removes expired stale owners and closes idle connections that have expired or whose upstream is gone.
func (b *Broker) sweep() {
	live := map[string]bool{}
	for _, u := range b.options.Table.View().Upstreams() {
		live[connKey(u)] = true
	}
	b.staleOwners.sweep(b.options.Clock())
	b.pool.Sweep(func(key string) bool { return live[key] })
}

// job is one request while it is handled. returned is set once its response is, excluded are the upstreams that must not be used again, attempts counts towards the route's
// limit, sends is how often the request was sent, including to upstreams that responded that it was misdirected, which attempts does not
// count, and retryTaken is set while a retry has been taken from the budget and not sent yet.
type job struct {
	broker         *Broker
	request        *serve.Request
	id             string
	match          items.Match
	service        string
	keyed          bool
	hash           uint64
	arrived        time.Duration
	expires        time.Duration
	header         http.Header
	excluded       []uint32
	attempts       int
	sends          int
	retryTaken     bool
	slot           *sched.Slot
	unscheduled    *unscheduled
	reserved       *reservation
	arrivalCounted bool
	owner          route.Holder
	cause          string
	mayHaveRun     bool
	completed      bool
	upstream       string
	waited         time.Duration
	lastResponse   *conns.Response
	transfer       *link.Transfer
	returned       bool
	reason         Reason
	coldRefusals   int
}

// Handle handles one request and returns its response, or nil if the caller has disconnected.
func (b *Broker) Handle(ctx context.Context, r *serve.Request) *serve.Response {
	j := &job{broker: b, request: r, arrived: r.Arrived, id: r.HTTP.Header.Get(b.options.Headers.RequestID)}
	view := b.awaitConfig(ctx, r)
	if view.Items().Router().Empty() {
		return j.reject(ReasonNoConfig, noConfigRetryAfter)
	}
	match, ok := view.Items().Router().Find(r.HTTP.Host, conf.SentPath(r.HTTP.URL))
	if !ok {
		return j.clientError(http.StatusNotFound, ReasonNoRoute)
	}
	j.match = match
	j.expires = j.arrived + match.Route.Timeout
	if left, ok := b.options.Headers.timeLeft(r.HTTP.Header); ok {
		j.expires = min(j.expires, j.arrived+left)
	}
	j.service = b.serviceFor(match)
	b.retries.request(j.arrived, j.service)
	if invalid := j.parseKey(view); invalid != nil {
		return invalid
	}
	j.header = upstreamHeader(r.HTTP.Header, b.options.Headers)
	ctx, cancel := context.WithTimeout(ctx, j.expires-b.options.Clock())
	if rejection := j.awaitLink(ctx); rejection != nil {
		cancel()
		return rejection
	}
	defer j.endOnPanic(cancel)
	resp := j.endTransfer(cancelWhenDone(j.serve(ctx), cancel))
	j.returned = true
	return resp
}

// cancelWhenDone ends a request's context at once or, if the response is streamed, when the rest of it has been written.
func cancelWhenDone(resp *serve.Response, cancel context.CancelFunc) *serve.Response {
	if resp == nil || resp.Rest == nil {
		cancel()
		return resp
	}
	done := resp.Done
	resp.Done = func(written bool) {
		if done != nil {
			done(written)
		}
		cancel()
	}
	return resp
}

// Retry-After times where no better estimate is known, and the longest wait for a configuration.
const (
	noConfigRetryAfter   = 500 * time.Millisecond  // a starting host receives the configuration within this time
	maxConfigWait        = 1500 * time.Millisecond // a control group that was lost completely is back within this time
	noUpstreamRetryAfter = time.Second             // about one heartbeat of an upstream
	rejectedRetryAfter   = 150 * time.Millisecond  // about the time that an upstream takes for one request
)

// awaitConfig returns the view once it has routes. A host that has just started receives them shortly, so the request waits for a share
// of its time. If none arrive in time, the view returned is empty and the request is rejected.
func (b *Broker) awaitConfig(ctx context.Context, r *serve.Request) *table.View {
	view := b.options.Table.View()
	if !view.Items().Router().Empty() {
		return view
	}
	maxWait := maxConfigWait
	if left, ok := b.options.Headers.timeLeft(r.HTTP.Header); ok {
		maxWait = min(maxWait, time.Duration(ownerWaitShare*float64(left)))
	}
	ctx, bounds := retry.Bound(ctx, 0, b.waitCtx)
	defer bounds.Cancel()
	ctx, cancel := context.WithTimeout(ctx, maxWait)
	defer cancel()
	for ctx.Err() == nil && view.Items().Router().Empty() {
		if b.options.Table.Await(ctx, view.Version()) != nil {
			break
		}
		view = b.options.Table.View()
	}
	return b.options.Table.View()
}

// parseKey reads the numbered key from the header of a request for a keyed service. It returns a response if the key is invalid.
func (j *job) parseKey(view *table.View) *serve.Response {
	v, ok := view.Items().Service(j.service)
	if !ok || !v.Keyed {
		return nil
	}
	key, err := strconv.ParseUint(j.request.HTTP.Header.Get(j.broker.options.Headers.Key), 10, 16)
	if err != nil {
		return j.clientError(http.StatusBadRequest, ReasonBadRequest)
	}
	j.keyed, j.hash = true, slice.HashNumber(uint16(key))
	return nil
}

// split distributes a route's requests over its targets by smooth weighted round-robin, so that each target has its share at any time
// and not only on average. The credits start at random values.
type split struct {
	version uint64
	credit  []float64
}

// serviceFor returns the service that the next request of a route goes to.
func (b *Broker) serviceFor(m items.Match) string {
	targets := m.Route.Targets
	if len(targets) == 1 {
		return targets[0].Service
	}
	b.mutex.Lock()
	defer b.mutex.Unlock()
	s := b.splits[m.Name]
	if s == nil || s.version != m.Version || len(s.credit) != len(targets) {
		s = &split{version: m.Version, credit: make([]float64, len(targets))}
		for i := range s.credit {
			s.credit[i] = rand.Float64()
		}
		b.splits[m.Name] = s
	}
	return targets[s.next(targets)].Service
}

// next adds each target's share of one request to its credit and returns the target with the most credit.
func (s *split) next(targets []items.Target) (best int) {
	total := 0.0
	for _, t := range targets {
		total += t.Weight
	}
	for i, t := range targets {
		s.credit[i] += t.Weight / total
		if t.Weight > 0 && (targets[best].Weight == 0 || s.credit[i] > s.credit[best]) {
			best = i
		}
	}
	s.credit[best]--
	return best
}
