package state

import (
	"ebonyrill.dev/ebonyrill/internal/shared/conf"
	"ebonyrill.dev/ebonyrill/internal/shared/items"
	"ebonyrill.dev/ebonyrill/internal/shared/table"
	"ebonyrill.dev/ebonyrill/internal/shared/wire"
)

// Command is one change of the state; exactly one field is set.
type Command struct {
	Publish       *Publish         `cbor:"1,keyasint,omitempty"`
	JoinUpstream  *table.Upstream  `cbor:"2,keyasint,omitempty"`
	DropUpstreams *DropUpstreams   `cbor:"3,keyasint,omitempty"`
	Drain         *Drain           `cbor:"4,keyasint,omitempty"`
	JoinEntry     *table.EntryHost `cbor:"5,keyasint,omitempty"`
	DropEntry     *DropEntry       `cbor:"6,keyasint,omitempty"`
	Plan          *Plan            `cbor:"7,keyasint,omitempty"`
	ExcludeHome   *ExcludeHome     `cbor:"8,keyasint,omitempty"`
	Patch         *Patch           `cbor:"9,keyasint,omitempty"`
}

// Publish replaces the set of service files if Base is still the version in force.
type Publish struct {
	ID     string      `cbor:"1,keyasint"`
	Base   uint64      `cbor:"2,keyasint"`
	By     string      `cbor:"3,keyasint"`
	Digest string      `cbor:"4,keyasint"`
	Files  []conf.File `cbor:"5,keyasint"`
}

// Patch sets and removes configuration items; it is taken in whole or not at all.
type Patch struct {
	Items []items.Item `cbor:"1,keyasint"`
}

// DropUpstreams removes incarnations of upstreams whose grants have surely ended.
type DropUpstreams struct {
	Numbers []uint32 `cbor:"1,keyasint"`
}

// Drain sets or ends the drain of an upstream; Self tells that the upstream asked for it.
type Drain struct {
	Name string `cbor:"1,keyasint"`
	On   bool   `cbor:"2,keyasint"`
	Self bool   `cbor:"3,keyasint"`
}

// DropEntry removes one incarnation of an entry host whose lease has surely ended.
type DropEntry struct {
	Name        string `cbor:"1,keyasint"`
	Incarnation uint64 `cbor:"2,keyasint"`
}

// ExcludeHome gives an upstream another home than the named entry host; an empty name ends that.
type ExcludeHome struct {
	Number uint32 `cbor:"1,keyasint"`
	Entry  string `cbor:"2,keyasint,omitempty"`
}

// Plan changes slices; an operation whose slice has changed meanwhile is passed over.
type Plan struct {
	Operations []Operation `cbor:"1,keyasint"`
}

// OperationKind tells what an operation does to a slice.
type OperationKind uint8

// Kinds of slice operations.
const (
	// Assign gives a slice without owner to an upstream.
	Assign OperationKind = iota + 1
	// BeginMove revokes a slice from its owner in favour of another upstream.
	BeginMove
	// FinishMove gives a revoked slice to the upstream it moves to.
	FinishMove
	// Split cuts a slice in two at a hash; both parts keep owner and fence.
	Split
	// Merge joins a slice with the one behind it when both have the same owner.
	Merge
)

// Operation changes one slice; Fence is the fence that the proposer saw.
type Operation struct {
	Kind    OperationKind `cbor:"1,keyasint"`
	Service string        `cbor:"2,keyasint"`
	Start   uint64        `cbor:"3,keyasint"`
	Fence   uint64        `cbor:"4,keyasint"`
	To      uint32        `cbor:"5,keyasint,omitempty"`
	At      uint64        `cbor:"6,keyasint,omitempty"`
}

// Result is what the proposer of a command learns once it is applied.
type Result struct {
	Outcome   *table.PublishResult
	Number    uint32
	Changed   int
	Rejection string
}

// EncodeCommand returns the command as a log entry carries it.
func EncodeCommand(c Command) ([]byte, error) { return wire.Marshal(c) }
