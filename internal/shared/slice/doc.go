// Package slice divides a service's 64-bit hash space into contiguous slices, each with an owner and a fencing token.
package slice
