package sched

import (
	"time"

	"ebonyrill.dev/ebonyrill/internal/entry/cold"
)

// Key identifies a slot request across all entry hosts.
type Key struct {
	Host string
	ID   uint64
}

// SlotRequest is a request for a slot. Upstream is the number of the only upstream that may run the request, or zero for any in
// the subset. Timeout is the time until the request expires. Objective is the time within which it should be answered. Exclude
// lists upstreams that must not be used. If NoQueue is set, the request is rejected instead of queued when no slot is free,
// because another subset may have a free one. Retry marks a retry, which is counted against the service's retry budget. Route
// identifies the request's route (see RouteID); it is zero if requests are to be ordered by due time alone.
type SlotRequest struct {
	_          struct{} `cbor:",toarray"`
	ID         uint64
	NoQueue    bool
	Upstream   uint32
	Priority   int
	Timeout    time.Duration
	Objective  time.Duration
	DataCentre string
	Exclude    []uint32
	Retry      bool
	Route      uint32
}

// Decision is the scheduler's decision on a slot request.
type Decision uint8

// Decisions.
const (
	// Assigned means that the request has a slot at the upstream named in the reply.
	Assigned Decision = iota + 1
	// Queued means that the request is queued.
	Queued
	// Overloaded means that no slot will be free in time. After is the estimated time until one is.
	Overloaded
	// BudgetSpent means that the service's retry budget is exhausted.
	BudgetSpent
	// NoUpstream means that the scheduler knows no upstream that may run the request.
	NoUpstream
	// Busy means that no slot is free now and the request asked not to be queued. After is the estimated time until one is free.
	Busy
	// NotScheduling means that the host currently does not schedule; the sender should ask another one.
	NotScheduling
)

// Reply is the scheduler's reply to a slot request. If PermitEnd is above zero, the slot is a permit at a cold upstream, which ends that
// long after the scheduler received the request.
type Reply struct {
	_        struct{} `cbor:",toarray"`
	ID       uint64
	Decision Decision
	Upstream uint32
	After    time.Duration

	PermitEnd time.Duration
}

// Completion is how a request that had a slot ended.
type Completion uint8

// Completions.
const (
	// Answered means that the upstream ran the request.
	Answered Completion = iota + 1
	// Failed means that the upstream failed the request or did not answer in time.
	Failed
	// Rejected means that the upstream reported that it did not run the request.
	Rejected
	// ConnectFailed means that no connection to the upstream could be made.
	ConnectFailed
	// Abandoned means that the result says nothing about the upstream, for example because the caller disconnected.
	Abandoned
	// Full means that the upstream reset a new connection after it was sent the request, as upstreams do that have no room for more. The
	// request may have run.
	Full
)

// Result reports how a request ended and releases its slot. Took is the time that the upstream needed. Running and Waiting are the
// requests that the upstream reported, and Slowness is how long work takes there now, in percent of the usual time, or zero if the
// upstream does not state it. Unsent is set if no byte of the request was sent, and ColdLeft is how much longer the upstream is cold, as
// far as the sender knows and the scheduler may not.
type Result struct {
	_          struct{} `cbor:",toarray"`
	ID         uint64
	Completion Completion
	Took       time.Duration
	Running    int
	Waiting    int
	Unsent     bool
	ColdLeft   time.Duration
	Slowness   int
}

// addressedReply is a reply with the key of the slot request that it answers.
type addressedReply struct {
	key   Key
	reply Reply
}

// Upstream describes an upstream to the scheduler. Slots is the number of requests that it runs at a time. Draining upstreams get
// only requests that name them, Closed ones none at all. Cold marks one that started recently and may still be slow. ColdLeft is how much
// longer it is cold, and Permits limits the requests that it gets meanwhile.
type Upstream struct {
	Number     uint32
	Slots      int
	DataCentre string
	Draining   bool
	Closed     bool
	Cold       bool
	ColdLeft   time.Duration
	Permits    cold.Limit
}
