package raft

import "fmt"

// ErrNotLeader is returned for a proposal at a replica that does not lead.
type ErrNotLeader struct {
	Leader ReplicaID
}

// Error returns the message.
func (e *ErrNotLeader) Error() string { return fmt.Sprintf("not the leader; leader is %x", e.Leader) }

// ErrMembersRefused is returned for a membership change that could lose a quorum.
type ErrMembersRefused struct {
	Reason string
}

// Error returns the message.
func (e *ErrMembersRefused) Error() string { return "membership change refused: " + e.Reason }
