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
	// StandsBy tells that the replica may be lost beside those that the group is to survive, so that it is not to vote.
	Standby bool `cbor:"5,keyasint,omitempty" json:"standsBy,omitempty"`
}

// Members is the group's configuration, ordered by replica identity.
type Members []Replica

// NewMembers returns the replicas ordered by identity.
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

// Find returns the replica with the identity.
func (m Members) Find(id ReplicaID) (r Replica, ok bool) {
	for _, r := range m {
		if r.ID == id {
			return r, true
		}
	}
	return Replica{}, false
}

// IsVoter reports whether the identity has a vote.
func (m Members) IsVoter(id ReplicaID) bool {
	r, ok := m.Find(id)
	return ok && r.Voter
}

// Voters counts the replicas with a vote.
func (m Members) Voters() (n int) {
	for _, r := range m {
		if r.Voter {
			n++
		}
	}
	return n
}

// Standbys counts the replicas that are not to vote.
func (m Members) Standbys() (n int) {
	for _, r := range m {
		if r.Standby {
			n++
		}
	}
	return n
}

// Quorum is the smallest number of voters that is a majority.
func (m Members) Quorum() int { return m.Voters()/2 + 1 }

// With returns the members with the replica added or replaced.
func (m Members) With(r Replica) Members { return NewMembers(append(m.Without(r.ID), r)...) }

// Without returns the members less the identity.
func (m Members) Without(id ReplicaID) Members {
	return slices.DeleteFunc(slices.Clone(m), func(r Replica) bool { return r.ID == id })
}

// voterChanges counts votes that differ between two configurations.
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
