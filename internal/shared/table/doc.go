// Package table holds what control tells entry hosts: upstreams, entry hosts, configuration and slices, and the
// immutable view of them by which requests are routed.
package table
