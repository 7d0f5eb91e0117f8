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
	"ebonyrill.dev/ebonyrill/internal/entry/retry"
	"ebonyrill.dev/ebonyrill/internal/entry/route"
	"ebonyrill.dev/ebonyrill/internal/entry/sched"
	"ebonyrill.dev/ebonyrill/internal/entry/serve"
	"ebonyrill.dev/ebonyrill/internal/shared/items"
	"ebonyrill.dev/ebonyrill/internal/shared/slice"
	"ebonyrill.dev/ebonyrill/internal/shared/table"
)

// Broker answers requests; it is safe for concurrent use.
type Broker struct {
	options Options
	pool    *conns.Pool
	stock   *stock
	office  *sched.Node
	stale   *staleOwners
	mutex   sync.Mutex
	repeats *budget
	splits  map[string]*split
	// stopping is the stop under way, nil before.
	stopping atomic.Pointer[stop]
	// mayWait ends when requests may wait for slots no longer, mayWork when they may stay at upstreams no longer, mayCome when
	// answers that have begun may come no longer.
	mayWait, mayWork, mayCome            context.Context
	stopWaiting, stopServing, stopComing context.CancelFunc
}

// New returns a broker.
func New(o Options) *Broker {
	b := &Broker{options: o, pool: conns.NewPool(), stock: newStock(), stale: newStaleOwners(), repeats: newBudget(o.Retries), splits: map[string]*split{}}
	b.mayCome, b.stopComing = context.WithCancel(context.Background())
	b.mayWork, b.stopServing = context.WithCancel(b.mayCome)
	b.mayWait, b.stopWaiting = context.WithCancel(b.mayWork)
	b.office = b.newOffice()
	return b
}

// SchedulerNode returns the part that deals slots with other entry hosts.
func (b *Broker) SchedulerNode() *sched.Node { return b.office }

// Pool returns the connections to upstreams.
func (b *Broker) Pool() *conns.Pool { return b.pool }

// Run follows the table until the context ends.
func (b *Broker) Run(ctx context.Context) error {
	ticker := time.NewTicker(sweepPeriod)
	defer ticker.Stop()
	for {
		view := b.options.Table.View()
		b.stock.note(b.options.Clock(), view)
		b.office.Update()
		changed, cancel := context.WithTimeout(ctx, sweepPeriod)
		_ = b.options.Table.Await(changed, view.Version())
		cancel()
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
			b.sweep()
		default:
		}
	}
}

// sweepPeriod is how often connections that rest too long are closed; short against idle times.
const sweepPeriod = time.Second

func (b *Broker) sweep() {
	live := map[string]bool{}
	for _, u := range b.options.Table.View().Upstreams() {
		live[connKey(u)] = true
	}
	b.stale.sweep(b.options.Clock())
	b.pool.Sweep(func(key string) bool { return live[key] })
}

// job is one request on its way.
type job struct {
	broker   *Broker
	request  *serve.Request
	id       string
	match    items.Match
	service  string
	keyed    bool
	hash     uint64
	arrived  time.Duration
	expires  time.Duration
	header   http.Header
	tried    []uint32
	attempts int
	sends    int
	spent    bool
	slot     *sched.Slot
	next     *seat
	counted  bool
	holder   route.Holder
	cause    string
	mayRan   bool
	settled  bool
	upstream string
	waited   time.Duration
	last     *conns.Response
	reason   Reason
}

// Handle answers one request.
func (b *Broker) Handle(ctx context.Context, r *serve.Request) *serve.Response {
	j := &job{broker: b, request: r, arrived: r.Arrived, id: r.HTTP.Header.Get(b.options.Headers.RequestID)}
	view := b.awaitConfig(ctx, r)
	if view.Items().Router().Empty() {
		return j.refuse(ReasonNoConfig, noConfigPause)
	}
	match, ok := view.Items().Router().Find(r.HTTP.Host, r.HTTP.URL.Path)
	if !ok {
		return j.fail(http.StatusNotFound, ReasonNoRoute)
	}
	j.match = match
	j.expires = j.arrived + match.Route.Timeout
	if left, ok := b.options.Headers.deadlineOf(r.HTTP.Header); ok {
		j.expires = min(j.expires, j.arrived+left)
	}
	j.service = b.serviceFor(match)
	b.repeats.request(j.arrived, j.service)
	if bad := j.findKey(view); bad != nil {
		return bad
	}
	j.header = forwarded(r.HTTP.Header, b.options.Headers)
	ctx, cancel := context.WithTimeout(ctx, j.expires-b.options.Clock())
	return endWith(j.run(ctx), cancel)
}

