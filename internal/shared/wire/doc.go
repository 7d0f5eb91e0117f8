// Package wire makes and serves remote procedure calls between ebonyrill's processes, by Connect with CBOR bodies.
package wire
