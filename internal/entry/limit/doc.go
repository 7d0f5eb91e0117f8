// Package limit bounds the requests that an entry host sends to an upstream without a slot from the scheduler. The window grows with
// each success and shrinks when the upstream refuses requests, because the host does not know what other hosts send there.
package limit
