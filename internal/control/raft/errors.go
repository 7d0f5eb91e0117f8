package raft

import "fmt"

// ErrNotLeader is returned for a proposal on a replica that is not the leader. Leader is zero if it is not known.
type ErrNotLeader struct {
	Leader ReplicaID
}

func (e *ErrNotLeader) Error() string { return fmt.Sprintf("not the leader; leader is %x", e.Leader) }

// ErrMembersRefused is returned for a membership change that could lose the quorum.
type ErrMembersRefused struct {
	Reason string
}

func (e *ErrMembersRefused) Error() string { return "membership change refused: " + e.Reason }
