// Package raft implements the Raft consensus core of the control group: leader election with pre-vote and
// check-quorum, log replication, learners, membership changes, snapshots and the leader lease.
//
// The core is a state machine without I/O, goroutines, wall clock or global randomness. The driver passes messages and
// the current time in, takes the resulting effects with Core.Take, and performs them in the order persist, send, apply.
// All times are readings of the driver's monotonic clock.
package raft
