package broker

import (
	"net/http"
	"strconv"
	"strings"
	"time"

	"ebonyrill.dev/ebonyrill/internal/entry/cold"
	"ebonyrill.dev/ebonyrill/internal/entry/link"
	"ebonyrill.dev/ebonyrill/internal/entry/relay"
	"ebonyrill.dev/ebonyrill/internal/entry/retry"
	"ebonyrill.dev/ebonyrill/internal/entry/route"
	"ebonyrill.dev/ebonyrill/internal/entry/serve"
	"ebonyrill.dev/ebonyrill/internal/shared/clock"
	"ebonyrill.dev/ebonyrill/internal/shared/events"
	"ebonyrill.dev/ebonyrill/internal/shared/table"
)

// HeaderNames holds the names of the header fields that a platform's callers and upstreams use.
type HeaderNames struct {
	// RequestID identifies one attempt of a caller; upstreams repeat it in the response.
	RequestID string
	// TimeLeft is how many milliseconds the sender still waits for the response.
	TimeLeft string
	// Instance names the only upstream that may run the request.
	Instance string
	// NotRun marks responses to requests that did not run.
	NotRun string
	// Load holds an upstream's running and waiting requests and its slots, separated by commas. A fourth figure may state how long work
	// takes there now, in percent of the usual time.
	Load string
	// Proof is set in every response that an upstream's own server generates.
	Proof string
	// Leaving is set to 1 in the responses of an upstream that is leaving.
	Leaving string
	// Cold is how many milliseconds longer the upstream that sends a response is cold.
	Cold string
	// Key holds the numbered key of a request.
	Key string
}

// Observer counts events in the handling of requests.
type Observer interface {
	// Arrived counts a request for a numbered key of a service by the start of the slice and the key's hash.
	Arrived(service string, start, hash uint64)
	// Attempted counts an attempt at an upstream, with the time until the response.
	Attempted(upstream uint32, failed bool, took time.Duration)
	// Completed counts a request's final response.
	Completed(r Record)
	// Noticed counts what upstreams of a service say about themselves in their responses.
	Noticed(service string, n Notice)
	// Unanswered counts requests whose caller's connection ended before their responses were written, by cause and by processing stage.
	Unanswered(cause serve.Cause, stage serve.Stage, n int)
}

// Options configure an entry host's broker.
type Options struct {
	Host       string
	DataCentre string
	// UpstreamConnections is how many connections to upstreams may be open, zero for any number.
	UpstreamConnections int
	Headers             HeaderNames
	Table               *route.Table
	Retries             retry.Limits
	// Cold is how far the requests that arrive at a cold upstream may exceed the rate that its service states.
	Cold cold.Allowance
	// Address is the address at which other entry hosts reach this one.
	Address string
	// ControlReachable reports whether a control host has responded recently; otherwise this host assigns no slots.
	ControlReachable func() bool
	// ControlSilence, if set, returns the time since a control host last responded to this host.
	ControlSilence func() time.Duration
	// Link is this host's network link, nil if its rate is unknown.
	Link *link.Link
	// LeaveTime is how long an upstream may still be sent requests after it began to drain.
	LeaveTime time.Duration
	// Windows limits the requests without a slot by a window for each upstream, and the connections by this host's share of those that
	// the upstream accepts. The reset of a new connection then means that the upstream is full.
	Windows bool
	// OnLeaving, if set, is called when a response shows that an upstream is leaving.
	OnLeaving func(p table.Process)
	Observer  Observer
	Log       *events.Log
	Clock     clock.Clock
}

// Reason is why a request ended with its outcome.
type Reason string

// Reasons, as written in logs and metrics.
const (
	ReasonAnswered    Reason = "answered"
	ReasonNoRoute     Reason = "noRoute"
	ReasonNoConfig    Reason = "noConfig"
	ReasonBadRequest  Reason = "badRequest"
	ReasonNoUpstream  Reason = "noUpstream"
	ReasonNoOwner     Reason = "noOwner"
	ReasonNotReached  Reason = "notReached"
	ReasonTurnedAway  Reason = "turnedAway"
	ReasonPaused      Reason = "paused"
	ReasonCold        Reason = "cold"
	ReasonOverloaded  Reason = "overloaded"
	ReasonUnanswered  Reason = "unanswered"
	ReasonAmbiguous   Reason = "ambiguous"
	ReasonTimeout     Reason = "timeout"
	ReasonTruncated   Reason = "truncated"
	ReasonCallerGone  Reason = "callerGone"
	ReasonBudgetSpent Reason = "budgetSpent"
	ReasonStopping    Reason = "stopping"
	ReasonLinkBusy    Reason = "linkBusy"
	// ReasonOutOfService is for requests whose service has upstreams only in data centres out of service.
	ReasonOutOfService Reason = "outOfService"
)

// Record describes a request that has its final response. Took is the time since its arrival, Waited the part of it that was spent
// waiting for a slot or an owner, and Version the version of the routing table.
type Record struct {
	ID        string
	Route     string
	Service   string
	Priority  int
	Upstream  string
	Attempts  int
	Status    int
	Outcome   relay.Outcome
	Reason    Reason
	Took      time.Duration
	Waited    time.Duration
	Objective time.Duration
	Version   uint64
}

// timeLeft returns how long a caller waits, or false if the header field is missing or invalid.
func (names HeaderNames) timeLeft(h http.Header) (left time.Duration, ok bool) {
	n, err := strconv.ParseFloat(h.Get(names.TimeLeft), 64)
	if err != nil || n < 0 || n > maxTimeLeft {
		return 0, false
	}
	return time.Duration(n * float64(time.Millisecond)), true
}

// maxTimeLeft is the longest time that is accepted from a caller's header, in milliseconds.
const maxTimeLeft = 3_600_000

// load returns the upstream's load from the header of a response, or false if the header field is missing or invalid. The fourth figure,
// the slowness, may be missing; one that cannot be read is ignored, as the others are useful without it.
func (names HeaderNames) load(h http.Header) (r loadReport, ok bool) {
	parts := strings.SplitN(h.Get(names.Load), ",", 5)
	if len(parts) < 3 {
		return loadReport{}, false
	}
	for i, to := range []*int{&r.running, &r.waiting, &r.slots} {
		n, err := strconv.Atoi(parts[i])
		if err != nil || n < 0 {
			return loadReport{}, false
		}
		*to = n
	}
	if len(parts) >= 4 {
		if n, err := strconv.ParseFloat(strings.TrimSpace(parts[3]), 64); err == nil && n >= 1 && n <= maxSlowness {
			r.slowness = int(n)
		}
	}
	return r, true
}

// maxSlowness is the largest slowness that is accepted from an upstream, in percent of the usual time.
const maxSlowness = 100_000
