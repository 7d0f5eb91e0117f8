package conf

import (
	"net/http"
	"net/url"
	"strconv"
	"strings"
	"time"
)

// Class is the priority of a request among those of its service that wait for an upstream.
type Class uint8

// Classes of requests, the most urgent first; ClassCount is their number.
const (
	ClassUrgent Class = iota
	ClassNormal
	ClassBatch
	ClassCount
)

// String returns the class's name in service files.
func (c Class) String() string { return [...]string{"urgent", "normal", "batch"}[c] }

// Service is a validated service file.
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

// Rule sets the class, idempotency and deadline of requests that match its method and path. An empty method matches any;
// * in the path matches any one segment.
type Rule struct {
	name       string
	method     string
	path       []string
	class      Class
	idempotent bool
	deadline   time.Duration
}

// Weights are the weights of a service's placement costs: uneven load, moved keys and unavailable keys.
type Weights struct {
	imbalance   float64
	churn       float64
	unavailable float64
}

// Imbalance returns the weight of uneven load between upstreams.
func (w Weights) Imbalance() float64 { return w.imbalance }

// Churn returns the weight of moved keys.
func (w Weights) Churn() float64 { return w.churn }

// Unavailable returns the weight of the time during which keys cannot be served.
func (w Weights) Unavailable() float64 { return w.unavailable }

// NewWeights returns weights that are not read from a service file.
func NewWeights(imbalance, churn, unavailable float64) Weights {
	return Weights{imbalance: imbalance, churn: churn, unavailable: unavailable}
}

// NewNumbered returns a service that is not read from a service file and whose keys are numbers. Its weights are equal, and
// at most a third of its upstreams may be ejected at once.
func NewNumbered(name string) *Service {
	return &Service{name: name, numbered: true, weights: NewWeights(1, 1, 1), maxEjectShare: 1.0 / 3}
}

// Numbered reports whether the service's keys are numbers, which map to consecutive ranges of the hash space.
func (s *Service) Numbered() bool { return s.numbered }

// Name returns the service's name.
func (s *Service) Name() string { return s.name }

// Prefix returns the path prefix of the service's requests.
func (s *Service) Prefix() string { return s.prefix }

// Key returns the part of a request that holds its key.
func (s *Service) Key() KeySource { return s.key }

// Caller returns the part of a request that names its caller; if unset, the remote address does.
func (s *Service) Caller() KeySource { return s.caller }

// Slices returns the initial number of slices of the service.
func (s *Service) Slices() int { return s.slices }

// Deadline returns the maximum duration of a request.
func (s *Service) Deadline() time.Duration { return s.deadline }

// Queue returns the maximum number of requests that wait for one upstream.
func (s *Service) Queue() int { return s.queue }

// ResendWindow returns how long the result of a request id is kept for duplicates.
func (s *Service) ResendWindow() time.Duration { return s.resendWindow }

// Weights returns the weights of the placement costs.
func (s *Service) Weights() Weights { return s.weights }

// GoodShare returns the service-level objective: the fraction of good requests, between 0 and 1.
func (s *Service) GoodShare() float64 { return s.goodShare }

// LatencyBound returns the latency above which a request counts as slow.
func (s *Service) LatencyBound() time.Duration { return s.latencyBound }

// RetryShare returns the number of retries that each request adds to the retry budget.
func (s *Service) RetryShare() float64 { return s.retryShare }

// MaxEjectShare returns the largest fraction of upstreams that may be ejected at once.
func (s *Service) MaxEjectShare() float64 { return s.maxEjectShare }

// Handling is the class, idempotency and deadline of a request.
type Handling struct {
	Class      Class
	Idempotent bool
	Deadline   time.Duration
}

// Handling returns the handling of a request with the method and path. The first matching rule applies; without one, a
// request with a safe method counts as idempotent.
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
	for i, pattern := range r.path {
		part, tail, more := strings.Cut(rest, "/")
		if pattern != "*" && pattern != part {
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

// KeySource is the part of a request from which a value is read: a header, a path segment or a query parameter.
type KeySource struct {
	kind    sourceKind
	name    string
	segment int
}

type sourceKind uint8

const (
	sourceUnset sourceKind = iota
	sourceHeader
	sourcePath
	sourceQuery
	sourceUnkeyed
)

// IsSet reports whether the source is configured.
func (k KeySource) IsSet() bool { return k.kind != sourceUnset }

// Unkeyed reports whether requests of the service have no key and may be sent to any slice.
func (k KeySource) Unkeyed() bool { return k.kind == sourceUnkeyed }

// Value returns the value in the request, or an empty string.
func (k KeySource) Value(r *http.Request) string {
	switch k.kind {
	case sourceHeader:
		return r.Header.Get(k.name)
	case sourceQuery:
		return r.URL.Query().Get(k.name)
	case sourcePath:
		return segment(SentPath(r.URL), k.segment)
	}
	return ""
}

// segment returns the n-th segment of a path as sent, counted from one, without its escapes. It returns an empty string if there is none.
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
	unescaped, err := url.PathUnescape(part)
	if err != nil {
		return part // not reached for a parsed URL, whose escapes are valid
	}
	return unescaped
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