// endWith ends a request's context with its answer: at once, or once the rest of a long answer has been written.
func endWith(a *serve.Response, cancel context.CancelFunc) *serve.Response {
	if a == nil || a.Rest == nil {
		cancel()
		return a
	}
	done := a.Done
	a.Done = func(written bool) {
		if done != nil {
			done(written)
		}
		cancel()
	}
	return a
}

// Pauses that a caller is told to make, where nothing tells better.
const (
	noConfigPause     = 500 * time.Millisecond  // a starting host learns the configuration within this time
	longestConfigWait = 1500 * time.Millisecond // a control group that was lost as a whole is back within this time
	noUpstreamPause   = time.Second             // about one heartbeat of an upstream
	turnedPause       = 150 * time.Millisecond  // about one request of an upstream
)

// awaitConfig returns the view once it has routes. A host that has just started learns them within a moment, so that the
// request waits for a part of its time; it is refused if they do not come.
func (b *Broker) awaitConfig(ctx context.Context, r *serve.Request) *table.View {
	view := b.options.Table.View()
	if !view.Items().Router().Empty() {
		return view
	}
	most := longestConfigWait
	if left, ok := b.options.Headers.deadlineOf(r.HTTP.Header); ok {
		most = min(most, time.Duration(parkShare*float64(left)))
	}
	ctx, bounds := retry.Bound(ctx, 0, b.mayWait)
	defer bounds.Cancel()
	ctx, cancel := context.WithTimeout(ctx, most)
	defer cancel()
	for ctx.Err() == nil && view.Items().Router().Empty() {
		if b.options.Table.Await(ctx, view.Version()) != nil {
			break
		}
		view = b.options.Table.View()
	}
	return b.options.Table.View()
}

// findKey takes the numbered key out of a request for a keyed service.
func (j *job) findKey(view *table.View) *serve.Response {
	v, ok := view.Items().Service(j.service)
	if !ok || !v.Keyed {
		return nil
	}
	key, err := strconv.ParseUint(j.request.HTTP.Header.Get(j.broker.options.Headers.Key), 10, 16)
	if err != nil {
		return j.fail(http.StatusBadRequest, ReasonBadRequest)
	}
	j.keyed, j.hash = true, slice.HashNumber(uint16(key))
	return nil
}

// split deals a route's requests to its targets so that each has its share at any time, not only on average.
type split struct {
	version uint64
	owed    []float64
}

func (b *Broker) serviceFor(m items.Match) string {
	targets := m.Route.Targets
	if len(targets) == 1 {
		return targets[0].Service
	}
	b.mutex.Lock()
	defer b.mutex.Unlock()
	s := b.splits[m.Name]
	if s == nil || s.version != m.Version || len(s.owed) != len(targets) {
		s = &split{version: m.Version, owed: make([]float64, len(targets))}
		for i := range s.owed {
			s.owed[i] = rand.Float64()
		}
		b.splits[m.Name] = s
	}
	return targets[s.next(targets)].Service
}

// next returns the target that is owed most once each got its share of one request.
func (s *split) next(targets []items.Target) (best int) {
	total := 0.0
	for _, t := range targets {
		total += t.Weight
	}
	for i, t := range targets {
		s.owed[i] += t.Weight / total
		if t.Weight > 0 && (targets[best].Weight == 0 || s.owed[i] > s.owed[best]) {
			best = i
		}
	}
	s.owed[best]--
	return best
}
