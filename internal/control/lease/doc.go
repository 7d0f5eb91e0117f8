// Package lease holds the leases of upstreams and entry hosts on the control leader, and decides when a slice that is
// being moved may be granted to its next owner without two owners at a time.
//
// Leases are not replicated. A new leader treats every lease as renewed at the moment of its election.
package lease
