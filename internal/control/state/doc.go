// Package state implements the replicated state machine of the control group: configuration, publish outcomes, upstreams, entry
// hosts, and the slices of each service with their owners and fencing tokens.
//
// Apply is deterministic: replicas that apply the same commands have the same state.
package state
