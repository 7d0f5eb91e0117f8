// Package wire carries typed calls between ebonyrill's processes by Connect with CBOR bodies.
package wire
