package stats

import (
	"net/http"
	"sync"
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"ebonyrill.dev/ebonyrill/internal/entry/broker"
	"ebonyrill.dev/ebonyrill/internal/entry/relay"
	"ebonyrill.dev/ebonyrill/internal/entry/serve"
	"ebonyrill.dev/ebonyrill/internal/entry/sketch"
	"ebonyrill.dev/ebonyrill/internal/shared/burn"
	"ebonyrill.dev/ebonyrill/internal/shared/table"
)

// Sizes of the sketches and of what is reported of them.
const (
	slicesHeld   = 4096
	slicesSent   = 512
	keysHeld     = 512
	keysSent     = 16
	keySentShare = 0.002
)

// serviceLoad is the load of one service since the last report.
type serviceLoad struct {
	slices *sketch.Sketch[uint64]
	keys   *sketch.Sketch[uint64]
	total  float64
}

// Recorder counts; it is safe for concurrent use.
type Recorder struct {
	mutex    sync.Mutex
	loads    map[string]*serviceLoad
	sights   map[uint32]*table.UpstreamStats
	book     *burn.Counters
	requests *prometheus.CounterVec
	latency  *prometheus.HistogramVec
	cut      *prometheus.CounterVec
}

// New returns an empty tally whose metrics are registered.
func New(registry prometheus.Registerer) *Recorder {
	t := &Recorder{loads: map[string]*serviceLoad{}, sights: map[uint32]*table.UpstreamStats{}, book: burn.NewCounters()}
	t.requests = prometheus.NewCounterVec(prometheus.CounterOpts{Name: "ebonyrill_requests_total",
		Help: "Callers' requests by service, outcome and reason."}, []string{"service", "outcome", "reason"})
	t.latency = prometheus.NewHistogramVec(prometheus.HistogramOpts{Name: "ebonyrill_request_seconds",
		Help: "Time from a request's arrival to its answer.", Buckets: prometheus.ExponentialBuckets(0.001, 2, 14)}, []string{"service"})
	t.cut = prometheus.NewCounterVec(prometheus.CounterOpts{Name: "ebonyrill_unanswered_total",
		Help: "Requests that were read and whose connection ended without their answers, by cause and by how far they were."},
		[]string{"cause", "stage"})
	registry.MustRegister(t.requests, t.latency, t.cut)
	return t
}

// Arrived counts a request for a slice and a key at the owner's home.
func (t *Recorder) Arrived(service string, start, hash uint64) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	l := t.loads[service]
	if l == nil {
		l = &serviceLoad{slices: sketch.New[uint64](slicesHeld), keys: sketch.New[uint64](keysHeld)}
		t.loads[service] = l
	}
	l.total++
	l.slices.Add(start)
	l.keys.Add(hash)
}

// UpstreamResult counts an upstream's answer or failure.
func (t *Recorder) UpstreamResult(upstream uint32, failed bool) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	s := t.sights[upstream]
	if s == nil {
		s = &table.UpstreamStats{Number: upstream}
		t.sights[upstream] = s
	}
	if failed {
		s.Failed++
	} else {
		s.Answered++
	}
}

// Ended counts a caller's answer.
func (t *Recorder) Ended(service string, outcome relay.Outcome, reason relay.Reason, status int, took, bound time.Duration) {
	t.requests.WithLabelValues(service, string(outcome), string(reason)).Inc()
	t.latency.WithLabelValues(service).Observe(took.Seconds())
	t.book.Add(service, time.Now(), cause(outcome, reason, status, took, bound))
}

// cause tells what spoiled a request, if anything did.
func cause(outcome relay.Outcome, reason relay.Reason, status int, took, bound time.Duration) burn.Category {
	switch {
	case reason == relay.ReasonShed:
		return burn.Shed
	case reason == relay.ReasonNoOwner || reason == relay.ReasonMoved || reason == relay.ReasonFence:
		return burn.Moved
	case outcome != relay.Done || status >= http.StatusInternalServerError:
		return burn.Unavailable
	case took > bound:
		return burn.Slow
	}
	return burn.Good
}

// Attempted counts a try at an upstream with how long it took.
func (t *Recorder) Attempted(upstream uint32, failed bool, took time.Duration) {
	t.UpstreamResult(upstream, failed)
	if failed {
		return
	}
	t.mutex.Lock()
	defer t.mutex.Unlock()
	t.sights[upstream].TotalTime += took
}

// Completed counts the final answer to a request that was routed by items.
func (t *Recorder) Completed(r broker.Record) {
	t.requests.WithLabelValues(r.Service, string(r.Outcome), string(r.Reason)).Inc()
	t.latency.WithLabelValues(r.Service).Observe(r.Took.Seconds())
	t.book.Add(r.Service, time.Now(), causeOf(r))
}

// Unanswered counts requests whose caller's connection ended without their answers.
func (t *Recorder) Unanswered(cause serve.Cause, stage serve.Stage, n int) {
	if n > 0 {
		t.cut.WithLabelValues(string(cause), stage.String()).Add(float64(n))
	}
}

// causeOf tells what spoiled a request that was routed by items, if anything did.
func causeOf(r broker.Record) burn.Category {
	switch {
	case r.Reason == broker.ReasonOverloaded || r.Reason == broker.ReasonTurnedAway:
		return burn.Shed
	case r.Reason == broker.ReasonNoOwner:
		return burn.Moved
	case r.Outcome != relay.Done || r.Status >= http.StatusInternalServerError:
		return burn.Unavailable
	case r.Objective > 0 && r.Took > r.Objective:
		return burn.Slow
	}
	return burn.Good
}

// Book returns the counts for the report on service-level burn.
func (t *Recorder) Book() *burn.Counters { return t.book }

// Take adds the load and the sights since the last call to a renewal.
func (t *Recorder) Take(r *table.Renewal) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	for service, l := range t.loads {
		for i, c := range l.slices.Take() {
			if i < slicesSent {
				r.Slices = append(r.Slices, table.SliceCount{Service: service, Start: c.Item, Count: c.Seen})
			}
		}
		for i, c := range l.keys.Take() {
			if sure := c.Seen - c.Error; i < keysSent && sure > keySentShare*l.total {
				r.Keys = append(r.Keys, table.KeyCount{Service: service, Hash: c.Item, Count: sure})
			}
		}
		l.total = 0
	}
	for _, s := range t.sights {
		r.UpstreamStats = append(r.UpstreamStats, *s)
	}
	t.sights = map[uint32]*table.UpstreamStats{}
}
