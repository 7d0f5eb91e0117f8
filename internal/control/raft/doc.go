// Package agree holds the agreement core of the control group: leader election with pre-vote and
// check-quorum, log replication, learners, membership changes, snapshots and the leader lease.
//
// The core is a state machine without I/O, goroutines, wall clock or global randomness. The driver passes time in,
// takes effects out, and performs them in the order persist, send, apply.
package raft
