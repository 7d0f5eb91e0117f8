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

// Limits of the sketches and of the reports to control, per service.
const (
	maxSlices      = 4096  // slices counted at a time
	reportedSlices = 512   // most frequent slices that are reported
	maxKeys        = 512   // keys counted at a time
	reportedKeys   = 16    // most frequent keys that are reported
	minKeyShare    = 0.002 // share of a service's requests that a key must exceed to be reported
)

// serviceLoad is the load of one service since the last report.
type serviceLoad struct {
	slices *sketch.Sketch[uint64]
	keys   *sketch.Sketch[uint64]
	total  float64
}

// Recorder records statistics. It is safe for concurrent use.
type Recorder struct {
	mutex      sync.Mutex
	loads      map[string]*serviceLoad
	upstreams  map[uint32]*table.UpstreamStats
	burn       *burn.Counters
	requests   *prometheus.CounterVec
	latency    *prometheus.HistogramVec
	unanswered *prometheus.CounterVec
	notices    *prometheus.CounterVec
}

// New returns an empty recorder and registers its metrics.
func New(registry prometheus.Registerer) *Recorder {
	rec := &Recorder{loads: map[string]*serviceLoad{}, upstreams: map[uint32]*table.UpstreamStats{}, burn: burn.NewCounters()}
	rec.requests = prometheus.NewCounterVec(prometheus.CounterOpts{Name: "ebonyrill_requests_total",
		Help: "Callers' requests by service, outcome and reason."}, []string{"service", "outcome", "reason"})
	rec.latency = prometheus.NewHistogramVec(prometheus.HistogramOpts{Name: "ebonyrill_request_seconds",
		Help: "Time from a request's arrival to its answer.", Buckets: prometheus.ExponentialBuckets(0.001, 2, 14)}, []string{"service"})
	rec.unanswered = prometheus.NewCounterVec(prometheus.CounterOpts{Name: "ebonyrill_unanswered_total",
		Help: "Requests that were read and whose connection ended without their answers, by cause and by how far they were."},
		[]string{"cause", "stage"})
	rec.notices = prometheus.NewCounterVec(prometheus.CounterOpts{Name: "ebonyrill_upstream_notices_total",
		Help: "Responses in which upstreams first say that they leave, ask for a pause, or have an invalid field for either, and resets by full ones."},
		[]string{"service", "notice"})
	registry.MustRegister(rec.requests, rec.latency, rec.unanswered, rec.notices)
	return rec
}

// Arrived counts a request for a slice and a key. It is called at the owner's home.
func (rec *Recorder) Arrived(service string, start, hash uint64) {
	rec.mutex.Lock()
	defer rec.mutex.Unlock()
	l := rec.loads[service]
	if l == nil {
		l = &serviceLoad{slices: sketch.New[uint64](maxSlices), keys: sketch.New[uint64](maxKeys)}
		rec.loads[service] = l
	}
	l.total++
	l.slices.Add(start)
	l.keys.Add(hash)
}

// UpstreamResult counts an upstream's response or failure.
func (rec *Recorder) UpstreamResult(upstream uint32, failed bool) {
	rec.mutex.Lock()
	defer rec.mutex.Unlock()
	s := rec.upstreams[upstream]
	if s == nil {
		s = &table.UpstreamStats{Number: upstream}
		rec.upstreams[upstream] = s
	}
	if failed {
		s.Failed++
	} else {
		s.Answered++
	}
}

// Ended counts the response to a caller. The objective is the service's latency objective.
func (rec *Recorder) Ended(service string, outcome relay.Outcome, reason relay.Reason, status int, took, objective time.Duration) {
	rec.requests.WithLabelValues(service, string(outcome), string(reason)).Inc()
	rec.latency.WithLabelValues(service).Observe(took.Seconds())
	rec.burn.Add(service, time.Now(), relayCategory(outcome, reason, status, took, objective))
}

// relayCategory returns the category in which a request is counted: burn.Good, or why it counts against the service-level objective.
func relayCategory(outcome relay.Outcome, reason relay.Reason, status int, took, objective time.Duration) burn.Category {
	switch {
	case reason == relay.ReasonShed:
		return burn.Shed
	case reason == relay.ReasonNoOwner || reason == relay.ReasonMoved || reason == relay.ReasonFence:
		return burn.Moved
	case outcome != relay.Done || status >= http.StatusInternalServerError:
		return burn.Unavailable
	case took > objective:
		return burn.Slow
	}
	return burn.Good
}

// Attempted counts an attempt at an upstream and, if it succeeded, its duration.
func (rec *Recorder) Attempted(upstream uint32, failed bool, took time.Duration) {
	rec.UpstreamResult(upstream, failed)
	if failed {
		return
	}
	rec.mutex.Lock()
	defer rec.mutex.Unlock()
	rec.upstreams[upstream].TotalTime += took
}

// Completed counts the final response to a request that the broker handled.
func (rec *Recorder) Completed(r broker.Record) {
	rec.requests.WithLabelValues(r.Service, string(r.Outcome), string(r.Reason)).Inc()
	rec.latency.WithLabelValues(r.Service).Observe(r.Took.Seconds())
	rec.burn.Add(r.Service, time.Now(), brokerCategory(r))
}

// Noticed counts what upstreams of a service say about themselves in their responses.
func (rec *Recorder) Noticed(service string, n broker.Notice) {
	rec.notices.WithLabelValues(service, string(n)).Inc()
}

// Unanswered counts requests whose caller's connection ended before their responses were sent.
func (rec *Recorder) Unanswered(cause serve.Cause, stage serve.Stage, n int) {
	if n > 0 {
		rec.unanswered.WithLabelValues(string(cause), stage.String()).Add(float64(n))
	}
}

// brokerCategory is the counterpart of relayCategory for requests that the broker handled.
func brokerCategory(r broker.Record) burn.Category {
	switch {
	case r.Reason == broker.ReasonOverloaded || r.Reason == broker.ReasonTurnedAway || r.Reason == broker.ReasonPaused ||
		r.Reason == broker.ReasonCold || r.Reason == broker.ReasonLinkBusy:
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

// Book returns the counts for the report of burn rates of the service-level objectives.
func (rec *Recorder) Book() *burn.Counters { return rec.burn }

// Take adds the load and the upstream statistics since the last call to the renewal that is sent to control, and resets them.
func (rec *Recorder) Take(r *table.Renewal) {
	rec.mutex.Lock()
	defer rec.mutex.Unlock()
	for service, l := range rec.loads {
		for i, c := range l.slices.Take() {
			if i < reportedSlices {
				r.Slices = append(r.Slices, table.SliceCount{Service: service, Start: c.Item, Count: c.Seen})
			}
		}
		for i, c := range l.keys.Take() {
			if lowerBound := c.Seen - c.Error; i < reportedKeys && lowerBound > minKeyShare*l.total {
				r.Keys = append(r.Keys, table.KeyCount{Service: service, Hash: c.Item, Count: lowerBound})
			}
		}
		l.total = 0
	}
	for _, s := range rec.upstreams {
		r.UpstreamStats = append(r.UpstreamStats, *s)
	}
	rec.upstreams = map[uint32]*table.UpstreamStats{}
}
