// Package pick is the load balancer of an entry host: it chooses an upstream for a request that any upstream of a service may
// answer.
package pick
