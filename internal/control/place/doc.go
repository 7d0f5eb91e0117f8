// Package place decides which upstream should own which slice of a service's hash space, and which upstreams are failing.
//
// A policy is given a view of one service and the time, and returns the operations on its slices. It performs no I/O.
// Weighted is the policy in use. Modulo, Rendezvous and Rebalance are baselines for measurements.
package place
