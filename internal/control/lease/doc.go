// Package grant keeps the leader's leases of upstreams and entry hosts and decides when a slice may safely go to its
// next owner.
//
// Leases are not replicated: a new leader treats each as renewed at the moment it took over.
package lease
