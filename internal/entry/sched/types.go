package sched

import (
	"time"
)

// Key names a request among those of all entry hosts.
type Key struct {
	Host string
	ID   uint64
}

// SlotRequest is a request's wish for a slot. Upstream names the only one that may run it, zero any of the part. Hurry asks for a slot that
// is free now, as other parts may have one; the request is not queued.
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
}

// Decision tells what becomes of an ask.
type Decision uint8

// Verdicts.
const (
	// Assigned means that the request has a slot at the upstream that the reply names.
	Assigned Decision = iota + 1
	// Queued means that the request is queued.
	Queued
	// Overloaded means that no slot will be free in time; After is when one should be.
	Overloaded
	// BudgetSpent means that the service's budget for repeats is used up.
	BudgetSpent
	// NoUpstream means that the dealer knows no upstream that may run the request.
	NoUpstream
	// Busy means that no slot is free now for a request in a hurry; After is when one should be.
	Busy
	// NotScheduling means that the host deals no slots now; another one is to be asked.
	NotScheduling
)

// Reply answers an ask.
type Reply struct {
	_        struct{} `cbor:",toarray"`
	ID       uint64
	Decision Decision
	Upstream uint32
	After    time.Duration
}

// Completion is how a request fared that had a slot.
type Completion uint8

// Fates.
const (
	// Answered means that the upstream ran the request.
	Answered Completion = iota + 1
	// Failed means that the upstream failed it, or did not answer in time.
	Failed
	// Rejected means that the upstream said that it did not run it.
	Rejected
	// ConnectFailed means that no connection was made.
	ConnectFailed
	// Abandoned means that the caller went, or that the upstream is not to blame.
	Abandoned
)

// Result tells how a request fared; it frees the slot.
type Result struct {
	_          struct{} `cbor:",toarray"`
	ID         uint64
	Completion Completion
	Took       time.Duration
	Running    int
	Waiting    int
}

// addressed is a reply with the request that it is for.
type addressed struct {
	key   Key
	reply Reply
}

// Upstream is what a dealer must know of an upstream.
type Upstream struct {
	Number     uint32
	Slots      int
	DataCentre string
	Draining   bool
	Cold       bool
}
