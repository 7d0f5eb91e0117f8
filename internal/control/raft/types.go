package raft

import "time"

// ReplicaID identifies one replica for as long as its data folder lives; a new folder gets a new identity.
type ReplicaID uint64

// EntryKind tells what a log entry carries.
type EntryKind uint8

// Kinds of log entries.
const (
	EntryCommand EntryKind = iota + 1
	EntryMembers
	EntryNoOp
)

// Entry is one record of the replicated log.
type Entry struct {
	Index   uint64    `cbor:"1,keyasint"`
	Term    uint64    `cbor:"2,keyasint"`
	Kind    EntryKind `cbor:"3,keyasint"`
	Data    []byte    `cbor:"4,keyasint,omitempty"`
	Members Members   `cbor:"5,keyasint,omitempty"`
}

// HardState is what a replica must have on disk before it answers in a term.
type HardState struct {
	Term uint64    `cbor:"1,keyasint"`
	Vote ReplicaID `cbor:"2,keyasint"`
}

// Snapshot replaces the log up to and including Index.
type Snapshot struct {
	Index   uint64  `cbor:"1,keyasint"`
	Term    uint64  `cbor:"2,keyasint"`
	Members Members `cbor:"3,keyasint"`
	Data    []byte  `cbor:"4,keyasint"`
}

// MessageKind tells what a message between replicas asks or answers.
type MessageKind uint8

// Kinds of messages between replicas.
const (
	MessagePreVote MessageKind = iota + 1
	MessagePreVoteAnswer
	MessageVote
	MessageVoteAnswer
	MessageAppend
	MessageAppendAnswer
	MessageSnapshot
	MessageTimeoutNow
)

// Message travels between two replicas; which fields count depends on its kind. Address is where the sender takes
// answers, as a replica that is far behind may not have the sender in its configuration yet.
type Message struct {
	Kind      MessageKind   `cbor:"1,keyasint"`
	From      ReplicaID     `cbor:"2,keyasint"`
	To        ReplicaID     `cbor:"3,keyasint"`
	Term      uint64        `cbor:"4,keyasint"`
	LogIndex  uint64        `cbor:"5,keyasint,omitempty"`
	LogTerm   uint64        `cbor:"6,keyasint,omitempty"`
	Commit    uint64        `cbor:"7,keyasint,omitempty"`
	Reject    bool          `cbor:"8,keyasint,omitempty"`
	PriorTerm uint64        `cbor:"9,keyasint,omitempty"`
	SentAt    time.Duration `cbor:"10,keyasint,omitempty"`
	Entries   []Entry       `cbor:"11,keyasint,omitempty"`
	Snapshot  *Snapshot     `cbor:"12,keyasint,omitempty"`
	Address   string        `cbor:"13,keyasint,omitempty"`
}

// FromLeader reports whether only the leader of the message's term sends such a message.
func (m Message) FromLeader() bool { return m.Kind == MessageAppend || m.Kind == MessageSnapshot }

// Effects is what the driver must do after a step: persist, then send, then apply.
type Effects struct {
	HardState *HardState
	Install   *Snapshot
	Append    []Entry
	Messages  []Message
	Committed []Entry
}

// Role is a replica's part in the current term.
type Role uint8

// Roles of a replica.
const (
	Follower Role = iota
	PreCandidate
	Candidate
	Leader
)

// String returns the role's name as status prints it.
func (r Role) String() string {
	return [...]string{"follower", "preCandidate", "candidate", "leader"}[r]
}

// Timing holds the core's intervals.
type Timing struct {
	Heartbeat   time.Duration
	ElectionMin time.Duration
	ElectionMax time.Duration
}

// DefaultTiming returns intervals for hosts about 1 ms apart.
func DefaultTiming() Timing {
	return Timing{Heartbeat: 40 * time.Millisecond, ElectionMin: 180 * time.Millisecond, ElectionMax: 320 * time.Millisecond}
}

// TimingFor returns intervals for a leader that makes itself heard at each heartbeat; an election starts once several were
// missed.
func TimingFor(heartbeat time.Duration) Timing {
	return Timing{Heartbeat: heartbeat, ElectionMin: heartbeat * 9 / 2, ElectionMax: heartbeat * 8}
}

// Drift of monotonic clocks between any two hosts that the leader lease allows for.
const (
	driftNumerator   = 1
	driftDenominator = 20
)

// lease returns how long after a confirmed send no other leader can exist.
func (t Timing) lease() time.Duration {
	return t.ElectionMin - t.ElectionMin*driftNumerator/driftDenominator
}
