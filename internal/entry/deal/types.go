package deal

import (
	"time"
)

// Key identifies a slot request across all entry hosts.
type Key struct {
	Host string
	ID   uint64
}

// Ask is a request for a slot. Upstream is the number of the only upstream that may run the request, or zero for any in the
// subset. Left is the time until the request expires. Objective is the time within which it should be answered. Avoid lists
// upstreams that must not be used. If Hurry is set, the request is rejected instead of queued when no slot is free, because
// another subset may have a free one. Repeat marks a retry, which is counted against the service's retry budget.
type Ask struct {
	_          struct{} `cbor:",toarray"`
	ID         uint64
	Hurry      bool
	Upstream   uint32
	Priority   int
	Left       time.Duration
	Objective  time.Duration
	DataCentre string
	Avoid      []uint32
	Repeat     bool
}

// Verdict is the scheduler's decision on a slot request.
type Verdict uint8

// Verdicts.
const (
	// Go means that the request has a slot at the upstream named in the reply.
	Go Verdict = iota + 1
	// Wait means that the request is queued.
	Wait
	// Refuse means that no slot will be free in time. After is the estimated time until one is.
	Refuse
	// Spent means that the service's retry budget is exhausted.
	Spent
	// Nowhere means that the scheduler knows no upstream that may run the request.
	Nowhere
	// Full means that no slot is free now and the request asked not to be queued. After is the estimated time until one is free.
	Full
	// Elsewhere means that the host currently does not schedule; the sender should ask another one.
	Elsewhere
)

// Reply is the scheduler's reply to a slot request.
type Reply struct {
	_        struct{} `cbor:",toarray"`
	ID       uint64
	Verdict  Verdict
	Upstream uint32
	After    time.Duration
}

// Fate is the outcome of a request that had a slot.
type Fate uint8

// Fates.
const (
	// Answered means that the upstream ran the request.
	Answered Fate = iota + 1
	// Failed means that the upstream failed the request or did not answer in time.
	Failed
	// TurnedAway means that the upstream reported that it did not run the request.
	TurnedAway
	// NotReached means that no connection to the upstream could be made.
	NotReached
	// Abandoned means that the result says nothing about the upstream, for example because the caller disconnected.
	Abandoned
)

// Result reports the outcome of a request and releases its slot. Took is the time that the upstream needed.
type Result struct {
	_       struct{} `cbor:",toarray"`
	ID      uint64
	Fate    Fate
	Took    time.Duration
	Running int
	Waiting int
}

// addressedReply is a reply with the key of the slot request that it answers.
type addressedReply struct {
	key   Key
	reply Reply
}

// Upstream describes an upstream to the scheduler. Slots is the number of requests that it runs at a time. Leaving upstreams get
// only requests that name them. Fresh marks one that started recently and may still be slow.
type Upstream struct {
	Number     uint32
	Slots      int
	DataCentre string
	Leaving    bool
	Fresh      bool
}
