// Package state is the replicated state of the system: configuration, publish outcomes, upstreams, entry hosts and the
// slices of each service.
//
// Apply is deterministic: replicas that apply the same commands hold the same state.
package state
