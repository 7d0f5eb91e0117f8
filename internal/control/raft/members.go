package raft

import (
	"slices"
)

// Replica is one member of the control group.
type Replica struct {
	ID         ReplicaID `cbor:"1,keyasint" json:"id"`
	Address    string    `cbor:"2,keyasint" json:"address"`
	DataCentre string    `cbor:"3,keyasint" json:"dataCentre"`
	Voter      bool      `cbor:"4,keyasint" json:"voter"`
	// Standby marks a replica that should have no vote, as it may be lost in addition to the failures that the group must
	// tolerate. Core does not enforce this; package group, which runs it, decides which replicas vote.
	Standby bool `cbor:"5,keyasint,omitempty" json:"standsBy,omitempty"`
}

// Members is the configuration of the control group, ordered by replica ID.
type Members []Replica

// NewMembers returns a configuration of the given replicas.
func NewMembers(replicas ...Replica) Members {
	m := Members(slices.Clone(replicas))
	slices.SortFunc(m, func(a, b Replica) int {
		switch {
		case a.ID < b.ID:
			return -1
		case a.ID > b.ID:
			return 1
		}
		return 0
	})
	return m
}

// Find returns the replica with the ID.
func (m Members) Find(id ReplicaID) (r Replica, ok bool) {
	for _, r := range m {
		if r.ID == id {
			return r, true
		}
	}
	return Replica{}, false
}

// IsVoter reports whether the replica is a member with a vote.
func (m Members) IsVoter(id ReplicaID) bool {
	r, ok := m.Find(id)
	return ok && r.Voter
}

// Voters returns the number of voters.
func (m Members) Voters() (n int) {
	for _, r := range m {
		if r.Voter {
			n++
		}
	}
	return n
}

// Standbys returns the number of standby replicas.
func (m Members) Standbys() (n int) {
	for _, r := range m {
		if r.Standby {
			n++
		}
	}
	return n
}

// Quorum returns the smallest number of voters that is a majority.
func (m Members) Quorum() int { return m.Voters()/2 + 1 }

// With returns the configuration with the replica added, or replaced if its ID is a member already.
func (m Members) With(r Replica) Members { return NewMembers(append(m.Without(r.ID), r)...) }

// Without returns the configuration without the replica.
func (m Members) Without(id ReplicaID) Members {
	return slices.DeleteFunc(slices.Clone(m), func(r Replica) bool { return r.ID == id })
}

// voterChanges returns the number of replicas that are voters in only one of the two configurations.
func (m Members) voterChanges(next Members) (n int) {
	for _, r := range m {
		if r.Voter && !next.IsVoter(r.ID) {
			n++
		}
	}
	for _, r := range next {
		if r.Voter && !m.IsVoter(r.ID) {
			n++
		}
	}
	return n
}
