// Package load generates load for tests and the demonstration. It sends reads and writes through entry hosts as a load
// balancer would, and checks the outcomes that callers received against the journals of the sample upstreams.
package load
