// Package cold decides how many requests may be sent to a cold upstream: one that has just started and fails if it gets more than a
// stated rate. It reads no clock and takes no lock.
package cold
