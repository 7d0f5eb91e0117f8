package conf

import (
	"net/http"
	"strconv"
	"strings"
	"time"
)

// Class orders requests of a service when they wait for an upstream.
type Class uint8

// Classes of requests, the most urgent first.
const (
	ClassUrgent Class = iota
	ClassNormal
	ClassBatch
	ClassCount
)

// String returns the class as a service file names it.
func (c Class) String() string { return [...]string{"urgent", "normal", "batch"}[c] }

// Service is a checked service file.
type Service struct {
	name          string
	prefix        string
	key           KeySource
	caller        KeySource
	slices        int
	deadline      time.Duration
	queue         int
	resendWindow  time.Duration
	requests      []Rule
	weights       Weights
	goodShare     float64
	latencyBound  time.Duration
	retryShare    float64
	maxEjectShare float64
	numbered      bool
}

// Rule sets the class of requests that its method and path match.
type Rule struct {
	name       string
	method     string
	path       []string
	class      Class
	idempotent bool
	deadline   time.Duration
}

// Weights tell placement how much a service minds each of the three measures.
type Weights struct {
	imbalance   float64
	churn       float64
	unavailable float64
}

// Imbalance returns the weight of uneven load.
func (w Weights) Imbalance() float64 { return w.imbalance }

// Churn returns the weight of moved keys.
func (w Weights) Churn() float64 { return w.churn }

// Unavailable returns the weight of time in which keys cannot be served.
func (w Weights) Unavailable() float64 { return w.unavailable }

// NewWeights returns weights for a policy that is not set by a file.
func NewWeights(imbalance, churn, unavailable float64) Weights {
	return Weights{imbalance: imbalance, churn: churn, unavailable: unavailable}
}

// NewNumbered returns a service that is not set by a file and whose keys are numbers: weights are even, and at most a third
// of its upstreams may be avoided at once.
func NewNumbered(name string) *Service {
	return &Service{name: name, numbered: true, weights: NewWeights(1, 1, 1), maxEjectShare: 1.0 / 3}
}

// Numbered reports whether the service's keys are numbers that lie side by side in the hash space.
func (s *Service) Numbered() bool { return s.numbered }

// Name returns the service's name.
func (s *Service) Name() string { return s.name }

// Prefix returns the path prefix of the service's requests.
func (s *Service) Prefix() string { return s.prefix }

// Key returns where a request carries its key.
func (s *Service) Key() KeySource { return s.key }

// Caller returns where a request names its caller; empty means the remote address.
func (s *Service) Caller() KeySource { return s.caller }

// Slices returns into how many slices a new service is cut.
func (s *Service) Slices() int { return s.slices }

// Deadline returns the longest time a request may take.
func (s *Service) Deadline() time.Duration { return s.deadline }

// Queue returns how many requests may wait for one upstream.
func (s *Service) Queue() int { return s.queue }

// ResendWindow returns for how long the outcome of a request id is kept.
func (s *Service) ResendWindow() time.Duration { return s.resendWindow }

// Weights returns the weights of the three measures.
func (s *Service) Weights() Weights { return s.weights }

// GoodShare returns the objective's share of good requests, between 0 and 1.
func (s *Service) GoodShare() float64 { return s.goodShare }

// LatencyBound returns the latency above which a request counts as slow.
func (s *Service) LatencyBound() time.Duration { return s.latencyBound }

// RetryShare returns how many retries a request earns.
func (s *Service) RetryShare() float64 { return s.retryShare }

// MaxEjectShare returns the largest share of upstreams that may be avoided at once.
func (s *Service) MaxEjectShare() float64 { return s.maxEjectShare }

// Handling tells how a request is treated.
type Handling struct {
	Class      Class
	Idempotent bool
	Deadline   time.Duration
}

// Handling returns how a request with the method and path is treated; the first rule that matches decides, and
// without one a safe method counts as idempotent.
func (s *Service) Handling(method, path string) Handling {
	for i := range s.requests {
		if s.requests[i].matches(method, path) {
			r := s.requests[i]
			return Handling{Class: r.class, Idempotent: r.idempotent, Deadline: r.deadline}
		}
	}
	safe := method == http.MethodGet || method == http.MethodHead || method == http.MethodOptions
	return Handling{Class: ClassNormal, Idempotent: safe, Deadline: s.deadline}
}

func (r *Rule) matches(method, path string) bool {
	if r.method != "" && r.method != method {
		return false
	}
	rest := strings.TrimPrefix(path, "/")
	for i, want := range r.path {
		part, tail, more := strings.Cut(rest, "/")
		if want != "*" && want != part {
			return false
		}
		if i == len(r.path)-1 {
			return !more
		}
		if !more {
			return false
		}
		rest = tail
	}
	return true
}

// KeySource tells which part of a request carries a value.
type KeySource struct {
	kind    sourceKind
	name    string
	segment int
}

type sourceKind uint8

const (
	sourceNone sourceKind = iota
	sourceHeader
	sourcePath
	sourceQuery
	sourceUnkeyed
)

// IsSet reports whether a source is named.
func (k KeySource) IsSet() bool { return k.kind != sourceNone }

// Unkeyed reports whether requests of the service carry no key and may go to any slice.
func (k KeySource) Unkeyed() bool { return k.kind == sourceUnkeyed }

// Value returns the value that the request carries, or an empty text.
func (k KeySource) Value(r *http.Request) string {
	switch k.kind {
	case sourceHeader:
		return r.Header.Get(k.name)
	case sourceQuery:
		return r.URL.Query().Get(k.name)
	case sourcePath:
		return segment(r.URL.Path, k.segment)
	}
	return ""
}

// segment returns the n-th part of a path, counted from one.
func segment(path string, n int) string {
	rest := strings.TrimPrefix(path, "/")
	for ; n > 1; n-- {
		_, tail, more := strings.Cut(rest, "/")
		if !more {
			return ""
		}
		rest = tail
	}
	part, _, _ := strings.Cut(rest, "/")
	return part
}

func keySource(unkeyed bool) rule[KeySource] {
	allowed := "header:NAME, path:NUMBER or query:NAME"
	if unkeyed {
		allowed += ", or none"
	}
	return rule[KeySource]{text: allowed, parse: func(s string) (KeySource, bool) {
		kind, name, _ := strings.Cut(s, ":")
		switch {
		case kind == "header" && name != "":
			return KeySource{kind: sourceHeader, name: http.CanonicalHeaderKey(name)}, true
		case kind == "query" && name != "":
			return KeySource{kind: sourceQuery, name: name}, true
		case kind == "path":
			n, err := strconv.Atoi(name)
			return KeySource{kind: sourcePath, segment: n}, err == nil && n > 0
		case s == "none" && unkeyed:
			return KeySource{kind: sourceUnkeyed}, true
		}
		return KeySource{}, false
	}}
}
