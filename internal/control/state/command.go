package state

import (
	"ebonyrill.dev/ebonyrill/internal/shared/conf"
	"ebonyrill.dev/ebonyrill/internal/shared/items"
	"ebonyrill.dev/ebonyrill/internal/shared/table"
	"ebonyrill.dev/ebonyrill/internal/shared/wire"
)

// Command is one change to the state, carried by one Raft log entry. Exactly one field is set.
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
	SetCold       *SetCold         `cbor:"12,keyasint,omitempty"`
	Evacuate      *Evacuate        `cbor:"10,keyasint,omitempty"`
}

// Publish replaces all service files if Base is still the version of the configuration in force.
type Publish struct {
	ID     string      `cbor:"1,keyasint"`
	Base   uint64      `cbor:"2,keyasint"`
	By     string      `cbor:"3,keyasint"`
	Digest string      `cbor:"4,keyasint"`
	Files  []conf.File `cbor:"5,keyasint"`
}

// Patch sets and removes configuration items. If any item is invalid, none is applied.
type Patch struct {
	Items []items.Item `cbor:"1,keyasint"`
}

// Evacuate takes a data centre out of service, or back if Out is not set. By is the operator as far as known, At the leader's time as Unix
// milliseconds. The command changes nothing if another one has changed the record after the log index Known, unless Known is zero.
type Evacuate struct {
	DataCentre string `cbor:"1,keyasint"`
	Out        bool   `cbor:"2,keyasint,omitempty"`
	By         string `cbor:"3,keyasint,omitempty"`
	At         int64  `cbor:"4,keyasint,omitempty"`
	Known      uint64 `cbor:"5,keyasint,omitempty"`
}

// DropUpstreams removes upstream incarnations. The proposer must have made certain that all their grants have ended. If their leases
// expired, Sequences holds the sequence number of each one's last announcement; if they were replaced by newer processes, it is empty.
type DropUpstreams struct {
	Numbers   []uint32 `cbor:"1,keyasint"`
	Sequences []uint64 `cbor:"2,keyasint,omitempty"`
}

// Drain starts or ends the draining of an upstream. Self is set if the upstream itself asked for it, not an operator; Incarnation is
// then the one that asked, whether it has joined or not, or zero for every incarnation that is listed.
type Drain struct {
	Name        string `cbor:"1,keyasint"`
	On          bool   `cbor:"2,keyasint"`
	Self        bool   `cbor:"3,keyasint"`
	Incarnation uint64 `cbor:"4,keyasint,omitempty"`
}

// DropEntry removes one incarnation of an entry host. The proposer must have made certain that its lease has ended.
type DropEntry struct {
	Name        string `cbor:"1,keyasint"`
	Incarnation uint64 `cbor:"2,keyasint"`
}

// ExcludeHome bars the named entry host from being the home of an upstream. An empty name lifts the exclusion.
type ExcludeHome struct {
	Number uint32 `cbor:"1,keyasint"`
	Entry  string `cbor:"2,keyasint,omitempty"`
}

// Plan is a list of slice operations. An operation is skipped if its slice has changed since it was proposed.
type Plan struct {
	Operations []Operation `cbor:"1,keyasint"`
}

// OperationKind is what an operation does to a slice.
type OperationKind uint8

// Kinds of slice operations.
const (
	// Assign gives a slice that has no owner to an upstream.
	Assign OperationKind = iota + 1
	// BeginMove starts to move a slice: its owner has to release it to another upstream.
	BeginMove
	// FinishMove completes a move: the upstream that the slice moves to becomes its owner.
	FinishMove
	// Split divides a slice in two at a hash. Both parts keep owner and fencing token.
	Split
	// Merge joins a slice with the one that follows it, if both have the same owner.
	Merge
	// Refence gives a slice that is not being moved a new fencing token. Adjacent slices of one owner to which it is applied in the same
	// plan become one grant.
	Refence
)

// Operation changes the slice of Service that starts at Start. Fence is the slice's fencing token when the operation was
// proposed. To is the number of the upstream that gets the slice; At is the hash at which Split divides it. Sequence, with BeginMove, is
// that of a report in which the owner listed the slice with this fencing token.
type Operation struct {
	Kind    OperationKind `cbor:"1,keyasint"`
	Service string        `cbor:"2,keyasint"`
	Start   uint64        `cbor:"3,keyasint"`
	Fence   uint64        `cbor:"4,keyasint"`
	To      uint32        `cbor:"5,keyasint,omitempty"`
	At      uint64        `cbor:"6,keyasint,omitempty"`
	// Sequence is zero if no such report is known.
	Sequence uint64 `cbor:"7,keyasint,omitempty"`
}

// Result is returned to the proposer of a command when the command has been applied. Outcome is set for a publish, Number for an
// upstream that joined, Changed for a patch (the number of changed items) and for an evacuation (0 or 1). Rejection is the reason if the
// command was rejected, else empty; Outdated says that it was because of a later one.
type Result struct {
	Outcome   *table.PublishResult
	Number    uint32
	Changed   int
	Rejection string
	Outdated  bool
}

// EncodeCommand returns the encoding of a command in a log entry.
func EncodeCommand(c Command) ([]byte, error) { return wire.Marshal(c) }
