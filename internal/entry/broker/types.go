package broker

import (
	"net/http"
	"strconv"
	"strings"
	"time"

	"ebonyrill.dev/ebonyrill/internal/entry/relay"
	"ebonyrill.dev/ebonyrill/internal/entry/retry"
	"ebonyrill.dev/ebonyrill/internal/entry/route"
	"ebonyrill.dev/ebonyrill/internal/entry/serve"
	"ebonyrill.dev/ebonyrill/internal/shared/clock"
	"ebonyrill.dev/ebonyrill/internal/shared/events"
)

// HeaderNames names the headers by which callers and upstreams of a platform tell what the broker needs to know.
type HeaderNames struct {
	// RequestID names one try of a caller; upstreams repeat it.
	RequestID string
	// TimeLeft is how many milliseconds the sender still waits.
	TimeLeft string
	// Instance names the upstream that alone may run the request.
	Instance string
	// NotRun marks answers to requests that did not run.
	NotRun string
	// Load holds running, waiting and slots of an upstream.
	Load string
	// Proof stands on every answer that an upstream's own server gave.
	Proof string
	// Key holds the numbered key of a request.
	Key string
}

// Observer hears of what requests meet.
type Observer interface {
	// Arrived counts a request for a numbered key of a service.
	Arrived(service string, start, hash uint64)
	// Tried counts a try at an upstream, with how long the upstream took for an answer.
	Attempted(upstream uint32, failed bool, took time.Duration)
	// Settled counts a request's final answer.
	Completed(r Record)
	// Unanswered counts requests whose caller's connection ended without their answers, by cause and by how far they were.
	Unanswered(cause serve.Cause, stage serve.Stage, n int)
}

// Options describe an entry host's broker.
type Options struct {
	Host       string
	DataCentre string
	Headers    HeaderNames
	Table      *route.Table
	Retries    retry.Limits
	// Address is where other entry hosts reach this one.
	Address string
	// InTouch reports whether control answered lately; without that this host deals no slots.
	ControlReachable func() bool
	// LeaveTime is how long an upstream may be sent requests after it said that it leaves.
	LeaveTime time.Duration
	Observer  Observer
	Log       *events.Log
	Clock     clock.Clock
}

// Reason tells why a request ended as it did.
type Reason string

// Reasons.
const (
	ReasonAnswered    Reason = "answered"
	ReasonNoRoute     Reason = "noRoute"
	ReasonNoConfig    Reason = "noConfig"
	ReasonBadRequest  Reason = "badRequest"
	ReasonNoUpstream  Reason = "noUpstream"
	ReasonNoOwner     Reason = "noOwner"
	ReasonNotReached  Reason = "notReached"
	ReasonTurnedAway  Reason = "turnedAway"
	ReasonOverloaded  Reason = "overloaded"
	ReasonUnanswered  Reason = "unanswered"
	ReasonTimeout     Reason = "timeout"
	ReasonTruncated   Reason = "truncated"
	ReasonCallerGone  Reason = "callerGone"
	ReasonBudgetSpent Reason = "budgetSpent"
	ReasonStopping    Reason = "stopping"
)

// Record is what is known of a request once it has its final answer.
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

// deadlineOf returns how long a caller waits, or false where its header names no time.
func (d HeaderNames) deadlineOf(h http.Header) (left time.Duration, ok bool) {
	n, err := strconv.ParseFloat(h.Get(d.TimeLeft), 64)
	if err != nil || n < 0 || n > maxTimeLeft {
		return 0, false
	}
	return time.Duration(n * float64(time.Millisecond)), true
}

// maxTimeLeft is the longest time that a caller's header is believed, in milliseconds.
const maxTimeLeft = 3_600_000

// loadOf returns what an answer tells of the upstream's load.
func (d HeaderNames) loadOf(h http.Header) (running, waiting, slots int, ok bool) {
	parts := strings.SplitN(h.Get(d.Load), ",", 4)
	if len(parts) < 3 {
		return 0, 0, 0, false
	}
	numbers := [3]int{}
	for i := range numbers {
		n, err := strconv.Atoi(parts[i])
		if err != nil || n < 0 {
			return 0, 0, 0, false
		}
		numbers[i] = n
	}
	return numbers[0], numbers[1], numbers[2], true
}
