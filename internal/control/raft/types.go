package raft

import "time"

// ReplicaID identifies a replica and its data folder. A replica that starts with an empty data folder gets a new ID.
type ReplicaID uint64

// EntryKind is the kind of a log entry.
type EntryKind uint8

// Kinds of log entries.
const (
	// EntryCommand holds a command for the replicated state in Data.
	EntryCommand EntryKind = iota + 1
	// EntryMembers holds a configuration of the control group in Members.
	EntryMembers
	// EntryNoOp is the empty entry that a new leader appends, so that it can commit an entry of its own term.
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

// HardState is the term and vote that a replica must persist before it sends messages that depend on them.
type HardState struct {
	Term uint64    `cbor:"1,keyasint"`
	Vote ReplicaID `cbor:"2,keyasint"`
}

// Snapshot is the state after the entry at Index. It replaces the log up to and including that entry.
type Snapshot struct {
	Index   uint64  `cbor:"1,keyasint"`
	Term    uint64  `cbor:"2,keyasint"`
	Members Members `cbor:"3,keyasint"`
	Data    []byte  `cbor:"4,keyasint"`
}

// MessageKind is the kind of a message between replicas.
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

// Message is a message between two replicas. Which fields are used depends on its kind.
type Message struct {
	Kind MessageKind `cbor:"1,keyasint"`
	From ReplicaID   `cbor:"2,keyasint"`
	To   ReplicaID   `cbor:"3,keyasint"`
	Term uint64      `cbor:"4,keyasint"`
	// LogIndex and LogTerm are those of the entry before Entries in an append, of the last log entry in a vote request.
	// In an accepting answer, LogIndex is the last entry stored; in a rejection, the last one that may match the leader's.
	LogIndex uint64 `cbor:"5,keyasint,omitempty"`
	LogTerm  uint64 `cbor:"6,keyasint,omitempty"`
	Commit   uint64 `cbor:"7,keyasint,omitempty"`
	Reject   bool   `cbor:"8,keyasint,omitempty"`
	// PriorTerm is set in vote requests that follow a leadership transfer: the term of the leader that ordered it.
	PriorTerm uint64 `cbor:"9,keyasint,omitempty"`
	// SentAt is the send time of an append or snapshot by the leader's clock; the answer returns it.
	SentAt   time.Duration `cbor:"10,keyasint,omitempty"`
	Entries  []Entry       `cbor:"11,keyasint,omitempty"`
	Snapshot *Snapshot     `cbor:"12,keyasint,omitempty"`
	// Address is where the sender receives answers: a replica that lags may not have the sender in its configuration yet.
	Address string `cbor:"13,keyasint,omitempty"`
}

// FromLeader reports whether the message is of a kind that only the leader of its term sends.
func (m Message) FromLeader() bool { return m.Kind == MessageAppend || m.Kind == MessageSnapshot }

// Effects is the work that a step requires of the driver, in this order: persist HardState, Install and Append, send
// Messages, apply Committed.
type Effects struct {
	HardState *HardState
	Install   *Snapshot
	Append    []Entry
	Messages  []Message
	Committed []Entry
}

// Role is the Raft role of a replica in the current term.
type Role uint8

// Roles of a replica.
const (
	Follower Role = iota
	// PreCandidate waits for answers to its pre-vote requests; it has not raised its term yet.
	PreCandidate
	Candidate
	Leader
)

// String returns the role's name as shown in the status.
func (r Role) String() string {
	return [...]string{"follower", "preCandidate", "candidate", "leader"}[r]
}

// Timing holds the heartbeat interval and the bounds of the randomised election timeout.
type Timing struct {
	Heartbeat   time.Duration
	ElectionMin time.Duration
	ElectionMax time.Duration
}

// DefaultTiming returns the timing for hosts with a network latency of about 1 ms.
func DefaultTiming() Timing {
	return Timing{Heartbeat: 40 * time.Millisecond, ElectionMin: 180 * time.Millisecond, ElectionMax: 320 * time.Millisecond}
}

// TimingFor returns the timing for a heartbeat interval. An election starts after 4.5 to 8 intervals without a heartbeat.
func TimingFor(heartbeat time.Duration) Timing {
	return Timing{Heartbeat: heartbeat, ElectionMin: heartbeat * 9 / 2, ElectionMax: heartbeat * 8}
}

// The leader lease allows for a drift of 1/20 between the monotonic clocks of any two hosts.
const (
	driftNumerator   = 1
	driftDenominator = 20
)

// leaseDuration returns how long the leader lease lasts after the send of an append that a quorum answers.
func (t Timing) leaseDuration() time.Duration {
	return t.ElectionMin - t.ElectionMin*driftNumerator/driftDenominator
}
