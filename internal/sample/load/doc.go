// Package drive sends a mixed load through entry hosts as a balancer would, and checks the journals of sample upstreams
// against what callers were told.
package load
